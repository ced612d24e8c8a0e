"""Peers that are there and pause their reading keep their connections."""
import re
import signal
import socket
import threading
import time
import unittest
from pathlib import Path

from fake_replica import FakeReplica, STREAM, encode_response
from peer_sockets import connect_with_small_window, is_open, is_window_closed
from relay_nodes import Node, Platform, configuration, read_answer, request, wait_until

LARGE_BYTES = 3_900_000  # Within max_answer_bytes of the settings.
SMALL_BYTES = 4800
PAUSE_SECONDS = 5
DEADLINE_MS = 12000
LITTLE_READS = 7
LITTLE_BYTES = 1500
LITTLE_PAUSE_SECONDS = 1.8
GRACE_SECONDS = 8
MEMORY_MB = 88
READERS = 60
TOKENS = "Token-Usage: 10,50\r\n"
LARGE_BODY = b"".join(b"%07d\n" % number for number in range(1 << 19))


def send_all(connection, pieces):
    """Returns whether the node has taken them; it may close the connection."""
    try:
        for piece in pieces:
            connection.sendall(piece)
    except OSError:
        return False
    return True


def answer_of(size):
    def answer(connection, fields):
        return send_all(connection, [encode_response(200, b"a" * size, fields["Request-Id"])])

    return answer


def stream_of(events, event_bytes=0):
    """Sends events at once; a replica waits where the node doesn't read."""

    def pieces(request_id):
        yield STREAM.replace(b"ID", request_id.encode())
        for number in range(1, events + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"e" * event_bytes)
            yield b"%x\r\n%s\r\n" % (len(event), event)
        yield b"0\r\n\r\n"

    return lambda connection, fields: send_all(connection, pieces(fields["Request-Id"]))


def timed_request(path, request_id="r1", deadline_ms=DEADLINE_MS, body=b"hello"):
    raw = request(path, request_id, body, TOKENS)
    return raw.replace(b"Deadline-Ms: 6000", b"Deadline-Ms: %d" % deadline_ms)


class PausedPeersTest(unittest.TestCase):
    def start(self, node_lines="", **more):
        self.platform = Platform()
        changed = configuration(4, MaxBodyBytes=len(LARGE_BODY), **more)
        for route in changed["Routes"]:
            route["TimeoutMs"] = DEADLINE_MS
        self.platform.store.put("op/config", changed)
        self.node = Node("n1", self.platform.store.address, node_lines=node_lines)
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    def answer_with(self, fault, count=200):
        for replica in [*self.platform.plain_replicas, *self.platform.decode_replicas]:
            replica.faults = [fault] * count

    def pause(self, port, caller, seconds):
        """Reads nothing for a while; checks that the node found the window closed."""
        until = time.monotonic() + seconds
        own_port = caller.getsockname()[1]
        wait_until(lambda: is_window_closed(port, own_port))
        while time.monotonic() < until:
            time.sleep(0.1)
            self.assertTrue(is_open(port, own_port), "the connection was closed")
        self.assertTrue(is_window_closed(port, own_port), "the window was open")

    # Guards against callers that are reset for a pause of two seconds within
    # their deadline, after their request has run.
    def test_paused_callers_get_their_whole_answers(self):
        """Rows: what is answered, port, bytes sent, fault, answers, bytes of each."""
        refusals = b"".join(timed_request("/nowhere/x", "n%d" % n, body=b"") for n in range(40))
        resolve = b"GET /heatherfork/resolve?Zone=a HTTP/1.1\r\nHost: x\r\n\r\n"
        ready = b"GET /heatherfork/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        metrics = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        rows = [
            ("small answer", "caller", timed_request("/once/x"), answer_of(SMALL_BYTES), 1, SMALL_BYTES),
            ("large answer", "caller", timed_request("/once/x"), answer_of(LARGE_BYTES), 1, LARGE_BYTES),
            ("short stream", "caller", timed_request("/stream/x"), stream_of(400), 1, 400),
            ("long stream", "caller", timed_request("/stream/x"), stream_of(4000, 1000), 1, 4000),
            ("resumed stream", "caller", timed_request("/resumable/x"), stream_of(4000, 1000), 1, 4000),
            ("refusals", "caller", refusals, "", 40, None),
            ("entries", "info", resolve * 60, "", 60, None),
            ("ready", "info", ready * 400, "", 400, 0),
            ("metrics", "metrics", metrics, "", 1, None),
        ]
        for name, port_name, raw, fault, answers, size in rows:
            with self.subTest(answer=name):
                self.start()
                self.answer_with(fault)
                port = getattr(self.node, port_name + "_port")
                with connect_with_small_window(port) as caller:
                    caller.sendall(raw)
                    self.pause(port, caller, PAUSE_SECONDS)
                    self.check_answers(caller, answers, size, "stream" in name)
                self.assertIn("event=caller-paused", self.node.log())
                self.assertNotIn("event=caller-slow", self.node.log())
                self.assertNotIn("event=caller-silent", self.node.log())
                self.node.stop()

    # Guards against a clock of the kernel that runs on although the caller reads,
    # and against one that a pause before has left running.
    def test_callers_that_read_a_little_or_pause_again_get_their_answers(self):
        self.start()
        port = self.node.caller_port
        results = []

        def read_a_little():
            self.answer_with(answer_of(LARGE_BYTES))
            with connect_with_small_window(port) as caller:
                caller.sendall(timed_request("/once/x", "little", 30000))
                data = b""
                for _ in range(LITTLE_READS):
                    data += caller.recv(LITTLE_BYTES)
                    time.sleep(LITTLE_PAUSE_SECONDS)
                while len(data) < LARGE_BYTES:
                    data += self.receive(caller)
            results.append("little")

        def pause_again():
            with connect_with_small_window(port) as caller:
                for number, seconds in enumerate((0.4, 3, 0.4, 3)):
                    request_id = "again-%d" % number
                    caller.sendall(timed_request("/often/x", request_id))
                    self.pause(port, caller, seconds)
                    self.assertEqual((200, True), read_answer(caller)[::3])
                    time.sleep(2.5)
            results.append("again")

        threads = [threading.Thread(target=read_a_little)]
        threads += [threading.Thread(target=pause_again) for _ in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(["again"] * 3 + ["little"], sorted(results), self.node.log()[-2000:])

    def check_answers(self, caller, answers, size, is_stream):
        data = b""
        while data.count(b"HTTP/1.1 ") < answers:
            data += self.receive(caller)
        ends = b"0\r\n\r\n" if is_stream else b""
        while is_stream and not data.endswith(ends):
            data += self.receive(caller)
        if is_stream:
            self.assertEqual(size, len(re.findall(rb"id: \d+\n", data)))
            return
        last = data.rindex(b"HTTP/1.1 ")
        while b"\r\n\r\n" not in data[last:]:
            data += self.receive(caller)
        head, body = data[last:].split(b"\r\n\r\n", 1)
        length = int(re.search(rb"Content-Length: (\d+)", head).group(1))
        while len(body) < length:
            body += self.receive(caller)
        self.assertEqual(length if size is None else size, len(body))

    def receive(self, caller):
        data = caller.recv(65536)
        self.assertTrue(data, "the answer was cut")
        return data

    # Guards against bodies that are cut while their replica pauses its reading.
    def test_replica_that_pauses_its_reading_gets_the_whole_body(self):
        self.start()
        replica = PausingReplica()
        for other in self.platform.plain_replicas:
            self.platform.store.delete("servers/" + other.name)
        self.platform.store.put("servers/i-pausing", replica.entry("desk"))
        wait_until(lambda: "server=i-pausing" in self.node.log())
        with socket.create_connection(("127.0.0.1", self.node.caller_port), 10) as caller:
            caller.sendall(timed_request("/once/x", body=LARGE_BODY))
            wait_until(lambda: replica.connections)
            connection = replica.connections[0]
            self.pause(connection.getpeername()[1], connection, PAUSE_SECONDS)
            replica.may_read.set()
            self.assertEqual((200, True), read_answer(caller)[::3])
        self.assertEqual([LARGE_BODY], [body for _, body in replica.received])
        self.assertIn("event=call-paused", self.node.log())
        self.assertNotIn("event=call-silent", self.node.log())

    # Guards against callers that never read and are kept for good.
    def test_caller_that_never_reads_is_closed_after_its_deadline(self):
        """Rows: what is answered, path, fault."""
        rows = [
            ("small answer", "/once/x", answer_of(SMALL_BYTES)),
            ("large answer", "/once/x", answer_of(LARGE_BYTES)),
            ("stream", "/stream/x", stream_of(400)),
            ("long stream", "/stream/x", stream_of(4000, 1000)),
        ]
        for name, path, fault in rows:
            with self.subTest(answer=name):
                self.start()
                self.answer_with(fault)
                port = self.node.caller_port
                with connect_with_small_window(port) as caller:
                    sent_at = time.monotonic()
                    caller.sendall(timed_request(path, deadline_ms=4000))
                    own_port = caller.getsockname()[1]
                    wait_until(lambda: is_window_closed(port, own_port))
                    wait_until(lambda: not is_open(port, own_port))
                    took = time.monotonic() - sent_at
                self.assertGreater(took, 3.5)
                self.assertLess(took, 4.5)
                self.node.stop()

    # Guards against a process that a paused caller holds up after a planned stop.
    def test_paused_callers_do_not_hold_up_a_planned_stop(self):
        for reads in (True, False):
            with self.subTest(reads=reads):
                self.start()
                self.answer_with(answer_of(SMALL_BYTES))
                port = self.node.caller_port
                with connect_with_small_window(port) as caller:
                    caller.sendall(timed_request("/once/x", deadline_ms=60000))
                    own_port = caller.getsockname()[1]
                    wait_until(lambda: is_window_closed(port, own_port))
                    self.node.process.send_signal(signal.SIGTERM)
                    stopped_at = time.monotonic()
                    if reads:
                        time.sleep(PAUSE_SECONDS)
                        self.assertEqual((200, True), read_answer(caller)[::3])
                    self.assertEqual(0, self.node.process.wait(2 * GRACE_SECONDS))
                    self.assertLess(time.monotonic() - stopped_at, GRACE_SECONDS)

    # Guards against paused callers that take the memory for answers of others.
    def test_paused_callers_give_way_when_the_node_needs_room(self):
        """Rows: what is answered, path, fault."""
        rows = [
            ("answers", "/once/x", answer_of(LARGE_BYTES)),
            ("streams", "/stream/x", stream_of(4000, 1000)),
            ("streams of small events", "/stream/x", stream_of(100_000, 1)),
        ]
        for name, path, fault in rows:
            with self.subTest(paused=name):
                self.start("memory_mb = %d\nfile_descriptors = 1000" % MEMORY_MB)
                self.answer_with(fault, READERS)
                port = self.node.caller_port
                callers = []
                for number in range(READERS):
                    caller = connect_with_small_window(port)
                    self.addCleanup(caller.close)
                    caller.sendall(timed_request(path, "p%d" % number))
                    callers.append(caller)
                wait_until(lambda: "event=caller-paused" in self.node.log())
                self.answer_with(answer_of(LARGE_BYTES))
                seen = []
                until = time.monotonic() + 4
                while time.monotonic() < until and not seen.count(LARGE_BYTES):
                    seen.append(len(self.node.send_request("/often/x", "o%d" % len(seen))[2]))
                self.assertIn(LARGE_BYTES, seen)
                self.assertLess(self.peak_mb(), MEMORY_MB)
                for caller in callers:
                    caller.close()
                self.node.stop()

    def peak_mb(self):
        status = Path("/proc/%d/status" % self.node.process.pid).read_text()
        kb = {name: int(value) for name, value in re.findall(r"(\w+):\s+(\d+) kB", status)}
        return (kb["VmHWM"] - kb["RssFile"]) // 1024


class PausingReplica(FakeReplica):
    """Reads no request before it may."""

    def __init__(self):
        self.connections = []
        self.may_read = threading.Event()
        super().__init__("i-pausing")

    def serve(self, connection):
        self.connections.append(connection)
        self.may_read.wait(30)
        super().serve(connection)


if __name__ == "__main__":
    unittest.main()
