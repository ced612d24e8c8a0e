"""A sound replica: plain, prefill or decode, as PROTOCOL describes it."""
import json
import socket
import threading
import time


def read_request(connection, data):
    """Returns (first line, fields, body, bytes left), or None at the end."""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    length = int(fields.get("Content-Length", 0))
    while len(data) < length:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    return lines[0], fields, data[:length], data[length:]


class Replica:
    def __init__(self, name, record, phase=None, events=72, pause=0.03, work=0.06, address=None):
        self.name = name
        self.record = record
        self.phase = phase
        self.events = events
        self.pause = pause
        self.work = work
        self.handles = 0
        self.lock = threading.Lock()
        self.runs = {}  # Request id -> number of runs.
        self.calls = []  # (time, request id, path) of each request that came.
        self.listener = socket.create_server(address or ("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        data = b""
        with connection:
            try:
                while True:
                    read = read_request(connection, data)
                    if read is None:
                        return
                    line, fields, body, data = read
                    if not self.answer(connection, line, fields, body):
                        return
            except OSError:
                pass

    def answer(self, connection, line, fields, body):
        if line.startswith("DELETE /heatherfork/kv-handle/"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        request_id = fields["Request-Id"]
        head = "Request-Id: %s\r\n" % request_id
        with self.lock:
            self.calls.append((time.monotonic(), request_id, line.split(" ")[1]))
        if fields.get("Target-Instance") != self.name:
            self.send(connection, "421 Misdirected Request", head, "")
            return True
        if fields.get("Stage") == "prefill":
            with self.lock:
                self.handles += 1
                handle = "%s-%d" % (self.name, self.handles)
            text = json.dumps({"KvHandle": handle, "Tokens": 3200, "Version": 1})
            self.send(connection, "200 OK", head + "Content-Type: application/json\r\n", text)
            return True
        with self.lock:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.add("replica %s runs %s" % (self.name, request_id))
        return self.run(connection, head, request_id, fields)

    def run(self, connection, head, request_id, fields):
        head += "Response-Signature: sig.%s\r\n" % request_id
        if self.phase == "decode":
            return self.stream(connection, head, request_id, fields)
        time.sleep(self.work)
        self.send(connection, "200 OK", head, ("done " + request_id).ljust(800, "."))
        return True

    @staticmethod
    def send(connection, status, head, text):
        connection.sendall(
            (
                "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, head, len(text), text)
            ).encode()
        )

    def stream(self, connection, head, request_id, fields):
        connection.sendall(
            (
                "HTTP/1.1 200 OK\r\n%sWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % head
            ).encode()
        )
        first = int(fields.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.events + 1):
            event = b"id: %d\ndata: %s piece %d\n\n" % (number, request_id.encode(), number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.pause)
        connection.sendall(b"0\r\n\r\n")
        return True
