"""Slow but sound streams are not cut, stalled ones end."""
import threading
import time
import unittest

from fake_replica import STREAM, encode_event
from relay_nodes import Node, Platform, configuration, wait_until

TOKENS = "Token-Usage: 10,50\r\n"
GAP_TARGET_MS = 100
# A stream that may be resumed counts as silent after four times its gap target.
SLOW_SECONDS = 0.9 * 4 * GAP_TARGET_MS / 1000
SOUND_SECONDS = 20
STALL_TIMEOUT_MS = 2000


def chunk(content):
    return b"%x\r\n%s\r\n" % (len(content), content)


def slow_stream(connection, fields):
    """Sends an event each SLOW_SECONDS, for SOUND_SECONDS."""
    connection.sendall(STREAM.replace(b"ID", fields["Request-Id"].encode()))
    first = int(fields.get("Last-Event-Id", 0)) + 1
    for number in range(first, int(SOUND_SECONDS / SLOW_SECONDS) + 2):
        connection.sendall(chunk(encode_event(number)))
        time.sleep(SLOW_SECONDS)
    connection.sendall(b"0\r\n\r\n")
    return True


class Dripping:
    """Sends some events, then a byte now and then within an event that never ends."""

    def __init__(self, events):
        self.events = events
        self.closed = threading.Event()

    def __call__(self, connection, fields):
        try:
            connection.sendall(STREAM.replace(b"ID", fields["Request-Id"].encode()))
            for number in range(1, self.events + 1):
                connection.sendall(chunk(encode_event(number)))
            connection.sendall(chunk(b"id: 9\ndata: "))
            while True:
                time.sleep(0.1)
                connection.sendall(chunk(b"a"))
        except OSError:
            self.closed.set()
        return False


class SlowStreamsTest(unittest.TestCase):
    def setUp(self):
        self.platform = Platform()

    def start(self, timeout_ms, **more):
        changed = configuration(4)
        for route in changed["Routes"]:
            route.update(TargetGapMs=GAP_TARGET_MS, TimeoutMs=timeout_ms)
        self.platform.store.put("op/config", changed)
        self.node = Node("n1", self.platform.store.address, **more)
        self.addCleanup(self.node.stop)
        self.node.wait_ready()
        wait_until(lambda: self.node.log().count("event=replica ") >= 5)

    def send(self, path, request_id):
        more = TOKENS + "Deadline-Ms: 40000\r\n"
        raw = (
            "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
            % (path, request_id, more)
        )
        return self.node.call(self.node.caller_port, raw.encode(), timeout=40)

    def test_slow_sound_stream_is_not_cut(self):
        self.start(timeout_ms=30000)
        for replica in self.platform.decode_replicas:
            replica.faults = [slow_stream] * 2
        answers = {}

        def run(path):
            answers[path] = self.send(path, "s" + path.replace("/", ""))

        threads = [threading.Thread(target=run, args=(path,)) for path in ("/stream/x", "/resumable/x")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for path, (status, _, body, is_complete) in answers.items():
            with self.subTest(path=path):
                self.assertEqual((200, True), (status, is_complete))
                for number in range(1, int(SOUND_SECONDS / SLOW_SECONDS) + 2):
                    self.assertEqual(1, body.count(encode_event(number)))
                calls = self.platform.received("s" + path.replace("/", ""))
                self.assertEqual(1, len([each for each in calls if "Stage" not in each]))

    def test_stalled_stream_ends(self):
        """Rows: path, events before the stall, retry slack, status, complete."""
        rows = [
            ("/stream/x", 2, 1000, 200, False),
            ("/stream/x", 0, 1000, 504, True),
            ("/resumable/x", 2, 1000, 200, False),
            ("/resumable/x", 0, 1000, 200, True),
            ("/resumable/x", 2, 0, 200, False),
        ]
        for path, events, slack, expected, expects_complete in rows:
            with self.subTest(path=path, events=events, slack=slack):
                self.setUp()
                self.start(timeout_ms=STALL_TIMEOUT_MS, retry_slack=slack)
                dripping = Dripping(events)
                shared = [dripping]
                for replica in self.platform.decode_replicas:
                    replica.faults = shared
                started = time.monotonic()
                status, _, body, is_complete = self.send(path, "r1")
                # A node has half a second after the route's timeout.
                self.assertLess(time.monotonic() - started, STALL_TIMEOUT_MS / 1000 + 0.5)
                self.assertEqual((expected, expects_complete), (status, is_complete))
                self.assertTrue(dripping.closed.wait(0.5))
                self.assertNotIn(b"id: 9\n", body)
                if status == 200:
                    for number in range(1, 6 if expects_complete else events + 1):
                        self.assertEqual(1, body.count(encode_event(number)))


if __name__ == "__main__":
    unittest.main()
