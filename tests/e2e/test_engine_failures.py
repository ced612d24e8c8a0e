"""Failures of engines and callers: each request gets its own complete answer or
an error with the correct outcome, and all engine memory is freed."""

import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from callers import Stream, complete, expected_text
from cluster import Cluster
from processes import wait_until

LONG_STREAM_TOKENS = 4000  # Tokens of a stream that does not end during its test.


@dataclass(frozen=True)
class Fault:
    """A fault at one engine; requests are answered or refused as stated."""

    name: str
    role: str
    faults: dict = field(default_factory=dict)
    timeouts: dict = field(default_factory=dict)
    refusal: tuple | None = None  # Identifier and outcome that are also correct.


SERVER_FAILED = ("backend-server-failed", "ran-and-failed")
SHORT_TIMEOUTS = {"reserve_timeout_ms": 300, "prefill_timeout_ms": 800,
                  "transfer_timeout_ms": 500, "token_timeout_ms": 300}

FAULTS = [
    Fault("none", "decode"),
    Fault("stream broken and resumed", "decode", {"cut_after": 5}),
    Fault("decode engine refuses calls", "decode", {"down": True}),
    Fault("decode engine silent", "decode", {"freeze": True}, SHORT_TIMEOUTS),
    Fault("decode engine fails", "decode", {"fail_status": 500}, refusal=SERVER_FAILED),
    Fault("decode engine full", "decode", {"fail_status": 409}),
    Fault("prefill engine refuses calls", "prefill", {"down": True}),
    Fault("prefill engine silent", "prefill", {"freeze": True}, SHORT_TIMEOUTS),
    Fault("prefill engine fails", "prefill", {"fail_status": 500}, refusal=SERVER_FAILED),
    Fault("answers late", "prefill", {"answer_late_ms": 100}),
    Fault("transfers stall", "prefill", {"stall_transfers": True}, SHORT_TIMEOUTS),
    Fault("slow engine", "decode", {"slow": 3}),
]

NO_FAULT = {"cut_after": 0, "down": False, "freeze": False, "fail_status": 0, "answer_late_ms": 0,
            "stall_transfers": False, "slow": 1}


class OneFaultyEngine(unittest.TestCase):
    def test_requests_are_answered_or_refused_with_outcome(self):
        for fault in FAULTS:
            with self.subTest(fault.name), Cluster(nodes=1, policy=fault.timeouts) as cluster:
                self.check(fault, cluster)

    def check(self, fault, cluster):
        engine = getattr(cluster, fault.role)[0]
        engine.control(**fault.faults)
        prompts = [f"{fault.name} {n}" for n in range(8)]
        node = cluster.nodes["node-0"]
        with ThreadPoolExecutor(len(prompts)) as pool:
            answers = list(pool.map(lambda prompt: complete(node, prompt, 12), prompts))
        for prompt, answer in zip(prompts, answers):
            if answer.status != 200:
                error = answer.json["error"]
                self.assertEqual(fault.refusal, (error["id"], error["outcome"]))
                continue
            self.assertEqual(expected_text(prompt, 12), answer.json["text"])
        engine.control(**NO_FAULT)
        wait_until(lambda: cluster.held_pieces() == 0, "engine memory to be freed")


class MidStream(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(nodes=1)
        self.addCleanup(self.cluster.close)
        self.node = self.cluster.nodes["node-0"]

    def stream(self, prompt):
        """Returns a stream that has started and is still running."""
        stream = Stream(self.node, prompt, LONG_STREAM_TOKENS)
        self.addCleanup(stream.close)
        return stream.read(3)

    def active_decode_engine(self):
        return next(p for p in self.cluster.decode if p.counters()["open_streams"])

    def test_killed_decode_engine_breaks_stream_with_error(self):
        stream = self.stream("killed")
        self.active_decode_engine().kill()
        stream.read()
        self.assertEqual("error", stream.end[0])
        self.assertEqual("stream-broken", stream.end[1]["error"]["id"])
        self.assertNotEqual("not-run", stream.end[1]["error"]["outcome"])
        self.assertTrue(expected_text("killed", LONG_STREAM_TOKENS).startswith(stream.text))
        wait_until(lambda: self.cluster.held_pieces() == 0, "engine memory to be freed")
        answer = complete(self.node, "after", 3)
        self.assertEqual(expected_text("after", 3), answer.json["text"])

    def test_caller_disconnect_frees_engine_memory(self):
        stream = self.stream("goes away")
        self.assertGreater(self.cluster.held_pieces(), 0)
        stream.close()
        wait_until(lambda: self.cluster.held_pieces() == 0, "engine memory to be freed")
        engine = self.cluster.decode
        self.assertEqual(1, sum(p.counters()["tombstones"] for p in engine))

    def test_caller_disconnect_cancels_call_of_silent_engine(self):
        stream = self.stream("goes away")
        engine = self.active_decode_engine()
        engine.control(freeze=True)
        stream.close()
        wait_until(lambda: engine.counters()["calls"].get("/v1/cancel"), "a cancel")
        engine.control(freeze=False)
        wait_until(lambda: self.cluster.held_pieces() == 0, "engine memory to be freed")


class SilentConnection(unittest.TestCase):
    def test_stream_resumes_over_new_connection(self):
        with Cluster(nodes=1, proxies=True, policy=SHORT_TIMEOUTS) as cluster:
            stream = Stream(cluster.nodes["node-0"], "silent", 200)
            self.addCleanup(stream.close)
            stream.read(3)
            for engine in cluster.decode:
                engine.proxy.silence_open_connections()
            self.assertEqual("end", stream.read().end[0])
            self.assertEqual(expected_text("silent", 200), stream.text)
            wait_until(lambda: cluster.held_pieces() == 0, "engine memory to be freed")

    def test_unreachable_engine_is_freed_after_reconnect(self):
        with Cluster(nodes=1, proxies=True, policy=SHORT_TIMEOUTS) as cluster:
            stream = Stream(cluster.nodes["node-0"], "cut off", LONG_STREAM_TOKENS)
            self.addCleanup(stream.close)
            stream.read(3)
            for engine in cluster.decode:
                engine.proxy.partition(True)
            self.assertEqual("error", stream.read().end[0])
            self.assertGreater(cluster.held_pieces(), 0)
            for engine in cluster.decode:
                engine.proxy.partition(False)
            wait_until(lambda: cluster.held_pieces() == 0, "engine memory to be freed")


class CrashingRequest(unittest.TestCase):
    def test_is_refused_before_it_crashes_every_engine(self):
        with Cluster(nodes=1, prefill=5, decode=2) as cluster:
            for engine in cluster.prefill:
                engine.control(crash_marker="boom")
            node = cluster.nodes["node-0"]
            for _ in range(6):
                answer = complete(node, "boom", 3)
                self.assertNotEqual(200, answer.status)
            self.assertTrue(any(engine.running() for engine in cluster.prefill))
            self.assertEqual("crash-suspect", answer.json["error"]["id"])
            self.assertEqual(200, complete(node, "unrelated request", 3).status)


if __name__ == "__main__":
    unittest.main()
