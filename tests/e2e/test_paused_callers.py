"""Callers of the own interface that pause their reading, or never read."""

import json
import sys
import time
import unittest

from callers import key_fields
from cluster import Cluster
from processes import ROOT, call, wait_until
from publication import TENANT_KEYS

sys.path.insert(0, str(ROOT / "tests" / "relay"))

from peer_sockets import connect_with_small_window, is_open, is_window_closed  # noqa: E402

PAUSE_SECONDS = 4
DEADLINE_MS = 12_000
REQUESTS = 100
BODY = "b" * 40_000


def post(path, body):
    text = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TENANT_KEYS['depot']}\r\n"
    return f"{head}Content-Length: {len(text)}\r\n\r\n".encode() + text


class PausedCallers(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(nodes=1)
        self.addCleanup(self.cluster.close)
        self.node = self.cluster.nodes["node-0"]

    def requests(self, deadline_ms):
        """Rows: name, bytes of one request whose answers come until nobody reads them."""
        lookup = {"body": BODY, "deadline_ms": deadline_ms}
        reserve = lookup | key_fields("order-7", self.cluster.home("node-0"))
        return [
            ("plain answers", post("/v1/services/booking/lookup", lookup)),
            ("kept answers", post("/v1/services/booking/reserve", reserve)),
            ("metrics", b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"),
            ("refusals", post("/v1/services/none/x", {"body": 1})),
        ]

    def send_ahead(self, raw):
        """Sends requests until the node reads no more: a thread waits for its caller."""
        caller = connect_with_small_window(self.node.port)
        self.addCleanup(caller.close)
        caller.settimeout(0.5)
        sent = 0
        try:
            while sent < REQUESTS * len(raw):
                sent += caller.send(raw[sent % len(raw):])
        except TimeoutError:
            pass
        own_port = caller.getsockname()[1]
        wait_until(lambda: is_window_closed(self.node.port, own_port), "the closed window")
        return caller, own_port

    # Guards against a pause within the deadline that ends the connection.
    def test_paused_callers_get_their_answers(self):
        for name, raw in self.requests(DEADLINE_MS)[:2]:
            with self.subTest(answers=name):
                caller, own_port = self.send_ahead(raw)
                time.sleep(PAUSE_SECONDS)
                self.assertTrue(is_window_closed(self.node.port, own_port))
                caller.settimeout(8)
                data = b""
                while data.count(b"HTTP/1.1 200") < 10 or not data.endswith(b"}"):
                    more = caller.recv(65536)
                    self.assertTrue(more, "the answers were cut")
                    data += more
                caller.close()

    # Guards against callers that hold a thread for good, as they never read.
    def test_callers_that_never_read_are_closed_after_their_deadline(self):
        for name, raw in self.requests(2000):
            with self.subTest(answers=name):
                caller, own_port = self.send_ahead(raw)
                wait_until(lambda: not is_open(self.node.port, own_port), "the close: " + name)
                caller.close()
        metrics = call(self.node, "GET", "/metrics").body.decode()
        self.assertIn('heatherfork_lost_callers_total{reason="caller-slow"}', metrics)
        self.assertIn("result=caller-slow", self.cluster.log_of("node-0"))

    # Guards against a planned stop that waits for such callers.
    def test_callers_that_never_read_do_not_hold_up_a_planned_stop(self):
        for _, raw in self.requests(60_000):
            self.send_ahead(raw)
        self.node.child.terminate()
        self.assertEqual(0, self.node.child.wait(10))


if __name__ == "__main__":
    unittest.main()
