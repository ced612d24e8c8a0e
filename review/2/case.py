"""A planned stop while streams wait for a place.

A machine gets SIGTERM. A client that another one refused comes to it within the
three seconds in which it still takes requests. Each request that was read must
get an answer.
"""
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
from client import exchange, prompt_fields, request  # noqa: E402
from deployment import TROUBLE, FakeStore, Node, configuration, entry, route  # noqa: E402
from replica import Replica  # noqa: E402

ROUNDS = 6
GRACE_SECONDS = 8
FILLERS = 14
CLIENTS = 8
FIRST_TRY_SECONDS = 0.9
LOSS_SLACK_SECONDS = 0.2
DEADLINE_MS = 14000


def fill(node, record, name):
    raw = request("/digest/f", name, DEADLINE_MS, b"filler", prompt_fields())
    record.add("%s %s" % (name, exchange(node.front, raw, 15)))


def ask(nodes, record, name, stopped_at, second_at, decode, lost):
    """Asks one machine, and comes back once, to the other, no sooner than told."""
    leaving, staying = nodes
    fields = prompt_fields()
    body = ("digest " + name).encode()
    time.sleep(max(0, stopped_at + FIRST_TRY_SECONDS - time.monotonic()))
    raw = request("/digest/x", name + "-1", DEADLINE_MS, body, fields)
    first = exchange(staying.front, raw, 15)
    record.add("%s-1 %s Retry-After=%s" % (name, first, first.fields.get("Retry-After")))
    if first.status != 503:
        return
    back_at = time.monotonic() + float(first.fields.get("Retry-After", 0))
    time.sleep(max(0, back_at - time.monotonic(), stopped_at + second_at - time.monotonic()))
    left = DEADLINE_MS - int((time.monotonic() - stopped_at - FIRST_TRY_SECONDS) * 1000)
    sent_at = time.monotonic() - stopped_at
    raw = request("/digest/x", name + "-2", left, body, fields)
    second = exchange(leaving.front, raw, left / 1000)
    record.add("%s-2 sent %.3f s after the SIGTERM: %s" % (name, sent_at, second))
    if "refused" in second.ended.lower():
        return  # The machine had closed its port: nothing was read.
    is_over_time = second.seconds >= left / 1000 - 0.1
    was_at_work = name + "-2" in decode.runs  # Excused in the last sixth of the grace.
    if second.complete or second.status or was_at_work or is_over_time:
        return
    if second.seconds > LOSS_SLACK_SECONDS:
        lost.append(name + "-2")


def play_round(number, nodes, decode, record):
    leaving, staying = nodes
    lost = []
    fillers = [
        threading.Thread(target=fill, args=(staying, record, "filler-%d-%d" % (number, n)))
        for n in range(FILLERS)
    ]
    for thread in fillers:
        thread.start()
    time.sleep(1)
    stopped_at = time.monotonic()
    if TROUBLE:
        record.add("round %d: SIGTERM to %s" % (number, leaving.name))
        leaving.signal(signal.SIGTERM)
    clients = [
        threading.Thread(
            target=ask,
            args=(
                nodes, record, "digest-%d-%d" % (number, n), stopped_at, 2.77 + 0.03 * n, decode, lost
            ),
        )
        for n in range(CLIENTS)
    ]
    for thread in clients:
        thread.start()
    if TROUBLE:
        try:
            leaving.process.wait(GRACE_SECONDS - (time.monotonic() - stopped_at))
        except subprocess.TimeoutExpired:
            leaving.signal(signal.SIGKILL)
            leaving.process.wait()
        record.add(
            "round %d: %s ended with %s after %.3f s"
            % (number, leaving.name, leaving.process.returncode, time.monotonic() - stopped_at)
        )
    for thread in clients + fillers:
        thread.join()
    return lost


def case(record):
    store = FakeStore()
    store.put(
        "op/config",
        configuration(3, [route("/digest/", "llm", "stream", DEADLINE_MS)]),
    )
    # A stream takes 12 s here, with pauses of 170 ms (300 ms are on time).
    replicas = [
        Replica("i-prefill", record, "prefill"),
        Replica("i-decode", record, "decode", pause=0.17),
    ]
    for replica in replicas:
        store.put("servers/" + replica.name, entry(replica, "llm", 48, replica.phase))
    nodes = []
    try:
        nodes.append(Node("node-1", store))
        nodes.append(Node("node-2", store, [nodes[0].control_address]))
        for number in range(1, ROUNDS + 1):
            for node in nodes:
                node.wait_ready()
                node.wait_logged("event=replica ", len(replicas))
            time.sleep(1.5)
            lost = play_round(number, nodes, replicas[1], record)
            if lost:
                return "LOST: %s was read, and its connection ended without an answer" % lost
            if TROUBLE:
                nodes[0].start()
        return None
    finally:
        for node in nodes:
            node.end()


deployment.run_case(FOLDER, case)
