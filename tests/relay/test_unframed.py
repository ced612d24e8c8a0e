"""Replicas whose answers have neither a length nor chunks and end with their connection."""
import time
import unittest

from fake_replica import encode_event, encode_head, reset_on_close
from relay_nodes import Node, Platform, wait_until

TOKENS = "Token-Usage: 10,50\r\n"
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
PART_OF_EVENT = b"id: 9\ndata: pie"
# More than a node reads at once.
LONG_BODY = b"0123456789abcdef" * 0x4000


def unframed(body, status=200, more="", signed=True, is_reset=False):
    """Answers with a body, or with what a function makes of the request's fields."""

    def answer(connection, fields):
        content = body(fields) if callable(body) else body
        head = encode_head(status, fields["Request-Id"], signed) + more.encode() + b"\r\n"
        connection.sendall(head + content)
        if is_reset:
            time.sleep(0.05)  # A reset may overtake bytes that were not read.
            reset_on_close(connection)
        return False

    return answer


def stream(last, rest=b"", is_reset=False, more=""):
    """A stream up to event `last`, then `rest`."""

    def events(fields):
        first = int(fields.get("Last-Event-Id", 0)) + 1
        return b"".join(encode_event(number) for number in range(first, last + 1)) + rest

    return unframed(events, more=EVENT_STREAM + more, is_reset=is_reset)


WHOLE = stream(5)
LENGTH = "Content-Length: %d\r\n"
EVENT_BYTES = len(encode_event(1))

# Name, what the replicas answer one after the other (then whole streams in
# chunks), whether the first answer has events and whether it is whole.
STREAMS = [
    ("ends between events", [WHOLE], True, True),
    ("says that it stays open", [stream(5, more="Connection: keep-alive\r\n")], True, True),
    ("ends inside an event", [stream(2, PART_OF_EVENT)], True, False),
    ("ends before an empty line", [stream(2, encode_event(9)[:-1])], True, False),
    ("ends inside its first event", [stream(0, PART_OF_EVENT)], False, False),
    ("ends right after its head", [stream(0)], False, False),
    ("ends after a comment", [stream(0, b": a\n\n")], False, False),
    ("is reset between events", [stream(2, is_reset=True)], True, False),
    ("is reset inside an event", [stream(2, PART_OF_EVENT, is_reset=True)], True, False),
    ("is reset right after its head", [stream(0, is_reset=True)], False, False),
    ("is resumed by one that ends", [stream(2, PART_OF_EVENT), WHOLE], True, False),
    ("has its length", [stream(5, more=LENGTH % (5 * EVENT_BYTES))], True, True),
    ("has fewer bytes than its length", [stream(2, more=LENGTH % (5 * EVENT_BYTES))], True, False),
    ("has one byte too few", [stream(5, more=LENGTH % (5 * EVENT_BYTES + 1))], True, False),
]

# Path, what the first replica answers, expected status and number of calls.
PLAIN = [
    ("/once/x", unframed(b"whole"), 200, 1),
    ("/once/x", unframed(b"whole", more="Connection: keep-alive\r\n"), 200, 1),
    ("/once/x", unframed(LONG_BODY), 200, 1),
    ("/once/x", unframed(b"part", is_reset=True), 502, 1),
    ("/once/x", unframed(b"", is_reset=True), 502, 1),
    ("/once/x", unframed(LONG_BODY, is_reset=True), 502, 1),
    ("/often/x", unframed(b"part", is_reset=True), 200, 2),
    ("/often/x", unframed(LONG_BODY, is_reset=True), 200, 2),
    ("/once/x", unframed(b"whole", signed=False), 502, 1),
    ("/once/x", unframed(b"it failed", 500), 500, 1),
    ("/often/x", unframed(b"it failed", 500), 200, 2),
    ("/once/x", unframed(b"it fai", 500, is_reset=True), 502, 1),
    ("/once/x", unframed(b"", 503, "Not-Executed: 1\r\n", signed=False), 200, 2),
    ("/once/x", unframed(b"no", 421, signed=False), 200, 2),
    ("/once/x", unframed(b"who", more=LENGTH % 5), 502, 1),
    ("/often/x", unframed(b"who", more=LENGTH % 5), 200, 2),
]

# Path, what the decode replicas answer one after the other, expected status,
# whether the answer is complete.
FAILED_STREAMS = [
    ("/stream/x", [unframed(b"it failed", 500)], 500, True),
    ("/stream/x", [unframed(b"it fai", 500, is_reset=True)], 502, True),
    # There is one prefill replica, and it is as suspect as the decode replica.
    ("/stream/x", [unframed(b"", 503, "Not-Executed: 1\r\n", signed=False)], 503, True),
    ("/resumable/x", [stream(2, PART_OF_EVENT), unframed(b"it failed", 500)], 200, False),
    ("/resumable/x", [stream(2, PART_OF_EVENT), stream(4, PART_OF_EVENT)], 200, False),
    ("/resumable/x", [stream(2, PART_OF_EVENT), stream(4, is_reset=True)], 200, False),
    ("/resumable/x", [stream(2, PART_OF_EVENT), stream(2)], 200, False),
]


class UnframedTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        cls.node = Node("n1", cls.platform.store.address)
        cls.node.wait_ready()
        wait_until(lambda: cls.node.log().count("event=replica ") >= 5)
        cls.numbers = iter(range(1000000))

    @classmethod
    def tearDownClass(cls):
        cls.node.stop()

    def send(self, path, replicas, answers):
        """Returns the response and how many calls for the answer were made."""
        time.sleep(0.4)  # A failed replica gets no requests for a short time.
        shared = list(answers)
        for replica in replicas:
            replica.faults = shared
        request_id = "r%d" % next(self.numbers)
        response = self.node.send_request(path, request_id, more=TOKENS)
        received = self.platform.received(request_id)
        return response, len([fields for fields in received if "Stage" not in fields])

    def assert_events(self, body, last):
        for number in range(1, last + 1):
            self.assertEqual(1, body.count(encode_event(number)))
        self.assertNotIn(b"id: 9\n", body)

    def test_stream_is_whole_only_if_it_ends_between_events(self):
        for name, answers, has_events, is_whole in STREAMS:
            for path in ("/stream/x", "/resumable/x"):
                with self.subTest(name=name, path=path):
                    response, calls = self.send(path, self.platform.decode_replicas, answers)
                    status, fields, body, is_complete = response
                    if is_whole or path == "/resumable/x":
                        self.assertEqual((200, True), (status, is_complete))
                        self.assertEqual("chunked", fields["Transfer-Encoding"])
                        self.assert_events(body, 5)
                        self.assertEqual(1 if is_whole else 2, calls)
                        continue
                    self.assertEqual(1, calls)
                    if has_events:
                        self.assertEqual((200, False), (status, is_complete))
                        self.assert_events(body, 2)
                    else:
                        self.assertEqual((502, True), (status, is_complete))

    def test_plain_answer_is_whole_only_if_it_is_not_reset(self):
        for path, answer, expected, expected_calls in PLAIN:
            with self.subTest(path=path, answer=PLAIN.index((path, answer, expected, expected_calls))):
                response, calls = self.send(path, self.platform.plain_replicas, [answer])
                status, fields, body, is_complete = response
                self.assertEqual((expected, True), (status, is_complete))
                self.assertEqual(expected_calls, calls)
                if (expected, calls) == (200, 1):
                    self.assertIn(body, (b"whole", LONG_BODY))
                    self.assertEqual(str(len(body)), fields["Content-Length"])
                if expected == 500:
                    self.assertEqual(b"it failed", body)

    def test_failed_or_cut_run_does_not_look_complete(self):
        for row, (path, answers, expected, expects_complete) in enumerate(FAILED_STREAMS):
            with self.subTest(path=path, row=row):
                response, _ = self.send(path, self.platform.decode_replicas, answers)
                status, _, body, is_complete = response
                self.assertEqual((expected, expects_complete), (status, is_complete))
                if expected == 500:
                    self.assertEqual(b"it failed", body)
                elif not expects_complete:
                    self.assert_events(body, 2)


if __name__ == "__main__":
    unittest.main()
