"""Simulated store of the platform: range reads, watches and faults."""
import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from store_query import is_request_line, read_query


def encode_text(text):
    """UTF-8; U+DC80 to U+DCFF become the byte that they stand for, other surrogates three bytes."""
    try:
        return text.encode()
    except UnicodeEncodeError:
        return b"".join(
            bytes([ord(char) - 0xDC00])
            if 0xDC80 <= ord(char) <= 0xDCFF
            else char.encode("utf-8", "surrogatepass")
            for char in text
        )


class FakeStore:
    """Holds items in memory. `mode` selects a fault.

    Modes: "" (none), "busy" (503), "silent" (no answer), "reset".
    A call that isn't valid is answered 400 and noted in `refused`.
    `escapes` selects how texts are written: with escapes, or as their bytes.
    `turned_away` selects calls and the status that they get: ("first page", 503), "next page",
    "watch", all below the prefix of the replicas; their times are in `turned_away_at`.
    """

    def __init__(self, page_items=3, escapes=True):
        self.page_items = page_items
        self.escapes = escapes
        self.refused = []
        self.turned_away = None
        self.turned_away_at = []
        self.items = {}
        self.history = []  # (key, revision, event) of each change.
        self.written = {}  # What was written last under each key; None: deleted.
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.mode = ""
        self.calls = 0
        self.connections = []  # Open ones and closed ones.
        self.changed = threading.Condition(threading.RLock())
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self):
                super().setup()
                store.connections.append(self.connection)

            def log_message(self, *_):
                pass

            def parse_request(self):
                if is_request_line(self.raw_requestline):
                    return super().parse_request()
                store.refused.append(self.raw_requestline)
                self.request_version = self.protocol_version
                self.command = self.requestline = ""
                self.close_connection = True
                self.send_error(400)
                return False

            def do_GET(self):
                store.answer(self)

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value, **fields):
        """Writes an item; `fields` replace those of its text in answers, None leaves one out."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.written[key] = text
            self.revision += 1
            item = {
                "Key": key,
                "Value": base64.b64encode(text).decode(),
                "Revision": self.revision,
                "CreatedAt": self.revision,
                "Lease": 0,
            }
            item.update(fields)
            item = {name: field for name, field in item.items() if field is not None}
            self.items[key] = item
            self.history.append((key, self.revision, item))
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.written[key] = None
            self.revision += 1
            self.items.pop(key, None)
            event = {"Key": key, "Revision": self.revision, "Deleted": True}
            self.history.append((key, self.revision, event))
            self.changed.notify_all()

    def compact(self):
        with self.changed:
            self.history.clear()
            self.oldest = self.revision

    def copy(self):
        with self.changed:
            return dict(self.items), list(self.history), self.revision

    def restore(self, copy, *again):
        """Restores a copy(); (key, value) pairs in `again` are written at once."""
        with self.changed:
            self.items, self.history, self.revision = dict(copy[0]), list(copy[1]), copy[2]
            self.era += 1
            for key, value in again:
                self.put(key, value)
            self.changed.notify_all()

    def write_again(self):
        """Writes what a restored copy lacks, as the operator and the replicas do."""
        with self.changed:
            for key, text in list(self.written.items()):
                item = self.items.get(key)
                held = base64.b64decode(item["Value"]) if item else None
                if text is None and item:
                    self.delete(key)
                elif text is not None and text != held:
                    self.put(key, text)

    def answer(self, handler):
        self.calls += 1
        if self.mode == "silent":
            time.sleep(30)
            return
        if self.mode == "reset":
            handler.connection.close()
            return
        if self.mode == "busy":
            self.reply(handler, 503, {})
            return
        call = read_query(handler.path)
        if call is None:
            self.refused.append(handler.path)
            self.reply(handler, 400, {})
            return
        path, query = call
        prefix = query.get("PathPrefix", b"")
        kind = "watch"
        if path.endswith("/kv-range"):
            kind = "next page" if "after" in query else "first page"
        if self.turned_away and prefix == b"servers/" and kind == self.turned_away[0]:
            self.turned_away_at.append(time.monotonic())
            self.reply(handler, self.turned_away[1], {})
            return
        if path.endswith("/kv-range"):
            self.reply(handler, 200, self.range(prefix, query.get("after", b"")))
        elif path.endswith("/kv-watch"):
            self.watch(handler, prefix, query)
        else:
            self.reply(handler, 404, {})

    def range(self, prefix, after):
        with self.changed:
            keys = sorted((encode_text(key), key) for key in self.items)
            found = [key for data, key in keys if data.startswith(prefix) and data > after]
            page = found[: self.page_items]
            return {
                "items": [self.items[key] for key in page],
                "HasMore": len(found) > len(page),
                "At": self.revision,
            }

    def watch(self, handler, prefix, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        with self.changed:
            era = self.era
            if after < self.oldest or after > self.revision:
                self.reply(handler, 410, {})
                return
            while True:
                events = [
                    event
                    for key, revision, event in self.history
                    if revision > after and encode_text(key).startswith(prefix)
                ]
                left = deadline - time.monotonic()
                if era != self.era and after > self.revision:
                    self.reply(handler, 410, {})
                    return
                if events or left <= 0:
                    break
                self.changed.wait(left)
            body = {"events": events, "At": self.revision}
        self.reply(handler, 200, body)

    def reply(self, handler, status, body):
        text = encode_text(json.dumps(body, ensure_ascii=self.escapes))
        try:
            self.write(handler, status, text)
        except OSError:
            pass  # The node closed the connection, which is no error here.

    def write(self, handler, status, text):
        handler.send_response(status)
        handler.send_header("Store-Era", str(self.era))
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(text)))
        handler.end_headers()
        handler.wfile.write(text)
