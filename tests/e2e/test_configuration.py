"""The configuration of a running system: new revisions are applied, invalid and
older ones are not, and the configuration service may be down."""

import dataclasses
import unittest

from callers import complete, plain
from cluster import Cluster
from processes import call, wait_until
from publication import RESERVATION, replicas


class OneNode(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(nodes=1)
        self.addCleanup(self.cluster.close)
        self.node = self.cluster.nodes["node-0"]

    def revision(self):
        return self.cluster.status("node-0")["revision"]

    def wait_for_calls(self, name, count):
        """Waits for count more calls to the configuration service."""

        def calls():
            return self.cluster.platform.counters()["calls"].get(name, 0)

        before = calls()
        wait_until(lambda: calls() >= before + count, f"calls: {name}")

    def test_new_revision_is_applied(self):
        self.cluster.publish(2, tenants=())
        self.cluster.wait_for_revision(2)
        self.assertEqual(401, complete(self.node, "p").status)

    def test_rejected_revisions_are_not_applied(self):
        bad_class = dataclasses.replace(RESERVATION, name="")
        table = [
            ("bad", 3, {"classes": (bad_class,), "models": (), "services": (), "pools": ()}),
            ("older", 1, {"tenants": ()}),
            ("none", 0, {"tenants": ()}),
        ]
        self.cluster.publish(2)
        self.cluster.wait_for_revision(2)
        for name, revision, changes in table:
            with self.subTest(name):
                self.cluster.publish(revision, **changes)
                self.wait_for_calls("watch", 2)
                self.assertEqual(2, self.revision())
                self.assertEqual(200, complete(self.node, name, 2).status)
        self.cluster.publish(4)
        self.cluster.wait_for_revision(4)

    def test_serves_while_configuration_service_is_down(self):
        self.cluster.platform.control(down=True)
        self.assertEqual(200, complete(self.node, "p", 2).status)
        self.cluster.publish(2)
        self.cluster.platform.control(down=False)
        self.cluster.wait_for_revision(2)

    def test_refuses_requests_until_first_configuration_is_read(self):
        self.node.kill()
        self.cluster.platform.control(down=True)
        self.cluster.start_node("node-0")
        node = self.cluster.nodes["node-0"]
        wait_until(lambda: is_listening(node), "the node to listen")
        answer = complete(node, "p")
        self.assertEqual((503, "starting"), (answer.status, answer.json["error"]["id"]))
        self.cluster.platform.control(down=False)
        self.cluster.wait_for_revision(1)
        self.assertEqual(200, complete(node, "p", 2).status)

    def test_leaving_backend_server_gets_no_new_calls(self):
        self.cluster.services += [self.cluster.processes.start_stand_in("fake_service")]
        self.cluster.publish(2)
        self.cluster.wait_for_revision(2)
        leaving = self.cluster.services[0]
        servers = replicas(self.cluster.services)
        servers = (dataclasses.replace(servers[0], leaving=True), *servers[1:])
        engines, services = self.cluster.configuration().pools
        pools = (engines, dataclasses.replace(services, servers=servers))
        self.cluster.publish(3, pools=pools)
        self.cluster.wait_for_revision(3)
        before = leaving.counters()["total"]
        for n in range(10):
            self.assertEqual(200, plain(self.node, "lookup", n).status)
        self.assertEqual(before, leaving.counters()["total"])


def is_listening(node):
    try:
        return call(node, "GET", "/healthz").status == 200
    except OSError:
        return False


if __name__ == "__main__":
    unittest.main()
