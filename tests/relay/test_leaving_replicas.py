"""Tests that replicas get no new requests after an answer that says they are leaving."""
import time
import unittest

from fake_replica import FakeReplica
from relay_nodes import wait_until
from replica_pools import REPLICAS, PoolTestCase
from test_server_limits import Load, NamingConnection

DRAIN_SECONDS = 2
LOAD_SECONDS = 5
RUN_SECONDS = 0.02


class SayingReplica(FakeReplica):
    """Adds fields to the head of each answer; its entry stays as it is."""

    def __init__(self, *arguments):
        self.lines = b""
        self.arrivals = []
        self.said_at = None
        super().__init__(*arguments)

    def answer(self, connection, fields, body):
        self.arrivals.append(time.monotonic())
        time.sleep(RUN_SECONDS)
        if self.lines and self.said_at is None:
            self.said_at = time.monotonic()
        return super().answer(NamingConnection(connection, self.lines), fields, body)

    def late_arrivals(self):
        if self.said_at is None:
            return []
        return [at for at in self.arrivals if at > self.said_at + DRAIN_SECONDS]


class LeavingReplicasTest(PoolTestCase):
    replica_class = SayingReplica

    # Guards against requests to leaving replicas whose entries are marked late
    # or never.
    def test_no_request_reaches_a_leaving_replica_after_its_answer(self):
        """Rows: nodes, service, role that leaves, how many leave, path, fault of each answer."""
        rows = [
            (3, "desk", None, 1, "/often/x", ""),
            (3, "desk", None, 1, "/once/x", ""),
            (3, "desk", None, 1, "/often/x", "failed"),
            (3, "desk", None, 1, "/often/x", "full"),
            (3, "llm", "decode", 1, "/resumable/x", ""),
            (3, "llm", "prefill", 1, "/stream/x", ""),
            (8, "desk", None, 2, "/often/x", ""),
            (3, "desk", None, REPLICAS, "/often/x", ""),
        ]
        for nodes, service, role, leaving_count, path, fault in rows:
            with self.subTest(nodes=nodes, role=role, leaving=leaving_count, path=path, fault=fault):
                self.start(nodes, service)
                load = Load(self.nodes, path, [45 / nodes] * nodes, "Token-Usage: 10,5\r\n")
                time.sleep(1)
                by_use = sorted(self.pools[role], key=lambda replica: -len(replica.arrivals))
                leaving = by_use[:leaving_count]
                for replica in leaving:
                    replica.lines = b"Server-Leaving: 1\r\n"
                    replica.faults = [fault] * 10000 if fault else []
                time.sleep(LOAD_SECONDS)
                load.stop()
                for replica in leaving:
                    self.assertIsNotNone(replica.said_at)
                    self.assertEqual([], replica.late_arrivals(), replica.name)
                steady = load.since(max(replica.said_at for replica in leaving) + 0.5)
                self.assertGreater(len(steady), 30)
                for _, status, took, fields, _ in steady:
                    if leaving_count < REPLICAS:
                        self.assertEqual(200, status)
                    else:
                        self.assertEqual(503, status)
                        self.assertGreater(float(fields["Retry-After"]), 0)
                        self.assertLess(took, 0.5)
                self.stop_nodes()

    def test_other_values_mean_nothing(self):
        """Rows: the lines of each answer."""
        rows = [
            b"Server-Leaving: 0\r\n",
            b"Server-Leaving: true\r\n",
            b"Server-Leaving: \r\n",
            b"Server-Leaving: 1, 1\r\n",
            b"Server-Leaving: 1\r\nServer-Leaving: 1\r\n",
        ]
        self.start(2)
        for lines in rows:
            with self.subTest(lines=lines):
                for replica in self.pools[None]:
                    replica.lines = lines
                load = Load(self.nodes, "/often/x", [30] * 2)
                time.sleep(1)
                load.stop()
                # All four send it: none would be left if it counted.
                self.assertEqual({200}, {outcome[1] for outcome in load.outcomes})

    # Guards against marks that outlast an incarnation, and nodes without them.
    def test_a_new_start_is_used_and_a_new_node_knows_the_mark(self):
        self.start(3)
        leaving = self.pools[None][0]
        leaving.lines = b"Server-Leaving: 1\r\n"
        wait_until(lambda: leaving.said_at or self.nodes[0].send_request("/often/x")[0] != 200)
        self.start_node("n3", REPLICAS)
        time.sleep(DRAIN_SECONDS)
        leaving.arrivals.clear()
        for _ in range(40):
            self.assertEqual(200, self.nodes[-1].send_request("/often/x")[0])
        self.assertEqual([], leaving.arrivals)
        leaving.lines = b""
        entry = {**leaving.entry("desk"), "born": 1800000000000}
        self.platform.store.put("servers/" + leaving.name, entry)
        time.sleep(DRAIN_SECONDS)
        load = Load(self.nodes, "/often/x", [60] * 4)
        time.sleep(1)
        load.stop()
        self.assertGreater(len(leaving.arrivals), 2)


if __name__ == "__main__":
    unittest.main()
