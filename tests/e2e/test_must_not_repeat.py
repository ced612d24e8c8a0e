"""Must-not-repeat calls of a plain service arrive at most once, and a refusal
never reports "not-run" for a call that arrived."""

import unittest
from dataclasses import dataclass

from callers import key_fields, plain
from cluster import Cluster


@dataclass(frozen=True)
class Row:
    """One fault at the plain service and the expected answer."""

    name: str
    faults: dict
    status: int
    identifier: str | None
    outcome: str | None
    arrivals: int


TABLE = [
    Row("sound", {}, 200, None, None, 1),
    Row("closes a kept-alive connection", {"close_kept_alive": True, "close_unanswered": True}, 502,
        "outcome-unknown", "unknown", 1),
    Row("fails", {"fail_status": 500}, 502, "backend-server-failed", "ran-and-failed", 1),
    Row("refuses", {"fail_status": 404}, 502, "backend-server-failed", "ran-and-failed", 1),
    Row("a gateway fails", {"fail_status": 502}, 502, "outcome-unknown", "unknown", 1),
]

NO_FAULT = {"close_kept_alive": False, "close_unanswered": False, "fail_status": 0}


class MustNotRepeat(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(nodes=1)
        self.addCleanup(self.cluster.close)
        self.node = self.cluster.nodes["node-0"]
        self.service = self.cluster.services[0]

    def arrivals(self, call):
        return self.service.counters()["arrivals"].get(f'/reserve "{call}"', 0)

    def reserve(self, name):
        return plain(self.node, "reserve", name, **self.fields(name))

    def fields(self, name):
        return key_fields(name, self.cluster.home("node-0"))

    def test_runs_at_most_once(self):
        for row in TABLE:
            with self.subTest(row.name):
                # A successful call first, so that a connection may be kept alive.
                self.assertEqual(200, self.reserve("before " + row.name).status)
                fields = self.fields(row.name)
                self.service.control(**row.faults)
                first = plain(self.node, "reserve", row.name, **fields)
                self.service.control(**NO_FAULT)
                again = plain(self.node, "reserve", row.name, **fields)
                for answer in (first, again):
                    self.check(row, answer)
                self.assertEqual(row.arrivals, self.arrivals(row.name))

    def check(self, row, answer):
        self.assertEqual(row.status, answer.status, answer.body)
        if row.identifier is not None:
            error = answer.json["error"]
            self.assertEqual((row.identifier, row.outcome), (error["id"], error["outcome"]))

    def test_refuses_same_key_with_another_body(self):
        fields = self.fields("one")
        self.assertEqual(200, plain(self.node, "reserve", "one", **fields).status)
        other = plain(self.node, "reserve", "other", **fields)
        self.assertEqual((409, "key-reused"), (other.status, other.json["error"]["id"]))
        self.assertEqual(0, self.arrivals("other"))

    def test_runs_same_key_of_another_tenant(self):
        fields = self.fields("shared")
        for tenant in ("depot", "gloves"):
            self.assertEqual(200, plain(self.node, "reserve", "shared", tenant, **fields).status)
        self.assertEqual(2, self.arrivals("shared"))

    def test_outcome_with_earlier_incarnation_of_home_is_unknown(self):
        fields = key_fields("earlier", "node-0/00000000000000aa")
        answer = plain(self.node, "reserve", "earlier", **fields)
        self.assertEqual("unknown", answer.json["error"]["outcome"])
        self.assertEqual(0, self.arrivals("earlier"))

    def test_outcome_without_running_service_is_not_run(self):
        fields = self.fields("none")
        self.service.kill()
        answer = plain(self.node, "reserve", "none", **fields)
        self.assertEqual((503, "not-run"), (answer.status, answer.json["error"]["outcome"]))


if __name__ == "__main__":
    unittest.main()
