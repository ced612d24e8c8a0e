"""Replicas that answer a long upload before they have read it.

Their answers have neither a length nor chunks: one is whole if its connection
was closed, and only a part if it was reset.
"""
import socket
import time
import unittest

from fake_replica import FakeReplica, encode_event, encode_head, reset_on_close
from relay_nodes import Node, Platform, configuration, read_answer, request, wait_until

TOKENS = "Token-Usage: 10,50\r\n"
# The systems at both ends buffer less of it.
UPLOAD = bytes(range(256)) * 0x4000  # 4 MiB
PIECE_BYTES = 8000
PART = b"part of the answer"
# More than a node reads in several of its turns, so that it finds the reset
# while it writes.
LONG_PART = b"0123456789abcdef" * 0x10000
MAX_REPORT_SECONDS = 0.8
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


class EarlyReplica(FakeReplica):
    """Answers once it has read the head of a request. `early` holds functions that answer."""

    def __init__(self, name, phase=None):
        super().__init__(name, phase)
        self.early = []
        self.ended = {}  # When the connection of a request ended, by its id.

    def serve(self, connection):
        with connection:
            data = b""
            while b"\r\n\r\n" not in data:
                more = connection.recv(1000)
                if not more:
                    return
                data += more
            head, body = data.split(b"\r\n\r\n", 1)
            fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
            unread = int(fields.get("Content-Length", 0)) - len(body)
            self.received.append((fields, body))
            if fields.get("Stage") == "prefill" or "Request-Id" not in fields or not self.early:
                drain(connection, unread)
                self.answer(connection, fields, body)
            else:
                self.early.pop(0)(connection, fields, unread)
        self.ended[fields.get("Request-Id")] = time.monotonic()


def drain(connection, count):
    while count > 0:
        more = connection.recv(min(count, 65536))
        if not more:
            return
        count -= len(more)


def head_of(fields, status=200, more=b""):
    return encode_head(status, fields["Request-Id"], True) + more + b"\r\n"


def resets_after(seconds, part, status=200, more=b""):
    """Answers with a part of a body, and resets the connection some time later."""

    def answer(connection, fields, unread):
        connection.sendall(head_of(fields, status, more) + part)
        time.sleep(seconds)
        reset_on_close(connection)

    return answer


def closes_unread(part):
    """Answers with a part of a body and ends. Unread bytes reset the connection."""

    def answer(connection, fields, unread):
        connection.sendall(head_of(fields) + part)

    return answer


def closes(body, more=b"", reads_first=False):
    """Answers with a whole body."""

    def answer(connection, fields, unread):
        if reads_first:
            drain(connection, unread)
        connection.sendall(head_of(fields, more=more) + body)
        connection.shutdown(socket.SHUT_WR)
        if not reads_first:
            drain(connection, unread)

    return answer


# Name, what the replica answers.
RESETS = [
    ("at once", resets_after(0, PART)),
    ("soon", resets_after(0.05, PART)),
    ("late", resets_after(1.2, PART)),
    ("when the node has given up writing", resets_after(3, PART)),
    ("at once after a long part", resets_after(0, LONG_PART)),
    ("soon after a long part", resets_after(0.05, LONG_PART)),
    ("late after a long part", resets_after(1.2, LONG_PART)),
    ("right after its head", resets_after(0.05, b"")),
    ("by what was not read", closes_unread(PART)),
    ("by what was not read, after a long part", closes_unread(LONG_PART)),
]

WHOLE = [
    ("before it reads", closes(PART), PART),
    ("long, before it reads", closes(LONG_PART), LONG_PART),
    ("after it has read", closes(PART, reads_first=True), PART),
    ("long, after it has read", closes(LONG_PART, reads_first=True), LONG_PART),
    ("says that it stays open", closes(PART, b"Connection: keep-alive\r\n"), PART),
    ("empty", closes(b""), b""),
]


class ResetUploadsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        cls.plain_replicas = [EarlyReplica("i-desk%d" % n) for n in range(2)]
        cls.decode_replicas = [EarlyReplica("i-dec%d" % n, "decode") for n in range(2)]
        store = cls.platform.store
        for replica in cls.plain_replicas:
            store.put("servers/" + replica.name, replica.entry("desk"))
        for replica in cls.decode_replicas:
            store.put("servers/" + replica.name, replica.entry("llm"))
        store.put("op/config", configuration(4, MaxBodyBytes=2 * len(UPLOAD)))
        cls.node = Node("n1", store.address)
        cls.node.wait_ready()
        wait_until(lambda: cls.node.log().count("event=replica ") >= 5)
        cls.numbers = iter(range(1000000))

    @classmethod
    def tearDownClass(cls):
        cls.node.stop()

    def serve_sound_requests(self, path):
        """A failed replica gets few requests until it has answered some."""
        time.sleep(0.4)
        for _ in range(4):
            self.node.send_request(path, "s%d" % next(self.numbers), more=TOKENS)

    def send(self, path, replicas, answers, in_pieces=False):
        """Returns the response, the calls for it, and the seconds since their end."""
        self.serve_sound_requests(path)
        shared = list(answers)
        for replica in replicas:
            replica.early = shared
            replica.received.clear()
        request_id = "r%d" % next(self.numbers)
        raw = request(path, request_id, UPLOAD, TOKENS)
        with socket.create_connection(("127.0.0.1", self.node.caller_port), 8) as caller:
            if in_pieces:
                for first in range(0, len(raw), PIECE_BYTES):
                    caller.sendall(raw[first : first + PIECE_BYTES])
            else:
                caller.sendall(raw)
            response = read_answer(caller)
        now = time.monotonic()
        seconds = now - max(replica.ended.get(request_id, now) for replica in replicas)
        received = [fields for replica in replicas for fields, _ in replica.received]
        return response, [f for f in received if f.get("Request-Id") == request_id], seconds

    def test_part_of_an_answer_is_not_forwarded(self):
        for name, answer in RESETS:
            for in_pieces in (False, True):
                with self.subTest(name=name, in_pieces=in_pieces):
                    response, calls, seconds = self.send(
                        "/once/x", self.plain_replicas, [answer], in_pieces
                    )
                    status, fields, _, is_complete = response
                    self.assertEqual((502, True), (status, is_complete))
                    self.assertNotIn("Response-Signature", fields)
                    self.assertEqual(1, len(calls))
                    self.assertLess(seconds, MAX_REPORT_SECONDS)

    def test_request_that_may_be_repeated_is_answered_by_another_replica(self):
        for name, answer in RESETS:
            with self.subTest(name=name):
                response, calls, _ = self.send(
                    "/often/x", self.plain_replicas, [answer, closes(b"whole", reads_first=True)]
                )
                status, _, body, is_complete = response
                self.assertEqual((200, b"whole", True), (status, body, is_complete))
                self.assertEqual(2, len(calls))

    def test_part_of_a_failure_is_not_forwarded(self):
        answer = resets_after(0, LONG_PART, status=500)
        response, calls, _ = self.send("/once/x", self.plain_replicas, [answer])
        self.assertEqual((502, 1), (response[0], len(calls)))

    def test_whole_answer_without_a_length_is_forwarded(self):
        for name, answer, expected in WHOLE:
            for in_pieces in (False, True):
                with self.subTest(name=name, in_pieces=in_pieces):
                    response, calls, _ = self.send(
                        "/once/x", self.plain_replicas, [answer], in_pieces
                    )
                    status, fields, body, is_complete = response
                    self.assertEqual((200, True), (status, is_complete))
                    self.assertEqual(expected, body)
                    self.assertEqual(str(len(expected)), fields["Content-Length"])
                    self.assertEqual(1, len(calls))

    def test_part_of_a_stream_is_cut_or_resumed(self):
        events = b"".join(encode_event(number) for number in (1, 2))
        for seconds in (0, 0.05, 1.2):
            answer = resets_after(seconds, events, more=EVENT_STREAM)
            with self.subTest(seconds=seconds):
                response, calls, _ = self.send("/stream/x", self.decode_replicas, [answer])
                self.assertFalse(response[0] == 200 and response[3])
                self.assertEqual(1, len(calls))
                response, calls, _ = self.send("/resumable/x", self.decode_replicas, [answer])
                status, _, body, is_complete = response
                self.assertEqual((200, True), (status, is_complete))
                for number in range(1, 6):
                    self.assertEqual(1, body.count(encode_event(number)))
                self.assertEqual(2, len(calls))


if __name__ == "__main__":
    unittest.main()
