"""Every node is replaced in sequence under load. Callers use the entries until
their validity ends, and see no error."""

import signal
import threading
import time
import unittest

from callers import bearer, complete, expected_text, key_fields, plain
from cluster import Cluster
from processes import call, wait_until

CALLERS = 6
TOKENS = 6


class Caller(threading.Thread):
    """A caller that uses its entries until their validity ends."""

    def __init__(self, cluster, number, stop):
        super().__init__()
        self.cluster = cluster
        self.number = number
        self.stop = stop
        self.entries = []
        self.valid_until = 0.0
        self.sent = 0
        self.errors = []

    def refresh(self):
        """Gets new entries from the first node that answers."""
        asked_at = time.monotonic()
        for node in list(self.cluster.nodes.values()):
            try:
                answer = call(node, "GET", "/v1/entries", headers=bearer())
            except OSError:
                continue
            if answer.status == 200:
                self.entries = answer.json["entries"]
                self.valid_until = asked_at + answer.json["valid_for_ms"] / 1000
                return

    def run(self):
        while not self.stop.is_set():
            if time.monotonic() >= self.valid_until:
                self.refresh()
            self.send()

    def send(self):
        entry = self.entries[self.sent % len(self.entries)]
        node = self.cluster.nodes[entry["node"]]
        self.sent += 1
        body = f"caller {self.number} request {self.sent}"
        try:
            if self.sent % 2:
                answer = complete(node, body, TOKENS)
                is_correct = answer.status == 200 and answer.json["text"] == expected_text(body, TOKENS)
            else:
                home = f"{entry['node']}/{entry['incarnation']}"
                answer = plain(node, "reserve", body, **key_fields(body, home))
                is_correct = answer.status == 200
            if not is_correct:
                self.errors.append(f"{body} at {entry['node']}: {answer}")
        except OSError as error:
            self.errors.append(f"{body} at {entry['node']}: {error!r}")


class Rolling(unittest.TestCase):
    def replace(self, cluster, name):
        cluster.nodes[name].child.send_signal(signal.SIGTERM)
        wait_until(lambda: not cluster.nodes[name].running(), f"the end of {name}")
        self.assertEqual(0, cluster.nodes[name].child.returncode)
        cluster.start_node(name)
        wait_until(lambda: cluster.has_converged(len(cluster.nodes)), f"{name} to be back")

    def test_callers_see_no_error(self):
        with Cluster(nodes=3) as cluster:
            stop = threading.Event()
            callers = [Caller(cluster, number, stop) for number in range(CALLERS)]
            for caller in callers:
                caller.refresh()
                caller.start()
            try:
                for name in list(cluster.nodes):
                    self.replace(cluster, name)
            finally:
                stop.set()
                for caller in callers:
                    caller.join()
            self.assertEqual([], [error for caller in callers for error in caller.errors])
            arrivals = cluster.services[0].counters()["arrivals"]
            repeated = {call: n for call, n in arrivals.items() if "/reserve" in call and n != 1}
            self.assertEqual({}, repeated)
            self.assertGreater(sum(caller.sent for caller in callers), CALLERS)
            self.assertEqual(0, cluster.held_pieces())


if __name__ == "__main__":
    unittest.main()
