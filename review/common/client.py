"""A client's request and answer, over plain sockets."""
import random
import re
import socket
import time

from deployment import HOST


def request(path, request_id, deadline_ms, body=b"", more="", method="POST"):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
        method, path, HOST, request_id, deadline_ms
    )
    length = "Content-Length: %d\r\n" % len(body) if method == "POST" else ""
    return (head + more + length + "\r\n").encode() + body


def prompt_fields(prompt_tokens=3200, most=72):
    """The fields of a request for a stream: a shared part and one of its own."""
    return "Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: a1b2c3d4:200,%x:%d\r\n" % (
        prompt_tokens, most, random.getrandbits(32), prompt_tokens - 200
    )


class Answer:
    """`status` is 0 without a head. `complete`: its end, as framed, was read."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.ended = ""  # Why nothing more came.
        self.seconds = 0.0

    def __str__(self):
        return "status=%d bytes=%d complete=%s after=%.3fs %s" % (
            self.status, len(self.body), "yes" if self.complete else "no", self.seconds, self.ended
        )


def exchange(port, raw, timeout, connection=None):
    """Sends one request on a new connection, or on `connection`."""
    answer = Answer()
    started = time.monotonic()
    data = b""
    own = connection is None
    try:
        if own:
            connection = socket.create_connection(("127.0.0.1", port), 1)
        connection.settimeout(timeout)
        connection.sendall(raw)
        while not answer.complete:
            more = connection.recv(65536)
            if not more:
                answer.ended = "closed"
                break
            data += more
            parse(answer, data)
    except OSError as error:
        answer.ended = repr(error)
    finally:
        if own and connection:
            connection.close()
    answer.seconds = time.monotonic() - started
    return answer


def parse(answer, data):
    match = re.match(rb"HTTP/1\.1 (\d{3})[^\r]*\r\n(.*?)\r\n\r\n", data, re.DOTALL)
    if not match:
        return
    answer.status = int(match.group(1))
    answer.fields = dict(line.split(": ", 1) for line in match.group(2).decode().split("\r\n"))
    rest = data[match.end():]
    if answer.fields.get("Transfer-Encoding") == "chunked":
        answer.body = rest
        answer.complete = rest.endswith(b"\r\n0\r\n\r\n") or rest == b"0\r\n\r\n"
    else:
        answer.body = rest
        answer.complete = len(rest) >= int(answer.fields.get("Content-Length", "0"))
