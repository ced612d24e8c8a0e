"""A replica as a stand-in, with the faults that replicas have."""
import json
import socket
import threading
import time


class FakeReplica:
    """Answers over raw sockets, so that its bytes can be wrong on purpose.

    Faults (one for each answer to come, in turn): "truncated", "garbage",
    "extra" (a late answer to another request before the right one),
    "unsigned", "encoded", "full", "elsewhere" (421), "silent", "reset",
    "unframed", "failed" (500), "cut-stream" (after two events).
    """

    def __init__(self, name, phase=None):
        self.name = name
        self.phase = phase
        self.faults = []
        self.arrived = []  # (head fields, body), as read.
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
                    more = connection.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                lines = head.decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in lines[1:])
                fields["line"] = lines[0]
                length = int(fields.get("Content-Length", 0))
                while len(data) < length:
                    data += connection.recv(65536)
                body, data = data[:length], data[length:]
                self.arrived.append((fields, body))
                if not self.answer(connection, fields, body):
                    return

    def answer(self, connection, fields, body):
        fault = self.faults.pop(0) if self.faults else ""
        own = fields["Request-Id"]
        if fault == "silent":
            self.wait_for_close(connection)
            return False
        if fault == "reset":
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            return False
        if fault == "garbage":
            connection.sendall(b"\x00\x01 no answer\r\n\r\n")
            return False
        if fault == "full":
            connection.sendall(whole(503, b"", own, signed=False, extra="Not-Executed: 1\r\n"))
            return True
        if fault == "elsewhere" or fields.get("Target-Instance") != self.name:
            connection.sendall(whole(421, b"", own, signed=False))
            return True
        if fields.get("Stage") == "prefill":
            text = json.dumps({"KvHandle": "kv1", "Tokens": 10, "Version": 1}).encode()
            connection.sendall(whole(200, text, own, signed=False))
            return True
        if self.phase:
            return self.stream(connection, own, fields, fault)
        text = b"answer to " + own.encode()
        if fault == "extra":
            connection.sendall(whole(200, b"another's", "other"))
        if fault == "truncated":
            connection.sendall(whole(200, text, own)[:-3])
            return False
        if fault == "unframed":
            connection.sendall(head_of(200, own, True) + b"\r\n" + text)
            return False
        if fault == "failed":
            connection.sendall(whole(500, b"it failed", own))
            return True
        extra = "Content-Encoding: gzip\r\n" if fault == "encoded" else ""
        connection.sendall(whole(200, text, own, fault != "unsigned", extra))
        return True

    def stream(self, connection, own, fields, fault):
        first = int(fields.get("Last-Event-Id", 0)) + 1
        head = head_of(200, own, True) + b"Content-Type: text/event-stream\r\n"
        connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(first, 6):
            if fault == "cut-stream" and number == first + 2:
                connection.sendall(b"20\r\nid: 9\nda")
                return False
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            try:
                connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            except OSError:
                self.closed_early.set()
                return False
            time.sleep(0.02)
        connection.sendall(b"0\r\n\r\n")
        return True

    def wait_for_close(self, connection):
        connection.settimeout(20)
        try:
            if connection.recv(1) == b"":
                self.closed_early.set()
        except OSError:
            self.closed_early.set()


def head_of(status, own, signed):
    text = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n" % (status, own)
    if signed:
        text += "Response-Signature: sig.%s\r\n" % own
    return text.encode()


def whole(status, body, own, signed=True, extra=""):
    length = "Content-Length: %d\r\n\r\n" % len(body)
    return head_of(status, own, signed) + extra.encode() + length.encode() + body
