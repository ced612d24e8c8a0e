"""Tests that nodes together keep the quota of a workspace."""
import threading
import time
import unittest

from relay_nodes import Node, Platform, configuration, wait_until

RATE = 20
BURST = 20
WINDOW_SECONDS = 8
OVERSHOOT = 0.25
SLACK = 10
LOAD_SECONDS = 12
JOIN_SECONDS = 4
KEY = "a-key-of-the-clinic"
QUOTA_SETTINGS = f"""quota_window_s = {WINDOW_SECONDS}
quota_overshoot = {OVERSHOOT}
quota_slack = {SLACK}
"""


class Quotas(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        text = configuration(4)
        text["Tenants"] = [
            {
                "Name": "clinic",
                "ApiKeys": [KEY],
                "Unit": "requests",
                "RatePerS": RATE,
                "Burst": BURST,
            }
        ]
        self.platform.store.put("op/config", text)
        self.nodes = []
        for name in "abc":
            seed = self.nodes[0].address if self.nodes else None
            node = Node(name, self.platform.store.address, seed)
            node.process.kill()
            node.process.wait()
            node.settings.write_text(node.settings.read_text() + QUOTA_SETTINGS)
            node.start()
            self.nodes.append(node)
        for node in self.nodes:
            node.wait_ready()
        time.sleep(JOIN_SECONDS)

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def test_sum_stays_within_the_bound_and_reaches_the_limit(self):
        for name, nodes in [("one node", self.nodes[:1]), ("all nodes", self.nodes)]:
            with self.subTest(name):
                begin = time.monotonic()
                statuses = self.send(nodes, 3 * RATE)
                granted = [at for at, status in statuses if status == 200]
                refused = [at for at, status in statuses if status == 429]
                worst = max(
                    sum(1 for at in granted if first <= at < first + WINDOW_SECONDS)
                    for first in granted
                )
                bound = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK
                owed = RATE * (time.monotonic() - begin - 1)
                print(f"{name}: {len(granted)} of {len(statuses)} granted, {len(refused)} refused, "
                      f"owed {owed:.0f}, worst window {worst} of {bound:.0f}")
                self.assertLessEqual(worst, bound)
                self.assertGreaterEqual(len(granted), 0.9 * owed)
                self.assertEqual(len(granted) + len(refused), len(statuses))

    def send(self, nodes, rate):
        """Requests at a rate, over the nodes in turn: (time, status)."""
        statuses, threads = [], []

        def call(node, number):
            at = time.monotonic()
            more = f"Authorization: Bearer {KEY}\r\n"
            status = node.send_request("/often/x", f"q{at}-{number}", more=more)[0]
            statuses.append((at, status))

        begin = time.monotonic()
        for number in range(rate * LOAD_SECONDS):
            time.sleep(max(0, begin + number / rate - time.monotonic()))
            threads.append(threading.Thread(target=call, args=(nodes[number % len(nodes)], number)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        return statuses


if __name__ == "__main__":
    unittest.main()
