"""One part of prompts crashes each replica that begins an answer on it.

Sound requests share their first part with the requests that crash replicas.
Once the crashing part is known, sound requests must begin as before.
"""
import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
from client import exchange, request  # noqa: E402
from deployment import TROUBLE, FakeStore, Node, configuration, entry, route  # noqa: E402
from replica import Replica  # noqa: E402

STABILITY_SECONDS = 3.0
NODES = 4
CRASHING_PART = "badc0de5"
FIRST_PART = "f1a57000"
SECOND_PART = "5ca1ab1e"
SOUND_PAUSE_SECONDS = 1.3
BASELINE_SECONDS = 32.4
CRASHING_PAUSE_SECONDS = 0.3
AFTER_SECONDS = 32
BACK_AFTER_SECONDS = 2.5
DEADLINE_MS = 14000


class CrashingReplica(Replica):
    """Crashes when it begins an answer on the part; it is back after some seconds."""

    def __init__(self, name, record, store, crashes, **more):
        super().__init__(name, record, **more)
        self.store = store
        self.crashes = crashes
        self.born = 1700000000000
        self.open = set()
        self.is_down = False
        self.down_lock = threading.Lock()

    def entry(self):
        fields = entry(self, "llm", 48, self.phase)
        fields["born"] = self.born
        return fields

    def serve(self, connection):
        self.open.add(connection)
        try:
            super().serve(connection)
        finally:
            self.open.discard(connection)

    def run(self, connection, head, request_id, fields):
        if CRASHING_PART in fields.get("Prompt-Prefix", ""):
            self.crash(request_id)
            return False
        return super().run(connection, head, request_id, fields)

    def crash(self, request_id):
        with self.down_lock:
            if self.is_down:
                return
            self.is_down = True
        self.crashes.append(time.monotonic())
        self.record.add("replica %s CRASHES on %s" % (self.name, request_id))
        port = self.listener.getsockname()[1]
        shut(self.listener)
        for connection in list(self.open):
            shut(connection)
        threading.Thread(target=self.return_later, args=(port,), daemon=True).start()

    def return_later(self, port):
        time.sleep(BACK_AFTER_SECONDS)
        self.listener = deployment.socket.create_server(("127.0.0.1", port), backlog=256)
        self.born += 60000
        self.store.put("servers/" + self.name, self.entry())
        self.is_down = False
        self.record.add("replica %s is back" % self.name)
        threading.Thread(target=self.accept, daemon=True).start()


def shut(connection):
    try:
        connection.shutdown(2)
    except OSError:
        pass
    connection.close()


def parts(*more):
    own = "%08x:2400" % random.getrandbits(32)
    prefix = ",".join([FIRST_PART + ":200", SECOND_PART + ":300", *more, own])
    return "Model: m\r\nToken-Usage: 3200,72\r\nPrompt-Prefix: %s\r\n" % prefix


class Callers:
    def __init__(self, record, nodes, decode):
        self.record = record
        self.nodes = nodes
        self.decode = decode
        self.sound = []  # (time, request id, status) of first attempts.
        self.threads = []
        self.kept = []

    def start(self, target, *args):
        thread = threading.Thread(target=target, args=args, daemon=True)
        thread.start()
        self.threads.append(thread)

    def send_sound(self, number):
        request_id = "sound-%d" % number
        raw = request(
            "/notice/x", request_id, DEADLINE_MS, ("sound %d" % number).encode(), parts()
        )
        started = time.monotonic()
        node, connection = self.take_connection()
        answer = exchange(0, raw, 15, connection)
        if answer.complete and "close" not in answer.fields.get("Connection", ""):
            self.kept.append((node, connection))
        else:
            connection.close()
        self.sound.append((started, request_id, answer.status))
        self.record.add("%s at %s: %s" % (request_id, node.name, answer))

    def take_connection(self):
        """One that is kept, or a new one to an address picked at random."""
        if self.kept:
            return self.kept.pop()
        node = random.choice(self.nodes)
        return node, deployment.socket.create_connection(("127.0.0.1", node.front), 1)

    def send_crashing(self, number):
        node = random.choice(self.nodes)
        request_id = "crashing-%d" % number
        part = CRASHING_PART if TROUBLE else "0ddba110"
        raw = request(
            "/notice/x", request_id, DEADLINE_MS, ("crashing %d" % number).encode(),
            parts(part + ":300"),
        )
        self.record.add("%s at %s: %s" % (request_id, node.name, exchange(node.front, raw, 15)))

    def begun(self, since, until):
        """Returns (requests, those that began at the first attempt) sent in the span."""
        run = set()
        for replica in self.decode:
            run.update(replica.runs)
        sent = [item for item in self.sound if since <= item[0] < until]
        return len(sent), sum(1 for item in sent if item[1] in run)


def case(record):
    store = FakeStore()
    store.put(
        "op/config",
        configuration(3, [route("/notice/", "llm", "stream", DEADLINE_MS)]),
    )
    crashes = []
    decode = [
        CrashingReplica("i-decode-%d" % n, record, store, crashes, phase="decode")
        for n in range(2)
    ]
    prefill = Replica("i-prefill", record, "prefill")
    store.put("servers/" + prefill.name, entry(prefill, "llm", 48, "prefill"))
    for replica in decode:
        store.put("servers/" + replica.name, replica.entry())
    nodes = []
    try:
        for number in range(NODES):
            seeds = [nodes[0].control_address] if nodes else None
            nodes.append(Node("node-%d" % (number + 1), store, seeds))
        for node in nodes:
            node.wait_ready()
            node.wait_logged("event=replica ", 3)
        time.sleep(3)
        callers = Callers(record, nodes, decode)
        started = time.monotonic()
        crashing_from = started + BASELINE_SECONDS
        next_crashing = crashing_from
        next_sound = started
        sound = crashing = 0
        while True:
            now = time.monotonic()
            last = crashes[min(4, len(crashes) - 1)] if crashes else crashing_from
            judged_from = last + 2 * STABILITY_SECONDS
            if now > max(crashing_from + 10, judged_from) + AFTER_SECONDS:
                break
            if now >= next_sound:
                sound += 1
                next_sound += SOUND_PAUSE_SECONDS
                callers.start(callers.send_sound, sound)
            if now >= next_crashing:
                crashing += 1
                next_crashing += CRASHING_PAUSE_SECONDS if crashing < 12 else 3
                callers.start(callers.send_crashing, crashing)
            time.sleep(0.02)
        until = time.monotonic() - 1
        time.sleep(4)
        before = callers.begun(started, crashing_from - 1)
        after = callers.begun(judged_from, until)
        record.add(
            "crashes %d; sound requests begun at the first attempt: before %d of %d, "
            "from 2 x StabilityMs after the fifth or last crash %d of %d"
            % (len(crashes), before[1], before[0], after[1], after[0])
        )
        if before[0] < 20 or after[0] < 20 or before[1] == 0:
            raise RuntimeError("too few requests")
        if after[1] / after[0] < before[1] / before[0] / 2:
            return "LOST: sound requests begin %d of %d times, before %d of %d" % (
                after[1], after[0], before[1], before[0]
            )
        return None
    finally:
        for node in nodes:
            record.add(
                "log of %s: %s" % (
                    node.name,
                    "; ".join(
                        line.split("event=")[1] for line in node.log().splitlines()
                        if "event=content" in line or "event=replica-crashed" in line
                    ),
                )
            )
            node.end()


deployment.run_case(FOLDER, case)
