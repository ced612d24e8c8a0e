"""Tests relaying nodes with simulated replicas and a simulated store."""
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

    def next_request_id(self):
        return "r%d" % next(self.numbers)

    def tearDown(self):
        replicas = [
            *self.platform.plain_replicas,
            self.platform.prefill,
            *self.platform.decode_replicas
        ]
        self.platform.set_faults(replicas)
        time.sleep(0.4)  # A failed replica gets no requests for a short time.

    def test_forwards_plain_calls_unchanged(self):
        request_id = self.next_request_id()
        status, fields, body, is_complete = self.node.send_request(
            "/once/x?q=1", request_id, b"\x00\xffbody"
        )
        self.assertEqual((200, True), (status, is_complete))
        self.assertEqual(b"answer to " + request_id.encode(), body)
        self.assertEqual("sig." + request_id, fields["Response-Signature"])
        received = self.platform.received(request_id)
        self.assertEqual(1, len(received))
        self.assertEqual("POST /once/x?q=1 HTTP/1.1", received[0]["line"])
        self.assertLess(int(received[0]["Deadline-Ms"]), 4001)

    def test_stream_runs_prefill_then_decode(self):
        request_id = self.next_request_id()
        more = "Token-Usage: 10,50\r\nKv-Source: theirs\r\n"
        status, _, body, is_complete = self.node.send_request("/stream/x", request_id, more=more)
        self.assertEqual((200, True), (status, is_complete))
        self.assertIn(b"id: 5\ndata: piece 5\n\n", body)
        first, second = self.platform.received(request_id)
        self.assertEqual("prefill", first["Stage"])
        self.assertNotIn("Kv-Source", first)
        self.assertEqual(self.platform.prefill.address + "/kv1", second["Kv-Source"])

    def test_replica_faults_are_retried_or_reported(self):
        """Rows: path, faults, expected status, expected number of calls."""
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
                request_id = self.next_request_id()
                # The first replica that is called consumes the fault.
                shared = list(faults)
                for replica in self.platform.plain_replicas:
                    replica.faults = shared
                status, fields, body, is_complete = self.node.send_request(path, request_id)
                self.assertEqual(expected, status)
                self.assertTrue(is_complete)
                self.assertEqual(arrivals, len(self.platform.received(request_id)))
                if status == 200:
                    self.assertEqual(b"answer to " + request_id.encode(), body)

    def test_cut_stream_is_truncated_or_resumed(self):
        for path, expects_complete in (("/stream/x", False), ("/resumable/x", True)):
            with self.subTest(path=path):
                self.tearDown()
                request_id = self.next_request_id()
                shared = ["cut-stream"]
                for replica in self.platform.decode_replicas:
                    replica.faults = shared
                status, _, body, is_complete = self.node.send_request(
                    path, request_id, more="Token-Usage: 10,50\r\n"
                )
                self.assertEqual((200, expects_complete), (status, is_complete))
                for number in range(1, 6 if expects_complete else 3):
                    self.assertEqual(1, body.count(b"id: %d\n" % number))

    def test_failed_resume_does_not_look_complete(self):
        self.platform.set_faults(self.platform.decode_replicas, "cut-stream")
        cut = self.platform.decode_replicas
        for replica in cut:
            replica.faults = ["cut-stream", "failed"]
        # Whichever replica comes first, the second one must fail.
        real = [replica.answer for replica in cut]
        calls = []

        def answer(replica, original, connection, fields, body):
            calls.append(replica)
            replica.faults = ["cut-stream"] if len(calls) == 1 else ["failed"]
            return original(connection, fields, body)

        for replica, original in zip(cut, real):
            replica.answer = lambda *args, r=replica, o=original: answer(r, o, *args)
        request_id = self.next_request_id()
        _, _, body, is_complete = self.node.send_request(
            "/resumable/x", request_id, more="Token-Usage: 10,50\r\n"
        )
        for replica in cut:
            del replica.answer
        self.assertIn(b"id: 1\n", body)
        self.assertFalse(is_complete)

    def test_caller_disconnect_cancels_call(self):
        shared = ["silent"]
        for replica in self.platform.plain_replicas:
            replica.faults = shared
            replica.closed_early.clear()
        with socket.create_connection(("127.0.0.1", self.node.caller_port)) as caller:
            caller.sendall(request("/once/x", self.next_request_id()))
            wait_until(lambda: not shared)
        deadline = time.monotonic() + 0.5
        while not any(replica.closed_early.is_set() for replica in self.platform.plain_replicas):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.01)

    def test_rejects_ambiguous_requests_and_closes_connection(self):
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
                request_id = self.next_request_id()
                smuggled = request("/once/smuggled", request_id + "s")
                raw = ("POST /once/x HTTP/1.1\r\n" + row % request_id).encode() + smuggled
                with socket.create_connection(("127.0.0.1", self.node.caller_port), 8) as caller:
                    caller.sendall(raw)
                    status = read_answer(caller)[0]
                self.assertEqual(expected, status)
                if expected != 404:  # This request is well-formed, so the next one is served.
                    self.assertEqual([], self.platform.received(request_id + "s"))
                self.assertEqual([], self.platform.received(request_id))

    def test_metrics_count_responses(self):
        before = self.node.read_metrics()
        self.node.send_request("/often/x", "m1")
        self.node.send_request("/nowhere/x", "m2")
        self.node.send_request("/stream/x", "m3", more="Token-Usage: 10,50\r\n")
        found = self.node.read_metrics()
        counted = {
            'heatherfork_relay_outcomes_total{outcome="answered",service="desk"}': 1,
            'heatherfork_relay_outcomes_total{outcome="refused",service=""}': 1,
            'heatherfork_relay_outcomes_total{outcome="answered",service="llm"}': 1,
            'heatherfork_relay_first_event_seconds_count{service="llm"}': 1,
            'heatherfork_relay_request_seconds_count{outcome="answered",service="llm"}': 1,
        }
        increase = {name: found[name] - before.get(name, 0) for name in counted}
        self.assertEqual(counted, increase)
        expected = {
            'heatherfork_members{status="alive"}': 1,
            "heatherfork_configuration_revision": 3,
            "heatherfork_replicas": 5,
            "heatherfork_relay_open_requests": 0,
        }
        self.assertEqual(expected, {name: found.get(name) for name in expected})
        self.assertLess(found['heatherfork_store_news_age_seconds{reader="routing"}'], 2)
        other = self.node.call(self.node.metrics_port, b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(404, other[0])

    def test_slow_request_head_gets_408(self):
        with socket.create_connection(("127.0.0.1", self.node.caller_port), 8) as caller:
            caller.sendall(b"POST /once/x HTTP/1.1\r\nHost")
            self.assertEqual(408, read_answer(caller)[0])

    def test_reuses_connection_for_several_requests(self):
        with socket.create_connection(("127.0.0.1", self.node.caller_port), 8) as caller:
            for _ in range(5):
                caller.sendall(request("/often/x", self.next_request_id()))
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

    def test_node_gets_updates_from_peer_without_store(self):
        first = self.start("n1")
        first.wait_ready()
        unresponsive = socket.create_server(("127.0.0.1", 0))
        second = Node("n2", "127.0.0.1:%d" % unresponsive.getsockname()[1], seed=first.address)
        self.nodes.append(second)
        second.wait_ready()
        self.assertEqual(200, second.send_request("/often/x")[0])
        changed = configuration(4)
        changed["Routes"][0]["PathPrefix"] = "/moved/"
        self.platform.store.put("op/config", changed)
        wait_until(lambda: second.send_request("/moved/x", "m1")[0] == 200)
        unresponsive.close()

    def test_runs_without_metrics_if_port_is_in_use(self):
        occupied = socket.create_server(("127.0.0.1", 0))
        node = self.start("n1", metrics_port=occupied.getsockname()[1])
        node.wait_ready()
        self.assertEqual(200, node.send_request("/often/x")[0])
        self.assertIn("event=metrics-unavailable", node.log())
        occupied.close()

    def test_two_nodes_read_store_for_all(self):
        first = self.start("n1")
        nodes = [first] + [
            self.start("n%d" % n, seed=first.address) for n in range(2, 6)
        ]
        for node in nodes:
            node.wait_ready()
        non_readers = lambda: [
            node for node in nodes if "reads_for_others=no" in node.log()
        ]
        wait_until(lambda: len(non_readers()) == 3)
        time.sleep(4)  # A reader sends updates once the store has answered for 3 s.
        before = self.platform.store.calls
        time.sleep(3)
        # Two nodes watch two prefixes each with a period of 750 ms. Five nodes
        # that all read the store would make at least 40 calls.
        self.assertLessEqual(self.platform.store.calls - before, 2 * 2 * (4 + 1))
        changed = configuration(4)
        changed["Routes"][0]["PathPrefix"] = "/moved/"
        self.platform.store.put("op/config", changed)
        for node in nodes:
            wait_until(lambda: node.send_request("/moved/x", "m" + str(node.caller_port))[0] == 200)
        for node in nodes:
            if node not in non_readers():
                node.process.send_signal(signal.SIGKILL)
        changed["Version"] = 5
        changed["Routes"][0]["PathPrefix"] = "/again/"
        start_time = time.monotonic()
        self.platform.store.put("op/config", changed)
        for node in non_readers():
            wait_until(lambda: node.send_request("/again/x", "a" + str(node.caller_port))[0] == 200)
        self.assertLess(time.monotonic() - start_time, 2)

    def test_node_is_ready_within_two_seconds_of_restart(self):
        node = self.start("n1")
        node.wait_ready()
        node.stop()
        start_time = time.monotonic()
        self.start("n1").wait_ready()
        self.assertLess(time.monotonic() - start_time, 2)

    def test_planned_stop_finishes_open_requests(self):
        node = self.start("n1")
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= 5)
        with socket.create_connection(("127.0.0.1", node.caller_port), 8) as caller:
            caller.sendall(request("/stream/x", "s1", more="Token-Usage: 10,50\r\n"))
            node.process.send_signal(signal.SIGTERM)
            self.assertTrue(read_answer(caller)[3])
        wait_until(lambda: not node.is_ready())
        self.assertEqual(0, node.process.wait(8))

    def test_unread_log_does_not_delay_requests(self):
        node = self.start("n1", leave_log_unread=True)
        node.wait_ready()
        wait_until(lambda: node.send_request("/often/x")[0] == 200)
        start_time = time.monotonic()
        for number in range(1500):  # Their log lines exceed the capacity of a pipe.
            self.assertEqual(200, node.send_request("/often/x", "u%d" % number)[0])
        self.assertLess(time.monotonic() - start_time, 30)
        with open(f"/proc/{node.process.pid}/status") as status:
            resident = next(line for line in status if line.startswith("VmRSS"))
        self.assertLess(int(resident.split()[1]), 60000)
        os.read(node.process.stdout.fileno(), 65536)


if __name__ == "__main__":
    unittest.main()
