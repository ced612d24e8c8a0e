"""Crowds of callers that don't behave, at every kind of path of one node.

What is checked doesn't depend on the machine's speed: the process lives, its
memory and its open descriptors stay under those of its settings, and afterwards
one ordinary request and one of the largest body are answered.
"""
import os
import re
import time
import unittest
from pathlib import Path

from crowd import Crowd
from fake_replica import FakeReplica, encode_head, encode_response
from fake_store import FakeStore
from relay_nodes import WAIT_LIMIT_SECONDS, Node, configuration, request, route, wait_until

MEMORY_MB = 88
FILE_DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 200
BODY_BYTES = 4 << 20
HEAD_BYTES = 16384
FAR_OVER_BYTES = 400_000_000
ANSWER_BYTES = 3_000_000
STREAM_BYTES = 12_000_000
MEMBERS = 40
BODY = b"h" * BODY_BYTES
LARGE_PART = 3 << 20
LARGE_CHUNK = b"10000\r\n" + b"c" * 65536 + b"\r\n"


def head(line, length=None, more="", deadline_ms=6000):
    text = line + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c%d\r\nDeadline-Ms: %d\r\n" % (
        time.monotonic_ns(),
        deadline_ms,
    )
    framing = "Transfer-Encoding: chunked" if length is None else "Content-Length: %d" % length
    return (text + more + framing + "\r\n\r\n").encode()


def one_piece_short(line):
    return [head(line, BODY_BYTES) + BODY[:-1]]


def small_pieces_short(line):
    return [head(line, BODY_BYTES), *[BODY[:4096]] * 1023, BODY[:4095]]


def chunks_short(line):
    return [head(line), *[LARGE_CHUNK] * 63]


def one_byte_chunks(line):
    return [head(line), *[b"1\r\nc\r\n" * 8192] * 16]


def whole(line):
    return [head(line, BODY_BYTES), BODY]


def whole_chunks(line):
    return [head(line), *[LARGE_CHUNK] * 64, b"0\r\n\r\n"]


def far_over(line):
    return [head(line, FAR_OVER_BYTES), *[BODY] * 2]


def far_over_chunks(line):
    return [head(line), *[LARGE_CHUNK] * 128]


def short_fields(line):
    fields = "a:\r\n" * ((HEAD_BYTES - 200) // 4)
    return [head(line, BODY_BYTES, fields) + BODY[:1 << 20]]


def requests_ahead(line):
    return [head(line, 5) + b"hello"] * 2000


def slow_sender(line):
    return [head(line, BODY_BYTES), BODY[:LARGE_PART], *[b"h", 0.2] * 30]


def half_head(line):
    return [head(line, BODY_BYTES)[:-2] + b"X-More: " + b"a" * (HEAD_BYTES - 400)]


def part_of_body(line):
    return [head(line, BODY_BYTES), BODY[:LARGE_PART]]


def half_chunk(line):
    return [head(line), *[LARGE_CHUNK] * 48, b"100"]


# Name, what each connection sends, whether the crowd reads its answers.
KINDS = [
    ("one piece, short of its end", one_piece_short, True),
    ("small pieces, short of their end", small_pieces_short, True),
    ("chunks, short of their end", chunks_short, True),
    ("chunks of one byte", one_byte_chunks, True),
    ("whole bodies at once", whole, True),
    ("whole bodies in chunks", whole_chunks, True),
    ("far over the limit", far_over, True),
    ("far over the limit in chunks", far_over_chunks, True),
    ("many short fields", short_fields, True),
    ("many requests ahead", requests_ahead, False),
    ("slow senders", slow_sender, True),
    ("half a head", half_head, True),
    ("part of a body", part_of_body, True),
    ("half a chunk size", half_chunk, True),
]

ROUTE = "POST /often/x"
PATHS = [ROUTE, "POST /elsewhere/x", "GET /heatherfork/ready", "GET /heatherfork/resolve?Zone=a"]


class Replica(FakeReplica):
    """Keeps no bodies; answers at once."""

    def answer(self, connection, fields, body):
        self.received.clear()
        return super().answer(connection, fields, b"")


def large_answer(connection, fields):
    connection.sendall(encode_response(200, b"a" * ANSWER_BYTES, fields["Request-Id"]))
    return True


def long_stream(connection, fields):
    event = b"data: " + b"e" * 1000 + b"\n\n"
    start = encode_head(200, fields["Request-Id"], True) + b"Content-Type: text/event-stream\r\n"
    try:
        connection.sendall(start + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(STREAM_BYTES // len(event) // 16):
            connection.sendall((b"%x\r\n%s\r\n" % (len(event), event)) * 16)
        connection.sendall(b"0\r\n\r\n")
    except OSError:
        return False
    return True


class CrowdsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.store = FakeStore()
        limits = {"MaxBodyBytes": BODY_BYTES, "MaxHeaderBytes": HEAD_BYTES}
        config = configuration(3, **limits)
        config["Routes"].append(route("/feed/", "feed", "stream", MaxAttempts=1, TimeoutMs=60000))
        config["Services"].append({"Name": "feed", "HealthPath": "/health", "MaxConnections": 100})
        cls.store.put("op/config", config)
        cls.feed = Replica("i-feed")
        cls.store.put("servers/i-feed", {**cls.feed.entry("feed"), "Slots": 64})
        cls.replicas = [Replica("i-desk%d" % number) for number in range(2)]
        for replica in cls.replicas:
            cls.store.put("servers/" + replica.name, replica.entry("desk"))

    def start_node(self):
        lines = "memory_mb = %d\nfile_descriptors = %d" % (MEMORY_MB, FILE_DESCRIPTORS)
        node = Node("n1", self.store.address, node_lines=lines)
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= 3)
        return node

    def check_descriptors(self, node):
        descriptors = len(os.listdir("/proc/%d/fd" % node.process.pid))
        print("    %d descriptors" % descriptors, flush=True)
        self.assertLess(descriptors, FILE_DESCRIPTORS - RESERVED_DESCRIPTORS)

    def check_memory(self, node):
        self.assertIsNone(node.process.poll(), "the process ended")
        status = Path("/proc/%d/status" % node.process.pid).read_text()
        kb = {name: int(value) for name, value in re.findall(r"(\w+):\s+(\d+) kB", status)}
        # What is mapped from files doesn't count; all else does, at its highest.
        peak = (kb["VmHWM"] - kb["RssFile"]) // 1024
        print("    peak %d MB" % peak, flush=True)
        self.assertLess(peak, MEMORY_MB)

    def check_answered(self, node, body):
        """A refusal promises that nothing ran, so a caller may ask again."""
        deadline = time.monotonic() + WAIT_LIMIT_SECONDS
        seen = []
        while time.monotonic() < deadline:
            try:
                raw = request("/often/x", "after-%d" % time.monotonic_ns(), body)
                seen.append(node.call(node.caller_port, raw, WAIT_LIMIT_SECONDS)[0])
            except OSError as error:
                seen.append(repr(error))
            if seen[-1] == 200 or node.process.poll() is not None:
                break
            time.sleep(0.1)
        self.assertEqual(200, seen[-1], seen[:10])

    def play(self, port_of, pieces_of, reads=True, members=MEMBERS):
        node = self.start_node()
        try:
            crowd = Crowd(port_of(node), members, pieces_of, reads)
            try:
                crowd.play()
                self.assertIsNone(node.process.poll(), "the process ended")
                self.check_descriptors(node)
                self.check_answered(node, b"hello")
            finally:
                crowd.close()
            self.check_answered(node, BODY)
            self.check_memory(node)
        finally:
            node.stop()

    def test_each_kind_at_each_path(self):
        for name, pieces, reads in KINDS:
            for line in PATHS:
                with self.subTest(kind=name, path=line):
                    print("%s, %s" % (name, line), flush=True)
                    is_info = "heatherfork" in line
                    self.play(
                        lambda node: node.info_port if is_info else node.caller_port,
                        lambda _: pieces(line),
                        reads,
                    )

    def test_more_connections_than_descriptors(self):
        for kind, pieces in [("idle", []), ("half a head", [b"GET"]), ("kept", [request("/often/x")])]:
            with self.subTest(kind=kind):
                print("connections: " + kind, flush=True)
                self.play(
                    lambda node: node.caller_port, lambda _: pieces, members=FILE_DESCRIPTORS
                )

    # A replica's answer of a legal size, for callers that leave it unread.
    def test_readers_that_read_nothing(self):
        print("slow readers", flush=True)
        for replica in self.replicas:
            replica.faults = [large_answer] * MEMBERS
        self.addCleanup(lambda: [replica.faults.clear() for replica in self.replicas])
        self.play(
            lambda node: node.caller_port, lambda _: [head(ROUTE, 5) + b"hello"], reads=False
        )

    # Streams go on while their callers read nothing.
    def test_readers_of_streams_that_read_nothing(self):
        print("slow readers of streams", flush=True)
        self.feed.faults = [long_stream] * MEMBERS
        line = "POST /feed/x"
        self.play(
            lambda node: node.caller_port,
            lambda _: [head(line, 5, deadline_ms=60000) + b"hello"],
            reads=False,
        )


if __name__ == "__main__":
    unittest.main()
