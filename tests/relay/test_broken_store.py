"""Broken answers of the store."""
import time
import unittest

from fake_replica import FakeReplica
from fake_store import FakeStore
from relay_nodes import Node, configuration, wait_until

# Less than a node waits for an answer of the store.
MAX_KNOWN_SECONDS = 0.8
BROKEN_SECONDS = 1.5

# How a head begins, and what follows its fields.
BROKEN_HEADS = [
    (b"HTTP/1.1 000 X\r\n", b""),
    (b"HTTP/1.1 099 X\r\n", b""),
    (b"HTTP/1.1 101 X\r\n", b""),
    (b"HTTP/1.1 600 X\r\n", b""),
    (b"HTTP/1.1 200 X\r\nX Y: v\r\n", b""),
    (b"HTTP/1.1 200 X\r\n", b"X\x01: v\r\n"),
]


class BrokenStore(FakeStore):
    """Answers with the head of `broken`, if there is one, and leaves the connection open."""

    def __init__(self):
        super().__init__()
        self.broken = None
        self.open_seconds = []  # For how long nodes kept a connection after a broken answer.

    def write(self, handler, status, text):
        if self.broken is None:
            super().write(handler, status, text)
            return
        first, last = self.broken
        fields = b"Store-Era: %d\r\nContent-Length: %d\r\n" % (self.era, len(text))
        handler.wfile.write(first + fields + last + b"\r\n" + text)
        handler.close_connection = True
        self.open_seconds.append(seconds_until_close(handler.connection))


def seconds_until_close(connection):
    started = time.monotonic()
    connection.settimeout(8)
    try:
        connection.recv(1)
    except OSError:
        pass  # Reset, or still open.
    return time.monotonic() - started


class BrokenStoreTest(unittest.TestCase):
    def test_broken_answer_of_the_store_is_none(self):
        """A watch answers when the routes change, the ranges after it at once."""
        for broken in BROKEN_HEADS:
            with self.subTest(broken=broken):
                store = BrokenStore()
                store.put("op/config", configuration(3))
                replica = FakeReplica("i-desk0")
                store.put("servers/i-desk0", replica.entry("desk"))
                node = Node("n1", store.address)
                self.addCleanup(node.stop)
                node.wait_ready()
                wait_until(lambda: node.send_request("/often/x")[0] == 200)
                changed = configuration(4)
                changed["Routes"][0]["PathPrefix"] = "/moved/"
                store.broken = broken
                store.put("op/config", changed)
                wait_until(lambda: 'reason="invalid HTTP response"' in node.log())
                time.sleep(BROKEN_SECONDS)
                self.assertEqual(404, node.send_request("/moved/x")[0])
                self.assertEqual(200, node.send_request("/often/x")[0])
                self.assertNotIn("no answer within", node.log())
                self.assertGreater(len(store.open_seconds), 2)
                self.assertLess(max(store.open_seconds), MAX_KNOWN_SECONDS)
                store.broken = None
                wait_until(lambda: node.send_request("/moved/x")[0] == 200)


if __name__ == "__main__":
    unittest.main()
