"""Tests of the stand-ins: one attempt through a prefill and a decode engine,
the faults that other tests use, and the configuration service."""

import unittest
import zlib

from processes import Processes, call, events, wait_until

ATTEMPT = "00000000000000aa-0000000000000007"
OTHER = "00000000000000aa-0000000000000008"
PROMPT = "lanterns for Stare Miasto"


def token(offset):
    """Returns the text of one generated token for PROMPT."""
    return f"{zlib.crc32(PROMPT.encode()):08x}:{offset} "


class Engines(unittest.TestCase):
    """One prefill and one decode engine."""

    def setUp(self):
        self.processes = Processes()
        self.addCleanup(self.processes.stop_all)
        start = self.processes.start_stand_in
        self.prefill = start("fake_engine", "--role=prefill", "--model=m", "--speed=20")
        self.decode = start("fake_engine", "--role=decode", "--model=m", "--speed=20")

    def post(self, engine, path, **body):
        return call(engine, "POST", path, body).status

    def prefill_and_transfer(self, attempt=ATTEMPT):
        to = f"127.0.0.1:{self.decode.port}"
        steps = [
            (self.decode, "/v1/reserve", {"pieces": 1}),
            (self.prefill, "/v1/prefill", {"model": "m", "prompt": PROMPT, "prompt_tokens": 100}),
            (self.prefill, "/v1/transfer", {"to": to}),
        ]
        for engine, path, body in steps:
            self.assertEqual(200, self.post(engine, path, attempt=attempt, **body), path)

    def test_attempt_from_reservation_to_end_of_stream(self):
        self.prefill_and_transfer()
        body = {"attempt": ATTEMPT, "max_tokens": 3, "offset": 0}
        stream = list(events(self.decode, "/v1/decode", body))
        texts = [data["text"] for name, data in stream if name == "message"]
        self.assertEqual([token(n) for n in range(3)], texts)
        self.assertEqual(("end", {"tokens": 3}), stream[-1])
        for engine in (self.prefill, self.decode):
            self.assertEqual(0, engine.counters()["held_pieces"])

    def test_cut_stream_resumes_at_its_offset(self):
        self.prefill_and_transfer()
        self.decode.control(cut_after=2)
        body = {"attempt": ATTEMPT, "max_tokens": 4}
        self.assertEqual(2, len(list(events(self.decode, "/v1/decode", body | {"offset": 0}))))
        self.assertEqual(1, self.decode.counters()["held_pieces"])
        self.decode.control(cut_after=0)
        stream = list(events(self.decode, "/v1/decode", body | {"offset": 2}))
        self.assertEqual(token(2), stream[0][1]["text"])
        self.assertEqual(("end", {"tokens": 4}), stream[-1])

    def test_cancel_refuses_later_reservation(self):
        self.assertEqual(200, self.post(self.decode, "/v1/cancel", attempt=ATTEMPT))
        self.assertEqual(409, self.post(self.decode, "/v1/reserve", attempt=ATTEMPT, pieces=1))
        body = {"incarnation": "00000000000000aa", "last": "0000000000000008"}
        self.assertEqual(200, self.post(self.decode, "/v1/cancel-range", **body))
        self.assertEqual(409, self.post(self.decode, "/v1/reserve", attempt=OTHER, pieces=1))

    def test_refuses_invalid_calls(self):
        table = [
            (self.prefill, "/v1/prefill", {"model": "x", "prompt": "p", "prompt_tokens": 1}, 404),
            (self.prefill, "/v1/transfer", {"to": "127.0.0.1:1"}, 410),
            (self.decode, "/v1/import", {"tokens": 1}, 409),
            (self.decode, "/v1/decode", {"max_tokens": 1, "offset": 0}, 409),
            (self.decode, "/v1/reserve", {"pieces": 1000}, 409),
        ]
        for engine, path, body, status in table:
            with self.subTest(path):
                self.assertEqual(status, self.post(engine, path, attempt=ATTEMPT, **body))

    def test_orders_check_fencing_number_only_when_enabled(self):
        checks = self.processes.start_stand_in("fake_engine", "--checks_fencing", "--speed=20")
        for engine, status in ((checks, 412), (self.prefill, 200)):
            order = {"kind": "load-model", "model": "n", "version": "2"}
            self.assertEqual(200, self.post(engine, "/v1/orders", fence=5, **order))
            self.assertEqual(status, self.post(engine, "/v1/orders", fence=4, **order))

    def test_repeated_prompt_is_cached_and_reported(self):
        body = {"model": "m", "prompt": "x" * 2048, "prompt_tokens": 100}
        first = call(self.prefill, "POST", "/v1/prefill", body | {"attempt": ATTEMPT})
        second = call(self.prefill, "POST", "/v1/prefill", body | {"attempt": OTHER})
        self.assertEqual((0, 100), (first.json["cached_tokens"], second.json["cached_tokens"]))
        path = "/v1/cache-events?after=0"
        wait_until(lambda: call(self.prefill, "GET", path).json["events"], "cache events")

    def test_crash_marker_ends_the_process(self):
        self.prefill.control(crash_marker="boom")
        body = {"model": "m", "prompt": "a boom b", "prompt_tokens": 1, "attempt": ATTEMPT}
        with self.assertRaises(OSError):
            call(self.prefill, "POST", "/v1/prefill", body)
        wait_until(lambda: not self.prefill.running(), "the end of the engine")


class Platform(unittest.TestCase):
    """The configuration service."""

    def test_watch_returns_new_revision_and_stale_head_does_not(self):
        processes = Processes()
        self.addCleanup(processes.stop_all)
        platform = processes.start_stand_in("fake_platform")
        platform.control(revision=4, parts={"models": "[]"})
        head = call(platform, "GET", "/v1/head?after=3&wait_ms=5000").json
        self.assertEqual(4, head["revision"])
        part = call(platform, "GET", "/v1/parts/" + head["parts"]["models"])
        self.assertEqual(b"[]", part.body)
        platform.control(stale_head=True, revision=5, parts={"models": "[1]"})
        self.assertEqual(4, call(platform, "GET", "/v1/head").json["revision"])
        platform.control(stale_head=False)
        self.assertEqual(5, call(platform, "GET", "/v1/head").json["revision"])
        self.assertEqual({"head": 2, "parts": 1, "watch": 1}, platform.counters()["calls"])


if __name__ == "__main__":
    unittest.main()
