"""A late copy of an answer, on a connection in use again, is no one's answer."""
import threading
import unittest

from fake_replica import encode_response
from relay_nodes import Node, Platform, wait_until


class LateCopyTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.node = Node("n1", self.platform.store.address)
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    @staticmethod
    def twice(delay):
        """Answers, and sends a copy with other bytes late on the kept connection."""

        def answer(connection, fields):
            request_id = fields["Request-Id"]
            connection.sendall(encode_response(200, b"answer to " + request_id.encode(), request_id))

            def send_copy():
                try:
                    connection.sendall(encode_response(200, b"a late copy", request_id))
                except OSError:
                    pass  # The node has closed the connection.

            if delay is None:
                send_copy()
            else:
                threading.Timer(delay, send_copy).start()
            return True

        return answer

    # The caller's next attempt with the same id may reach the same connection.
    def test_late_copy_with_same_id_is_no_answer(self):
        for delay in (None, 0.0, 0.001, 0.003, 0.01, 0.1):
            for path in ("/often/x", "/once/x"):
                with self.subTest(delay=delay, path=path):
                    for number in range(20):
                        request_id = "c%s-%d-%s" % (delay, number, path[1:3])
                        for replica in self.platform.plain_replicas:
                            replica.faults = [self.twice(delay)]
                        for _ in range(2):
                            status, _, body, is_complete = self.node.send_request(path, request_id)
                            self.assertEqual((200, True), (status, is_complete))
                            self.assertEqual(b"answer to " + request_id.encode(), body)
                        self.assertEqual(2, len(self.platform.received(request_id)))


if __name__ == "__main__":
    unittest.main()
