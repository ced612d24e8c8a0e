"""Replicas that send bytes without end, until the node closes the connection."""
import threading
import time
import unittest

from relay_nodes import Node, Platform, wait_until

# Above what a node uses without the fault, below what the smallest VM has.
MAX_PEAK_MEGABYTES = 60
# A node that spends its time on one replica's bytes looks dead to the others.
MAX_READY_SECONDS = 1.0
# Well before the route's timeout of 4 s.
MAX_ANSWER_SECONDS = 3.0
REQUESTS = 4

# Path, which replicas send without end, and what. A row is true for each of them.
ROWS = [
    ("/once/x", "plain", "endless-unsigned"),
    ("/once/x", "plain", "endless-signed"),
    ("/once/x", "plain", "endless-failed"),
    ("/once/x", "plain", "endless-length"),
    ("/once/x", "plain", "endless-head"),
    ("/once/x", "plain", "endless-interim"),
    ("/once/x", "plain", "endless-others"),
    ("/once/x", "plain", "endless-trailer"),
    ("/once/x", "plain", "endless-blank-lines"),
    ("/often/x", "plain", "endless-signed"),
    ("/stream/x", "prefill", "endless-unsigned"),
    ("/stream/x", "decode", "endless-event"),
    ("/stream/x", "decode", "endless-comments"),
    ("/stream/x", "decode", "endless-comment-events"),
    ("/resumable/x", "decode", "endless-event"),
]


class EndlessTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.node = Node("n1", self.platform.store.address)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    def tearDown(self):
        self.node.stop()

    def send_all(self, path):
        """Returns (status, whether complete, seconds) of each request."""
        results = []

        def send(number):
            started = time.monotonic()
            more = "Token-Usage: 10,50\r\n"
            try:
                status, _, _, is_complete = self.node.send_request(path, "r%d" % number, more=more)
            except TimeoutError:
                status, is_complete = "unanswered", False
            results.append((status, is_complete, time.monotonic() - started))

        threads = [threading.Thread(target=send, args=(n,)) for n in range(REQUESTS)]
        for thread in threads:
            thread.start()
        slowest_ready = 0
        while any(thread.is_alive() for thread in threads):
            started = time.monotonic()
            self.assertTrue(self.node.is_ready())
            slowest_ready = max(slowest_ready, time.monotonic() - started)
            time.sleep(0.02)
        return results, slowest_ready

    def peak_megabytes(self):
        with open("/proc/%d/status" % self.node.process.pid) as status:
            lines = dict(line.split(":", 1) for line in status)
        return int(lines["VmHWM"].split()[0]) / 1024

    def test_ends_call_and_serves_others(self):
        for path, kind, fault in ROWS:
            with self.subTest(path=path, fault=fault):
                self.tearDown()
                self.setUp()
                replicas = {
                    "plain": self.platform.plain_replicas,
                    "prefill": [self.platform.prefill],
                    "decode": self.platform.decode_replicas,
                }[kind]
                self.platform.set_faults(replicas, *[fault] * 4 * REQUESTS)
                results, slowest_ready = self.send_all(path)
                self.assertEqual(REQUESTS, len(results))
                for status, is_complete, seconds in results:
                    self.assertFalse(status == 200 and is_complete)
                    self.assertLess(seconds, MAX_ANSWER_SECONDS)
                self.assertLess(slowest_ready, MAX_READY_SECONDS)
                self.assertLess(self.peak_megabytes(), MAX_PEAK_MEGABYTES)
                self.assertIsNone(self.node.process.poll())


if __name__ == "__main__":
    unittest.main()
