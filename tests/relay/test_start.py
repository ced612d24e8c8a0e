"""Tests that signals during the start of a node wait until it can handle them."""
import os
import signal
import unittest

from relay_nodes import Node, Platform


class StartTest(unittest.TestCase):
    def start_with(self, signal_number):
        """Sends the signal while the node waits for the text of its settings."""
        node = Node("n1", Platform().store.address)
        self.addCleanup(node.stop)
        node.wait_ready()
        node.process.kill()
        node.process.wait()
        text = node.settings.read_text()
        node.settings.unlink()
        os.mkfifo(node.settings)
        node.start()
        try:
            with open(node.settings, "w") as settings:
                node.process.send_signal(signal_number)
                settings.write(text)
        except BrokenPipeError:
            pass  # The process has ended, which the tests find.
        return node

    def test_reload_during_start_does_not_end_the_node(self):
        node = self.start_with(signal.SIGHUP)
        self.assertIsNone(node.process.poll())
        node.wait_ready()
        self.assertIn("event=reload", node.log())

    def test_stop_during_start_ends_with_0(self):
        node = self.start_with(signal.SIGTERM)
        self.assertEqual(0, node.process.wait(8))


if __name__ == "__main__":
    unittest.main()
