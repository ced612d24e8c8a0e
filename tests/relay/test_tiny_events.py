"""Replicas that send tiny events faster than a node can pass each by itself."""
import socket
import threading
import unittest

from fake_replica import STREAM
from relay_nodes import Node, Platform, request, wait_until

EVENT = b"g\n\n"
EVENTS = 5000
# A caller's chunk holds what one read of the node brought.
MAX_CHUNKS = EVENTS // 10
CROWD = 16
PIECE = EVENT * 5461
ENDLESS = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
ORDINARY_REQUESTS = 5


def piece_of_events(connection, fields):
    """Sends EVENTS tiny events at once, in chunks of their own, and ends well."""
    head = STREAM.replace(b"ID", fields["Request-Id"].encode())
    chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
    connection.sendall(head + chunk * EVENTS + b"0\r\n\r\n")
    return True


class EndlessReplica:
    """Sends events until the node closes the connection, and counts such answers."""

    def __init__(self):
        self.begun = threading.Semaphore(0)

    def answer(self, connection, fields):
        try:
            connection.sendall(STREAM.replace(b"ID", fields["Request-Id"].encode()) + ENDLESS)
            self.begun.release()
            while True:
                connection.sendall(ENDLESS)
        except OSError:
            return False


class TinyEventsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.node = Node("n1", self.platform.store.address)
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    def test_many_events_of_one_read_are_one_chunk(self):
        self.platform.set_faults(self.platform.decode_replicas, piece_of_events)
        more = "Token-Usage: 10,50\r\n"
        status, _, body, is_complete = self.node.send_request("/stream/x", "whole", more=more)
        self.assertEqual((200, True), (status, is_complete))
        chunks = []
        while body:
            size, body = body.split(b"\r\n", 1)
            chunks.append(body[: int(size, 16)])
            body = body[int(size, 16) + 2 :]
        self.assertEqual(EVENT * EVENTS, b"".join(chunks))
        self.assertLess(len(chunks), MAX_CHUNKS)

    def read_all(self, number, until):
        with socket.create_connection(("127.0.0.1", self.node.caller_port), 20) as caller:
            more = "Token-Usage: 10,50\r\nPrompt-Prefix: a1:200,%x:300\r\n" % number
            caller.sendall(request("/stream/x", "crowd-%d" % number, more=more))
            while not until.is_set() and caller.recv(262144):
                pass

    def test_endless_events_leave_the_node_to_others(self):
        replica = EndlessReplica()
        self.platform.set_faults(self.platform.decode_replicas, *[replica.answer] * CROWD)
        is_over = threading.Event()
        crowd = [
            threading.Thread(target=self.read_all, args=(n, is_over)) for n in range(CROWD)
        ]
        for caller in crowd:
            caller.start()
        self.addCleanup(lambda: [caller.join() for caller in crowd])
        self.addCleanup(is_over.set)
        for _ in range(CROWD // 2):
            self.assertTrue(replica.begun.acquire(timeout=20))
        for number in range(ORDINARY_REQUESTS):
            request_id = "ordinary-%d" % number
            status, _, body, _ = self.node.send_request("/often/x", request_id)
            self.assertEqual((200, b"answer to " + request_id.encode()), (status, body))
        wait_until(lambda: "event=stream-paced" in self.node.log())
        self.assertIsNone(self.node.process.poll())


if __name__ == "__main__":
    unittest.main()
