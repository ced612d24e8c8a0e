"""Tests that a node pauses when the store refuses its calls, and goes on with what it holds."""
import time
import unittest

from fake_replica import FakeReplica
from fake_store import FakeStore
from relay_nodes import Node, configuration, wait_until

# Of 2,000 reading calls a second, one of 570 nodes may make so many.
CALLS_PER_SECOND = 2000 / 570
WINDOW_SECONDS = 4

# Which calls are refused, and how.
REFUSALS = [
    (kind, status)
    for kind in ("first page", "next page", "watch")
    for status in (400, 404, 410, 429, 500, 503)
]


class Site:
    """A node that knows a list of three pages."""

    def __init__(self):
        self.store = FakeStore()
        self.store.put("op/config", configuration(3))
        self.replica = FakeReplica("i-desk")
        self.store.put("servers/" + self.replica.name, self.replica.entry("desk"))
        for number in range(6):
            name = "z%d" % number
            self.store.put("servers/" + name, FakeReplica(name).entry("llm"))
        self.node = Node("n1", self.store.address)

    def is_served(self):
        return self.node.is_ready() and self.node.send_request("/often/x")[0] == 200

    def has_new_list(self):
        """Asks for a whole new list: the store has forgotten what was before a change."""
        self.store.delete("servers/z0")
        self.store.compact()
        self.store.put("servers/z0", FakeReplica("z0").entry("llm"))


class StoreRefusalsTest(unittest.TestCase):
    def start_sites(self, rows):
        sites = [(row, Site()) for row in rows]
        for _, site in sites:
            self.addCleanup(site.node.stop)
        for _, site in sites:
            wait_until(site.is_served)
        return sites

    def count_calls(self, times):
        since = time.monotonic() - WINDOW_SECONDS
        return sum(moment > since for moment in times)

    def assert_follows(self, site):
        """Checks that a change is in force after as long as a retry and the change may take."""
        draining = site.replica.entry("desk", "draining")
        site.store.put("servers/" + site.replica.name, draining)
        successor = FakeReplica("j-desk")
        site.store.put("servers/" + successor.name, successor.entry("desk"))
        wait_until(lambda: site.is_served() and successor.received)

    def test_refused_calls_are_repeated_after_pauses(self):
        sites = self.start_sites(REFUSALS)
        for row, site in sites:
            site.store.turned_away = row
            site.has_new_list()
        time.sleep(2 + WINDOW_SECONDS)
        for row, site in sites:
            with self.subTest(row=row):
                calls = self.count_calls(site.store.turned_away_at)
                self.assertGreater(calls, 0)
                self.assertLess(calls, CALLS_PER_SECOND * WINDOW_SECONDS)
                self.assertTrue(site.is_served())
        for row, site in sites:
            with self.subTest(row=row):
                site.store.turned_away = None
                self.assert_follows(site)

    def test_page_without_keys_ends_no_list(self):
        """The store says that there is more, and not after which key."""
        ((_, site),) = self.start_sites(["a page without keys"])
        before = site.store.calls
        for number in range(3):
            site.store.put("servers/a%d" % number, b"", Key=None)
        site.has_new_list()
        time.sleep(2)
        before = site.store.calls
        time.sleep(WINDOW_SECONDS)
        # The routes' watch is answered every second or so, and isn't refused.
        routes = WINDOW_SECONDS * 2
        self.assertLess(site.store.calls - before, CALLS_PER_SECOND * WINDOW_SECONDS + routes)
        self.assertTrue(site.is_served())
        for number in range(3):
            site.store.delete("servers/a%d" % number)
        self.assert_follows(site)


if __name__ == "__main__":
    unittest.main()
