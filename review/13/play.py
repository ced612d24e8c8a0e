"""A decode replica drains and leaves while prompts meant for it are still being read."""
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common3"))
from site3 import BOUNDS, TROUBLE, read_answer, request, run_case  # noqa: E402

PROMPTS = 1
TOKENS = 12000  # "prompts from some tens to tens of thousands of tokens"
TOKENS_PER_MS = 33.3333
SLOW_X = 7.5
DRAIN_S = BOUNDS["DrainMs"] / 1000
LINGER_S = 1.5  # linger_ms of the sheet.


class Asking(threading.Thread):
    def __init__(self, site, node, request_id):
        super().__init__(daemon=True)
        self.site, self.node, self.request_id = site, node, request_id
        self.result = (0, 0, False)

    def run(self):
        more = "Model: m\r\nToken-Usage: %d,72\r\nPrompt-Prefix: %x:200,%x:%d\r\n" % (
            TOKENS,
            0x5C1E07A2,
            abs(hash(self.request_id)) & 0xFFFFFFFF,
            TOKENS - 200,
        )
        try:
            with socket.create_connection(self.node.front, 1) as connection:
                connection.settimeout(14)
                self.site.record.add("sends", self.request_id)
                connection.sendall(
                    request("/history/x", self.request_id, b"p" * 300, deadline_ms=14000, more=more)
                )
                status, _, body, is_whole = read_answer(connection)
                self.result = (status, body.count(b"data: "), is_whole)
        except OSError as error:
            self.site.record.add("error", self.request_id, type(error).__name__)
        self.site.record.add("answer", self.request_id, "status=%d events=%d whole=%s" % self.result)


def play(site):
    prefill = site.add("i-pre", "clerk-llm", 48, "prefill")
    old = site.add("i-dec-old", "clerk-llm", 48, "decode")
    site.start()
    node = site.nodes[0]
    warm = Asking(site, node, "warm")
    warm.start()
    warm.join()
    if warm.result[:1] + warm.result[2:] != (200, True):
        return False
    usual = TOKENS / TOKENS_PER_MS / 1000
    prefill.prefill_s = usual * (SLOW_X if TROUBLE else 1)
    site.record.say("a prompt takes %.2f s to read" % prefill.prefill_s)
    asking = [Asking(site, node, "h%d" % number) for number in range(PROMPTS)]
    for one in asking:
        one.start()
    time.sleep(0.2)
    # A release: the new replica starts first, the old one drains and leaves.
    site.add("i-dec-new", "clerk-llm", 48, "decode")
    time.sleep(0.1)
    old.state = "draining"
    old.publish()
    acknowledged = time.monotonic()
    site.record.say("the store has accepted that i-dec-old is draining")
    time.sleep(DRAIN_S + LINGER_S)
    old.end()
    site.record.say("i-dec-old has left")
    for one in asking:
        one.join()
    late = [
        (request_id, at - acknowledged)
        for at, request_id, _ in old.arrived
        if at - acknowledged > DRAIN_S
    ]
    for request_id, after in late:
        site.record.say("reached the leaving replica:", request_id, "%.2f s later" % after)
    names = {request_id for request_id, _ in late}
    lost = [one.request_id for one in asking if one.request_id in names and not one.result[2]]
    site.record.say("of them cut off when it left:", len(lost))
    return len(late) > 0


run_case(play, HERE)
