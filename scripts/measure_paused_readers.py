#!/usr/bin/env python3
"""Prints the memory of one relaying node while callers have stopped reading."""

import re
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "relay"))

from peer_sockets import connect_with_small_window, is_open  # noqa: E402
from relay_nodes import Node, Platform, configuration, wait_until  # noqa: E402
from test_paused_peers import answer_of, stream_of, timed_request  # noqa: E402

MEMORY_MB = 110
FILE_DESCRIPTORS = 4100
READERS = (8, 500)
# Before a connection whose peer reads nothing was ended by the kernel.
EARLY_SECONDS, LATE_SECONDS = 1.5, 6
KINDS = [
    ("answers of 4,800 bytes", "/once/x", answer_of(4800)),
    ("answers of 1 MB", "/once/x", answer_of(1_000_000)),
    ("streams of 4 MB", "/stream/x", stream_of(4000, 1000)),
]


def process_mb(node, high=False):
    status = Path("/proc/%d/status" % node.process.pid).read_text()
    kb = {name: int(value) for name, value in re.findall(r"(\w+):\s+(\d+) kB", status)}
    return (kb["VmHWM" if high else "VmRSS"] - kb["RssFile"]) / 1024


def kernel_mb(node):
    """Unsent and unread bytes in the kernel, of all sockets of the node's ports."""
    total = 0
    inodes = {
        link.readlink().name for link in Path("/proc/%d/fd" % node.process.pid).iterdir()
    }
    for line in Path("/proc/net/tcp").read_text().split("\n")[1:]:
        fields = line.split()
        if len(fields) > 9 and "socket:[%s]" % fields[9] in inodes:
            total += sum(int(queue, 16) for queue in fields[4].split(":"))
    return total / (1 << 20)


def measure(kind, path, fault, readers):
    platform = Platform()
    changed = configuration(4)
    for route in changed["Routes"]:
        route["TimeoutMs"] = 20000
    for service in changed["Services"]:
        service["MaxConnections"] = 2 * max(READERS)
    platform.store.put("op/config", changed)
    replicas = [*platform.plain_replicas, *platform.decode_replicas]
    for replica in [*replicas, platform.prefill]:
        replica.faults = [fault if replica in replicas else ""] * readers
        entry = replica.entry("desk" if replica in platform.plain_replicas else "llm")
        platform.store.put("servers/" + replica.name, {**entry, "Slots": max(READERS)})
    lines = "memory_mb = %d\nfile_descriptors = %d" % (MEMORY_MB, FILE_DESCRIPTORS)
    node = Node("n1", platform.store.address, node_lines=lines)
    node.wait_ready()
    wait_until(lambda: node.log().count("event=replica ") >= 5)
    idle = process_mb(node)
    callers = []
    for number in range(readers):
        caller = connect_with_small_window(node.caller_port)
        caller.sendall(timed_request(path, "p%d" % number, 20000))
        callers.append(caller)
    began = time.monotonic()
    found = []
    for after in (EARLY_SECONDS, LATE_SECONDS):
        time.sleep(max(0, began + after - time.monotonic()))
        ended = node.process.poll() is not None
        if ended:
            break
        ports = [caller.getsockname()[1] for caller in callers]
        opened = sum(is_open(node.caller_port, port) for port in ports)
        found.append(
            "after %.1f s %d open, process %.1f MB, kernel %.1f MB"
            % (after, opened, process_mb(node), kernel_mb(node))
        )
    peak = "ended" if node.process.poll() is not None else "%.1f MB" % process_mb(node, True)
    print("%s, %d readers: idle %.1f MB; %s; peak %s" % (kind, readers, idle, "; ".join(found), peak))
    for caller in callers:
        caller.close()
    node.stop()


if __name__ == "__main__":
    threading.excepthook = lambda _: None  # Replicas whose connections end.
    for row in KINDS:
        for count in READERS:
            measure(*row, count)
            sys.stdout.flush()
