"""Simulated replica that can inject faults."""
import json
import socket
import threading
import time


SIGNED = b"Request-Id: ID\r\nResponse-Signature: sig.ID\r\n"
UNSIGNED = b"Request-Id: ID\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = b"HTTP/1.1 200 X\r\n" + SIGNED + b"Content-Type: text/event-stream\r\n" + CHUNKED
PAUSE_SECONDS = 2.5
LARGE_BYTES = 1_500_000
CHUNK = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"
COMMENTS = b"4000\r\n" + b": a\n" * 0x1000 + b"\r\n"
COMMENT_EVENTS = b"5000\r\n" + b": a\n\n" * 0x1000 + b"\r\n"

# What an endless answer begins with, and what is sent again and again.
ENDLESS = {
    "endless-unsigned": (b"HTTP/1.1 200 X\r\n" + UNSIGNED + CHUNKED, CHUNK),
    "endless-signed": (b"HTTP/1.1 200 X\r\n" + SIGNED + CHUNKED, CHUNK),
    "endless-failed": (b"HTTP/1.1 500 X\r\n" + SIGNED + CHUNKED, CHUNK),
    "endless-length": (
        b"HTTP/1.1 200 X\r\n" + SIGNED + b"Content-Length: 99999999999\r\n\r\n",
        b"a" * 0x4000,
    ),
    "endless-event": (STREAM, CHUNK),
    "endless-comments": (STREAM, COMMENTS),
    "endless-comment-events": (STREAM, COMMENT_EVENTS),
    "endless-head": (b"HTTP/1.1 200 X\r\n", b"X-More: " + b"a" * 0x1000 + b"\r\n"),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 0x100),
    "endless-others": (b"", b"HTTP/1.1 200 X\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\na"),
    "endless-trailer": (
        b"HTTP/1.1 200 X\r\n" + SIGNED + CHUNKED + b"1\r\na\r\n0\r\n",
        b"X-More: " + b"a" * 0x1000 + b"\r\n",
    ),
    "endless-blank-lines": (b"", b"\r\n" * 0x1000),
}


class FakeReplica:
    """Serves HTTP over raw sockets, so that it can send invalid responses.

    Each response consumes one entry of the fault list: "truncated", "garbage",
    "extra" (first sends a late response to another request), "unsigned",
    "encoded", "full" (503, not run), "elsewhere" (421), "silent", "reset",
    "unframed", "large" (of LARGE_BYTES), "failed" (500), "cut-stream" (after
    two events), "pause" (none of the answer, or no event after the second one, for PAUSE_SECONDS), those
    of ENDLESS, which send bytes until the node closes the connection, or a
    function that answers in their place, such as one of unframed().
    """

    def __init__(self, name, phase=None):
        self.name = name
        self.phase = phase
        self.faults = []
        self.received = []  # (header fields, body) of each request.
        self.identified = []  # (time, request id) of each request.
        self.raw = []  # All bytes that came.
        self.closed_early = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, service, state="ready"):
        entry = {
            "Service": service,
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1700000000000,
        }
        if self.phase:
            entry["Phase"] = self.phase
        return entry

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        with connection:
            while True:
                while b"\r\n\r\n" not in data:
                    try:
                        more = connection.recv(65536)
                    except ConnectionResetError:
                        return
                    if not more:
                        return
                    self.raw.append(more)
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:])
                fields["line"] = lines[0]
                length = int(fields.get("Content-Length", 0))
                while len(data) < length:
                    more = connection.recv(65536)
                    if not more:
                        return
                    self.raw.append(more)
                    data += more
                body, data = data[:length], data[length:]
                self.identified.append((time.monotonic(), fields.get("Request-Id")))
                self.received.append((fields, body))
                if not self.answer(connection, fields, body):
                    return

    def answer(self, connection, fields, body):
        if "Request-Id" not in fields:
            # A call that frees a KV cache.
            connection.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            return True
        fault = self.faults.pop(0) if self.faults else ""
        request_id = fields["Request-Id"]
        if callable(fault):
            return fault(connection, fields)
        if fault == "silent":
            self.wait_for_close(connection)
            return False
        if fault == "reset":
            reset_on_close(connection)
            return False
        if fault == "garbage":
            connection.sendall(b"\x00\x01 no answer\r\n\r\n")
            return False
        if fault in ENDLESS:
            self.send_without_end(connection, request_id, *ENDLESS[fault])
            return False
        if fault == "full":
            connection.sendall(
                encode_response(503, b"", request_id, signed=False, extra="Not-Executed: 1\r\n")
            )
            return True
        if fault == "elsewhere" or fields.get("Target-Instance") != self.name:
            connection.sendall(encode_response(421, b"", request_id, signed=False))
            return True
        if fault == "pause" and self.phase != "decode":
            time.sleep(PAUSE_SECONDS)
        if fields.get("Stage") == "prefill":
            text = json.dumps({"KvHandle": "kv1", "Tokens": 10, "Version": 1}).encode()
            connection.sendall(encode_response(200, text, request_id, signed=False))
            return True
        if self.phase and fault == "failed":
            connection.sendall(encode_response(500, b"it failed", request_id))
            return True
        if self.phase:
            return self.stream(connection, request_id, fields, fault)
        text = b"answer to " + request_id.encode()
        if fault == "large":
            text = text.ljust(LARGE_BYTES, b"a")
        if fault == "extra":
            connection.sendall(encode_response(200, b"another's", "other"))
        if fault == "truncated":
            connection.sendall(encode_response(200, text, request_id)[:-3])
            return False
        if fault == "unframed":
            connection.sendall(encode_head(200, request_id, True) + b"\r\n" + text)
            return False
        if fault == "failed":
            connection.sendall(encode_response(500, b"it failed", request_id))
            return True
        extra = "Content-Encoding: gzip\r\n" if fault == "encoded" else ""
        connection.sendall(encode_response(200, text, request_id, fault != "unsigned", extra))
        return True

    def stream(self, connection, request_id, fields, fault):
        first = int(fields.get("Last-Event-Id", 0)) + 1
        head = encode_head(200, request_id, True) + b"Content-Type: text/event-stream\r\n"
        connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, 6):
            if fault == "cut-stream" and number == first + 2:
                connection.sendall(b"20\r\nid: 9\nda")
                return False
            if fault == "pause" and number == first + 2:
                time.sleep(PAUSE_SECONDS)
            event = encode_event(number)
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                self.closed_early.set()
                return False
            time.sleep(0.02)
        connection.sendall(b"0\r\n\r\n")
        return True

    def send_without_end(self, connection, request_id, head, piece):
        try:
            connection.sendall(head.replace(b"ID", request_id.encode()))
            while True:
                connection.sendall(piece)
        except OSError:
            self.closed_early.set()

    def wait_for_close(self, connection):
        connection.settimeout(20)
        try:
            if connection.recv(1) == b"":
                self.closed_early.set()
        except OSError:
            self.closed_early.set()


def reset_on_close(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


def encode_event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def encode_head(status, request_id, signed):
    text = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n" % (status, request_id)
    if signed:
        text += "Response-Signature: sig.%s\r\n" % request_id
    return text.encode()


def encode_response(status, body, request_id, signed=True, extra=""):
    length = "Content-Length: %d\r\n\r\n" % len(body)
    return encode_head(status, request_id, signed) + extra.encode() + length.encode() + body
