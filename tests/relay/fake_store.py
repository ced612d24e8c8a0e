"""Simulated store of the platform: range reads, watches and faults."""
import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class FakeStore:
    """Holds items in memory. `mode` selects a fault.

    Modes: "" (none), "busy" (503), "silent" (no answer), "reset".
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.written = {}  # What was written last under each key; None: deleted.
        self.revision = 100
        self.oldest = 100
        self.era = 1
        self.mode = ""
        self.calls = 0
        self.changed = threading.Condition(threading.RLock())
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.answer(self)

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
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
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.written[key] = None
            self.revision += 1
            self.items.pop(key, None)
            self.history.append(
                {"Key": key, "Revision": self.revision, "Deleted": True}
            )
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
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix = query.get("PathPrefix", "")
        if url.path.endswith("/kv-range"):
            with self.changed:
                found = [
                    item
                    for key, item in sorted(self.items.items())
                    if key.startswith(prefix) and key > query.get("after", "")
                ]
                page = found[:3]
                body = {
                    "items": page,
                    "HasMore": len(found) > len(page),
                    "At": self.revision,
                }
            self.reply(handler, 200, body)
        elif url.path.endswith("/kv-watch"):
            self.watch(handler, prefix, query)
        else:
            self.reply(handler, 404, {})

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
                    for event in self.history
                    if event["Revision"] > after and event["Key"].startswith(prefix)
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
        text = json.dumps(body).encode()
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
