"""A model replica sends bytes without end in the body of a stream.

Other clients, with requests of their own on connections of their own, must not
get any of these bytes.
"""
import json
import random
import re
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
from deployment import HOST, TROUBLE, FakeStore, Node, configuration, entry, route  # noqa: E402

RUN_SECONDS = 45
STREAMS_AT_ONCE = 8
BOOKING_CLIENTS = 6
EVENTS = 72
EVENT_PAUSE_SECONDS = 0.033
READ_BYTES = 65536
READ_PAUSE_SECONDS = 0.01  # A client takes about 6 MB a second.

# Text that is no answer. It has blank lines, as text may.
NOISE = (b"lantern lantern lantern lantern lantern lantern\n\n" * 330)[:16384]


class Replica:
    """Answers requests as the pages say. `is_faulty`: its streams go bad."""

    def __init__(self, name, phase=None, is_faulty=False):
        self.name = name
        self.phase = phase
        self.is_faulty = is_faulty
        self.handles = 0
        self.lock = threading.Lock()
        self.run = {}  # Request id -> number of runs.
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        with connection:
            try:
                while True:
                    while b"\r\n\r\n" not in data:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    head, data = data.split(b"\r\n\r\n", 1)
                    lines = head.decode().split("\r\n")
                    fields = dict(line.split(": ", 1) for line in lines[1:])
                    length = int(fields.get("Content-Length", 0))
                    while len(data) < length:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    body, data = data[:length], data[length:]
                    if not self.answer(connection, lines[0], fields, body):
                        return
            except OSError:
                pass

    def answer(self, connection, line, fields, body):
        if line.startswith("DELETE /heatherfork/kv-handle/"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        request_id = fields["Request-Id"]
        head = "Request-Id: %s\r\n" % request_id
        if fields.get("Target-Instance") != self.name:
            connection.sendall(
                ("HTTP/1.1 421 Misdirected\r\n%sContent-Length: 0\r\n\r\n" % head).encode()
            )
            return True
        if fields.get("Stage") == "prefill":
            with self.lock:
                self.handles += 1
                text = json.dumps(
                    {"KvHandle": "%s-%d" % (self.name, self.handles), "Tokens": 3200, "Version": 1}
                )
            connection.sendall(
                (
                    "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n\r\n%s" % (head, len(text), text)
                ).encode()
            )
            return True
        with self.lock:
            self.run[request_id] = self.run.get(request_id, 0) + 1
        head += "Response-Signature: sig.%s\r\n" % request_id
        if self.phase == "decode":
            return self.stream(connection, head, request_id)
        time.sleep(0.06)
        text = ("booked " + request_id).ljust(800, ".")
        connection.sendall(
            ("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, len(text), text)).encode()
        )
        return True

    def stream(self, connection, head, request_id):
        connection.sendall(
            (
                "HTTP/1.1 200 OK\r\n%sWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % head
            ).encode()
        )
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: %s piece %d\n\n" % (number, request_id.encode(), number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_PAUSE_SECONDS)
        if self.is_faulty and TROUBLE:
            chunk = b"%x\r\n%s\r\n" % (len(NOISE), NOISE)
            while True:
                connection.sendall(chunk)  # Until the node closes.
        connection.sendall(b"0\r\n\r\n")
        return True


def request(path, request_id, deadline_ms, body, more=""):
    head = "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
        path, HOST, request_id, deadline_ms
    )
    return (head + more + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


def has_foreign_bytes(data):
    """Whether bytes of the replica's text are among them. A cut answer is none."""
    return NOISE[:16] in data


class Clients:
    def __init__(self, record, node):
        self.record = record
        self.node = node
        self.lock = threading.Lock()
        self.foreign = []
        self.lost = []
        self.sound = 0
        self.streams = 0
        self.until = time.monotonic() + RUN_SECONDS

    def is_over(self):
        return time.monotonic() > self.until or self.foreign or self.node.process.poll() is not None

    def read_streams(self, number):
        """Asks for streams and reads them at the pace of its link."""
        count = 0
        while not self.is_over():
            count += 1
            request_id = "digest-%d-%d" % (number, count)
            received = 0
            try:
                with socket.create_connection(("127.0.0.1", self.node.front), 2) as connection:
                    connection.settimeout(15)
                    connection.sendall(
                        request(
                            "/digest/x", request_id, 14000, b"prompt",
                            "Model: m\r\nToken-Usage: 3200,72\r\nPrompt-Prefix: a1:200,%x:3000\r\n"
                            % random.getrandbits(48),
                        )
                    )
                    tail = b""
                    while True:
                        data = connection.recv(READ_BYTES)
                        if not data:
                            break
                        received += len(data)
                        tail = (tail + data)[-16:]
                        if tail.endswith(b"\r\n0\r\n\r\n"):
                            break
                        time.sleep(READ_PAUSE_SECONDS)
            except OSError:
                pass
            with self.lock:
                self.streams += 1
            self.record.add("stream %s: %d bytes read" % (request_id, received))

    def book(self, number):
        """Books, with a new connection for every two requests, and checks each answer."""
        count = 0
        while not self.is_over():
            try:
                connection = socket.create_connection(("127.0.0.1", self.node.front), 1)
            except OSError:
                time.sleep(0.1)
                continue
            with connection:
                for _ in range(2):
                    count += 1
                    if not self.book_once(connection, "reserve-%d-%d" % (number, count)):
                        break
            time.sleep(0.05)

    def book_once(self, connection, request_id):
        connection.settimeout(4)
        data = b""
        try:
            connection.sendall(request("/reserve/x", request_id, 3000, b"book"))
            while True:
                more = connection.recv(65536)
                if not more:
                    break
                data += more
                match = re.match(
                    rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(.*?)\r\n\r\n(.*)\Z", data, re.DOTALL
                )
                if not match and not b"HTTP/1.1 "[: len(data)] == data[:9]:
                    break  # No answer in the protocol.
                if match:
                    length = re.search(rb"Content-Length: (\d+)", match.group(2))
                    if not length or len(match.group(3)) >= int(length.group(1)):
                        break
        except OSError as error:
            self.note_lost(request_id, "%r after %d bytes" % (error, len(data)))
            return False
        if not data:
            self.note_lost(request_id, "closed without an answer")
            return False
        expected = ("booked " + request_id).ljust(800, ".").encode()
        match = re.match(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n(.*?)\r\n\r\n(.*)\Z", data, re.DOTALL)
        if match and match.group(1) == b"200" and match.group(3) == expected:
            with self.lock:
                self.sound += 1
            return True
        is_refusal = match and match.group(1) in (b"429", b"502", b"503", b"504")
        if is_refusal and NOISE[:20] not in data:
            self.record.add("booking %s: status %s" % (request_id, match.group(1).decode()))
            return True
        if not has_foreign_bytes(data):
            self.note_lost(request_id, "%d bytes, then the end: %r" % (len(data), data[:60]))
            return False
        with self.lock:
            self.foreign.append(request_id)
        self.record.add(
            "FOREIGN booking %s got %d bytes: %r ... %r" % (request_id, len(data), data[:160], data[-60:])
        )
        return False

    def note_lost(self, request_id, text):
        with self.lock:
            self.lost.append(request_id)
        self.record.add("LOST booking %s: %s" % (request_id, text))


def case(record):
    store = FakeStore()
    store.put(
        "op/config",
        configuration(
            3,
            [
                route("/digest/", "llm", "stream", 14000),
                route("/reserve/", "desk", "non_idempotent", 3000),
            ],
        ),
    )
    replicas = [
        (Replica("i-prefill", "prefill"), "llm", 48),
        (Replica("i-decode", "decode", is_faulty=True), "llm", 48),
        (Replica("i-desk-1"), "desk", 6),
        (Replica("i-desk-2"), "desk", 6),
    ]
    for replica, service, slots in replicas:
        store.put("servers/" + replica.name, entry(replica, service, slots, replica.phase))
    node = Node("node-1", store)
    try:
        node.wait_ready()
        node.wait_logged("event=replica ", len(replicas))
        time.sleep(1)
        clients = Clients(record, node)
        threads = [
            threading.Thread(target=clients.read_streams, args=(n,), daemon=True)
            for n in range(STREAMS_AT_ONCE)
        ] + [
            threading.Thread(target=clients.book, args=(n,), daemon=True)
            for n in range(BOOKING_CLIENTS)
        ]
        for thread in threads:
            thread.start()
        while not clients.is_over():
            time.sleep(0.1)
        time.sleep(0.5)
        status = node.process.poll()
        record.add(
            "streams %d, bookings answered soundly %d, foreign %d, without an answer %d, "
            "exit status of the node: %s"
            % (clients.streams, clients.sound, len(clients.foreign), len(clients.lost), status)
        )
        if clients.foreign:
            return "MIXED: booking %s got bytes of another client's stream" % clients.foreign[0]
        if status is not None:
            return "the node's process ended by itself with status %d; %d bookings lost" % (
                status, len(clients.lost)
            )
        if clients.streams < 2 or clients.sound < 20:
            raise RuntimeError("too few requests were served")
        return None
    finally:
        node.end()


deployment.run_case(FOLDER, case)
