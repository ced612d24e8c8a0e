"""Tests that all nodes together keep the limit that a replica names."""
import threading
import time
import unittest

from fake_replica import FakeReplica
from relay_nodes import Node, Platform, wait_until

STABILITY_SECONDS = 3
REPORT_SECONDS = 0.5
WINDOW_SECONDS = 4
LOAD_SECONDS = 11
RUN_SECONDS = 0.02
REPLICAS = 4


class NamingConnection:
    """Adds the limit to the head of each answer."""

    def __init__(self, connection, lines):
        self.connection = connection
        self.lines = lines

    def sendall(self, data):
        if data.startswith(b"HTTP/1.1 "):
            first, rest = data.split(b"\r\n", 1)
            data = first + b"\r\n" + self.lines + rest
        self.connection.sendall(data)

    def __getattr__(self, name):
        return getattr(self.connection, name)


class LimitedReplica(FakeReplica):
    """Names the limits in its list, each in a field of its own."""

    def __init__(self, *arguments):
        self.limits = []
        self.arrivals = []
        self.named_at = None
        super().__init__(*arguments)

    def answer(self, connection, fields, body):
        self.arrivals.append(time.monotonic())
        time.sleep(RUN_SECONDS)
        lines = b"".join(b"Server-Limit: %s\r\n" % limit.encode() for limit in self.limits)
        if lines and self.named_at is None:
            self.named_at = time.monotonic()
        return super().answer(NamingConnection(connection, lines), fields, body)

    def worst_window(self, from_time, to_time=float("inf")):
        times = [at for at in self.arrivals if from_time <= at <= to_time]
        return max(
            (sum(1 for at in times if start <= at < start + WINDOW_SECONDS) for start in times),
            default=0,
        )


def allowed(limit):
    return 1.5 * float(limit) * WINDOW_SECONDS + 5


class Load:
    """Sends requests to each node at a rate until stop()."""

    def __init__(self, nodes, path, rates, more=""):
        self.outcomes = []  # (time of the request, status, seconds, fields, node)
        self.ends = threading.Event()
        self.numbers = iter(range(1, 10000000))
        self.threads = [
            threading.Thread(target=self.run, args=(node, path, rate, more))
            for node, rate in zip(nodes, rates)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, node, path, rate, more):
        next_at = time.monotonic()
        calls = []
        while not self.ends.is_set():
            call = threading.Thread(target=self.send, args=(node, path, more))
            call.start()
            calls.append(call)
            next_at += 1 / rate
            time.sleep(max(0, next_at - time.monotonic()))
        for call in calls:
            call.join()

    def send(self, node, path, more):
        number = next(self.numbers)
        begin = time.monotonic()
        try:
            status, fields, _, is_complete = node.send_request(
                path, "l%d" % number, b"body %d" % number, more
            )
            status = status if is_complete else 0
        except OSError:
            status, fields = 0, {}
        self.outcomes.append((begin, status, time.monotonic() - begin, fields, node))

    def stop(self):
        self.ends.set()
        for thread in self.threads:
            thread.join()

    def since(self, from_time):
        return [outcome for outcome in self.outcomes if outcome[0] >= from_time]


class ServerLimitsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.nodes = []

    def tearDown(self):
        self.stop_nodes()

    def stop_nodes(self):
        for node in self.nodes:
            node.stop()
        self.nodes = []

    def replace_replicas(self, service, replicas, old):
        for replica in old:
            self.platform.store.delete("servers/" + replica.name)
        for replica in replicas:
            self.platform.store.put("servers/" + replica.name, replica.entry(service))
        return replicas

    def start(self, node_count):
        self.platform = Platform()
        self.replicas = self.replace_replicas(
            "desk",
            [LimitedReplica("l-desk%d" % n) for n in range(REPLICAS)],
            self.platform.plain_replicas,
        )
        for number in range(node_count):
            self.start_node("n%d" % number)
        for node in self.nodes:
            wait_until(lambda: "known=%d" % node_count in node.log())

    def start_node(self, name):
        seed = self.nodes[0].address if self.nodes else None
        node = Node(name, self.platform.store.address, seed=seed)
        self.nodes.append(node)
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= REPLICAS)
        return node

    def assert_kept(self, replica, limit):
        from_time = replica.named_at + STABILITY_SECONDS + REPORT_SECONDS
        self.assertLessEqual(replica.worst_window(from_time), allowed(limit), replica.name)

    # Guards against second1: nothing read the limit.
    def test_replicas_get_no_more_than_the_limit_they_name(self):
        """Rows: nodes, replicas that name the limit, the limit."""
        rows = [(3, 1, "2"), (3, REPLICAS, "2"), (3, 1, "0.5"), (5, REPLICAS, "0.4")]
        for node_count, limited_count, limit in rows:
            with self.subTest(nodes=node_count, limited=limited_count, limit=limit):
                self.stop_nodes()
                self.start(node_count)
                limited = self.replicas[:limited_count]
                for replica in limited:
                    replica.limits = [limit]
                load = Load(self.nodes, "/often/x", [60 / node_count] * node_count)
                time.sleep(LOAD_SECONDS)
                load.stop()
                for replica in limited:
                    self.assert_kept(replica, limit)
                steady = load.since(min(r.named_at for r in limited) + STABILITY_SECONDS)
                answered = [outcome for outcome in steady if outcome[1] == 200]
                if limited_count < REPLICAS:
                    self.assertEqual(len(steady), len(answered))
                    continue
                # The sum of the limits is used, and the rest is refused at once.
                seconds = steady[-1][0] - steady[0][0]
                self.assertGreaterEqual(
                    len(answered), 0.8 * float(limit) * limited_count * seconds - 1
                )
                for _, status, took, fields, _ in steady:
                    if status != 200:
                        self.assertEqual(503, status)
                        self.assertGreater(float(fields["Retry-After"]), 0)
                        self.assertLess(took, 1.2)


if __name__ == "__main__":
    unittest.main()
