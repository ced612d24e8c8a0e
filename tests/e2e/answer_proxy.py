"""A proxy before an HTTP server that sends other answers to chosen calls."""

import socket
import threading
import time
from dataclasses import dataclass

HOST = "127.0.0.1"
# Bounds the run time of a failing test.
MAX_OPEN_SECONDS = 20


@dataclass(frozen=True)
class RawAnswer:
    """Bytes that are sent in place of an answer."""

    bytes: bytes
    stays_open: bool = True


class AnswerProxy:
    """Listens on its own port and forwards one call of each connection.

    `answers` maps the begin of a path to a list of answers, each of which
    answers one such call in the server's place.
    """

    def __init__(self, to):
        self._to = to
        self.answers = {}
        self.calls = []  # Paths.
        self.open_seconds = []  # For how long callers kept connections that stay open.
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection:
            try:
                request = read_message(connection)
                path = request.split(b" ", 2)[1].decode()
                self.calls.append(path)
                answer = self._next_answer(path)
                if answer is None:
                    self._forward(connection, request)
                    return
                connection.sendall(answer.bytes)
                if answer.stays_open:
                    self._wait_for_close(connection)
            except (OSError, IndexError):
                pass  # The node has given up the call.

    def _wait_for_close(self, connection):
        started = time.monotonic()
        connection.settimeout(MAX_OPEN_SECONDS)
        try:
            connection.recv(1)
        finally:
            self.open_seconds.append(time.monotonic() - started)

    def _next_answer(self, path):
        for begin, answers in self.answers.items():
            if path.startswith(begin) and answers:
                return answers.pop(0)
        return None

    def _forward(self, connection, request):
        with socket.create_connection((HOST, self._to)) as server:
            watch = threading.Thread(target=end_with, args=(connection, server), daemon=True)
            watch.start()
            server.sendall(request)
            while data := server.recv(65536):
                connection.sendall(data)


def end_with(connection, server):
    """Closes the server's connection when the caller closes its own."""
    try:
        while connection.recv(65536):
            pass
        server.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Already closed.


def read_message(connection):
    """Reads a message with a length, or one without a body."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return data
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    for line in head.split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        if name.lower() == b"content-length":
            while len(body) < int(value):
                body += connection.recv(65536)
    return head + b"\r\n\r\n" + body
