"""Starts real nodes, with the deploy file's command and template, before stand-ins.

The stand-ins follow the users' pages and do nothing that the pages leave out:
a store with range reads and watches, and replicas that answer every request
in full unless a case gives them another behaviour that the pages name.
"""
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = (ROOT / "deploy/system.toml").read_text()
RUN = re.search(r'^run = "([^"]+)"', DEPLOY, re.M).group(1).split()
TEMPLATE = (ROOT / re.search(r'^template = "([^"]+)"', DEPLOY, re.M).group(1)).read_text()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "h.example"

# The figures of the sheet of mpos-torun, and of its configuration's limits.
SHEET = {
    "Limits.CpuShare": 0.25,
    "Limits.Cores": 1,
    "Limits.MemoryMb": 110,
    "Limits.FileDescriptors": 4100,
    "Bounds.RetryBudgetRatio": 0.2,
    "Bounds.BudgetSlack": 56,
    "Bounds.RetryWindowS": 10,
    "Bounds.ConfigApplyMs": 2000,
    "Bounds.DrainMs": 2000,
    "Bounds.GraceS": 8,
    "StabilityMs": 3000,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class CannotRun(Exception):
    pass


def set_descriptors():
    """The machine's number, for the nodes and for the other ends in this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = SHEET["Limits.FileDescriptors"]
    if hard != resource.RLIM_INFINITY and hard < wanted:
        raise CannotRun("fewer descriptors than a machine has")
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def free_ports(count):
    """Ports below those of outgoing connections, free now."""
    low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = []
    while len(ports) < count:
        port = random.randrange(max(10001, low - 12000), low - 1)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.begin, text))
            self.file.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


def route(prefix, service, kind, **more):
    fields = {
        "Name": "r" + prefix.replace("/", "-"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "Sticky": False,
        "Resumable": False,
        "TargetGapMs": 300,
    }
    fields.update(more)
    return fields


def configuration(version, routes, services):
    return {"Version": version, "Routes": routes, "Services": services, "Limits": LIMITS}


class Store:
    """The platform's metadata store: linearizable, loses nothing, always up."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = threading.Condition(threading.RLock())
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.answer(self)

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass  # A node has closed or reset its connection.

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Returns when the store has acknowledged the write: its time."""
        text = json.dumps(value).encode()
        with self.changed:
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
        return time.monotonic()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
            self.changed.notify_all()
        return time.monotonic()

    def answer(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix = query.get("PathPrefix", "")
        if url.path.endswith("/kv-key"):
            with self.changed:
                item = self.items.get(query.get("Key"))
                body = dict(item, At=self.revision) if item else None
            self.reply(handler, 200 if body else 404, body or {})
        elif url.path.endswith("/kv-range"):
            with self.changed:
                found = [
                    item
                    for key, item in sorted(self.items.items())
                    if key.startswith(prefix) and key > query.get("after", "")
                ]
                body = {"items": found[:500], "HasMore": len(found) > 500, "At": self.revision}
            self.reply(handler, 200, body)
        elif url.path.endswith("/kv-watch"):
            after = int(query["after"])
            deadline = time.monotonic() + int(query["WaitMs"]) / 1000
            with self.changed:
                while True:
                    events = [
                        event
                        for event in self.history
                        if event["Revision"] > after and event["Key"].startswith(prefix)
                    ]
                    left = deadline - time.monotonic()
                    if events or left <= 0:
                        break
                    self.changed.wait(left)
                body = {"events": events, "At": self.revision}
            self.reply(handler, 200, body)
        else:
            self.reply(handler, 404, {})

    def reply(self, handler, status, body):
        text = json.dumps(body).encode()
        try:
            handler.send_response(status)
            handler.send_header("Store-Era", "1")
            handler.send_header("Content-Type", "application/json")
            handler.send_header("Content-Length", str(len(text)))
            handler.end_headers()
            handler.wfile.write(text)
            handler.wfile.flush()
        except OSError:
            pass


class Replica:
    """A sound replica. `work(replica, connection, fields, body)` may replace the answer;
    it returns whether the connection stays open."""

    def __init__(self, name, service, record, phase=None, slots=6, work=None):
        self.name = name
        self.service = service
        self.record = record
        self.phase = phase
        self.slots = slots
        self.work = work
        self.runs = {}  # Request id: how often it began to run.
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.beats = 0
        self.open = set()
        self.ended = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1000)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def publish(self, store):
        """Writes its entry, again each heartbeat (1.2 s) until it has left."""
        acknowledged = store.put("servers/" + self.name, self.entry())

        def beat():
            while True:
                time.sleep(1.2)
                with self.lock:
                    if self.ended:
                        return
                    store.put("servers/" + self.name, self.entry())

        threading.Thread(target=beat, daemon=True).start()
        return acknowledged

    def drain(self, store):
        """Returns when the store acknowledged that it is draining."""
        with self.lock:
            self.state = "draining"
            return store.put("servers/" + self.name, self.entry())

    def leave(self, store):
        with self.lock:
            self.ended = True
            store.delete("servers/" + self.name)
        self.end()

    def more_fields(self):
        """What a replica that leaves adds to all its answers."""
        return "" if self.state == "ready" else "Server-Leaving: 1\r\nConnection: close\r\n"

    def entry(self):
        self.beats += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "a",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.beats,
            "born": self.born,
        }
        if self.phase:
            entry["Phase"] = self.phase
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return entry

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def end(self):
        """The process exits: no listener, and all its connections close."""
        self.ended = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            for connection in self.open:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def serve(self, connection):
        data = b""
        try:
            with connection:
                while not self.ended:
                    while b"\r\n\r\n" not in data:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    head, data = data.split(b"\r\n\r\n", 1)
                    lines = head.decode().split("\r\n")
                    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
                    fields["line"] = lines[0]
                    length = int(fields.get("Content-Length", 0))
                    while len(data) < length:
                        more = connection.recv(65536)
                        if not more:
                            return
                        data += more
                    body, data = data[:length], data[length:]
                    if not self.answer(connection, fields, body):
                        return
        except OSError:
            return
        finally:
            with self.lock:
                self.open.discard(connection)

    def answer(self, connection, fields, body):
        method, path, _ = fields["line"].split(" ")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            connection.sendall(
                (
                    "HTTP/1.1 %d X\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
                    % (status, self.name, self.more_fields())
                ).encode()
            )
            return True
        if path.startswith("/heatherfork/"):
            connection.sendall(
                ("HTTP/1.1 200 X\r\n%sContent-Length: 0\r\n\r\n" % self.more_fields()).encode()
            )
            return True
        request_id = fields.get("Request-Id", "")
        if fields.get("Target-Instance", self.name) != self.name:
            connection.sendall(
                (
                    "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%s"
                    "Content-Length: 0\r\n\r\n" % (request_id, self.more_fields())
                ).encode()
            )
            return True
        if fields.get("Stage") != "prefill":
            with self.lock:
                self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if self.work:
            return self.work(self, connection, fields, body)
        return self.reply(connection, fields, b"answer to " + request_id.encode())

    def reply(self, connection, fields, body, status=200, signed=True, more=""):
        request_id = fields.get("Request-Id", "")
        text = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n" % (status, request_id)
        if signed:
            text += "Response-Signature: sig.%s\r\n" % request_id
        text += "%s%sContent-Length: %d\r\n\r\n" % (more, self.more_fields(), len(body))
        connection.sendall(text.encode() + body)
        return True


class Node:
    """One process of the system, with the settings that the platform fills in."""

    def __init__(self, name, folder, store, ports, seeds):
        self.name = name
        self.front, self.ready, self.control, self.directory, self.metrics = ports
        values = dict(
            SHEET,
            NodeName=name,
            Zone="a",
            Ip="127.0.0.1",
            **{
                "Bind.Front": "127.0.0.1:%d" % self.front,
                "Bind.Ready": "127.0.0.1:%d" % self.ready,
                "Bind.Control": "127.0.0.1:%d" % self.control,
                "Bind.Directory": "127.0.0.1:%d" % self.directory,
                "Platform.Address": store.address,
                "Seeds|json": json.dumps(seeds),
            },
        )
        # Machines share one address here, so each has a port of its own for metrics.
        template = TEMPLATE.replace("{{Ip}}:9464", "{{Ip}}:%d" % self.metrics)
        text = re.sub(r"\{\{([^}]+)\}\}", lambda found: str(values[found.group(1)]), template)
        self.settings = Path(folder) / (name + ".toml")
        self.settings.write_text(text)
        self.log_path = Path(folder) / (name + ".log")
        command = [str(ROOT / RUN[0])] + [
            str(self.settings) if word.endswith("local.toml") else word for word in RUN[1:]
        ]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HEATHERFORK_FILE_DESCRIPTORS"] = str(SHEET["Limits.FileDescriptors"])
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT,
            )

    def memory_mb(self):
        """Memory of the process without what it maps from files; None when it has ended."""
        try:
            text = Path("/proc/%d/status" % self.process.pid).read_text()
        except OSError:
            return None
        kb = {name: int(value) for name, value in re.findall(r"(\w+):\s+(\d+) kB", text)}
        return (kb["VmRSS"] - kb["RssFile"]) / 1024 if "VmRSS" in kb else None

    def is_ready(self, timeout=1.0):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), timeout) as connection:
                connection.settimeout(timeout)
                connection.sendall(b"GET /heatherfork/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log(self):
        return self.log_path.read_text(errors="replace")


class Rig:
    """The store, the replicas and the nodes of one case; ends all it started."""

    def __init__(self, case_file):
        set_descriptors()
        self.case = Path(case_file).resolve().parent
        self.record = Record(self.case)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.nodes = []
        if not (ROOT / RUN[0]).exists():
            raise CannotRun("no program: build the deploy file first")

    def start_nodes(self, count):
        ports = free_ports(5 * count)
        groups = [ports[5 * n : 5 * n + 5] for n in range(count)]
        seeds = ["127.0.0.1:%d" % group[2] for group in groups][:3]
        for number, group in enumerate(groups):
            self.nodes.append(Node("n%d" % number, self.folder, self.store, group, seeds))
        self.wait(lambda: all(node.is_ready() for node in self.nodes), 30, "nodes are ready")
        time.sleep(1.5)  # The nodes find each other.

    def wait(self, condition, seconds, what):
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun("not in time: " + what)
            time.sleep(0.05)

    def close(self):
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGKILL)
            node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                shutil.copy(node.log_path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, play):
    """Runs `play(rig)`, which returns whether the rule held, and exits with its result."""
    rig = None
    code = 2
    try:
        rig = Rig(case_file)
        rig.record.say("trouble=%d" % TROUBLE)
        held = play(rig)
        code = 0 if held else 1
        rig.record.say("the rule held" if held else "the rule was broken")
    except CannotRun as error:
        print("cannot run: %s" % error)
        if rig:
            rig.record.say("cannot run: %s" % error)
    except Exception as error:  # The case itself failed.
        import traceback

        traceback.print_exc()
        if rig:
            rig.record.say("cannot run: %r" % error)
    finally:
        if rig:
            rig.close()
    sys.stdout.flush()
    os._exit(code)


def head(method, path, request_id, length=None, deadline_ms=3000, more=""):
    text = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s" % (
        method, path, HOST, request_id, deadline_ms, more,
    )
    if length is not None:
        text += "Content-Length: %d\r\n" % length
    return (text + "\r\n").encode()


def read_answer(connection):
    """Reads one answer: (status, fields, body, whether it is whole); status 0: none."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return 0, {}, data, False
        data += more
    top, data = data.split(b"\r\n\r\n", 1)
    lines = top.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    chunked = fields.get("Transfer-Encoding") == "chunked"

    def is_whole():
        if chunked:
            return data.endswith(b"0\r\n\r\n")
        return len(data) >= int(fields.get("Content-Length", 0))

    while not is_whole():
        try:
            more = connection.recv(65536)
        except ConnectionError:
            more = b""
        if not more:
            return int(lines[0].split()[1]), fields, data, False
        data += more
    return int(lines[0].split()[1]), fields, data, True


def call(port, raw, timeout, client="127.0.0.1"):
    """One attempt of the client at that loopback address, on a new connection: (outcome, fields, seconds). The outcome is the
    status, "closed", "timeout", "cut" or "unreachable"."""
    begin = time.monotonic()
    fields = {}
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0, (client, 0)) as connection:
            connection.settimeout(timeout)
            connection.sendall(raw)
            status, fields, _, whole = read_answer(connection)
            outcome = "closed" if status == 0 else status if whole else "cut"
    except TimeoutError:
        outcome = "timeout"
    except ConnectionRefusedError:
        outcome = "unreachable"
    except OSError:
        outcome = "closed"
    return outcome, fields, time.monotonic() - begin


class KeptCallers:
    """Ordinary clients, each with one connection that it keeps and books on, one at a time."""

    def __init__(self, rig, node, replicas, count, path, deadline_ms=3000):
        self.record = rig.record
        self.node = node
        self.replicas = replicas
        self.path = path
        self.deadline_ms = deadline_ms
        self.done = False
        self.lost = []  # Not the first on its connection, run, and ended without an answer.
        self.answered = 0
        self.threads = [
            threading.Thread(target=self.book, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self.threads:
            thread.start()
            time.sleep(0.037)  # So that they don't all wait at the same moment.

    def book(self, client):
        number = 0
        while not self.done:
            try:
                with socket.create_connection(("127.0.0.1", self.node.front), 1) as connection:
                    connection.settimeout(self.deadline_ms / 1000 + 0.5)
                    nth = 0
                    while not self.done:
                        number += 1
                        nth += 1
                        if not self.book_once(connection, "book%d-%d" % (client, number), nth):
                            break
            except OSError:
                time.sleep(0.2)

    def book_once(self, connection, request_id, nth):
        raw = head("POST", self.path, request_id, 600, self.deadline_ms) + b"b" * 600
        try:
            connection.sendall(raw)
            status, fields, _, whole = read_answer(connection)
            outcome = status if whole else "closed"
        except TimeoutError:
            outcome = "no answer by the deadline"
        except OSError:
            outcome = "closed"
        runs = sum(replica.runs.get(request_id, 0) for replica in self.replicas)
        self.record.add(
            "ordinary %s, number %d on its connection: %s, begun by %d replicas"
            % (request_id, nth, outcome, runs)
        )
        if outcome == "closed" and nth > 1 and runs > 0:
            self.lost.append(request_id)
        self.answered += outcome == 200
        return outcome == 200 and fields.get("Connection", "") != "close"

    def join(self):
        self.done = True
        for thread in self.threads:
            thread.join(5)


class Platform:
    """Ends a process whose memory exceeds its machine's, as DEPLOY.md says; the first time
    ends the case. Memory that is mapped from files doesn't count."""

    def __init__(self, rig, node):
        self.node = node
        self.record = rig.record
        self.limit = SHEET["Limits.MemoryMb"]
        self.peak = 0.0
        self.killed = threading.Event()
        self.done = False
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while not self.done:
            memory = self.node.memory_mb()
            if memory is not None:
                self.peak = max(self.peak, memory)
                if memory > self.limit:
                    self.record.say(
                        "platform: %s has %.0f MB of %d MB, killed"
                        % (self.node.name, memory, self.limit)
                    )
                    self.node.process.kill()
                    self.killed.set()
                    return
            time.sleep(0.02)
