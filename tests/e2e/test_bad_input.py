"""Input that no node takes: a stable 4xx with its identifier, and nothing
that reaches a backend server."""

import json
import re
import socket
import unittest

from callers import complete, key_fields, plain
from cluster import Cluster
from processes import GIVE_UP_SECONDS, HOST
from publication import TENANT_KEYS

BODY_BYTES = 64 * 1024
BODY_TIMEOUT_MS = 500
COMPLETIONS = "/v1/completions"
RESERVE = "/v1/services/booking/reserve"
SOUND = {"model": "clerk", "prompt": "p", "max_tokens": 1}
# What is no HTTP is refused with an identifier too.
NO_HTTP = (400, "bad-http")


def post(path, body, *headers, key=TENANT_KEYS["depot"], length=None):
    """The bytes of one POST; a body that is no bytes is written as JSON."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: h", "Connection: close", f"Authorization: Bearer {key}", *headers]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def completion(**changes):
    """A completion that is sound but for some fields; None leaves one out."""
    body = {name: value for name, value in (SOUND | changes).items() if value is not None}
    return post(COMPLETIONS, body)


def nested(depth):
    return b'{"model": ' + b"[" * depth + b"]" * depth + b"}"


MUST_NOT_REPEAT = key_fields("k", "node-0/00000000000000aa")

# name, bytes, (status, identifier)
TABLE = [
    ("not JSON", post(COMPLETIONS, b"{nope"), (400, "bad-json")),
    ("empty body", post(COMPLETIONS, b""), (400, "bad-json")),
    ("an array", post(COMPLETIONS, []), (400, "bad-json")),
    ("two documents", post(COMPLETIONS, b"{} {}"), (400, "bad-json")),
    ("truncated JSON", post(COMPLETIONS, json.dumps(SOUND).encode()[:-3]), (400, "bad-json")),
    ("deep nesting", post(COMPLETIONS, nested(5000)), (400, "bad-json")),
    ("wrong encoding", post(COMPLETIONS, b'{"model": "\xff\xfe"}'), (400, "bad-json")),
    ("UTF-16", post(COMPLETIONS, json.dumps(SOUND).encode("utf-16")), (400, "bad-json")),
    ("oversized", post(COMPLETIONS, {"prompt": "x" * BODY_BYTES}), (413, "too-large")),
    ("announced oversized", post(COMPLETIONS, b"", length=10**12), (413, "too-large")),
    ("no length", b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
     + TENANT_KEYS["depot"].encode() + b"\r\n\r\n", (400, "bad-json")),
    ("prompt of wrong type", completion(prompt=7), (400, "bad-field")),
    ("no prompt", completion(prompt=None), (400, "bad-field")),
    ("no model", completion(model=None), (400, "bad-field")),
    ("tokens as text", completion(max_tokens="8"), (400, "bad-field")),
    ("no tokens wanted", completion(max_tokens=0), (400, "bad-field")),
    ("far too many tokens", completion(max_tokens=10**15), (400, "bad-field")),
    ("number beyond 64 bits", completion(max_tokens=10**30), (400, "bad-json")),
    ("tokens as fraction", completion(max_tokens=1.5), (400, "bad-field")),
    ("unknown field", completion(extra=1), (400, "bad-field")),
    ("deadline in the past", completion(deadline_ms=-1), (400, "bad-field")),
    ("long key", completion(key="k" * 5000), (400, "bad-field")),
    ("unknown model", completion(model="none"), (404, "unknown-model")),
    ("unknown adapter", completion(adapter="none"), (404, "unknown-model")),
    ("unknown class", completion(**{"class": "none"}), (400, "unknown-class")),
    ("unknown service", post("/v1/services/none/x", {"body": 1}), (404, "unknown-call")),
    ("unknown call", post("/v1/services/booking/none", {"body": 1}), (404, "unknown-call")),
    ("no service", post("/v1/services/", {"body": 1}), (404, "unknown-call")),
    ("no body of the call", post(RESERVE, MUST_NOT_REPEAT), (400, "bad-field")),
    ("no key", post(RESERVE, {"body": 1}), (400, "key-required")),
    ("no home", post(RESERVE, {"body": 1, "key": "k"}), (400, "home-required")),
    ("home without slash", post(RESERVE, MUST_NOT_REPEAT | {"body": 1, "home": "n"}), (400, "bad-field")),
    ("expiry as text", post(RESERVE, MUST_NOT_REPEAT | {"body": 1, "key_expires_ms": "x"}), (400, "bad-field")),
    ("unknown tenant", post(COMPLETIONS, SOUND, key="nobody"), (401, "unauthorized")),
    ("empty bearer", post(COMPLETIONS, SOUND, key=""), (401, "unauthorized")),
    ("unknown path", post("/v2/none", SOUND), (404, "not-found")),
    ("wrong method", b"PUT /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", (405, "method-not-allowed")),
    ("slow sender", post(COMPLETIONS, b"{", length=100), (408, "slow-sender")),
    ("too many headers", post(COMPLETIONS, SOUND, *(f"X-{n}: 1" for n in range(1000))), NO_HTTP),
    ("long header", post(COMPLETIONS, SOUND, "X-Long: " + "x" * 100_000), (431, "header-too-large")),
    ("10 MB of header", post(COMPLETIONS, SOUND, "X-Long: " + "x" * 10_000_000), (431, "header-too-large")),
    ("no HTTP", b"\x00\x01\x02\r\n\r\n", NO_HTTP),
    ("length of wrong type", post(COMPLETIONS, SOUND, length="x"), NO_HTTP),
    ("negative length", post(COMPLETIONS, SOUND, length=-5), NO_HTTP),
]

# Heads that two programs could read differently: name, fields, body.
IN_DOUBT = [
    ("two lengths", "Content-Length: 1\r\nContent-Length: 2\r\n", b"ab"),
    ("length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n"),
    ("length and another coding", "Content-Length: 5\r\nTransfer-Encoding: xchunked\r\n", b"0\r\n\r\n"),
    ("another coding", "Transfer-Encoding: xchunked\r\n", b"0\r\n\r\n"),
    ("length with a sign", "Content-Length: +2\r\n", b"{}"),
    ("blank before the colon", "Content-Length : 2\r\n", b"{}"),
    ("folded field", "X: a\r\n b\r\nContent-Length: 2\r\n", b"{}"),
    ("bare line end", "X: a\nContent-Length: 2\r\n", b"{}"),
    ("zero byte", "X: a\0b\r\nContent-Length: 2\r\n", b"{}"),
    ("bad chunk", "Transfer-Encoding: chunked\r\n", b"zz\r\n{}\r\n0\r\n\r\n"),
]
# Refused for what they ask, with bytes left on the connection.
UNREAD = [
    ("oversized", f"Content-Length: {10**12}\r\n", b""),
    ("oversized in chunks", "Transfer-Encoding: chunked\r\n", b"fffff\r\n" + b"x" * 100_000),
]


def exchange(port, data):
    """Sends bytes and reads the answer to the close of the connection."""
    with socket.create_connection((HOST, port), timeout=GIVE_UP_SECONDS) as connection:
        received = b""
        try:
            connection.sendall(data)
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            pass  # The node may close before it has read all.
    return received


def answers(received):
    """The status of each answer that the bytes hold."""
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]


def reading(received):
    """Status and identifier of an answer; Nones when there is none."""
    head, _, body = received.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    status = int(words[1]) if len(words) > 1 else None
    try:
        return status, json.loads(body)["error"]["id"]
    except (ValueError, KeyError):
        return status, None


class BadInput(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        limits = {"body_bytes": BODY_BYTES, "body_timeout_ms": BODY_TIMEOUT_MS}
        cls.cluster = Cluster(nodes=1, limits=limits)
        cls.addClassCleanup(cls.cluster.close)

    def test_expired_key(self):
        home = self.cluster.home("node-0")
        fields = key_fields("late", home) | {"key_expires_ms": 1}
        answer = plain(self.cluster.nodes["node-0"], "reserve", "late", **fields)
        self.assertEqual((410, "key-expired"), (answer.status, answer.json["error"]["id"]))

    def arrivals(self):
        """All that has reached a backend server."""
        engines = [engine.counters()["arrivals"] for engine in self.cluster.engines()]
        return engines, self.cluster.services[0].counters()["arrivals"]

    def test_table(self):
        node = self.cluster.nodes["node-0"]
        before = self.arrivals()
        for name, data, expected in TABLE:
            with self.subTest(name):
                self.assertEqual(expected, reading(exchange(node.port, data)))
        self.assertEqual(before, self.arrivals())
        self.assertEqual(200, complete(node, "still serving").status)

    def post_and_another(self, fields, body):
        """Sends a sound request right after one with these fields."""
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TENANT_KEYS['depot']}\r\n"
        data = head.encode() + fields.encode() + b"\r\n" + body + post(COMPLETIONS, SOUND)
        return exchange(self.cluster.nodes["node-0"].port, data)

    def test_what_is_in_doubt_ends_its_connection(self):
        before = self.arrivals()
        for name, fields, body in IN_DOUBT:
            with self.subTest(name):
                received = self.post_and_another(fields, body)
                self.assertEqual(NO_HTTP, reading(received))
                self.assertEqual(1, len(answers(received)))
        for name, fields, body in UNREAD:
            with self.subTest(name):
                received = self.post_and_another(fields, body)
                self.assertEqual((413, "too-large"), reading(received))
                self.assertEqual(1, len(answers(received)))
        self.assertEqual(before, self.arrivals())

    def test_a_body_that_nobody_reads_is_no_request(self):
        """Refused for its head: the body is a request of its own, smuggled."""
        smuggled = post(COMPLETIONS, SOUND)
        last = b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        before = self.arrivals()
        # A refusal ends the connection, an answer does not.
        for name, line, key, expected in [
            ("unknown tenant", f"POST {COMPLETIONS}", "nobody", [401]),
            ("unknown path", "POST /v2/none", TENANT_KEYS["depot"], [404]),
            ("wrong method", f"PUT {COMPLETIONS}", TENANT_KEYS["depot"], [405]),
            ("information", "GET /healthz", TENANT_KEYS["depot"], [200, 200]),
        ]:
            with self.subTest(name):
                head = f"{line} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(smuggled)}\r\n\r\n"
                received = exchange(self.cluster.nodes["node-0"].port, head.encode() + smuggled + last)
                self.assertEqual(expected, answers(received))
        self.assertEqual(before, self.arrivals())

    def test_trailers_are_no_request(self):
        chunks = json.dumps(SOUND).encode()
        chunks = b"%x\r\n%s\r\n0\r\nX: GET / HTTP/1.1\r\n\r\n" % (len(chunks), chunks)
        received = self.post_and_another("Transfer-Encoding: chunked\r\n", chunks)
        self.assertEqual([200, 200], answers(received))

    def test_senders_that_drip(self):
        """One byte at a time must not hold a thread for long."""
        port = self.cluster.nodes["node-0"].port
        table = [("headers", b"POST /v1/comp"), ("body", post(COMPLETIONS, b"{", length=10_000))]
        for name, begin in table:
            with self.subTest(name):
                self.assertTrue(is_cut(port, begin, 20 * BODY_TIMEOUT_MS))

    def test_idle_connections_do_not_keep_others_out(self):
        node = self.cluster.nodes["node-0"]
        idle = [socket.create_connection((HOST, node.port)) for _ in range(200)]
        try:
            self.assertEqual(200, complete(node, "beside idle connections").status)
        finally:
            for connection in idle:
                connection.close()


def is_cut(port, begin, drips):
    """Sends some bytes, then one a millisecond until the node closes."""
    with socket.create_connection((HOST, port)) as connection:
        connection.settimeout(0.001)
        connection.sendall(begin)
        for _ in range(drips):
            try:
                connection.sendall(b"x")
                connection.recv(1)
                return True
            except TimeoutError:
                continue
            except ConnectionError:
                return True
    return False


if __name__ == "__main__":
    unittest.main()
