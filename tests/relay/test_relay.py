"""What callers and replicas see of a relaying node, fault by fault."""
import os
import signal
import socket
import time
import unittest

from relay_nodes import Node, Platform, configuration, read_answer, request, wait_until


class RelayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.platform = Platform()
        cls.node = Node("n1", cls.platform.store.address)
        cls.node.wait_ready()
        wait_until(lambda: cls.node.log().count("event=replica ") >= 5)
        cls.numbers = iter(range(1000000))

    @classmethod
    def tearDownClass(cls):
        cls.node.stop()

    def own(self):
        return "r%d" % next(self.numbers)

    def tearDown(self):
        replicas = [*self.platform.desks, self.platform.prefill, *self.platform.decodes]
        self.platform.fault(replicas)
        time.sleep(0.4)  # A replica that failed is left alone for a while.

    def test_plain_calls_pass_unchanged(self):
        own = self.own()
        status, fields, body, whole = self.node.ask("/once/x?q=1", own, b"\x00\xffbody")
        self.assertEqual((200, True), (status, whole))
        self.assertEqual(b"answer to " + own.encode(), body)
        self.assertEqual("sig." + own, fields["Response-Signature"])
        arrived = self.platform.arrived(own)
        self.assertEqual(1, len(arrived))
        self.assertEqual("POST /once/x?q=1 HTTP/1.1", arrived[0]["line"])
        self.assertLess(int(arrived[0]["Deadline-Ms"]), 4001)

    def test_a_stream_is_prefilled_and_decoded(self):
        own = self.own()
        more = "Token-Usage: 10,50\r\nKv-Source: theirs\r\n"
        status, _, body, whole = self.node.ask("/stream/x", own, more=more)
        self.assertEqual((200, True), (status, whole))
        self.assertIn(b"id: 5\ndata: piece 5\n\n", body)
        first, second = self.platform.arrived(own)
        self.assertEqual("prefill", first["Stage"])
        self.assertNotIn("Kv-Source", first)
        self.assertEqual(self.platform.prefill.address + "/kv1", second["Kv-Source"])

    def test_faults_of_replicas(self):
        """(path, faults of each desk, status, arrivals)."""
        rows = [
            ("/often/x", ["truncated"], 200, 2),
            ("/often/x", ["garbage"], 200, 2),
            ("/often/x", ["unsigned"], 200, 2),
            ("/often/x", ["encoded"], 200, 2),
            ("/often/x", ["failed"], 200, 2),
            ("/often/x", ["reset"], 200, 2),
            ("/often/x", ["extra"], 200, 1),
            ("/often/x", ["unframed"], 200, 1),
            ("/often/x", ["elsewhere"], 200, 2),
            ("/once/x", ["truncated"], 502, 1),
            ("/once/x", ["garbage"], 502, 1),
            ("/once/x", ["unsigned"], 502, 1),
            ("/once/x", ["encoded"], 502, 1),
            ("/once/x", ["reset"], 502, 1),
            ("/once/x", ["failed"], 500, 1),
            ("/once/x", ["extra"], 200, 1),
            ("/once/x", ["full"], 200, 2),
            ("/once/x", ["elsewhere"], 200, 2),
        ]
        for path, faults, expected, arrivals in rows:
            with self.subTest(path=path, faults=faults):
                self.tearDown()
                own = self.own()
                # The first replica that is asked has the fault.
                shared = list(faults)
                for desk in self.platform.desks:
                    desk.faults = shared
                status, fields, body, whole = self.node.ask(path, own)
                self.assertEqual(expected, status)
                self.assertTrue(whole)
                self.assertEqual(arrivals, len(self.platform.arrived(own)))
                if status == 200:
                    self.assertEqual(b"answer to " + own.encode(), body)

    def test_a_cut_stream_looks_cut_or_goes_on(self):
        for path, is_whole in (("/stream/x", False), ("/resumable/x", True)):
            with self.subTest(path=path):
                self.tearDown()
                own = self.own()
                shared = ["cut-stream"]
                for decode in self.platform.decodes:
                    decode.faults = shared
                status, _, body, whole = self.node.ask(path, own, more="Token-Usage: 10,50\r\n")
                self.assertEqual((200, is_whole), (status, whole))
                for number in range(1, 6 if is_whole else 3):
                    self.assertEqual(1, body.count(b"id: %d\n" % number))

    def test_a_caller_that_leaves_stops_its_call(self):
        shared = ["silent"]
        for desk in self.platform.desks:
            desk.faults = shared
            desk.closed_early.clear()
        with socket.create_connection(("127.0.0.1", self.node.front)) as caller:
            caller.sendall(request("/once/x", self.own()))
            wait_until(lambda: not shared)
        end = time.monotonic() + 0.5
        while not any(desk.closed_early.is_set() for desk in self.platform.desks):
            self.assertLess(time.monotonic(), end)
            time.sleep(0.01)

    def test_heads_in_doubt_are_refused_and_end_the_connection(self):
        good = "Host: h.example\r\nRequest-Id: %s\r\n"
        rows = [
            (good + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
            (good + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            (good + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
            (good + "Content-Length: +1\r\n\r\na", 400),
            (good + "Content-Length : 1\r\n\r\na", 400),
            (good + "X: a\r\n b\r\n\r\n", 400),
            (good + "X: a\nY: b\r\n\r\n", 400),
            (good + "X: a\0b\r\n\r\n", 400),
            (good + "Host: h.example\r\n\r\n", 400),
            (good + "X: " + "x" * 5000 + "\r\n\r\n", 431),
            (good + "Content-Length: 200000\r\n\r\n" + "x" * 200000, 413),
            ("Host: h.example\r\nX: %s\r\n\r\n", 400),
            (good.replace("h.example", "other") + "\r\n", 404),
        ]
        for row, expected in rows:
            with self.subTest(row=row[:90]):
                own = self.own()
                smuggled = request("/once/smuggled", own + "s")
                raw = ("POST /once/x HTTP/1.1\r\n" + row % own).encode() + smuggled
                with socket.create_connection(("127.0.0.1", self.node.front), 8) as caller:
                    caller.sendall(raw)
                    status = read_answer(caller)[0]
                self.assertEqual(expected, status)
                if expected != 404:  # That one is sound, and so is the next.
                    self.assertEqual([], self.platform.arrived(own + "s"))
                self.assertEqual([], self.platform.arrived(own))

    def test_metrics_count_what_callers_get(self):
        before = self.node.read_metrics()
        self.node.ask("/often/x", "m1")
        self.node.ask("/nowhere/x", "m2")
        self.node.ask("/stream/x", "m3", more="Token-Usage: 10,50\r\n")
        found = self.node.read_metrics()
        counted = {
            'heatherfork_relay_outcomes_total{outcome="answered",service="desk"}': 1,
            'heatherfork_relay_outcomes_total{outcome="refused",service=""}': 1,
            'heatherfork_relay_outcomes_total{outcome="answered",service="llm"}': 1,
            'heatherfork_relay_first_event_seconds_count{service="llm"}': 1,
            'heatherfork_relay_request_seconds_count{outcome="answered",service="llm"}': 1,
        }
        grown = {name: found[name] - before.get(name, 0) for name in counted}
        self.assertEqual(counted, grown)
        expected = {
            'heatherfork_members{status="alive"}': 1,
            "heatherfork_configuration_revision": 3,
            "heatherfork_replicas": 5,
            "heatherfork_relay_open_requests": 0,
        }
        self.assertEqual(expected, {name: found.get(name) for name in expected})
        self.assertLess(found['heatherfork_store_news_age_seconds{reader="routing"}'], 2)
        other = self.node.call(self.node.metrics, b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(404, other[0])

    def test_a_slow_head_is_told_so(self):
        with socket.create_connection(("127.0.0.1", self.node.front), 8) as caller:
            caller.sendall(b"POST /once/x HTTP/1.1\r\nHost")
            self.assertEqual(408, read_answer(caller)[0])

    def test_a_connection_is_kept_for_many_requests(self):
        with socket.create_connection(("127.0.0.1", self.node.front), 8) as caller:
            for _ in range(5):
                caller.sendall(request("/often/x", self.own()))
                self.assertEqual(200, read_answer(caller)[0])


class NodesTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()
        self.nodes = []

    def tearDown(self):
        for node in self.nodes:
            node.stop()

    def start(self, name, **more):
        node = Node(name, self.platform.store.address, **more)
        self.nodes.append(node)
        return node

    def test_news_come_by_another_node_when_the_store_turns_one_away(self):
        first = self.start("n1")
        first.wait_ready()
        dead = socket.create_server(("127.0.0.1", 0))
        second = Node("n2", "127.0.0.1:%d" % dead.getsockname()[1], seed=first.address)
        self.nodes.append(second)
        second.wait_ready()
        self.assertEqual(200, second.ask("/often/x")[0])
        changed = configuration(4)
        changed["Routes"][0]["PathPrefix"] = "/moved/"
        self.platform.store.put("op/config", changed)
        wait_until(lambda: second.ask("/moved/x", "m1")[0] == 200)
        dead.close()

    def test_a_port_in_use_costs_only_the_metrics(self):
        taken = socket.create_server(("127.0.0.1", 0))
        node = self.start("n1", metrics=taken.getsockname()[1])
        node.wait_ready()
        self.assertEqual(200, node.ask("/often/x")[0])
        self.assertIn("event=metrics-unavailable", node.log())
        taken.close()

    def test_two_nodes_read_the_store_for_all(self):
        first = self.start("n1")
        nodes = [first] + [
            self.start("n%d" % n, seed=first.address) for n in range(2, 6)
        ]
        for node in nodes:
            node.wait_ready()
        others = lambda: [
            node for node in nodes if "reads_for_others=no" in node.log()
        ]
        wait_until(lambda: len(others()) == 3)
        time.sleep(4)  # A reader tells others once its store has answered for 3 s.
        before = self.platform.store.calls
        time.sleep(3)
        # A watch of 750 ms for each of two prefixes at two nodes; five nodes
        # that read for themselves make 40 calls or more.
        self.assertLessEqual(self.platform.store.calls - before, 2 * 2 * (4 + 1))
        changed = configuration(4)
        changed["Routes"][0]["PathPrefix"] = "/moved/"
        self.platform.store.put("op/config", changed)
        for node in nodes:
            wait_until(lambda: node.ask("/moved/x", "m" + str(node.front))[0] == 200)
        for node in nodes:
            if node not in others():
                node.process.send_signal(signal.SIGKILL)
        changed["Version"] = 5
        changed["Routes"][0]["PathPrefix"] = "/again/"
        began = time.monotonic()
        self.platform.store.put("op/config", changed)
        for node in others():
            wait_until(lambda: node.ask("/again/x", "a" + str(node.front))[0] == 200)
        self.assertLess(time.monotonic() - began, 2)

    def test_all_at_once_are_back_within_two_seconds(self):
        node = self.start("n1")
        node.wait_ready()
        node.stop()
        began = time.monotonic()
        self.start("n1").wait_ready()
        self.assertLess(time.monotonic() - began, 2)

    def test_a_planned_stop_finishes_what_was_taken(self):
        node = self.start("n1")
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= 5)
        with socket.create_connection(("127.0.0.1", node.front), 8) as caller:
            caller.sendall(request("/stream/x", "s1", more="Token-Usage: 10,50\r\n"))
            node.process.send_signal(signal.SIGTERM)
            self.assertTrue(read_answer(caller)[3])
        wait_until(lambda: not node.is_ready())
        self.assertEqual(0, node.process.wait(8))

    def test_a_log_that_nobody_reads_delays_nothing(self):
        node = self.start("n1", unread=True)
        node.wait_ready()
        wait_until(lambda: node.ask("/often/x")[0] == 200)
        began = time.monotonic()
        for number in range(1500):  # Far more than a pipe holds.
            self.assertEqual(200, node.ask("/often/x", "u%d" % number)[0])
        self.assertLess(time.monotonic() - began, 30)
        with open(f"/proc/{node.process.pid}/status") as status:
            resident = next(line for line in status if line.startswith("VmRSS"))
        self.assertLess(int(resident.split()[1]), 60000)
        os.read(node.process.stdout.fileno(), 65536)


if __name__ == "__main__":
    unittest.main()
