"""Tests that keys decide who is served, and that withdrawn keys stop at every node."""
import hashlib
import signal
import socket
import time
import unittest

from fake_store import FakeStore
from relay_nodes import (
    Node,
    Platform,
    configuration,
    read_answer,
    request,
    route,
    wait_until,
)

APPLY_SECONDS = 3
BOUND_SECONDS = 5
OWED_SECONDS = 3  # Of service to holders of keys after the way to the store is lost.
SETTLE_SECONDS = 3
WATCH_SECONDS = 0.5
KEYS = ["key-of-first-71c2", "key-of-second-0d9e", "added-later-5b5b"]


def workspace(name, *keys):
    return {"Name": name, "ApiKeys": list(keys)}


def configuration_with(version, *workspaces):
    value = configuration(version)
    value["Routes"].append(route("/open/", "desk", "idempotent", Anonymous=True))
    value["Tenants"] = list(workspaces)
    return value


def bearer(key):
    return "Authorization: Bearer %s\r\n" % key if key else ""


class WorkspacesTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.store = self.platform.store
        self.first = workspace("first", KEYS[0])
        self.second = workspace("second", KEYS[1])
        self.store.put("op/config", configuration_with(5, self.first, self.second))
        self.nodes = []
        self.last_id = 0

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def start_nodes(self, *stores):
        for number, store in enumerate(stores):
            seed = self.nodes[0].address if self.nodes else None
            settings = "key_withdrawal_bound_ms = %d" % (BOUND_SECONDS * 1000)
            self.nodes.append(
                Node("n%d" % number, store.address, seed=seed, relay_settings=settings)
            )
        for node in self.nodes:
            node.wait_ready()
            wait_until(lambda: "known=%d" % len(stores) in node.log())
            wait_until(lambda: self.status(node, KEYS[0]) == 200)
        time.sleep(SETTLE_SECONDS)

    def next_id(self, key):
        self.last_id += 1
        return "%s%d" % ("keyed" if key else "open", self.last_id)

    def send(self, node, key, path="/often/x", more=""):
        self.sent_id = self.next_id(key)
        return node.send_request(path, self.sent_id, more=bearer(key) + more)

    def status(self, node, key, path="/often/x", more=""):
        return self.send(node, key, path, more)[0]

    def replicas(self):
        platform = self.platform
        return [*platform.plain_replicas, platform.prefill, *platform.decode_replicas]

    def last_keyed_arrival(self):
        return max(
            at
            for replica in self.replicas()
            for at, identifier in replica.identified
            if (identifier or "").startswith("keyed")
        )

    def send_to_paused(self, node, count):
        connections = []
        for _ in range(count):
            connections.append(socket.create_connection(("127.0.0.1", node.caller_port), 8))
            self.addCleanup(connections[-1].close)
            connections[-1].sendall(
                request("/often/x", self.next_id(KEYS[0]), more=bearer(KEYS[0]))
            )
        return connections

    def test_keys_decide_and_go_no_further(self):
        """Rows: path, key, further fields, status, workspace named to the replica."""
        own = "Tenant: second\r\n"
        rows = [
            ("/often/x", KEYS[0], "", 200, "first"),
            ("/often/x", KEYS[1], "", 200, "second"),
            ("/often/x", KEYS[0], own, 200, "first"),
            ("/often/x", KEYS[0], "tENANT: a\r\nTenant: b\r\n", 200, "first"),
            ("/stream/x", KEYS[0], own, 200, "first"),
            ("/often/x", "nobodys-key-44f0", own, 401, None),
            ("/often/x", "", own, 401, None),
            ("/often/x", KEYS[0], bearer(KEYS[1]), 401, None),
            ("/open/x", "", "", 200, None),
            ("/open/x", "", own, 200, None),
            ("/open/x", KEYS[1], own, 200, "second"),
            ("/none/x", KEYS[0], "", 404, None),
        ]
        self.start_nodes(self.store)
        node = self.nodes[0]
        for path, key, more, status, name in rows:
            with self.subTest(path=path, key=key, more=more):
                self.assertEqual(status, self.status(node, key, path, more))
                received = self.platform.received(self.sent_id)
                self.assertEqual(status == 200, bool(received))
                for fields in received:
                    self.assertEqual(name, fields.get("Tenant"))
                    self.assertNotIn("Authorization", fields)
        metrics = str(node.read_metrics())
        self.assertIn("heatherfork_key_proof_age_seconds", metrics)
        for key in [*KEYS[:2], "nobodys-key-44f0"]:
            digest = hashlib.sha256(key.encode()).hexdigest()
            for text in (key, digest):
                self.assertNotIn(text, node.log())
                self.assertNotIn(text, metrics)
                for replica in self.replicas():
                    self.assertNotIn(text.encode(), b"".join(replica.raw))

    def test_without_workspaces_fields_pass_unchanged(self):
        self.store.put("op/config", configuration(7))
        self.nodes.append(Node("n0", self.store.address))
        self.nodes[0].wait_ready()
        self.assertEqual(200, self.status(self.nodes[0], "theirs", more="Tenant: own\r\n"))
        (fields,) = self.platform.received(self.sent_id)
        self.assertEqual("Bearer theirs", fields["Authorization"])
        self.assertEqual("own", fields["Tenant"])

    def test_an_added_key_is_served_and_a_withdrawn_one_refused(self):
        self.start_nodes(*[self.store] * 3)
        changed = workspace("first", KEYS[2])
        self.store.put("op/config", configuration_with(7, changed, self.second))
        end = time.monotonic() + APPLY_SECONDS
        for node in self.nodes:
            statuses = set()
            while self.status(node, KEYS[2]) != 200:
                self.assertLess(time.monotonic(), end)
            while (status := self.status(node, KEYS[0])) != 401:
                statuses.add(status)
                self.assertLess(time.monotonic(), end)
            self.assertLessEqual(statuses, {200})
            self.assertEqual(200, self.status(node, KEYS[1]))

    # Guards against a node that takes its silence for news.
    def test_a_withdrawn_key_stops_at_a_node_that_is_cut_off(self):
        for mode in ("busy", "silent", "reset"):
            with self.subTest(mode=mode):
                self.tearDown()
                self.setUp()
                self.start_nodes(self.store)
                node = self.nodes[0]
                self.store.mode = mode
                lost_at = time.monotonic()
                time.sleep(WATCH_SECONDS)  # The store still answers a watch that waits.
                self.store.put("op/config", configuration_with(7, self.second))
                withdrawn_at = time.monotonic()
                served_until = lost_at
                while time.monotonic() < withdrawn_at + BOUND_SECONDS + 1:
                    sent_at = time.monotonic()
                    status = self.status(node, KEYS[0])
                    self.assertIn(status, (200, 503))
                    self.assertEqual(200, self.status(node, "", "/open/x"))
                    if status == 200:
                        served_until = sent_at
                    time.sleep(0.02)
                self.assertLess(self.last_keyed_arrival(), withdrawn_at + BOUND_SECONDS)
                self.assertLess(served_until, withdrawn_at + BOUND_SECONDS)
                self.assertGreater(served_until, lost_at + OWED_SECONDS)
                self.assertIn("keys-unconfirmed", node.log())
                status, fields, body, _ = self.send(node, KEYS[0])
                self.assertEqual(503, status)
                self.assertIn("Retry-After", fields)
                self.assertIn(b"confirmed the keys", body)
                self.store.mode = ""
                wait_until(lambda: self.status(node, KEYS[1]) == 200)
                self.assertEqual(401, self.status(node, KEYS[0]))

    def test_a_node_without_the_store_serves_by_its_peers(self):
        refusing = FakeStore()
        refusing.mode = "busy"
        self.start_nodes(self.store, self.store, refusing)
        node = self.nodes[2]
        end = time.monotonic() + 2 * BOUND_SECONDS
        while time.monotonic() < end:
            self.assertEqual(200, self.status(node, KEYS[0]))
            time.sleep(0.02)
        self.store.put("op/config", configuration_with(7, self.second))
        end = time.monotonic() + APPLY_SECONDS
        while self.status(node, KEYS[0]) != 401:
            self.assertLess(time.monotonic(), end)

    # Guards against a clock that stands still, and against a check at the arrival alone.
    def test_a_node_that_is_paused_across_the_withdrawal(self):
        self.start_nodes(self.store)
        node = self.nodes[0]
        node.pause()
        self.store.put("op/config", configuration_with(7, self.second))
        connections = self.send_to_paused(node, 20)
        time.sleep(BOUND_SECONDS + 0.2)
        resumed_at = time.monotonic()
        node.process.send_signal(signal.SIGCONT)
        statuses = [read_answer(connection)[0] for connection in connections]
        self.assertLessEqual(set(statuses), {401, 503})
        self.assertLess(self.last_keyed_arrival(), resumed_at)
        wait_until(lambda: self.status(node, KEYS[1]) == 200)
        self.assertEqual(401, self.status(node, KEYS[0]))


if __name__ == "__main__":
    unittest.main()
