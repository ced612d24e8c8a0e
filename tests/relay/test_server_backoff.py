"""Tests that nodes back off from a replica for the time that it asks for."""
import time
import unittest

from fake_replica import FakeReplica, encode_response
from replica_pools import REPLICAS, PoolTestCase
from test_server_limits import Load

BACKOFF_SECONDS = 4
SLACK_SECONDS = 0.5
MAX_REQUESTS = 2
NODES = 3
RUN_SECONDS = 0.05


class RejectingReplica(FakeReplica):
    """Rejects requests while `values` is set, each value in a field of its own."""

    def __init__(self, *arguments):
        self.values = None
        self.is_not_run = True
        self.arrivals = []  # (time, node)
        self.named = {}  # Time of the first rejection, by node.
        super().__init__(*arguments)

    def answer(self, connection, fields, body):
        node = fields.get("X-Node")
        self.arrivals.append((time.monotonic(), node))
        if self.values is None or "Request-Id" not in fields:
            time.sleep(RUN_SECONDS)
            return super().answer(connection, fields, body)
        lines = "".join("Retry-After: %s\r\n" % value for value in self.values)
        if self.is_not_run:
            lines += "Not-Executed: 1\r\n"
        self.named.setdefault(node, time.monotonic())
        connection.sendall(
            encode_response(503, b"", fields["Request-Id"], signed=False, extra=lines)
        )
        return True

    def count(self, node, from_time, to_time):
        return sum(1 for at, by in self.arrivals if by == node and from_time <= at < to_time)


class ServerBackoffTest(PoolTestCase):
    replica_class = RejectingReplica

    def load(self, path, rate):
        return [
            Load([node], path, [rate], "X-Node: %s\r\nToken-Usage: 10,5\r\n" % node.name)
            for node in self.nodes
        ]

    # Guards against requests to a replica before its backoff is over.
    def test_a_replica_gets_nothing_during_its_backoff(self):
        """Rows: service, role that rejects, how many reject, path, whether the answers say not run."""
        rows = [
            ("desk", None, 1, "/often/x", True),
            ("desk", None, 1, "/often/x", False),
            ("desk", None, 1, "/once/x", True),
            ("desk", None, REPLICAS, "/often/x", True),
            ("llm", "prefill", 1, "/stream/x", True),
            ("llm", "decode", 1, "/resumable/x", True),
            ("llm", "decode", REPLICAS, "/stream/x", True),
        ]
        for service, role, count, path, is_not_run in rows:
            with self.subTest(role=role, count=count, path=path, is_not_run=is_not_run):
                self.start(NODES, service)
                loads = self.load(path, 30 if service == "desk" else 12)
                time.sleep(1)
                by_use = sorted(self.pools[role], key=lambda replica: -len(replica.arrivals))
                for replica in by_use[:count]:
                    replica.is_not_run = is_not_run
                    replica.values = [str(BACKOFF_SECONDS)]
                time.sleep(BACKOFF_SECONDS - 1)
                for replica in by_use:
                    replica.values = None
                time.sleep(BACKOFF_SECONDS + 1)
                for load in loads:
                    load.stop()
                self.check_kept(by_use[:count])
                self.check_callers(loads, by_use[:count], by_use[count:])
                self.stop_nodes()

    def check_kept(self, replicas):
        for replica in replicas:
            self.assertTrue(replica.named, replica.name)
            for node, at in replica.named.items():
                end = at + BACKOFF_SECONDS
                number = replica.count(node, at + SLACK_SECONDS, end)
                self.assertLessEqual(number, MAX_REQUESTS, (replica.name, node))

    def check_callers(self, loads, rejecting, sound):
        for load, node in zip(loads, self.nodes):
            ends = [replica.named.get(node.name, 0) + BACKOFF_SECONDS for replica in rejecting]
            begin = max(ends) - BACKOFF_SECONDS + SLACK_SECONDS
            for at, status, took, fields, _ in load.outcomes:
                if sound or at < begin - 2 * SLACK_SECONDS or at > max(ends) + SLACK_SECONDS:
                    self.assertEqual(200, status)
                elif begin < at < min(ends) - SLACK_SECONDS:
                    # Refused at once until the first backoff ends.
                    self.assertEqual(503, status)
                    self.assertLess(took, SLACK_SECONDS)
                    back_at = at + took + float(fields["Retry-After"])
                    self.assertGreater(back_at, min(ends) - 0.2)
                    self.assertLess(back_at, min(ends) + 2 * SLACK_SECONDS)
        if not sound:
            # Each replica gets its share again.
            for replica in rejecting:
                end = max(max(other.named.values()) for other in rejecting) + BACKOFF_SECONDS
                after = [at for at, _ in replica.arrivals if at > end + SLACK_SECONDS]
                self.assertGreater(len(after), 3)

    def test_malformed_backoffs_are_ignored_and_logged_once(self):
        rows = [["1.5"], ["-1"], ["99999999999999"], ["7200"], ["4", "4"], ["soon"], [""]]
        self.start(1)
        replicas = self.pools[None]
        for number, values in enumerate(rows):
            with self.subTest(values=values):
                for replica in replicas:
                    replica.values = values
                    replica.arrivals.clear()
                (load,) = self.load("/often/x", 20)
                time.sleep(1)
                load.stop()
                self.assertGreater(sum(len(replica.arrivals) for replica in replicas), 5)
        log = self.nodes[0].log()
        self.assertNotIn("event=server-backoff ", log)
        for replica in replicas:
            line = "event=server-backoff-malformed server=%s " % replica.name
            self.assertLessEqual(log.count(line), 1)
        self.assertIn("event=server-backoff-malformed ", log)

    def test_a_new_start_has_no_backoff(self):
        self.start(1)
        for replica in self.pools[None]:
            replica.values = ["60"]
        for number in range(10):
            self.nodes[0].send_request("/often/x", "r%d" % number)
        self.assertEqual(503, self.nodes[0].send_request("/often/x")[0])
        replica = self.pools[None][0]
        replica.values = None
        entry = {**replica.entry("desk"), "born": 1800000000000}
        self.platform.store.put("servers/" + replica.name, entry)
        time.sleep(2)
        self.assertEqual(200, self.nodes[0].send_request("/often/x")[0])


if __name__ == "__main__":
    unittest.main()
