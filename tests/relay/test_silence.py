"""Tests that a replica's silence alone does not end a call."""
import signal
import socket
import threading
import unittest

from relay_nodes import Node, Platform, read_answer, request, wait_until

TOKENS = "Token-Usage: 10,50\r\n"


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()

    def start(self, **more):
        node = Node("n1", self.platform.store.address, **more)
        self.addCleanup(node.stop)
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= 5)
        return node

    def assert_complete(self, answer, path):
        status, _, body, is_complete = answer
        self.assertEqual((200, True), (status, is_complete))
        if path == "/often/x":
            self.assertEqual(b"answer to r1", body)
            return
        for number in range(1, 6):
            self.assertEqual(1, body.count(b"id: %d\n" % number))

    # Guards against the cut of a live stream whose node had no retry left.
    def test_silent_replica_is_kept_without_retry_budget(self):
        """Rows: path, replicas that pause once, calls."""
        rows = [
            ("/resumable/x", self.platform.decode_replicas, 2),
            ("/resumable/x", [self.platform.prefill], 2),
            ("/often/x", self.platform.plain_replicas, 1),
        ]
        node = self.start(retry_slack=0)
        for path, paused, calls in rows:
            with self.subTest(path=path, paused=paused[0].name):
                before = len(self.platform.received("r1"))
                shared = ["pause"]
                for replica in paused:
                    replica.faults = shared
                self.assert_complete(node.send_request(path, more=TOKENS), path)
                self.assertEqual(calls, len(self.platform.received("r1")) - before)

    def test_silent_replica_is_kept_during_planned_stop(self):
        node = self.start(retry_slack=0)
        shared = ["pause"]
        for replica in self.platform.decode_replicas:
            replica.faults = shared
        with socket.create_connection(("127.0.0.1", node.caller_port), 8) as caller:
            caller.sendall(request("/resumable/x", more=TOKENS))
            wait_until(lambda: "event=began" in node.log())
            node.process.send_signal(signal.SIGTERM)
            self.assert_complete(read_answer(caller), "/resumable/x")
        self.assertEqual(0, node.process.wait(8))

    def test_silent_replica_is_kept_without_another_replica(self):
        """Rows: path, name of the replica that stays, its service."""
        rows = [
            ("/resumable/x", self.platform.decode_replicas, "llm"),
            ("/often/x", self.platform.plain_replicas, "desk"),
        ]
        node = self.start()
        for path, (kept, removed), service in rows:
            with self.subTest(path=path):
                self.platform.store.put("servers/" + removed.name, removed.entry(service, "draining"))
                wait_until(
                    lambda: "server=%s service=%s leaving=yes" % (removed.name, service) in node.log()
                )
                kept.faults = ["pause"]
                self.assert_complete(node.send_request(path, more=TOKENS), path)

    def test_silent_replica_is_replaced_before_the_first_event(self):
        node = self.start()
        shared = ["silent"]
        for replica in self.platform.decode_replicas:
            replica.faults = shared
        self.assert_complete(node.send_request("/resumable/x", more=TOKENS), "/resumable/x")
        self.assertEqual(4, len(self.platform.received("r1")))

    # Guards against the cut of a stream whose resumed run found its replica full.
    def test_begun_stream_outlives_pauses_with_full_replicas_beside_it(self):
        for slack in (0, 4, 1000):
            with self.subTest(slack=slack):
                self.check_paused_streams(slack)

    def check_paused_streams(self, slack):
        node = self.start(retry_slack=slack)
        shared = ["pause", "pause", "full", "full", "full", "full"]
        for replica in self.platform.decode_replicas:
            replica.faults = shared
        answers = {}

        def run(name):
            answers[name] = node.send_request("/resumable/x", name, more=TOKENS)

        threads = [threading.Thread(target=run, args=("r%d" % n,)) for n in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for name in ("r1", "r2"):
            self.assert_complete(answers[name], "/resumable/x")
            for fields in self.platform.received(name):
                self.assertNotIn("Last-Event-Id", fields)
        self.setUp()


if __name__ == "__main__":
    unittest.main()
