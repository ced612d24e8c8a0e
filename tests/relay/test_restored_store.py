"""Tests that nodes follow a store that is restored from an earlier state."""
import time
import unittest

from fake_store import FakeStore
from relay_nodes import Node, Platform, configuration, route, wait_until

CONFIG_APPLY_SECONDS = 2
STABILITY_SECONDS = 3
REPUBLISH_SECONDS = 2


def configuration_with(version, *names):
    value = configuration(version)
    value["Routes"] += [route("/%s/" % name, "desk", "idempotent") for name in names]
    return value


class RestoredStoreTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.store = self.platform.store
        self.unreachable = FakeStore()
        self.unreachable.mode = "busy"
        self.nodes = []

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def start_nodes(self, *stores):
        for number, store in enumerate(stores):
            seed = self.nodes[0].address if self.nodes else None
            self.nodes.append(Node("n%d" % number, store.address, seed=seed))
        for node in self.nodes:
            node.wait_ready()
            wait_until(lambda: "known=%d" % len(stores) in node.log())
        # Readers update the others only after the store has answered for a while.
        time.sleep(STABILITY_SECONDS)

    def status(self, node, path):
        return node.send_request(path)[0]

    def assert_served_soon(self, path, nodes=None):
        deadline = time.monotonic() + CONFIG_APPLY_SECONDS
        waiting = list(nodes or self.nodes)
        while waiting and time.monotonic() < deadline:
            waiting = [node for node in waiting if self.status(node, path) != 200]
            time.sleep(0.02)
        self.assertEqual([], [node.name for node in waiting], path)

    # Guards against comparing revisions across two histories of the store.
    def test_routes_added_after_the_restoration_are_served(self):
        """Rows: nodes without the store, how the store is away and for how long, whether the
        revisions are past the old ones when it is back."""
        rows = [
            (1, "", 0, False),
            (1, "reset", 1, False),
            (0, "", 0, False),
            (0, "", 0, True),
            (0, "busy", 1, True),
            (0, "silent", 0.5, False),
            (1, "reset", 1, True),
        ]
        for cut_off, mode, away, is_past in rows:
            with self.subTest(cut_off=cut_off, mode=mode, away=away, is_past=is_past):
                self.tearDown()
                self.setUp()
                self.start_nodes(*[self.store] * (4 - cut_off), *[self.unreachable] * cut_off)
                before = self.store.copy()
                # These writes are lost: a confirmed change and heartbeats.
                self.store.put("op/config", configuration_with(5, "first"))
                self.assert_served_soon("/first/x")
                for number in range(20):
                    replica = self.platform.plain_replicas[number % 2]
                    self.store.put("servers/" + replica.name, replica.entry("desk"))
                time.sleep(0.3)
                again = [("op/config", configuration_with(7, "first", "second"))]
                if is_past:
                    replica = self.platform.prefill
                    again += [("servers/" + replica.name, replica.entry("llm"))] * 40
                self.store.mode = mode
                time.sleep(away)
                self.store.restore(before, *again)
                self.store.mode = ""
                self.assert_served_soon("/second/x")
                for node in self.nodes:
                    self.assertEqual(200, self.status(node, "/first/x"))
                    self.assertEqual(200, self.status(node, "/often/x"))

    def test_a_confirmed_change_stays_while_it_is_lost(self):
        self.start_nodes(*[self.store] * 3)
        before = self.store.copy()
        self.store.put("op/config", configuration_with(5, "first"))
        self.assert_served_soon("/first/x")
        self.store.restore(before)
        end = time.monotonic() + REPUBLISH_SECONDS
        while time.monotonic() < end:
            for node in self.nodes:
                self.assertEqual(200, self.status(node, "/first/x"))

    # Guards against dropping entries that are missing without an outage.
    def test_replicas_that_registered_since_the_copy_are_used_all_the_while(self):
        old = self.platform.plain_replicas
        for replica in old:
            self.store.delete("servers/" + replica.name)
        before = self.store.copy()
        for replica in old:
            self.store.put("servers/" + replica.name, replica.entry("desk"))
        self.start_nodes(*[self.store] * 2, self.unreachable)
        self.store.restore(before)
        end = time.monotonic() + REPUBLISH_SECONDS - 0.2
        while time.monotonic() < end:
            for node in self.nodes:
                self.assertEqual(200, self.status(node, "/often/x"))
        for replica in old:
            self.store.put("servers/" + replica.name, replica.entry("desk"))
        time.sleep(1)
        for node in self.nodes:
            self.assertEqual(200, self.status(node, "/often/x"))

    # Guards against entries that are older than the state known to the node.
    def test_a_replica_that_was_leaving_gets_nothing_when_its_entry_is_ready_again(self):
        leaving, other = self.platform.plain_replicas
        self.start_nodes(*[self.store] * 2, self.unreachable)
        before = self.store.copy()
        self.store.put("servers/" + leaving.name, leaving.entry("desk", "draining"))
        time.sleep(1)
        self.store.restore(before)
        time.sleep(REPUBLISH_SECONDS)
        leaving.received.clear()
        for number in range(30):
            self.assertEqual(200, self.status(self.nodes[number % 3], "/often/x"))
        self.assertEqual([], leaving.received)
        # A later start at the address is used.
        self.store.put("servers/" + leaving.name, {**leaving.entry("desk"), "born": 1800000000000})
        self.store.delete("servers/" + other.name)
        time.sleep(3)
        for node in self.nodes:
            self.assertEqual(200, self.status(node, "/often/x"))


if __name__ == "__main__":
    unittest.main()
