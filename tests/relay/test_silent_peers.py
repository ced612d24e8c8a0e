"""Peers whose machine is gone are noticed within the limit, in each position."""
import socket
import threading
import time
import unittest

from fake_replica import FakeReplica, STREAM, encode_event, encode_response
from peer_sockets import connect_with_small_window, cut_machine, is_open, is_window_closed
from relay_nodes import Node, Platform, configuration, request, wait_until

# The limit of a connection without a sign of its peer, and a probe's interval.
NOTICED_SECONDS = 3
PAUSE_SECONDS = 4
LARGE_BODY = b"b" * (4 << 20)
TOKENS = "Token-Usage: 10,50\r\n"


def answer_of(size):
    def answer(connection, fields):
        connection.sendall(encode_response(200, b"a" * size, fields["Request-Id"]))
        return True

    return answer


def never(connection, fields):
    threading.Event().wait(20)
    return False


def slow_stream(connection, fields):
    connection.sendall(STREAM.replace(b"ID", fields["Request-Id"].encode()))
    try:
        for number in range(1, 400):
            event = encode_event(number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.05)
    except OSError:
        pass
    return False


class SilentPeersTest(unittest.TestCase):
    def start(self):
        self.platform = Platform()
        changed = configuration(4, MaxBodyBytes=len(LARGE_BODY))
        for route in changed["Routes"]:
            route["TimeoutMs"] = 15000
        self.platform.store.put("op/config", changed)
        self.node = Node("n1", self.platform.store.address)
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    def notice_seconds(self, name, connection, node_port, peer_port):
        """Cuts the peer's machine; returns the time until the connection is given up."""
        self.assertTrue(is_open(node_port, peer_port))
        cut_machine(connection)
        began = time.monotonic()
        wait_until(lambda: not is_open(node_port, peer_port))
        took = time.monotonic() - began
        print("    noticed after %.2f s: %s" % (took, name), flush=True)
        self.assertLess(took, NOTICED_SECONDS, name)

    # Guards against a caller's machine that is gone but held until the deadline.
    def test_caller_whose_machine_is_gone_is_noticed(self):
        """Rows: position, path, fault of the replica, bytes sent, pause before."""
        small, paused = answer_of(4800), PAUSE_SECONDS
        deadline = "Deadline-Ms: 15000\r\n"
        whole = lambda path: request(path, more=TOKENS).replace(b"Deadline-Ms: 6000\r\n", deadline.encode())
        rows = [
            ("waits for its answer", whole("/often/x"), never, 0.5, False),
            ("half a body", whole("/often/x")[:-3], never, 0.2, False),
            ("window just closed", whole("/often/x"), small, 0.3, True),
            ("window closed for long", whole("/often/x"), small, paused, True),
            ("large answer", whole("/often/x"), answer_of(3_900_000), paused, True),
            ("stream", whole("/stream/x"), slow_stream, 0.6, False),
            ("stream, window closed for long", whole("/stream/x"), slow_stream, 3.5 + paused, True),
        ]
        for name, raw, fault, pause, is_paused in rows:
            with self.subTest(position=name):
                self.start()
                for replica in [*self.platform.plain_replicas, *self.platform.decode_replicas]:
                    replica.faults = [fault]
                port = self.node.caller_port
                with connect_with_small_window(port) as caller:
                    caller.sendall(raw)
                    time.sleep(pause)
                    own_port = caller.getsockname()[1]
                    if is_paused:
                        self.assertTrue(is_window_closed(port, own_port), "the window is open")
                    self.notice_seconds("caller, " + name, caller, port, own_port)
                self.node.stop()

    def test_replica_whose_machine_is_gone_is_noticed(self):
        """Rows: position, path, body, pause before the cut."""
        rows = [
            ("before its answer", "/once/x", b"hello", 0.5, False),
            ("body just stopped", "/once/x", LARGE_BODY, 0.5, True),
            ("body stopped for long", "/once/x", LARGE_BODY, PAUSE_SECONDS, True),
        ]
        for name, path, body, pause, is_paused in rows:
            with self.subTest(position=name):
                self.start()
                replica = SilentReplica()
                for other in self.platform.plain_replicas:
                    self.platform.store.delete("servers/" + other.name)
                self.platform.store.put("servers/i-silent", replica.entry("desk"))
                wait_until(lambda: "server=i-silent" in self.node.log())
                with socket.create_connection(("127.0.0.1", self.node.caller_port), 8) as caller:
                    raw = request(path, body=body).replace(b"Deadline-Ms: 6000", b"Deadline-Ms: 15000")
                    caller.sendall(raw)
                    wait_until(lambda: replica.connections)
                    time.sleep(pause)
                    connection = replica.connections[0]
                    node_port = connection.getpeername()[1]
                    own_port = connection.getsockname()[1]
                    if is_paused:
                        self.assertTrue(is_window_closed(node_port, own_port), "the window is open")
                    self.notice_seconds("replica, " + name, connection, node_port, own_port)
                self.node.stop()

    def test_store_whose_machine_is_gone_is_noticed(self):
        self.start()
        port = int(self.platform.store.address.split(":")[1])
        connections = [each for each in self.platform.store.connections if each.fileno() >= 0]
        cut = [(each.getpeername()[1], port) for each in connections]
        self.assertTrue(any(is_open(*ports) for ports in cut))
        for connection in connections:
            cut_machine(connection)
        began = time.monotonic()
        wait_until(lambda: not any(is_open(*ports) for ports in cut))
        took = time.monotonic() - began
        print("    noticed after %.2f s: store" % took, flush=True)
        self.assertLess(took, NOTICED_SECONDS)


class SilentReplica(FakeReplica):
    """Accepts connections and reads nothing."""

    def __init__(self):
        self.connections = []
        super().__init__("i-silent")

    def accept(self):
        while True:
            self.connections.append(self.listener.accept()[0])


if __name__ == "__main__":
    unittest.main()
