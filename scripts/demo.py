"""Starts a complete system on this machine, sends requests of each class and
prints the answers. Exits with 0 only if every request is answered and no
reservation runs twice. With --serve it runs until it is interrupted."""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Callable

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "e2e"))
sys.dont_write_bytecode = True

from callers import TENANT_KEYS, Stream, complete, expected_text, key_fields, plain  # noqa: E402
from cluster import ADMIN_KEY, Cluster  # noqa: E402

NODES = 3
ROUNDS = 8
TOKENS = 12
MAX_PRINTED_CHARS = 60


@dataclass(frozen=True)
class SentRequest:
    """A request and its result."""

    kind: str
    node: str
    text: str
    is_answered: bool


def print_result(sent):
    mark = "ok  " if sent.is_answered else "LOST"
    print(f"  {mark} {sent.kind:<27} {sent.node}  {sent.text[:MAX_PRINTED_CHARS]}")


def summary(cluster, name, number):
    """Requests a summary as a single answer. Its class may wait."""
    prompt = f"Summary of hire history {number}"
    answer = complete(cluster.nodes[name], prompt, TOKENS, key=f"summary-{number}")
    is_complete = answer.status == 200 and answer.json["text"] == expected_text(prompt, TOKENS)
    return is_complete, answer.json["text"] if is_complete else answer.body.decode()


def streamed_summary(cluster, name, number):
    """Requests a summary as a token stream. Its class may wait."""
    prompt = f"Safety notice {number}"
    stream = Stream(cluster.nodes[name], prompt, TOKENS)
    try:
        stream.read()
    finally:
        stream.close()
    is_ended = stream.end is not None and stream.end[0] == "end"
    return is_ended and stream.text == expected_text(prompt, TOKENS), stream.text


def stock_lookup(cluster, name, number):
    """Sends an idempotent call of a plain service."""
    answer = plain(cluster.nodes[name], "lookup", {"lanterns": number})
    return answer.status == 200, answer.body.decode()


def reservation(cluster, name, number):
    """Sends a call that must not repeat to its home node and then to another node.

    Both answers must be equal.
    """
    home = f"node-{(number + 1) % NODES}"
    fields = key_fields(f"reservation-{number}", cluster.home(home))
    first = plain(cluster.nodes[home], "reserve", {"carts": number}, **fields)
    second = plain(cluster.nodes[name], "reserve", {"carts": number}, **fields)
    is_single_run = first.status == second.status == 200 and first.body == second.body
    return is_single_run, second.body.decode()


REQUEST_KINDS: dict[str, Callable] = {
    "may wait, whole": summary,
    "may wait, streamed": streamed_summary,
    "idempotent, whole": stock_lookup,
    "must not repeat, sent twice": reservation,
}


def send(cluster, kind, number):
    name = f"node-{number % NODES}"
    try:
        is_answered, text = REQUEST_KINDS[kind](cluster, name, number)
    except (OSError, ValueError) as error:
        is_answered, text = False, repr(error)
    return SentRequest(kind, name, text, is_answered)


def find_repeated_reservations(cluster):
    """Returns the reservations that reached the booking service more than once."""
    counts = Counter()
    for service in cluster.services:
        counts.update(service.counters()["arrivals"])
    return [call for call, n in counts.items() if call.startswith("/reserve") and n != 1]


def serve(cluster):
    """Prints how to reach the system and blocks until it is interrupted."""
    node = cluster.nodes["node-0"]
    print(f"export NODE=127.0.0.1:{node.port} KEY={TENANT_KEYS['depot']} ADMIN={ADMIN_KEY}")
    print("serving; interrupt to stop", flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="run until interrupted")
    arguments = parser.parse_args()
    started = time.monotonic()
    with Cluster(nodes=NODES, prefill=2, decode=2, services=1) as cluster:
        print(f"{NODES} nodes, 2 prefill and 2 decode engines, 1 plain service:")
        work = [(kind, number) for number in range(ROUNDS) for kind in REQUEST_KINDS]
        with ThreadPoolExecutor(len(work)) as pool:
            results = list(pool.map(lambda item: send(cluster, *item), work))
        for sent in results:
            print_result(sent)
        repeated = find_repeated_reservations(cluster)
        for call in repeated:
            print(f"  ran more than once: {call}")
        if arguments.serve:
            serve(cluster)
    answered = sum(sent.is_answered for sent in results)
    lost = len(results) - answered
    print(f"took {time.monotonic() - started:.1f} s")
    print(f"demo: {len(results)} requests, {answered} answered, {lost} lost")
    return 0 if lost == 0 and not repeated else 1


if __name__ == "__main__":
    sys.exit(main())
