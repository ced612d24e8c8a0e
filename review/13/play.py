"""Callers that pause their reading for a moment while a small answer is on its way."""
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common3"))
from site3 import TROUBLE, read_answer, request, run_case  # noqa: E402

CALLERS = 8
ANSWER_BYTES = 4800  # The largest answer of the sheet.
WINDOW_BYTES = 2304  # A small window.
PAUSE_S = 2.6  # Below the deadline of 3 s.


class Caller(threading.Thread):
    def __init__(self, site, node, number):
        super().__init__(daemon=True)
        self.site, self.node, self.number = site, node, number
        self.results = []

    def ask(self, connection, request_id, pause):
        self.site.record.add("sends", request_id)
        connection.sendall(request("/reserve/x", request_id, b"book"))
        time.sleep(pause)
        try:
            status, _, body, is_whole = read_answer(connection)
        except OSError as error:
            self.site.record.add("error", request_id, type(error).__name__)
            status, body, is_whole = 0, b"", False
        self.site.record.add(
            "answer", request_id, status, "%d bytes" % len(body), "whole" if is_whole else "cut"
        )
        self.results.append((request_id, status, is_whole))
        return is_whole

    def run(self):
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            connection.settimeout(5)
            connection.connect(self.node.front)
            # The connection is a kept one from the second request on.
            if self.ask(connection, "w%d" % self.number, 0):
                self.ask(connection, "r%d" % self.number, PAUSE_S if TROUBLE else 0)


def play(site):
    for number in range(3):
        site.add("i-desk%d" % number, "booking-desk", 6).body = b"b" * ANSWER_BYTES
    site.start()
    callers = [Caller(site, site.nodes[0], number) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    arrived = {request_id for replica in site.replicas for _, request_id, _ in replica.arrived}
    cut = [
        request_id
        for caller in callers
        for request_id, _, is_whole in caller.results
        if request_id.startswith("r") and not is_whole and request_id in arrived
    ]
    site.record.say("answers read whole:", sum(r[2] for c in callers for r in c.results))
    site.record.say("run by a sound replica, then cut on a kept connection:", len(cut))
    return len(cut) > 3


run_case(play, HERE)
