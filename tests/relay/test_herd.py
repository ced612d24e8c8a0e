"""Tests that nodes that restart together and those that kept running find each other."""
import time
import unittest

from relay_nodes import Node, Platform, wait_until

NODES = 6
KILLED = 4
SUSPECT_SECONDS = 3  # A killed node is noticed within it.
FIND_SECONDS = 3


class HerdTest(unittest.TestCase):
    def known_alive(self, node):
        return node.read_metrics().get('heatherfork_members{status="alive"}', 0)

    # Guards against two separate fleets: the seeds of the restarted nodes have
    # restarted, too, and the others know the old incarnations only.
    def test_restarted_nodes_and_running_ones_find_each_other(self):
        platform = Platform()
        nodes = []
        for number in range(NODES):
            seed = nodes[0].address if nodes else None
            node = Node("n%d" % number, platform.store.address, seed=seed)
            self.addCleanup(node.stop)
            nodes.append(node)
        for node in nodes:
            node.wait_ready()
            wait_until(lambda: self.known_alive(node) == NODES)
        for node in nodes[:KILLED]:
            node.process.kill()
            node.process.wait()
        time.sleep(0.5)
        for node in nodes[:KILLED]:
            node.start()
        for node in nodes[:KILLED]:
            node.wait_ready()
        deadline = time.monotonic() + SUSPECT_SECONDS + FIND_SECONDS
        known = []
        while time.monotonic() < deadline and known != [NODES] * NODES:
            time.sleep(0.1)
            known = [self.known_alive(node) for node in nodes]
        self.assertEqual([NODES] * NODES, known)


if __name__ == "__main__":
    unittest.main()
