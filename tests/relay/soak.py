"""Soak of relaying nodes under faults whose schedule one seed fixes.

    python3 -B tests/relay/soak.py --seeds 1-50 --seconds 20

Callers keep calling while nodes, replicas, store and configuration are
disturbed. What callers and replicas saw is checked at the end of each run
(soak_checks.py). A third of the seeds has planned work alone.
"""
import argparse
import contextlib
import itertools
import random
import select
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.parse

import soak_checks
from fake_replica import FakeReplica, encode_head, encode_response
from fake_store import FakeStore
from relay_nodes import Node, configuration, release_ports, request, route

GRACE_SECONDS = 8
RECOVER_SECONDS = 12
CALLERS = 32
CALLER_LIMIT_SECONDS = 7  # Beyond the deadline of each request, 6 s.
PATHS = {"once": "/once/", "often": "/often/", "stream": "/stream/", "resumable": "/resumable/"}


class Run:
    """One run of a request at a replica."""

    def __init__(self, number, replica, request_id, fields, body):
        self.number = number
        self.replica = replica
        self.request_id = request_id
        self.line = fields["line"]
        self.request_body = body
        self.began = time.monotonic()
        self.ended = None
        self.outcome = "at work"
        self.answer = b""
        self.first = int(fields.get("Last-Event-Id", 0)) + 1
        self.events = []


class SoakReplica(FakeReplica):
    """Works for as long as the query says, and keeps a record of its runs."""

    def __init__(self, soak, name, service, phase=None):
        self.soak = soak
        self.service = service
        self.connections = set()
        self.random = random.Random("%s %s" % (soak.seed, name))
        self.is_up = True
        self.paused_until = 0
        self.fault, self.fault_share, self.fault_until = "", 0, 0
        super().__init__(name, phase)

    def accept(self):
        while self.is_up:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            if not self.is_up:
                connection.close()
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            super().serve(connection)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)

    def end(self):
        """Closes the listener and all connections."""
        self.is_up = False
        for each in [self.listener, *self.connections]:
            try:
                each.shutdown(socket.SHUT_RDWR)
                each.close()
            except OSError:
                pass

    def work(self, connection, seconds):
        """Fails if the replica ends or the connection closes meanwhile."""
        deadline = time.monotonic() + seconds
        while True:
            left = max(deadline, self.paused_until) - time.monotonic()
            if not self.is_up:
                raise ConnectionError("replica ended")
            if left <= 0:
                return
            if select.select([connection], [], [], min(left, 0.1))[0]:
                if connection.recv(1, socket.MSG_PEEK) == b"":
                    raise ConnectionError("caller left")
                time.sleep(min(left, 0.02))

    def answer(self, connection, fields, body):
        if "Request-Id" not in fields:
            return super().answer(connection, fields, body)
        request_id = fields["Request-Id"]
        fault = self.fault if time.monotonic() < self.fault_until else ""
        if self.random.random() >= self.fault_share:
            fault = ""
        stage = fields.get("Stage", "run")
        self.soak.note(request_id, "%s: got %s, fault=%s, Last-Event-Id=%s" % (
            self.name, stage, fault or "none", fields.get("Last-Event-Id")))
        if fault == "full":
            connection.sendall(
                encode_response(503, b"", request_id, signed=False, extra="Not-Executed: 1\r\n"))
            return True
        if fault == "later":
            extra = "Not-Executed: 1\r\nRetry-After: 1\r\n"
            connection.sendall(encode_response(503, b"", request_id, signed=False, extra=extra))
            return True
        if fault == "elsewhere" or fields.get("Target-Instance") != self.name:
            connection.sendall(encode_response(421, b"", request_id, signed=False))
            return True
        if stage == "prefill":
            if fault == "reset":
                return not self.reset(connection)
            self.work(connection, 0.01)
            return super().answer(connection, fields, body)
        run = self.soak.begin_run(self, request_id, fields, body)
        outcome = "broke off"
        try:
            query = dict(urllib.parse.parse_qsl(run.line.split(" ")[1].partition("?")[2]))
            if self.phase:
                outcome = self.stream_run(connection, run, query, fault)
            else:
                outcome = self.plain_run(connection, run, query, fault)
        except OSError as error:
            outcome = "broke off (%s)" % error
            raise
        finally:
            run.outcome = outcome
            run.ended = time.monotonic()
            self.soak.note(request_id, "%s: run %d ended: %s" % (self.name, run.number, outcome))
        return outcome in ("whole", "failed", "unsigned", "extra")

    def reset(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        return "broke off (reset)"

    def plain_run(self, connection, run, query, fault):
        self.work(connection, int(query["work"]) / 1000)
        request_id = run.request_id
        text = b"answer to %s by run %d " % (request_id.encode(), run.number)
        text += b"." * int(query["size"])
        if fault == "reset":
            return self.reset(connection)
        if fault == "failed":
            connection.sendall(encode_response(500, b"it failed", request_id))
            return "failed"
        if fault == "truncated":
            connection.sendall(encode_response(200, text, request_id)[:-3])
            return "truncated"
        if fault == "garbage":
            connection.sendall(b"\x00\x01 no answer\r\n\r\n")
            return "garbage"
        if fault in ("unframed", "unframed-reset"):
            cut = 10 if fault == "unframed-reset" else len(text)
            run.answer = b"" if fault == "unframed-reset" else text
            connection.sendall(encode_head(200, request_id, True) + b"\r\n" + text[:cut])
            if fault == "unframed-reset":
                time.sleep(0.02)
                return self.reset(connection)
            return "unframed"
        if fault == "unsigned":
            connection.sendall(encode_response(200, text, request_id, signed=False))
            return "unsigned"
        run.answer = text
        connection.sendall(encode_response(200, text, request_id))
        if fault == "extra":
            time.sleep(0.01)
            connection.sendall(encode_response(200, text, request_id))
            return "extra"
        return "whole"

    def stream_run(self, connection, run, query, fault):
        if fault == "reset":
            return self.reset(connection)
        if fault == "failed":
            connection.sendall(encode_response(500, b"it failed", run.request_id))
            return "failed"
        head = encode_head(200, run.request_id, True) + b"Content-Type: text/event-stream\r\n"
        connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        last = int(query["events"])
        for number in range(run.first, last + 1):
            self.work(connection, int(query["gap"]) / 1000)
            if fault == "cut-stream" and number > run.first + 1:
                connection.sendall(b"20\r\nid: 9\nda")
                return "broke off (cut)"
            event = b"id: %d\ndata: %s run %d piece %d of %d\n\n" % (
                number, run.request_id.encode(), run.number, number, last)
            run.events.append(event)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return "whole"


class Attempt:
    """One request of a caller, and what came back."""

    def __init__(self, request_id, kind, node, path, first):
        self.id, self.kind, self.node, self.path, self.first = request_id, kind, node, path, first
        self.body = b"body of " + request_id.encode()
        self.started = time.monotonic()
        self.sent = self.ended = None
        self.status, self.fields, self.answer, self.is_complete = 0, {}, b"", False
        self.how = "not connected"  # "answered", "closed", "gave up"

    def raw(self):
        more = "Token-Usage: 10,50\r\n"
        if self.first > 1:
            more += "Last-Event-Id: %d\r\n" % (self.first - 1)
        return request(self.path, self.id, self.body, more)


class Connection:
    """Reads answers strictly: what is left after one is a fault."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), 1)
        self.data = b""

    def receive(self, deadline):
        self.socket.settimeout(max(0.001, deadline - time.monotonic()))
        more = self.socket.recv(65536)
        if not more:
            raise ConnectionError("closed")
        self.data += more

    def take_line(self, deadline):
        while b"\r\n" not in self.data:
            self.receive(deadline)
        line, self.data = self.data.split(b"\r\n", 1)
        return line.decode()

    def take(self, count, deadline):
        while len(self.data) < count:
            self.receive(deadline)
        taken, self.data = self.data[:count], self.data[count:]
        return taken

    def call(self, attempt):
        attempt.how = "closed"
        self.socket.settimeout(1)
        deadline = time.monotonic() + CALLER_LIMIT_SECONDS
        try:
            self.socket.sendall(attempt.raw())
            attempt.sent = time.monotonic()
            attempt.status = int(self.take_line(deadline).split(" ")[1])
            for line in iter(lambda: self.take_line(deadline), ""):
                name, value = line.split(": ", 1)
                attempt.fields[name] = value
            self.read_body(attempt, deadline)
            attempt.is_complete, attempt.how = True, "answered"
        except TimeoutError:
            attempt.how = "gave up"
        except OSError as error:
            attempt.how = "closed (%s)" % error
        except (ValueError, LookupError) as error:
            attempt.how = "garbled (%s)" % error
        attempt.ended = time.monotonic()

    def read_body(self, attempt, deadline):
        if attempt.fields.get("Transfer-Encoding") != "chunked":
            attempt.answer = self.take(int(attempt.fields["Content-Length"]), deadline)
            return
        while size := int(self.take_line(deadline), 16):
            attempt.answer += self.take(size, deadline)
            if self.take(2, deadline) != b"\r\n":
                raise ValueError("bad chunk")
        while self.take_line(deadline):
            pass


class Caller(threading.Thread):
    def __init__(self, soak, number):
        super().__init__(daemon=True)
        self.soak, self.name = soak, "c%d" % number
        self.random = random.Random("%s %s" % (soak.seed, self.name))
        self.keeps = number % 4 != 0
        self.connection, self.node, self.count = None, None, 0

    def run(self):
        while time.monotonic() < self.soak.end_time:
            if self.random.random() < 0.05:
                self.ask_entries()
            self.make_request()
            time.sleep(self.random.random() * 0.2)

    def ask_entries(self):
        try:
            node = self.random.choice(self.soak.nodes)
            node.call(
                node.info_port,
                b"GET /heatherfork/resolve?Name=h.example&Zone=a HTTP/1.1\r\nHost: x\r\n\r\n", 1)
        except (OSError, ValueError):
            pass

    def make_request(self):
        draw = self.random
        kind = draw.choice(sorted(PATHS))
        if kind in ("stream", "resumable"):
            path = "x?events=%d&gap=%d" % (draw.randint(2, 20), draw.choice((10, 40, 150)))
        else:
            work = draw.choice((1, 20, 20, 100, 100, 400, 400, 800, 1500, 3000))
            path = "x?work=%d&size=%d" % (work, draw.choice((0, 500, 30000)))
        give_up = time.monotonic() + 6
        first = 1
        for retry in range(3):
            attempt = self.attempt(kind, PATHS[kind] + path, first, fresh=retry > 0)
            promised = attempt.is_complete and attempt.status in (408, 421, 429, 503)
            repeats = kind in ("often", "resumable") and not (
                attempt.is_complete and attempt.status < 500)
            left = give_up - time.monotonic()
            if not (promised or repeats or attempt.sent is None) or left < 0.2:
                return
            if kind == "resumable" and attempt.status == 200:
                first += attempt.answer.count(b"\n\n")
            wait = float(attempt.fields.get("Retry-After", 0))
            time.sleep(min(wait, left / 3) + draw.random() * 0.1)

    def attempt(self, kind, path, first, fresh):
        self.count += 1
        if fresh or not self.keeps:
            self.drop_connection()
        if not self.connection:
            self.node = self.random.choice(self.soak.nodes)
        request_id = "s%d%sr%d" % (self.soak.seed, self.name, self.count)
        attempt = Attempt(request_id, kind, self.node, path, first)
        self.soak.attempts.append(attempt)
        try:
            self.connection = self.connection or Connection(self.node.caller_port)
        except OSError:
            attempt.ended = time.monotonic()
            time.sleep(0.05)
            return attempt
        self.connection.call(attempt)
        if self.connection.data:
            self.soak.violate("MIXED: bytes after the answer", attempt)
        if not attempt.is_complete or attempt.fields.get("Connection") == "close":
            self.drop_connection()
        return attempt

    def drop_connection(self):
        if self.connection:
            self.connection.socket.close()
        self.connection = None


class Soak:
    def __init__(self, seed, seconds):
        self.seed, self.seconds = seed, seconds
        self.random = random.Random(seed)
        self.notes, self.attempts, self.runs, self.violations = [], [], [], []
        self.unplanned, self.stops = [], {}  # Spans; per node the times of SIGTERM.
        self.run_numbers, self.numbers = itertools.count(1), itertools.count(1)
        self.lock = threading.Lock()
        self.store = FakeStore()
        self.store.server.handle_error = lambda *_: None
        self.version = 3
        self.store.put("op/config", configuration(self.version))
        self.replicas, self.all_replicas = [], []
        for service, phase, count in (("desk", None, 3), ("llm", "prefill", 2), ("llm", "decode", 3)):
            for _ in range(count):
                self.add_replica(service, phase)
        self.nodes = []
        for number in range(30 if seed % 10 == 0 else self.random.randint(3, 6)):
            seed_address = self.nodes[0].address if self.nodes else None
            node = Node("n%d" % number, self.store.address, seed=seed_address)
            node.name, node.lock = "n%d" % number, threading.RLock()
            self.stops[node] = []
            self.nodes.append(node)

    def note(self, request_id, text):
        self.notes.append((time.monotonic(), request_id, text))

    def begin_run(self, replica, request_id, fields, body):
        run = Run(next(self.run_numbers), replica.name, request_id, fields, body)
        self.runs.append(run)
        self.note(request_id, "%s: run %d began" % (replica.name, run.number))
        return run

    def violate(self, text, attempt=None):
        self.violations.append((text, attempt))

    def add_replica(self, service, phase):
        replica = SoakReplica(self, "i-%s%d" % (phase or "desk", next(self.numbers)), service, phase)
        self.replicas.append(replica)
        self.all_replicas.append(replica)
        self.store.put("servers/" + replica.name, replica.entry(service))

    # Faults and planned work: each action has a thread of its own.

    def start_node(self, node):
        self.note("", "%s: start" % node.name)
        node.start()
        while not has_set_up_signals(node.process):
            time.sleep(0.001)

    def is_running(self, node):
        code = node.process.poll()
        if code is not None:
            self.violate("GONE: %s ended by itself with %d: %s" % (
                node.name, code, node.log()[-600:]))
            self.start_node(node)
        return code is None

    def stop_node(self, node, delay):
        if not node.lock.acquire(timeout=0.1):
            return  # It is stopped or disturbed already.
        if self.is_running(node):
            self.note("", "%s: SIGTERM" % node.name)
            started = time.monotonic()
            self.stops[node].append(started)
            node.process.send_signal(signal.SIGTERM)
            try:
                code = node.process.wait(GRACE_SECONDS)
            except subprocess.TimeoutExpired:
                code = None
                node.process.kill()
                node.process.wait()
            self.note("", "%s: ended with %s after %.1f s" % (
                node.name, code, time.monotonic() - started))
            if code != 0:
                self.violate("LOST: %s ended with %s after SIGTERM" % (node.name, code))
            time.sleep(delay)
            self.start_node(node)
        node.lock.release()

    def kill_node(self, node, delay):
        with node.lock, self.disruption("%s: SIGKILL" % node.name):
            if self.is_running(node):
                node.process.kill()
                node.process.wait()
                time.sleep(delay)
                self.start_node(node)

    def pause_node(self, node, seconds):
        with node.lock, self.disruption("%s: SIGSTOP" % node.name):
            if self.is_running(node):
                node.process.send_signal(signal.SIGSTOP)
                time.sleep(seconds)
                node.process.send_signal(signal.SIGCONT)

    def reload_node(self, node, _):
        if node.lock.acquire(timeout=0.1):
            self.note("", "%s: SIGHUP" % node.name)
            if self.is_running(node):
                node.process.send_signal(signal.SIGHUP)
            node.lock.release()

    def change_configuration(self, node, timeout):
        with self.lock:
            self.version += self.random.randint(1, 3)
            changed = configuration(self.version)
            for each in changed["Routes"]:
                each["TimeoutMs"] = timeout
            changed["Routes"].append(route("/v%d/" % self.version, "desk", "idempotent"))
            self.note("", "configuration %d" % self.version)
            self.store.put("op/config", changed)

    def pause_replica(self, replica, seconds):
        with self.disruption("%s: pause" % replica.name):
            replica.paused_until = time.monotonic() + seconds
            time.sleep(seconds)

    def fail_replica(self, replica, seconds, fault, share):
        with self.disruption("%s: %s" % (replica.name, fault)):
            replica.fault, replica.fault_share = fault, share
            replica.fault_until = time.monotonic() + seconds
            time.sleep(seconds)

    def crash_replica(self, replica, _):
        if not self.take_replica(replica):
            return
        with self.disruption("%s: crash" % replica.name):
            replica.end()
            time.sleep(1)
            self.store.delete("servers/" + replica.name)
            self.add_replica(replica.service, replica.phase)

    def drain_replica(self, replica, seconds):
        if not self.take_replica(replica):
            return
        self.note("", "%s: draining" % replica.name)
        self.add_replica(replica.service, replica.phase)
        self.store.put("servers/" + replica.name, replica.entry(replica.service, "draining"))
        time.sleep(seconds)
        self.store.delete("servers/" + replica.name)

    def take_replica(self, replica):
        with self.lock:
            if replica not in self.replicas:
                return False
            self.replicas.remove(replica)
            return True

    def fail_store(self, mode, seconds):
        with self.disruption("store: %s" % mode):
            self.store.mode = mode
            time.sleep(seconds)
            self.store.mode = ""

    def restore_store(self, mode, seconds):
        copy = self.store.copy()
        time.sleep(seconds)
        with self.disruption("store: restored, %s s old" % seconds):
            self.store.mode = mode
            time.sleep(0.3)
            self.store.restore(copy)
            self.store.mode = ""
            time.sleep(1)
            self.store.write_again()

    @contextlib.contextmanager
    def disruption(self, text):
        """A span of unplanned trouble."""
        span = [time.monotonic(), float("inf")]
        self.unplanned.append(span)
        self.note("", text)
        yield
        span[1] = time.monotonic()
        self.note("", "end of " + text)

    def plan(self):
        """Returns rows of (time, action, arguments); several series overlap."""
        draw, rows = self.random, []
        nodes = self.nodes

        def series(begin, end, pause, make):
            now = begin + draw.random() * pause
            while now < end:
                rows.append((now, *make()))
                now += pause * (0.3 + draw.random())

        end = self.seconds
        rolling = itertools.cycle(draw.sample(nodes, len(nodes)))
        series(0, end, draw.choice((1, 2, 4)), lambda: (
            self.stop_node, next(rolling), draw.choice((0, 0.3, 1.5))))
        series(0, end, 3, lambda: (self.reload_node, draw.choice(nodes), 0))
        series(0, end, 2.5, lambda: (
            self.change_configuration, None, draw.choice((4000, 4000, 6000))))
        mixed_from = {0: end, 1: end / 2, 2: 0}[self.seed % 3]
        series(mixed_from, end, 4, lambda: (self.kill_node, draw.choice(nodes), draw.random()))
        series(mixed_from, end, 3, lambda: (
            self.pause_node, draw.choice(nodes), draw.choice((0.2, 1, 3))))
        series(mixed_from, end, 4, lambda: (
            self.fail_store, draw.choice(("silent", "busy", "reset")), draw.choice((0.5, 2, 4))))
        series(mixed_from, end, 5, lambda: (
            self.restore_store, draw.choice(("", "reset")), draw.choice((0.5, 2, 4))))
        series(mixed_from, end, 1.5, lambda: self.draw_replica_fault(draw))
        return sorted(rows, key=lambda row: row[0])

    def draw_replica_fault(self, draw):
        index, seconds = draw.randrange(8), draw.choice((0.5, 1.5, 3))
        kind = draw.choice(("pause", "crash", "drain", "fault", "fault", "fault"))
        fault = draw.choice(("truncated", "reset", "full", "later", "failed", "garbage",
                             "unsigned", "unframed", "unframed-reset", "extra", "elsewhere",
                             "cut-stream"))
        share = draw.choice((0.1, 0.5, 1))

        def act(_, __):
            replica = self.replicas[index % len(self.replicas)]
            if kind == "fault":
                self.fail_replica(replica, seconds, fault, share)
            else:
                actions = {"pause": self.pause_replica, "crash": self.crash_replica,
                           "drain": self.drain_replica}
                actions[kind](replica, max(seconds, 2.5) if kind == "drain" else seconds)

        return (act, None, 0)

    def run(self):
        for node in self.nodes:
            node.wait_ready()
        self.began = time.monotonic()
        self.end_time = self.began + self.seconds
        callers = [Caller(self, number) for number in range(CALLERS)]
        actions = []
        for caller in callers:
            caller.start()
        for moment, action, *arguments in self.plan():
            time.sleep(max(0, self.began + moment - time.monotonic()))
            actions.append(threading.Thread(target=action, args=arguments, daemon=True))
            actions[-1].start()
        for thread in actions + callers:
            thread.join()
        self.check_recovery()
        self.stop_all()
        soak_checks.check(self)

    def check_recovery(self):
        deadline = time.monotonic() + RECOVER_SECONDS
        for node in self.nodes:
            self.is_running(node)
        waiting = list(self.nodes)
        while waiting and time.monotonic() < deadline:
            waiting = [node for node in waiting if not self.serves(node)]
            time.sleep(0.05)
        for node in waiting:
            self.violate("RECOVER: %s doesn't serve again: %s" % (node.name, node.log()[-1500:]))

    def serves(self, node):
        path = "/v%d/x?work=1&size=1" % self.version if self.version > 3 else "/often/x?work=1&size=1"
        attempt = Attempt("s%dv%d" % (self.seed, next(self.numbers)), "often", node, path, 1)
        self.attempts.append(attempt)
        try:
            connection = Connection(node.caller_port)
            connection.call(attempt)
            connection.socket.close()
        except OSError:
            attempt.ended = time.monotonic()
        return attempt.status == 200

    def stop_all(self):
        for node in self.nodes:
            if self.is_running(node):
                node.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + GRACE_SECONDS
        for node in self.nodes:
            try:
                code = node.process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                code = None
            if code != 0:
                self.violate("LOST: %s ended with %s after the last SIGTERM" % (node.name, code))

    def close(self):
        for replica in self.all_replicas:
            replica.end()
        self.store.server.shutdown()
        self.store.server.server_close()
        for node in self.nodes:
            node.stop()
            release_ports(
                [node.caller_port, node.peer_port, node.info_port, node.metrics_port]
            )


def has_set_up_signals(process):
    """It ignores SIGPIPE once it has blocked SIGTERM and SIGHUP, which sigwait hides."""
    if process.poll() is not None:
        return True
    with open("/proc/%d/status" % process.pid) as status:
        ignored = next(line for line in status if line.startswith("SigIgn"))
    return bool(int(ignored.split()[1], 16) >> (signal.SIGPIPE - 1) & 1)


def run_seed(seed, seconds):
    """Returns the number of violations, after printing them."""
    soak = Soak(seed, seconds)
    try:
        soak.run()
        return soak_checks.report(soak)
    finally:
        soak.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1", help="such as 7 or 1-50")
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        if run_seed(seed, options.seconds):
            failed.append(seed)
    print("failed seeds: %s" % (failed or "none"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
