"""Tests that a request which crashes replicas at many nodes at once is soon refused."""
import socket
import threading
import time
import unittest

import test_crashing_content
from relay_nodes import Node, wait_until
from test_crashing_content import DEADLY_BODY, MortalPlatform, MortalReplica

RUN_SECONDS = 0.05
RESTART_SECONDS = 2.5
EXPIRY_SECONDS = 1.5  # Of the entry of a replica that is gone.
# The rule counts the arrivals later than this after the third crash.
COUNTED_CRASHES = 3
STABILITY_SECONDS = 3
MAX_LATE_ARRIVALS = 3
NODES = 4
REPLICAS = 4
LOAD_SECONDS = 10
CRASHING_CONTENT = b"crashing-content"


class SlowlyDyingReplica(MortalReplica):
    """Runs deadly content for a while before it crashes, beside other requests."""

    def __init__(self, *arguments):
        self.arrivals = []
        super().__init__(*arguments)

    def answer(self, connection, fields, body):
        if self.is_deadly(fields, body):
            self.arrivals.append(time.monotonic())
        time.sleep(RUN_SECONDS)
        return super().answer(connection, fields, body)


class RestartingReplica(SlowlyDyingReplica):
    """Restarts at its address before a check can find it down."""

    keeps_name = False

    def crash(self):
        self.crashes.append(time.monotonic())
        connections, self.connections = self.connections, []
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.life += 1
        old_name = self.name
        if not self.keeps_name:
            self.name = "%s-%d" % (self.base_name, self.life)
            expire = threading.Timer(EXPIRY_SECONDS, self.platform.store.delete, ["servers/" + old_name])
            expire.start()
        self.platform.store.put("servers/" + self.name, self.entry(self.service))

    def entry(self, service, state="ready"):
        return {**super().entry(service, state), "born": 1700000000000 + self.life}


class SameNameReplica(RestartingReplica):
    keeps_name = True


class CrashingRequestsTest(unittest.TestCase):
    replica_class = SlowlyDyingReplica

    def setUp(self):
        self.platform = MortalPlatform()
        for replica in self.platform.plain_replicas:
            self.platform.store.delete("servers/" + replica.name)
        self.replicas = [
            self.replica_class(self.platform, "desk", "s-desk%d" % n) for n in range(REPLICAS)
        ]
        self.platform.plain_replicas = self.replicas
        for replica in self.replicas:
            self.platform.store.put("servers/" + replica.name, replica.entry("desk"))
        restart = test_crashing_content.RESTART_SECONDS
        test_crashing_content.RESTART_SECONDS = RESTART_SECONDS
        self.addCleanup(setattr, test_crashing_content, "RESTART_SECONDS", restart)
        self.nodes = []
        for number in range(NODES):
            seed = self.nodes[0].address if self.nodes else None
            node = Node("n%d" % number, self.platform.store.address, seed=seed)
            self.addCleanup(node.stop)
            self.nodes.append(node)
        for node in self.nodes:
            node.wait_ready()
            wait_until(lambda: "known=%d" % NODES in node.log())
            wait_until(lambda: node.log().count("event=replica ") >= REPLICAS)
        self.numbers = iter(range(1, 1000000))
        self.ends_at = 0

    def send(self, node, path, body, prefix):
        return node.send_request(path, "%s%d" % (prefix, next(self.numbers)), body)

    def send_deadly(self, node, path):
        while time.monotonic() < self.ends_at:
            try:
                self.send(node, path, DEADLY_BODY, "d")
            except OSError:
                pass
            time.sleep(0.02)

    def send_sound(self, node, path, refused):
        """The sound requests are equal, too: the load of a popular call."""
        while time.monotonic() < self.ends_at:
            try:
                status, _, body, _ = self.send(node, path, b"popular", "s")
                if status == 503 and CRASHING_CONTENT in body:
                    refused.append(time.monotonic())
            except OSError:
                pass
            time.sleep(0.1)

    def crash_times(self):
        return sorted(at for replica in self.replicas for at in replica.crashes)

    # Guards against crashes that the check misses as the replica has restarted.
    def test_replicas_that_restart_at_once_count_as_crashed(self):
        for replica_class in (RestartingReplica, SameNameReplica):
            with self.subTest(replica_class=replica_class.__name__):
                self.replica_class = replica_class
                self.check_crashing_load("/often/x")

    # Guards against inc1: several nodes send the request at the same moment,
    # and what waits at all nodes goes out together when a replica is back.
    def test_equal_requests_at_all_nodes_do_not_crash_each_replica_that_returns(self):
        for path in ("/often/x", "/once/x"):
            with self.subTest(path=path):
                self.check_crashing_load(path)

    def check_crashing_load(self, path):
        self.setUp()
        self.ends_at = time.monotonic() + LOAD_SECONDS
        refused = []
        threads = [
            threading.Thread(target=target, args=(node, path, *more))
            for node in self.nodes
            for target, more in ((self.send_deadly, ()), (self.send_sound, (refused,)))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        crashes = self.crash_times()
        self.assertGreaterEqual(len(crashes), COUNTED_CRASHES)
        from_time = crashes[COUNTED_CRASHES - 1] + STABILITY_SECONDS
        late = [at for replica in self.replicas for at in replica.arrivals if at > from_time]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)
        self.assertEqual([], refused)
        wait_until(lambda: self.send(self.nodes[0], path, b"popular", "s")[0] == 200)
        for node in self.nodes:
            self.assertEqual(503, self.send(node, path, DEADLY_BODY, "d")[0])
            self.assertEqual(200, self.send(node, path, b"popular", "s")[0])
            self.assertIsNone(node.process.poll())
            node.stop()

    # A rack is no evidence against what ran there.
    def test_sound_requests_are_not_refused_when_replicas_fall_together(self):
        for is_known in (False, True):
            with self.subTest(is_known=is_known):
                self.setUp()
                path = "/often/x"
                if is_known:
                    for node in self.nodes:
                        self.assertEqual(200, self.send(node, path, b"popular", "s")[0])
                self.ends_at = time.monotonic() + 5
                refused = []
                threads = [
                    threading.Thread(target=self.send_sound, args=(node, path, refused))
                    for node in self.nodes * 3
                ]
                for thread in threads:
                    thread.start()
                time.sleep(0.02 if not is_known else 0.3)
                for replica in self.replicas[:3]:
                    replica.crash()
                for thread in threads:
                    thread.join()
                self.assertEqual([], refused)
                for node in self.nodes:
                    self.assertEqual(200, self.send(node, path, b"popular", "s")[0])
                    node.stop()


if __name__ == "__main__":
    unittest.main()
