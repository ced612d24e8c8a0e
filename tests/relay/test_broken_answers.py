"""Replicas whose answers are not HTTP: a status that is none, a field name that is no token."""
import time
import unittest

from fake_replica import CHUNKED, SIGNED, encode_event
from relay_nodes import Node, Platform, wait_until

TOKENS = "Token-Usage: 10,50\r\n"
# The connection stays open after a broken answer. Well before the route's
# timeout of 4 s, and the time after which a silent call is given up.
MAX_ANSWER_SECONDS = 0.8
RETRY_BUDGET_RATIO = 0.2
RETRY_SLACK = 3

# All numbers and bytes are in unit-relay-messages.
STATUSES = ["000", "001", "099", "101", "600", "700", "999", "", "20", "2000", "2x0", "-20", " 200"]
NO_TOKEN_BYTES = b"\x00\t\n\r (\x7f"
# With a length, without one, in chunks, without a body, and with the claim that
# the request has not run.
FRAMINGS = [
    b"Content-Length: 4\r\n\r\nbody",
    b"\r\nbody",
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"Content-Length: 0\r\n\r\n",
    b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
]
BODY = b"Content-Length: 4\r\n"


def with_id(answer, fields):
    return answer.replace(b": ID", b": " + fields["Request-Id"].encode()).replace(
        b"sig.ID", b"sig." + fields["Request-Id"].encode()
    )


# What no further byte turns into an answer.
INCOMPLETE = [
    b"no answer",
    b"HTTP/1.1 000",
    b"HTTP/1.1 600",
    b"HTTP/1.1 200 X\r\nX Y",
    b"HTTP/1.1 200 X\r\nX\x01",
    b"HTTP/1.1 200 X\r\nX\r\n",
    b"HTTP/1.1 200 X\r\n" + SIGNED + BODY + b"X Y: v\r\n",
    b"HTTP/1.1 200 X\r\n" + SIGNED + CHUNKED + b"no chunk",
    b"HTTP/1.1 200 X\r\n" + SIGNED + CHUNKED + b"4\r\nbodyno end",
    b"HTTP/1.1 200 X\r\n" + SIGNED + CHUNKED + b"4\r\nbody\r\n0\r\nX Y: v\r\n",
]


class RawAnswer:
    """Answers with these bytes and leaves the connection open."""

    sent_at = 0  # When one was sent last.

    def __init__(self, answer):
        self.answer = answer

    def __call__(self, connection, fields):
        connection.sendall(with_id(self.answer, fields))
        RawAnswer.sent_at = time.monotonic()
        return True


def with_status(status, framing=FRAMINGS[0]):
    return RawAnswer(b"HTTP/1.1 " + status.encode() + b" X\r\n" + SIGNED + framing)


def with_first_line(line):
    return RawAnswer(b"HTTP/1.1 200 X\r\n" + line + SIGNED + BODY + b"\r\nbody")


def with_last_line(line):
    return RawAnswer(b"HTTP/1.1 200 X\r\n" + SIGNED + BODY + line + b"\r\nbody")


def lines_with(byte):
    """Field lines whose name has the byte at its start, inside and at its end."""
    character = bytes([byte])
    return [character + b"X: v\r\n", b"X" + character + b"Y: v\r\n", b"X" + character + b": v\r\n"]


class BrokenAnswersTest(unittest.TestCase):
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
        """Returns the response, the calls, and the seconds since the broken answer."""
        time.sleep(0.4)  # A failed replica gets few requests until it has answered some.
        for _ in range(4):
            self.node.send_request(path, "s%d" % next(self.numbers), more=TOKENS)
        shared = list(answers)
        for replica in replicas:
            replica.faults = shared
        request_id = "r%d" % next(self.numbers)
        response = self.node.send_request(path, request_id, more=TOKENS)
        seconds = time.monotonic() - RawAnswer.sent_at
        return response, self.platform.received(request_id), seconds

    def check_plain(self, answer):
        """One broken answer: a request that may be repeated is, another is not."""
        for path, expected, expected_calls in (("/once/x", 502, 1), ("/often/x", 200, 2)):
            response, calls, seconds = self.send(path, self.platform.plain_replicas, [answer])
            status, fields, body, is_complete = response
            self.assertEqual((expected, True), (status, is_complete), path)
            self.assertEqual(expected_calls, len(calls), path)
            self.assertLess(seconds, MAX_ANSWER_SECONDS, path)
            if expected == 200:
                self.assertEqual(b"answer to " + fields["Request-Id"].encode(), body)
            else:
                self.assertNotIn("Response-Signature", fields)
                self.assertNotIn("Retry-After", fields)

    def test_status_that_is_none_is_no_answer(self):
        for status in STATUSES:
            with self.subTest(status=status):
                self.check_plain(with_status(status))

    def test_status_that_is_none_is_no_answer_however_its_body_ends(self):
        for framing in FRAMINGS:
            for status in ("000", "700"):
                with self.subTest(status=status, framing=framing):
                    self.check_plain(with_status(status, framing))

    def test_interim_responses_precede_an_answer(self):
        interim = b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nX: v\r\n\r\nHTTP/1.1 199 X\r\n\r\n"
        answer = RawAnswer(interim + b"HTTP/1.1 200 X\r\n" + SIGNED + BODY + b"\r\nbody")
        (status, _, body, _), calls, _ = self.send("/once/x", self.platform.plain_replicas, [answer])
        self.assertEqual((200, b"body", 1), (status, body, len(calls)))

    def test_field_name_that_is_no_token_is_no_answer(self):
        for byte in NO_TOKEN_BYTES:
            for line in lines_with(byte):
                with self.subTest(line=line):
                    for answer in (with_first_line(line), with_last_line(line)):
                        response, calls, seconds = self.send(
                            "/once/x", self.platform.plain_replicas, [answer]
                        )
                        self.assertEqual((502, 1), (response[0], len(calls)))
                        self.assertNotIn(b"body", response[2])
                        self.assertLess(seconds, MAX_ANSWER_SECONDS)
        for line in lines_with(0x20) + [b"X\r\n", b": v\r\n", b"\r\r\n"]:
            with self.subTest(line=line):
                self.check_plain(with_first_line(line))
                self.check_plain(with_last_line(line))

    def test_broken_answer_is_known_before_its_end(self):
        for answer in INCOMPLETE:
            with self.subTest(answer=answer):
                self.check_plain(RawAnswer(answer))

    def test_broken_repeat_is_the_last_one(self):
        for answer in (with_status("000"), with_first_line(b"X Y: v\r\n")):
            response, calls, seconds = self.send(
                "/often/x", self.platform.plain_replicas, [answer] * 4
            )
            self.assertEqual((502, 2), (response[0], len(calls)))
            self.assertLess(seconds, MAX_ANSWER_SECONDS)

    def test_broken_prefill_has_not_been_read(self):
        for answer in (with_status("000"), with_status("600"), with_first_line(b"X Y: v\r\n")):
            with self.subTest(answer=answer):
                response, _, seconds = self.send("/stream/x", [self.platform.prefill], [answer])
                status, fields, body, is_complete = response
                self.assertTrue(is_complete)
                self.assertIn(status, (200, 503))  # Only the prompt may have been read.
                self.assertEqual(status == 200, "Response-Signature" in fields)
                self.assertEqual(status == 200, encode_event(5) in body)
                self.assertLess(seconds, MAX_ANSWER_SECONDS)

    def test_broken_stream_is_repeated_only_if_it_may_be(self):
        stream = b"Content-Type: text/event-stream\r\n"
        answers = [
            with_status("000", stream + FRAMINGS[1]),
            with_status("600", stream + b"\r\n" + encode_event(1)),
            with_first_line(b"X Y: v\r\n"),
            with_last_line(stream + b"X\x01: v\r\n"),
        ]
        for answer in answers:
            for path, expected, expected_calls in (("/stream/x", 502, 1), ("/resumable/x", 200, 2)):
                with self.subTest(path=path, answer=answers.index(answer)):
                    response, calls, seconds = self.send(path, self.platform.decode_replicas, [answer])
                    status, _, body, is_complete = response
                    self.assertEqual((expected, True), (status, is_complete))
                    calls = [fields for fields in calls if "Stage" not in fields]
                    self.assertEqual(expected_calls, len(calls))
                    self.assertEqual(status == 200, encode_event(1) in body)
                    self.assertLess(seconds, MAX_ANSWER_SECONDS)


class RetryBudgetTest(unittest.TestCase):
    def test_repeats_of_broken_answers_keep_to_the_budget(self):
        platform = Platform()
        node = Node("n1", platform.store.address, retry_slack=RETRY_SLACK)
        self.addCleanup(node.stop)
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= 5)
        count = 10
        for replica in platform.plain_replicas:
            replica.faults = [with_status("000")] * 4 * count
        calls = 0
        for number in range(count):
            self.assertIn(node.send_request("/often/x", "b%d" % number)[0], (502, 503))
            calls += len(platform.received("b%d" % number))
        self.assertLessEqual(calls, count * (1 + RETRY_BUDGET_RATIO) + RETRY_SLACK)


if __name__ == "__main__":
    unittest.main()
