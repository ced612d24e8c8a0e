"""A small deployment for the review's scripts: store, nodes, record, results.

The nodes are started with the command of deploy/system.toml and with settings
made from its template. The store is the project's own stand-in. All addresses
are loopback addresses.
"""
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "relay"))
sys.dont_write_bytecode = True

import fake_store  # noqa: E402
from fake_store import FakeStore  # noqa: E402
from relay_nodes import pick_free_ports  # noqa: E402

HOST = "shop.example"

# A node that ends resets its calls to the store, which is no error here.
fake_store.ThreadingHTTPServer.handle_error = lambda *_: None
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt beside the script: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()


def deploy_role():
    role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
    return role["run"].split(), (ROOT / role["template"]).read_text()


class Node:
    """One process of the role in deploy/system.toml."""

    def __init__(self, name, store, seeds=None, zone="zone-a", memory_mb=110):
        self.name = name
        self.front, self.control, self.ready, self.directory, self.metrics = pick_free_ports(5)
        self.control_address = "127.0.0.1:%d" % self.control
        self.folder = tempfile.TemporaryDirectory()
        self.log_path = Path(self.folder.name) / "log"
        command, template = deploy_role()
        values = {
            "NodeName": name,
            "Zone": zone,
            "Bind.Front": "127.0.0.1:%d" % self.front,
            "Bind.Control": self.control_address,
            "Bind.Ready": "127.0.0.1:%d" % self.ready,
            "Bind.Directory": "127.0.0.1:%d" % self.directory,
            "Seeds|json": '["%s"]' % '","'.join(seeds or [self.control_address]),
            "Limits.CpuShare": "0.25",
            "Limits.Cores": "1",
            "Limits.MemoryMb": str(memory_mb),
            "Platform.Address": store.address,
            "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.BudgetSlack": "56",
            "Bounds.RetryWindowS": "10",
            "Bounds.ConfigApplyMs": "2000",
            "Bounds.DrainMs": "2000",
            "Bounds.GraceS": "8",
        }
        text = template.replace("{{Ip}}:9464", "127.0.0.1:%d" % self.metrics)
        text = re.sub(r"\{\{(.+?)\}\}", lambda found: values[found.group(1)], text)
        settings = Path(self.folder.name) / "local.toml"
        settings.write_text(text)
        self.command = [str(ROOT / command[0])] + [
            str(settings) if word.endswith("local.toml") else word for word in command[1:]
        ]
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
            )

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 2) as connection:
                connection.sendall(b"GET /heatherfork/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.process.poll() is None and self.is_ready():
                return
            time.sleep(0.05)
        raise RuntimeError("node %s isn't ready" % self.name)

    def wait_logged(self, text, count=1, seconds=15):
        deadline = time.monotonic() + seconds
        while self.log().count(text) < count:
            if time.monotonic() > deadline:
                raise RuntimeError("node %s doesn't log %s" % (self.name, text))
            time.sleep(0.05)

    def log(self):
        return self.log_path.read_text(errors="replace")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


def route(prefix, service, kind, timeout_ms, **more):
    fields = {
        "Name": "route" + prefix.replace("/", "-"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 900 if kind == "stream" else 300,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Sticky": kind == "stream",
        "Resumable": False,
        "TargetGapMs": 300,
    }
    fields.update(more)
    return fields


def configuration(version, routes, **limits):
    fields = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    fields.update(limits)
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConnections": 110},
            {
                "Name": "llm",
                "HealthPath": "/health",
                "MaxConnections": 300,
                "Engine": {"Slots": 48, "KvCapacityTokens": 42606},
            },
        ],
        "Limits": fields,
    }


def entry(replica, service, slots, phase=None, state="ready"):
    fields = {
        "Service": service,
        "Address": replica.address,
        "Zone": "zone-a",
        "Version": "v1",
        "Slots": slots,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": 1,
        "born": 1700000000000,
    }
    if phase:
        fields["Phase"] = phase
    return fields


def run_case(folder, case):
    """Runs case(record) -> text of the broken rule, or None; exits."""
    record = Record(folder)
    try:
        broken = case(record)
    except Exception as error:  # The case couldn't run.
        record.add("not run: %r" % error)
        print("not run: %r" % error)
        os._exit(EXIT_NOT_RUN)
    text = "broken: " + broken if broken else "held"
    record.add("result: " + text)
    print(text)
    sys.stdout.flush()
    os._exit(EXIT_BROKEN if broken else EXIT_HELD)
