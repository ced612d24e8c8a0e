"""Benchmarks one real node: the latency that it adds to a plain service call,
and its memory use with many callers that wait for their streams."""

import argparse
import http.client
import json
import socket
import statistics
import sys
import time
from dataclasses import replace
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "e2e"))
sys.dont_write_bytecode = True

from callers import bearer  # noqa: E402
from cluster import Cluster  # noqa: E402

CALLS = 500
PAGE_KB = 4
HOST = "127.0.0.1"


def median_ms(port, path, body, headers):
    """Returns the median latency of calls over one persistent connection."""
    connection = http.client.HTTPConnection(HOST, port)
    latencies_ms = []
    for number in range(CALLS):
        text = json.dumps(body(number))
        started = time.perf_counter()
        connection.request("POST", path, text, headers)
        connection.getresponse().read()
        latencies_ms.append((time.perf_counter() - started) * 1000)
    connection.close()
    return statistics.median(latencies_ms)


def resident_mb(process_id):
    fields = Path(f"/proc/{process_id}/statm").read_text().split()
    return int(fields[1]) * PAGE_KB / 1024


def open_stream(port, number):
    """Requests a stream and returns the connection without reading from it."""
    body = json.dumps(
        {"model": "clerk", "prompt": f"stream {number}", "max_tokens": 2000, "stream": True}
    )
    head = [
        "POST /v1/completions HTTP/1.1",
        "Host: node",
        f"Authorization: {bearer()['Authorization']}",
        f"Content-Length: {len(body)}",
    ]
    connection = socket.create_connection((HOST, port))
    connection.sendall(("\r\n".join(head) + "\r\n\r\n" + body).encode())
    return connection


def open_callers(cluster):
    return cluster.status("node-0")["open_callers"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=2000)
    arguments = parser.parse_args()
    with Cluster(nodes=1, prefill=2, decode=4, speed=1) as cluster:
        tenants = cluster.configuration().tenants
        cluster.publish(2, tenants=[replace(it, max_in_flight=10_000) for it in tenants])
        cluster.wait_for_revision(2)
        node = cluster.nodes["node-0"]
        service = cluster.services[0]
        direct = median_ms(service.port, "/lookup", lambda n: {"n": n}, {})
        path = "/v1/services/booking/lookup"
        via_node = median_ms(node.port, path, lambda n: {"body": {"n": n}}, bearer())
        print(f"plain call: median {direct:.2f} ms direct, {via_node:.2f} ms through the node")
        idle = resident_mb(node.child.pid)
        streams = []
        for number in range(arguments.streams):
            streams.append(open_stream(node.port, number))
        deadline = time.monotonic() + 60
        while open_callers(cluster) < arguments.streams and time.monotonic() < deadline:
            time.sleep(0.2)
        loaded = resident_mb(node.child.pid)
        print(
            f"memory: {idle:.1f} MB at rest, {loaded:.1f} MB with {open_callers(cluster)} open"
            f" callers, of them {sum(e.counters()['open_streams'] for e in cluster.decode)}"
            " with an open decode stream"
        )
        for stream in streams:
            stream.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
