"""Answers of backend servers, of the platform and of a node that are not HTTP,
or end early: none of them is taken for an answer, and none is waited for."""

import json
import subprocess
import time
import unittest

from answer_proxy import AnswerProxy, RawAnswer
from callers import Stream, complete, expected_text, key_fields, plain
from cluster import ADMIN_KEY, Cluster
from processes import BUILD, call, wait_until

# Well below the time limit of any call.
MAX_KNOWN_SECONDS = 1.0
BODY = b'{"tokens": 3, "cached_tokens": 0, "running": 0, "queued": 0, "free_pieces": 9, "age_ms": 0}'
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def broken_answers(body):
    """Returns answers by what is wrong with them."""
    start = b"HTTP/1.1 200 X\r\n"
    length = b"Content-Length: %d\r\n" % len(body)
    chunk = b"%x\r\n%s\r\n" % (len(body), body)
    whole = length + b"\r\n" + body
    return {
        "status 000": RawAnswer(b"HTTP/1.1 000 X\r\n" + whole),
        "status 600": RawAnswer(b"HTTP/1.1 600 X\r\n" + whole),
        "status 101": RawAnswer(b"HTTP/1.1 101 X\r\n" + whole),
        "status of two digits": RawAnswer(b"HTTP/1.1 20 X\r\n" + whole),
        "blank in the first name": RawAnswer(start + b"X Y: v\r\n" + whole),
        "blank in the last name": RawAnswer(start + length + b"X Y: v\r\n\r\n" + body),
        "blank before a name": RawAnswer(start + length + b" X: v\r\n\r\n" + body),
        "control byte in a name": RawAnswer(start + b"X\x01: v\r\n" + whole),
        "line without a colon": RawAnswer(start + b"X\r\n" + whole),
        "head without an end": RawAnswer(start + b"X Y: v\r\n"),
        "no answer": RawAnswer(b"no answer"),
        "bad chunk": RawAnswer(start + CHUNKED + b"\r\nzz\r\n"),
        "cut length": RawAnswer(start + whole[:-1], False),
        "cut after a chunk": RawAnswer(start + CHUNKED + b"\r\n" + chunk, False),
        "cut inside a chunk": RawAnswer(start + CHUNKED + b"\r\n" + chunk + b"9\r\n{", False),
        "cut head": RawAnswer(start + length, False),
    }


BROKEN = broken_answers(BODY)


class BrokenAnswers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = ProxiedCluster(nodes=1, prefill=2, decode=2, services=2)
        cls.addClassCleanup(cls.cluster.close)
        cls.node = cls.cluster.nodes["node-0"]

    def set_answers(self, processes, path, answers):
        """The processes share the answers: the first call gets the first one."""
        shared = list(answers)
        for process in processes:
            process.proxy.answers = {path: shared}
            process.proxy.calls.clear()
            process.proxy.open_seconds.clear()
        return shared

    def serve_sound_requests(self):
        """Gives back what failures took from the budget of repeats."""
        for number in range(10):
            self.assertEqual(200, plain(self.node, "lookup", number).status)
            self.assertEqual(200, complete(self.node, "sound", 1).status)

    def check_known_at_once(self, processes):
        for process in processes:
            for seconds in process.proxy.open_seconds:
                self.assertLess(seconds, MAX_KNOWN_SECONDS)

    def arrivals(self, processes, path):
        return sum(process.proxy.calls.count(path) for process in processes)

    def test_plain_call_that_must_not_repeat_has_an_unknown_outcome(self):
        services = self.cluster.services
        for name, broken in BROKEN.items():
            with self.subTest(name):
                self.serve_sound_requests()
                self.set_answers(services, "/reserve", [broken])
                fields = key_fields(name, self.cluster.home("node-0"))
                answer = plain(self.node, "reserve", name, **fields)
                self.assertNotEqual(200, answer.status)
                self.assertEqual("unknown", answer.json["error"]["outcome"])
                self.assertEqual(1, self.arrivals(services, "/reserve"))
                self.check_known_at_once(services)

    def test_plain_call_is_repeated_if_it_may_be(self):
        services = self.cluster.services
        for name, broken in BROKEN.items():
            with self.subTest(name):
                self.serve_sound_requests()
                self.set_answers(services, "/lookup", [broken])
                answer = plain(self.node, "lookup", name)
                self.assertEqual(200, answer.status)
                self.assertNotIn(BODY, answer.body)
                self.assertEqual(2, self.arrivals(services, "/lookup"))
                self.check_known_at_once(services)

    def test_steps_of_a_completion_are_repeated(self):
        for path, processes in (
            ("/v1/reserve", self.cluster.decode),
            ("/v1/prefill", self.cluster.prefill),
            ("/v1/transfer", self.cluster.prefill),
            ("/v1/decode", self.cluster.decode),
        ):
            for name, broken in BROKEN.items():
                with self.subTest(path=path, broken=name):
                    self.serve_sound_requests()
                    left = self.set_answers(processes, path, [broken])
                    answer = complete(self.node, path + name, 5)
                    self.assertEqual([], left)
                    self.assertEqual(200, answer.status)
                    self.assertEqual(expected_text(path + name, 5), answer.json["text"])
                    self.check_known_at_once(processes)
        wait_until(lambda: self.cluster.held_pieces() == 0, "engine memory to be freed")

    def test_cancel_is_repeated_until_it_is_answered(self):
        for name, broken in BROKEN.items():
            # 404 says that nothing is held.
            refused = RawAnswer(broken.bytes.replace(b" 200 ", b" 404 "), broken.stays_open)
            for answer in (broken, refused):
                with self.subTest(name, answer=answer.bytes[:14]):
                    left = self.set_answers(self.cluster.engines(), "/v1/cancel", [answer] * 2)
                    stream = Stream(self.node, name, 4000)
                    stream.read(2)
                    self.assertGreater(self.cluster.held_pieces(), 0)
                    stream.close()
                    wait_until(lambda: not left, "the broken answers")
                    wait_until(lambda: self.cluster.held_pieces() == 0, "engine memory to be freed")
                    self.check_known_at_once(self.cluster.engines())

    def test_answer_without_a_fault_is_forwarded(self):
        interim = b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nX: v\r\n\r\n"
        length = b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
        chunks = CHUNKED + b"\r\n%x\r\n%s\r\n0\r\nX: v\r\n\r\n" % (len(BODY), BODY)
        for framing in (length, chunks):
            with self.subTest(framing=framing):
                services = self.cluster.services
                self.set_answers(services, "/lookup", [RawAnswer(interim + b"HTTP/1.1 200 X\r\n" + framing)])
                answer = plain(self.node, "lookup", "sound")
                self.assertEqual(200, answer.status)
                self.assertIn(BODY, answer.body)


class BrokenPlatform(unittest.TestCase):
    def test_broken_answer_of_the_configuration_service_is_not_applied(self):
        with ProxiedCluster(nodes=1) as cluster:
            head = call(cluster.platform, "GET", "/v1/head").json
            answers = broken_answers(json.dumps(head | {"revision": 1000}).encode())
            for revision, (name, broken) in enumerate(answers.items(), 1):
                with self.subTest(name):
                    left = [broken] * 2
                    cluster.platform.proxy.answers = {"/v1/head": left}
                    cluster.publish(revision + 1)  # Ends the watch that waits.
                    wait_until(lambda: not left, "the broken answers")
                    self.assertLess(cluster.status("node-0")["revision"], 1000)
                    cluster.wait_for_revision(revision + 1)


class BrokenNode(unittest.TestCase):
    def test_heatherforkctl_reports_a_broken_answer(self):
        with Cluster(nodes=1, prefill=1, decode=1) as cluster:
            node = cluster.nodes["node-0"]
            proxy = AnswerProxy(node.port)
            self.addCleanup(proxy.close)
            key_file = cluster.directory / "admin-key"
            key_file.write_text(ADMIN_KEY + "\n")
            program = BUILD / "packages" / "ctl" / "heatherforkctl"

            def status():
                words = [program, f"--admin_key_file={key_file}", "status", f"127.0.0.1:{proxy.port}"]
                return subprocess.run(words, capture_output=True, text=True, check=False)

            self.assertEqual(0, status().returncode)
            for name, broken in BROKEN.items():
                with self.subTest(name):
                    proxy.answers = {"/admin/status": [broken]}
                    started = time.monotonic()
                    result = status()
                    self.assertLess(time.monotonic() - started, MAX_KNOWN_SECONDS)
                    self.assertEqual((3, ""), (result.returncode, result.stdout))
                    self.assertIn("expected an answer, found ", result.stderr)
            unframed = RawAnswer(b'HTTP/1.1 200 X\r\n\r\n{"node": "n", "members": []}', False)
            proxy.answers = {"/admin/status": [unframed]}
            self.assertEqual(0, status().returncode)


class ProxiedCluster(Cluster):
    """A cluster whose calls to backend servers and the platform pass a proxy."""

    def __init__(self, **settings):
        super().__init__(proxies=True, **settings)

    def _add_proxies(self):
        for process in [*self.prefill, *self.decode, *self.services, self.platform]:
            process.proxy = AnswerProxy(process.port)


if __name__ == "__main__":
    unittest.main()
