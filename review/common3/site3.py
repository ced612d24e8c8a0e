"""A small deployment on loopback addresses: the project's nodes before stand-ins.

Figures are those of the sheet mpos-torun; the settings come from the project's
template. The store is the project's own stand-in (tests/relay/fake_store.py).
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/relay"))
from fake_store import FakeStore  # noqa: E402

PROGRAM = ROOT / "target/packages/node/heatherfork"
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
CRASH_S = 2.5  # "the replica is back after some seconds"
BOUNDS = {
    "DrainMs": 2000,
    "GraceS": 8,
    "ConfigApplyMs": 2000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "BudgetSlack": 56,
}
LIMITS = {"MemoryMb": 110, "FileDescriptors": 4100, "CpuShare": 0.25, "Cores": 1}
CALLER_LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


class CannotRun(Exception):
    """The case couldn't be run; exit status 2."""


def route(prefix, service, kind, attempts, timeout_ms, target_ms, **more):
    fields = {
        "Name": "r" + prefix.replace("/", "-"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": target_ms,
        "Priority": 1 if kind == "stream" else 2,
        "Service": service,
        "MaxAttempts": attempts,
        "Sticky": kind == "stream",
        "Resumable": False,
    }
    if kind == "stream":
        fields["TargetGapMs"] = 300
    fields.update(more)
    return fields


def configuration(version=7):
    engine = {
        "Slots": 48,
        "KvCapacityTokens": 42606,
        "KvTokenBytes": 18432,
        "LinkMbps": 460000.0,
        "KvHoldS": 0.5,
        "Models": [{"Name": "m"}],
    }
    return {
        "Version": version,
        "Routes": [
            route("/history/", "clerk-llm", "stream", 1, 14000, 900),
            route("/notice/", "clerk-llm", "stream", 2, 14000, 900, Resumable=True),
            route("/reserve/", "booking-desk", "non_idempotent", 1, 1500, 300),
            route("/stock/", "booking-desk", "idempotent", 2, 1500, 300),
        ],
        "Services": [
            {"Name": "clerk-llm", "HealthPath": "/health", "MaxConnections": 300, "Engine": engine},
            {"Name": "booking-desk", "HealthPath": "/health", "MaxConnections": 110},
        ],
        "Limits": CALLER_LIMITS,
    }


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def add(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.begin, " ".join(str(word) for word in words))
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)


class Replica:
    """A sound replica. It runs `slots` requests at once and queues a few more."""

    def __init__(self, site, name, service, slots, phase=None, queue=24):
        self.site = site
        self.name = name
        self.service = service
        self.slots = slots
        self.phase = phase
        self.queue = queue
        self.work_s = 0.06
        self.prefill_s = 0.1
        self.events = 72
        self.gap_s = 0.045
        self.body = None  # Of plain answers; otherwise 800 bytes.
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.inside = 0
        self.places = threading.Semaphore(slots)
        self.arrived = []  # (time, request id, stage)
        self.ended = False
        self.is_down = False
        self.crashes_on = None  # A part of a prompt, as in its Prompt-Prefix.
        self.crashes = []  # (time, request id)
        self.connections = set()
        self.port = 0
        self.listen()
        self.address = "127.0.0.1:%d" % self.port

    def listen(self):
        self.listener = socket.create_server(("127.0.0.1", self.port), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def publish(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "stare-miasto",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.phase:
            entry["Phase"] = self.phase
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        self.site.store.put("servers/" + self.name, entry)

    def end(self):
        """Exits as after a planned shutdown: its entry goes, its connections close."""
        self.ended = True
        self.site.store.delete("servers/" + self.name)
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def crash(self, request_id, down_s):
        """Sends nothing more; is back after some seconds under its id, with a new start."""
        with self.lock:
            if self.is_down:
                return
            self.is_down = True
            connections = list(self.connections)
        self.crashes.append((time.monotonic(), request_id))
        self.site.record.add("crashes", self.name, "on", request_id)
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(down_s, self.come_back).start()

    def come_back(self):
        if self.site.is_over.is_set():
            return
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.places = threading.Semaphore(self.slots)
        with self.lock:
            self.inside = 0
            self.is_down = False
        self.listen()
        self.publish()
        self.site.record.add("is back", self.name)

    def accept(self, listener):
        while not self.ended:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            self.serve_all(connection)
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def serve_all(self, connection):
        data = b""
        while not self.ended:
            while b"\r\n\r\n" not in data:
                more = connection.recv(65536)
                if not more:
                    return
                data += more
            head, data = data.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            fields = {}
            for line in lines[1:]:
                name, value = line.split(":", 1)
                fields[name.lower()] = value.strip()
            length = int(fields.get("content-length", 0))
            while len(data) < length:
                more = connection.recv(65536)
                if not more:
                    return
                data += more
            body, data = data[:length], data[length:]
            self.answer(connection, lines[0], fields, body)

    def reply(self, connection, status, body, request_id=None, signed=False, more=""):
        text = "HTTP/1.1 %d X\r\n" % status
        if request_id:
            text += "Request-Id: %s\r\n" % request_id
        if signed:
            text += "Response-Signature: s.%s.%s\r\n" % (self.name, request_id)
        with self.lock:
            waiting = max(0, self.inside - self.slots)
            text += "Server-Load: %d,%d,%d\r\n" % (self.inside - waiting, waiting, self.slots)
        if self.state == "draining":
            text += "Connection: close\r\n"
        text += more + "Content-Length: %d\r\n\r\n" % len(body)
        connection.sendall(text.encode() + body)

    def answer(self, connection, line, fields, body):
        if line.startswith("DELETE"):
            self.reply(connection, 200, b"")
            return
        request_id = fields.get("request-id")
        target = fields.get("target-instance")
        stage = fields.get("stage", "run")
        if target and target != self.name:
            self.reply(connection, 421, b"", request_id, more="Not-Executed: 1\r\n")
            return
        self.arrived.append((time.monotonic(), request_id, stage))
        self.site.record.add("arrives", request_id, "at", self.name, stage)
        with self.lock:
            is_full = self.inside >= self.slots + self.queue
            self.inside += 0 if is_full else 1
        if is_full:
            self.reply(connection, 503, b"", request_id, more="Not-Executed: 1\r\n")
            return
        try:
            with self.places:
                self.run(connection, request_id, stage, fields)
        finally:
            with self.lock:
                self.inside = max(0, self.inside - 1)

    def run(self, connection, request_id, stage, fields):
        if stage == "prefill":
            time.sleep(self.prefill_s)
            handle = "%012x" % random.getrandbits(48)
            tokens = int(fields.get("token-usage", "1,1").split(",")[0])
            text = json.dumps({"KvHandle": handle, "Tokens": tokens, "Version": 1}).encode()
            self.reply(connection, 200, text, request_id, more="Content-Type: application/json\r\n")
            return
        if self.phase:
            self.stream(connection, request_id, fields)
            return
        time.sleep(self.work_s)
        text = self.body if self.body is not None else (request_id + " ").encode() * 20
        self.reply(connection, 200, text, request_id, signed=True)
        self.site.record.add("ran", request_id, "at", self.name)

    def stream(self, connection, request_id, fields):
        head = "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n" % request_id
        head += "Response-Signature: s.%s.%s\r\n" % (self.name, request_id)
        head += "Weight-Versions: 1\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        first = int(fields.get("last-event-id", 0)) + 1
        parts = [part.split(":")[0] for part in fields.get("prompt-prefix", "").split(",")]
        if self.crashes_on and self.crashes_on in parts:
            self.crash(request_id, CRASH_S)
            return
        for number in range(first, self.events + 1):
            time.sleep(self.gap_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        self.site.record.add("ran", request_id, "at", self.name)


class Node:
    """One machine with the program of the deploy file, on an address of its own."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.ip = "127.%d.%d.%d" % (site.network + (number,))
        self.front = (self.ip, 8144)
        self.ready = (self.ip, 8140)
        self.folder = Path(tempfile.mkdtemp(prefix="review3-", dir=site.folder))
        self.settings = self.folder / "local.toml"
        self.process = None
        self.peak_mb = 0.0
        self.ends = []  # Why it ended by itself.

    def values(self):
        return {
            "NodeName": "frontend-stare-miasto-%d" % self.number,
            "Zone": "stare-miasto",
            "Ip": self.ip,
            "Bind.Front": self.ip + ":8144",
            "Bind.Ready": self.ip + ":8140",
            "Bind.Control": self.ip + ":8146",
            "Bind.Directory": self.ip + ":8143",
            "Seeds|json": json.dumps([node.ip + ":8146" for node in self.site.nodes[:3]]),
            "Platform.Address": self.site.store.address,
            **{"Bounds." + name: value for name, value in BOUNDS.items()},
            **{"Limits." + name: value for name, value in LIMITS.items()},
        }

    def start(self):
        template = (ROOT / "deploy/settings.toml.template").read_text()
        values = self.values()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: str(values[match.group(1)]), template)
        self.settings.write_text(text)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["HEATHERFORK_FILE_DESCRIPTORS"] = str(LIMITS["FileDescriptors"])
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "--settings", self.settings],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log(self):
        return (self.folder / "log").read_text(errors="replace")

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 1) as connection:
                connection.sendall(b"GET /heatherfork/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def memory_mb(self):
        """What is mapped from files isn't counted."""
        try:
            text = Path("/proc/%d/status" % self.process.pid).read_text()
        except OSError:
            return 0.0
        kb = {name: int(value) for name, value in re.findall(r"(\w+):\s+(\d+) kB", text)}
        now = (kb.get("VmRSS", 0) - kb.get("RssFile", 0)) / 1024
        self.peak_mb = max(self.peak_mb, now)
        return now

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Site:
    def __init__(self, folder, nodes=3):
        if not PROGRAM.exists():
            raise CannotRun("the build of the deploy file is missing")
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.network = (random.randrange(40, 250), random.randrange(1, 250))
        self.store = FakeStore(page_items=500)
        self.store.put("op/config", configuration())
        self.replicas = []
        self.nodes = []
        self.nodes = [Node(self, number + 1) for number in range(nodes)]
        self.is_over = threading.Event()

    def add(self, *args, **named):
        replica = Replica(self, *args, **named)
        self.replicas.append(replica)
        replica.publish()
        return replica

    def start(self):
        for node in self.nodes:
            node.start()
        wait_for(lambda: all(node.is_ready() for node in self.nodes), 30, "nodes are not ready")
        threading.Thread(target=self.beat, daemon=True).start()
        # As on the sheet: traffic starts some seconds after the machines.
        time.sleep(4)

    def beat(self):
        while not self.is_over.wait(HEARTBEAT_S):
            for replica in self.replicas:
                if not replica.ended and not replica.is_down:
                    replica.publish()

    def watch_memory(self):
        """The platform: kills a process over its memory and starts it again (DEPLOY)."""
        threading.Thread(target=self.enforce_memory, daemon=True).start()

    def enforce_memory(self):
        limit = LIMITS["MemoryMb"]
        while not self.is_over.is_set():
            for node in self.nodes:
                used = node.memory_mb()
                if used > limit:
                    node.process.kill()
                    node.process.wait()
                    node.ends.append(used)
                    self.record.add("platform kills", node.ip, "at %.0f of %d MB" % (used, limit))
                    time.sleep(1)
                    if not self.is_over.is_set():
                        node.start()
                        node.peak_mb = 0.0
            time.sleep(0.01)

    def share_processor(self):
        """The platform: a core's share is a quota in each tenth of a second (DEPLOY)."""
        for node in self.nodes:
            threading.Thread(target=self.enforce_share, args=(node,), daemon=True).start()

    def enforce_share(self, node):
        period = 0.1
        quota_ns = int(LIMITS["CpuShare"] * period * 1e9)
        path = "/proc/%d/task/%%s/schedstat" % node.process.pid

        def used_ns():
            tasks = os.listdir("/proc/%d/task" % node.process.pid)
            return sum(int(Path(path % task).read_text().split()[0]) for task in tasks)

        try:
            while not self.is_over.is_set():
                begin, used = time.monotonic(), used_ns()
                while time.monotonic() < begin + period:
                    if used_ns() - used >= quota_ns:
                        node.process.send_signal(signal.SIGSTOP)
                        time.sleep(max(0, begin + period - time.monotonic()))
                        node.process.send_signal(signal.SIGCONT)
                        break
                    time.sleep(0.004)
        except (OSError, ProcessLookupError):
            return  # The process has ended.

    def stop(self):
        self.is_over.set()
        for node in self.nodes:
            node.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_for(condition, seconds, problem):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(problem)
        time.sleep(0.05)


def request(path, request_id, body=b"", method="POST", deadline_ms=3000, more=""):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n" % (
        method,
        path,
        HOST,
        request_id,
        deadline_ms,
    )
    return (head + more + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


def read_answer(connection, data=b""):
    """Reads one answer: (status, fields, body, whether it is whole)."""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return 0, {}, data, False
        data += more
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    status = int(lines[0].split()[1])
    parts = [data]
    size = len(data)
    chunked = fields.get("transfer-encoding") == "chunked"
    wanted = int(fields.get("content-length", 0))
    while True:
        if chunked and parts[-1].endswith(b"0\r\n\r\n"):
            return status, fields, b"".join(parts), True
        if not chunked and size >= wanted:
            return status, fields, b"".join(parts), True
        try:
            more = connection.recv(65536)
        except ConnectionError:
            more = b""
        if not more:
            return status, fields, b"".join(parts), False
        parts.append(more)
        size += len(more)


def run_case(play, folder):
    """Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = None
    try:
        site = Site(folder)
        site.record.add("trouble", "on" if TROUBLE else "off")
        is_broken = play(site)
        site.record.say("rule", "broken" if is_broken else "held")
        code = 1 if is_broken else 0
    except CannotRun as error:
        print("could not run:", error)
        code = 2
    finally:
        if site:
            site.stop()
    sys.stdout.flush()
    os._exit(code)
