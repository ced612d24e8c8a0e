"""Invalid input is refused with a stable 4xx status and error identifier, and
does not reach a backend server."""

import json
import re
import socket
import unittest

from callers import complete, key_fields, plain
from cluster import Cluster
from processes import HOST, WAIT_TIMEOUT_SECONDS
from publication import TENANT_KEYS

BODY_BYTES = 64 * 1024
BODY_TIMEOUT_MS = 500
COMPLETIONS = "/v1/completions"
RESERVE = "/v1/services/booking/reserve"
VALID_REQUEST = {"model": "clerk", "prompt": "p", "max_tokens": 1}
# Malformed HTTP is refused with an error identifier too.
BAD_HTTP = (400, "bad-http")


def post(path, body, *headers, key=TENANT_KEYS["depot"], length=None):
    """Returns the bytes of one POST; a body other than bytes is encoded as JSON."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: h", "Connection: close", f"Authorization: Bearer {key}", *headers]
    lines.append(f"Content-Length: {len(body) if length is None else length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def completion(**changes):
    """Returns a valid completion with fields changed; None removes a field."""
    body = {name: value for name, value in (VALID_REQUEST | changes).items() if value is not None}
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
    ("truncated JSON", post(COMPLETIONS, json.dumps(VALID_REQUEST).encode()[:-3]), (400, "bad-json")),
    ("deep nesting", post(COMPLETIONS, nested(5000)), (400, "bad-json")),
    ("wrong encoding", post(COMPLETIONS, b'{"model": "\xff\xfe"}'), (400, "bad-json")),
    ("UTF-16", post(COMPLETIONS, json.dumps(VALID_REQUEST).encode("utf-16")), (400, "bad-json")),
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
    ("unknown tenant", post(COMPLETIONS, VALID_REQUEST, key="nobody"), (401, "unauthorized")),
    ("empty bearer", post(COMPLETIONS, VALID_REQUEST, key=""), (401, "unauthorized")),
    ("unknown path", post("/v2/none", VALID_REQUEST), (404, "not-found")),
    ("wrong method", b"PUT /v1/completions HTTP/1.1\r\nHost: h\r\n\r\n", (405, "method-not-allowed")),
    ("slow sender", post(COMPLETIONS, b"{", length=100), (408, "slow-sender")),
    ("too many headers", post(COMPLETIONS, VALID_REQUEST, *(f"X-{n}: 1" for n in range(1000))), BAD_HTTP),
    ("long header", post(COMPLETIONS, VALID_REQUEST, "X-Long: " + "x" * 100_000), (431, "header-too-large")),
    ("10 MB of header", post(COMPLETIONS, VALID_REQUEST, "X-Long: " + "x" * 10_000_000), (431, "header-too-large")),
    ("no HTTP", b"\x00\x01\x02\r\n\r\n", BAD_HTTP),
    ("length of wrong type", post(COMPLETIONS, VALID_REQUEST, length="x"), BAD_HTTP),
    ("negative length", post(COMPLETIONS, VALID_REQUEST, length=-5), BAD_HTTP),
]

# Framing that two HTTP parsers could interpret differently (request smuggling):
# name, fields, body.
AMBIGUOUS_FRAMING = [
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
# Refused before the body is read, with bytes left on the connection.
UNREAD_BODIES = [
    ("oversized", f"Content-Length: {10**12}\r\n", b""),
    ("oversized in chunks", "Transfer-Encoding: chunked\r\n", b"fffff\r\n" + b"x" * 100_000),
]


def exchange(port, data):
    """Sends bytes and reads until the connection is closed."""
    with socket.create_connection((HOST, port), timeout=WAIT_TIMEOUT_SECONDS) as connection:
        received = b""
        try:
            connection.sendall(data)
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            pass  # The node may close the connection before it has read everything.
    return received


def statuses(received):
    """Returns the status of each HTTP response in the bytes."""
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]


def status_and_error(received):
    """Returns status and error identifier of a response; None where absent."""
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

    def test_refuses_expired_key(self):
        home = self.cluster.home("node-0")
        fields = key_fields("late", home) | {"key_expires_ms": 1}
        answer = plain(self.cluster.nodes["node-0"], "reserve", "late", **fields)
        self.assertEqual((410, "key-expired"), (answer.status, answer.json["error"]["id"]))

    def arrivals(self):
        """Returns the calls that have reached backend servers."""
        engines = [engine.counters()["arrivals"] for engine in self.cluster.engines()]
        return engines, self.cluster.services[0].counters()["arrivals"]

    def test_rejects_invalid_input(self):
        node = self.cluster.nodes["node-0"]
        before = self.arrivals()
        for name, data, expected in TABLE:
            with self.subTest(name):
                self.assertEqual(expected, status_and_error(exchange(node.port, data)))
        self.assertEqual(before, self.arrivals())
        self.assertEqual(200, complete(node, "still serving").status)

    def send_with_next_request(self, fields, body):
        """Sends a request with these fields, directly followed by a valid one."""
        head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {TENANT_KEYS['depot']}\r\n"
        data = head.encode() + fields.encode() + b"\r\n" + body + post(COMPLETIONS, VALID_REQUEST)
        return exchange(self.cluster.nodes["node-0"].port, data)

    def test_closes_connection_after_ambiguous_request(self):
        before = self.arrivals()
        for name, fields, body in AMBIGUOUS_FRAMING:
            with self.subTest(name):
                received = self.send_with_next_request(fields, body)
                self.assertEqual(BAD_HTTP, status_and_error(received))
                self.assertEqual(1, len(statuses(received)))
        for name, fields, body in UNREAD_BODIES:
            with self.subTest(name):
                received = self.send_with_next_request(fields, body)
                self.assertEqual((413, "too-large"), status_and_error(received))
                self.assertEqual(1, len(statuses(received)))
        self.assertEqual(before, self.arrivals())

    def test_unread_body_is_not_parsed_as_request(self):
        """Guards against request smuggling: the body of a request that is answered
        without reading it contains another request, which must not run."""
        smuggled = post(COMPLETIONS, VALID_REQUEST)
        next_request = b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        before = self.arrivals()
        # A refusal closes the connection, a successful answer does not.
        for name, line, key, expected in [
            ("unknown tenant", f"POST {COMPLETIONS}", "nobody", [401]),
            ("unknown path", "POST /v2/none", TENANT_KEYS["depot"], [404]),
            ("wrong method", f"PUT {COMPLETIONS}", TENANT_KEYS["depot"], [405]),
            ("information", "GET /healthz", TENANT_KEYS["depot"], [200, 200]),
        ]:
            with self.subTest(name):
                head = f"{line} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\nContent-Length: {len(smuggled)}\r\n\r\n"
                received = exchange(self.cluster.nodes["node-0"].port, head.encode() + smuggled + next_request)
                self.assertEqual(expected, statuses(received))
        self.assertEqual(before, self.arrivals())

    def test_trailers_are_not_parsed_as_request(self):
        chunks = json.dumps(VALID_REQUEST).encode()
        chunks = b"%x\r\n%s\r\n0\r\nX: GET / HTTP/1.1\r\n\r\n" % (len(chunks), chunks)
        received = self.send_with_next_request("Transfer-Encoding: chunked\r\n", chunks)
        self.assertEqual([200, 200], statuses(received))

    def test_disconnects_slow_senders(self):
        """A sender of single bytes must not hold a thread beyond the timeout."""
        port = self.cluster.nodes["node-0"].port
        table = [("headers", b"POST /v1/comp"), ("body", post(COMPLETIONS, b"{", length=10_000))]
        for name, first_bytes in table:
            with self.subTest(name):
                self.assertTrue(is_disconnected(port, first_bytes, 20 * BODY_TIMEOUT_MS))

    def test_idle_connections_do_not_block_requests(self):
        node = self.cluster.nodes["node-0"]
        idle = [socket.create_connection((HOST, node.port)) for _ in range(200)]
        try:
            self.assertEqual(200, complete(node, "beside idle connections").status)
        finally:
            for connection in idle:
                connection.close()


def is_disconnected(port, first_bytes, max_bytes):
    """Sends first_bytes, then one byte per millisecond; returns whether the node closes the connection."""
    with socket.create_connection((HOST, port)) as connection:
        connection.settimeout(0.001)
        connection.sendall(first_bytes)
        for _ in range(max_bytes):
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
