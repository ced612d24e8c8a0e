"""The ports of the tests' nodes can't be taken before the node listens on them."""
import subprocess
import sys
import unittest
from pathlib import Path

from relay_nodes import Node, Platform, first_outgoing_port, pick_free_ports

PORTS = 200


class PortsTest(unittest.TestCase):
    # Guards against an outgoing connection of any process that got the port.
    def test_no_outgoing_connection_gets_a_picked_port(self):
        self.assertLess(max(pick_free_ports(PORTS)), first_outgoing_port())

    def test_two_processes_pick_different_ports(self):
        program = "from relay_nodes import pick_free_ports as pick; print(*pick(%d)); input()" % PORTS
        others = [
            subprocess.Popen(
                [sys.executable, "-B", "-c", program],
                cwd=Path(__file__).parent,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for _ in range(3)
        ]
        ports = pick_free_ports(PORTS)
        for other in others:
            ports += [int(port) for port in other.stdout.readline().split()]
        for other in others:
            other.communicate(b"\n")
        self.assertEqual(4 * PORTS, len(ports))
        self.assertEqual(4 * PORTS, len(set(ports)))

    def test_wait_ends_with_the_node(self):
        node = Node("n1", Platform().store.address)
        self.addCleanup(node.stop)
        node.process.kill()
        with self.assertRaisesRegex(AssertionError, "node n1 ended"):
            node.wait_ready()


if __name__ == "__main__":
    unittest.main()
