"""Runs relaying nodes as processes against a simulated platform."""
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from fake_replica import FakeReplica
from fake_store import FakeStore

BUILD = Path(os.environ.get("HEATHERFORK_BUILD", Path(__file__).resolve().parents[2] / "build"))
# Stops a failing test from waiting forever. No result depends on its value.
WAIT_LIMIT_SECONDS = 30
# Above the ports of the tests in e2e.
FIRST_PORT = 30001
RESERVED_NAMES = {}  # By port.


def first_outgoing_port():
    """Outgoing connections get this port or a higher one."""
    return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])


def pick_free_ports(count):
    """Ports that no one else gets before a node listens on them.

    Those from port 0 don't serve: once closed, any outgoing connection may get
    them. A name among the abstract sockets keeps a port from other test
    processes until this one ends.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, first_outgoing_port())
        name = socket.socket(socket.AF_UNIX)
        try:
            name.bind("\0heatherfork-test-port-%d" % port)
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            name.close()
            continue
        RESERVED_NAMES[port] = name
        ports.append(port)
    return ports


def release_ports(ports):
    for port in ports:
        RESERVED_NAMES.pop(port).close()


def route(prefix, service, kind, **more):
    fields = {
        "Name": "r" + prefix.replace("/", "-"),
        "Host": "h.example",
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 900,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": False,
        "Resumable": False,
        "TargetGapMs": 300,
    }
    fields.update(more)
    return fields


def configuration(version, **limits):
    limit_fields = {
        "MaxHeaderBytes": 4096,
        "MaxBodyBytes": 100000,
        "HeaderTimeoutMs": 700,
        "IdleTimeoutMs": 15000,
    }
    limit_fields.update(limits)
    return {
        "Version": version,
        "Routes": [
            route("/once/", "desk", "non_idempotent", MaxAttempts=1),
            route("/often/", "desk", "idempotent"),
            route("/stream/", "llm", "stream", MaxAttempts=1),
            route("/resumable/", "llm", "stream", Resumable=True),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConnections": 100},
            {
                "Name": "llm",
                "HealthPath": "/health",
                "MaxConnections": 100,
                "Engine": {"Slots": 8, "KvCapacityTokens": 100000},
            },
        ],
        "Limits": limit_fields,
    }


class Node:
    def __init__(self, name, store, seed=None, leave_log_unread=False, metrics_port=None,
                 retry_slack=1000, ports=None, relay_settings="", node_lines=""):
        self.caller_port, self.peer_port, self.info_port, self.metrics_port = (
            ports or pick_free_ports(4)
        )
        self.metrics_port = metrics_port or self.metrics_port
        self.address = "127.0.0.1:%d" % self.peer_port
        self.name = name
        self.folder = tempfile.TemporaryDirectory()
        self.log_path = Path(self.folder.name) / "log"
        self.settings = Path(self.folder.name) / "local.toml"
        self.settings.write_text(
            f"""
[node]
name = "{name}"
zone = "a"
caller_address = "127.0.0.1:{self.caller_port}"
peer_address = "{self.address}"
seeds = ["{seed or self.address}"]
info_addresses = ["127.0.0.1:{self.info_port}"]
metrics_address = "127.0.0.1:{self.metrics_port}"
{node_lines}
[keys]
peer = "a key between the nodes"
[relay]
store = "{store}"
retry_budget_ratio = 0.2
retry_budget_slack = {retry_slack}
retry_window_s = 10
grace_s = 8.0
{relay_settings}
"""
        )
        self.start(leave_log_unread)

    def start(self, leave_log_unread=False):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [BUILD / "packages/node/heatherfork", "--settings", self.settings],
                stdout=subprocess.PIPE if leave_log_unread else log,
                stderr=subprocess.STDOUT,
            )

    def log(self):
        return self.log_path.read_text()

    def is_ready(self):
        try:
            return self.call(
                self.info_port, b"GET /heatherfork/ready HTTP/1.1\r\nHost: x\r\n\r\n"
            )[0] == 200
        except OSError:
            return False

    def read_metrics(self):
        """Returns the value of each metric by its name and labels."""
        status, _, body, _ = self.call(self.metrics_port, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        assert status == 200
        lines = [line for line in body.decode().split("\n") if line and line[0] != "#"]
        return {line.rsplit(" ", 1)[0]: float(line.rsplit(" ", 1)[1]) for line in lines}

    def wait_ready(self):
        wait_until(lambda: self.process.poll() is not None or self.is_ready())
        assert self.process.poll() is None, "node %s ended: %s" % (self.name, self.log())

    def call(self, port, raw, timeout=8):
        """Sends bytes and reads the response until it is complete or the connection ends."""
        with socket.create_connection(("127.0.0.1", port), timeout) as connection:
            connection.sendall(raw)
            return read_answer(connection)

    def send_request(self, path, request_id="r1", body=b"hello", more="", method="POST"):
        return self.call(self.caller_port, request(path, request_id, body, more, method))

    def pause(self):
        """Returns once all threads have stopped: some run on for milliseconds."""
        self.process.send_signal(signal.SIGSTOP)
        wait_until(self.is_paused)

    def is_paused(self):
        stats = Path("/proc/%d/task" % self.process.pid).glob("*/stat")
        return all(stat.read_text().rsplit(")", 1)[1].split()[0] == "T" for stat in stats)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        if self.process.stdout:
            self.process.stdout.close()
        self.folder.cleanup()


def request(path, request_id="r1", body=b"hello", more="", method="POST"):
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
    head += f"Deadline-Ms: 6000\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_answer(connection):
    """Reads one response: (status, fields, body, whether it is complete)."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return (0, {}, data, False)
        data += more
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode().split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:])
    chunked = fields.get("Transfer-Encoding") == "chunked"

    def is_complete():
        if chunked:
            return data.endswith(b"0\r\n\r\n")
        return len(data) >= int(fields.get("Content-Length", 0))

    while not is_complete():
        try:
            more = connection.recv(65536)
        except ConnectionError:
            more = b""
        if not more:
            break
        data += more
    return (int(lines[0].split()[1]), fields, data, is_complete())


def wait_until(condition):
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.02)


class Platform:
    """A store with a configuration and the plain, prefill and decode replicas."""

    def __init__(self):
        self.store = FakeStore()
        self.plain_replicas = [FakeReplica("i-desk%d" % n) for n in range(2)]
        self.prefill = FakeReplica("i-pre", "prefill")
        self.decode_replicas = [FakeReplica("i-dec%d" % n, "decode") for n in range(2)]
        self.store.put("op/config", configuration(3))
        for replica in self.plain_replicas:
            self.store.put("servers/" + replica.name, replica.entry("desk"))
        for replica in [self.prefill, *self.decode_replicas]:
            self.store.put("servers/" + replica.name, replica.entry("llm"))

    def set_faults(self, replicas, *faults):
        for replica in replicas:
            replica.faults = list(faults)

    def received(self, request_id):
        return [
            fields
            for replica in [*self.plain_replicas, self.prefill, *self.decode_replicas]
            for fields, _ in replica.received
            if fields.get("Request-Id") == request_id
        ]
