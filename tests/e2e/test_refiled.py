"""A request that is sent again while it runs: duplicates of one tenant join the
run in flight, and no caller gets the answer to another request."""

import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from callers import complete, expected_text
from cluster import Cluster
from processes import wait_until

PROMPT = "Match summary for a lost glove"
TOKENS = 20


@dataclass(frozen=True)
class DuplicateRequest:
    """The changes of the second request, and the expected number of runs."""

    name: str
    runs: int
    changes: dict = field(default_factory=dict)


TABLE = [
    DuplicateRequest("equal content", 1),
    DuplicateRequest("same key", 1, {"key": "first"}),
    DuplicateRequest("another tenant", 2, {"tenant": "gloves"}),
    DuplicateRequest("another tenant with the same key", 2, {"tenant": "gloves", "key": "first"}),
    DuplicateRequest("another prompt", 2, {"prompt": "Another glove"}),
    DuplicateRequest("another length", 2, {"max_tokens": TOKENS + 1}),
]


class DuplicateRequests(unittest.TestCase):
    def test_duplicates_join_run_in_flight(self):
        for duplicate in TABLE:
            with self.subTest(duplicate.name), Cluster(nodes=1) as cluster:
                self.check(duplicate, cluster)

    def check(self, duplicate, cluster):
        for engine in cluster.decode:
            engine.control(slow=20)
        first = {"prompt": PROMPT, "max_tokens": TOKENS}
        if "key" in duplicate.changes:
            first["key"] = duplicate.changes["key"]
        second = first | duplicate.changes
        node = cluster.nodes["node-0"]
        with ThreadPoolExecutor(2) as pool:
            answers = [pool.submit(complete, node, **first)]
            wait_until(lambda: cluster.held_pieces() > 0, "the run to begin")
            answers.append(pool.submit(complete, node, **second))
            wait_until(lambda: cluster.status("node-0")["open_callers"] == 2, "the copy to arrive")
            for engine in cluster.decode:
                engine.control(slow=1)
        for request, answer in zip((first, second), answers):
            expected = expected_text(request["prompt"], request["max_tokens"])
            self.assertEqual(expected, answer.result().json["text"])
        runs = sum(engine.counters()["calls"].get("/v1/prefill", 0) for engine in cluster.prefill)
        self.assertEqual(duplicate.runs, runs)


if __name__ == "__main__":
    unittest.main()
