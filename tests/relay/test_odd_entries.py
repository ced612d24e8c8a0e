"""Tests that odd entries of the store, from other writers, stop nothing."""
import contextlib
import json
import time
import unittest
from pathlib import Path

from fake_store import FakeStore
from odd_site import (
    LATE_REPLICA,
    NO_ENTRY,
    RECOVER_SECONDS,
    REPLICAS,
    Site,
    configuration_with,
    odd_names,
    until,
)
from relay_nodes import Node, configuration, wait_until

MACHINE_BYTES = 110_000_000
NODES_AT_ONCE = 16

# Parts of names. All are written with escapes, and as their bytes.
NAME_PARTS = [
    *" !\"#$%&'()*+,-./:;<=>?@[\\]^_`{|}~",
    "%2",
    "%zz",
    "%41",
    "%00",
    "%25",
    "%0d%0a",
    "a&after=z",
    "&PathPrefix=x",
    "..",
    "/../",
    "?a=b",
    " HTTP/1.1",
    "\r",
    "\n",
    "\t",
    "\r\n",
    "\r\nX-More: 1\r\n\r\nGET /x HTTP/1.1\r\n",
    "\0",
    "\x01",
    "\x1b[2J",
    "\x7f",
    "\x80",
    "\xa0",
    "\xe9",
    "\u2028",
    "\u6f22",
    "\ufeff",
    "\ufffd",
    "\ufffe",
    "\U0001f600",
    "\U0010ffff",
    "\ud800",
    "\udbff",
    "\ude00\ud83d",
    "x" * 180,
]

# Names of bytes that are no UTF-8, which only a text without escapes can hold.
NO_TEXTS = [b"\xff", b"\xc0\xaf", b"\xe2\x82", b"\xed\xa0\x80", b"\xf4\x90\x80\x80", b"a\x80b"]

# Other fields of an item in the store's answers. Items without a key follow, which no page may
# end with: it doesn't say where the next one begins.
ODD_ITEMS = [
    {"Revision": "7"},
    {"Revision": None},
    {"Revision": [7]},
    {"Revision": 10**30},
    {"Revision": float("inf")},
    {"Revision": float("nan")},
    {"Value": 7},
    {"Value": None},
    {"Value": {"a": 1}},
    {"Value": "%%%"},
    {"Value": "YQ"},
    {"Value": "\ud800"},
    {"Value": "A" * 1_400_000},
    {"Deleted": "yes"},
    {"More": json.loads("[" * 100 + "]" * 100)},
    {"More": "\0"},
    {"More": "]}\\\"[{"},
]
KEYLESS_ITEMS = [{"Key": None}, {"Key": 7}, {"Key": ["servers/a"]}, {"Key": {"Key": "servers/a"}}]


class OddEntriesTest(unittest.TestCase):
    def start(self, site):
        self.addCleanup(site.stop)
        site.start()
        return site

    def check_rows(self, rows):
        """Rows: a text for the message, a site that is not started. Several run at once."""
        for first in range(0, len(rows), NODES_AT_ONCE):
            some = rows[first : first + NODES_AT_ONCE]
            for _, site in some:
                self.start(site)
            for text, site in some:
                with self.subTest(row=text):
                    self.assertEqual("", site.problem())
                site.stop()

    def test_names_with_any_character_hold_up_nothing(self):
        rows = []
        for escapes in (True, False):
            for part in NAME_PARTS:
                rows.append(((part, escapes), Site(odd_names(part), escapes)))
        for data in NO_TEXTS:
            part = data.decode("utf-8", "surrogateescape")
            rows.append((data, Site(odd_names(part), False)))
        self.check_rows(rows)

    def test_items_that_cannot_be_read_spoil_no_page(self):
        rows = []
        for escapes in (True, False):
            for fields in ODD_ITEMS:
                rows.append(((fields, escapes), Site(odd_names("n"), escapes, **fields)))
            for fields in KEYLESS_ITEMS:
                names = ["a", "i-m", "x"]
                rows.append(((fields, escapes), Site(names, escapes, **fields)))
        self.check_rows([(str(text)[:80], site) for text, site in rows])

    def test_place_of_the_entry_does_not_matter(self):
        odd = "&b+c#d e%f\r\n\u6f22"
        places = {
            "none": [],
            "first of a page": ["a" + odd],
            "last of a page": ["a" + odd, "z" + odd],
            "last of the first page": ["i-m" + odd, "z", "zz"],
            "last of the list": ["z" + odd],
            "several in a row": ["i-m%d%s" % (number, odd) for number in range(4)],
            "whole pages": ["a%d%s" % (number, odd) for number in range(9)],
            "pages of one": ["i-m" + odd],
        }
        rows = []
        for place, names in places.items():
            page_items = 1 if place == "pages of one" else 3
            rows.append((place, Site(names, page_items=page_items)))
        self.check_rows(rows)

    def test_nodes_without_the_store_learn_of_replicas_beside_odd_entries(self):
        """Rows: names and values of the odd entries, together more than one message holds."""
        rows = [
            (odd_names("&b+c#d e%f\r\n\0\ud800"), NO_ENTRY),
            (odd_names("n"), b"a" * 1_000_000),
            (odd_names("n"), b'{"Service": "' + b"a" * 1_000_000 + b'"}'),
        ]
        unreachable = FakeStore()
        unreachable.mode = "busy"
        for names, value in rows:
            with self.subTest(row=(names[0], value[:20])):
                site = Site(names, page_items=1, value=value)
                reader = Node("n0", site.store.address)
                self.addCleanup(reader.stop)
                reader.wait_ready()
                site.node = Node("n1", unreachable.address, seed=reader.address)
                self.addCleanup(site.node.stop)
                site.started_at = time.monotonic()
                self.assertEqual("", site.problem())
                self.assertIn("event=news-from-peer", site.node.log())
                self.assertNotIn("event=replica-unreadable", site.node.log())
                reader.stop()
                site.stop()

    def test_odd_entries_take_no_memory(self):
        """They are more than the memory of a node's machine."""
        names = ["a%d" % number for number in range(60)] + ["x%d" % n for n in range(60)]
        site = self.start(Site(names, value=b"a" * 1_000_000))
        self.assertEqual("", site.problem())
        status = Path("/proc/%d/status" % site.node.process.pid).read_text()
        peak = int(status.split("VmHWM:")[1].split()[0]) * 1024
        self.assertLess(peak, MACHINE_BYTES)

    def test_other_keys_below_the_configuration_are_not_read(self):
        for value in [configuration(99), NO_ENTRY, b"a" * 1_000_000]:
            with self.subTest(value=str(value)[:20]):
                site = Site([])
                parts = ["/", "2", " ", "&after=z", "#", "%", "\r\n", "\0", "\ud800"]
                for part in parts:
                    for number in range(4):
                        site.store.put("op/config%s%d" % (part, number), value)
                self.start(site)
                self.assertEqual("", site.problem())
                for part in parts:
                    site.store.put("op/config" + part, value)
                time.sleep(1)
                self.assertTrue(site.is_served_by(site.replicas[2]))
                self.assertEqual(4, site.node.read_metrics()["heatherfork_configuration_revision"])
                self.assertEqual(2, site.node.log().count("event=routing "))
                site.stop()

    def test_unreadable_configuration_leaves_the_one_before_in_force(self):
        site = self.start(Site([]))
        self.assertEqual("", site.problem())
        values = [NO_ENTRY, {"Version": "5"}, {**configuration(5), "Routes": 7}]
        for count, value in enumerate(values, 1):
            site.store.put("op/config", value)
            wait_until(lambda: site.node.log().count("event=routing-unreadable") == count)
            reached = site.node.log().count("event=store-reached")
            site.store.mode = "busy"
            time.sleep(2)
            site.store.mode = ""
            wait_until(lambda: site.node.log().count("event=store-reached") >= reached + 2)
            self.assertEqual(count, site.node.log().count("event=routing-unreadable"))
            self.assertTrue(site.is_served_by(site.replicas[2]))
        site.store.put("op/config", configuration_with(6, REPLICAS))
        wait_until(lambda: site.node.send_request("/%s/x" % LATE_REPLICA)[0] == 404)

    def test_all_processes_start_anew_beside_an_odd_entry(self):
        site = Site(odd_names("&b+c#d e%f"))
        nodes = [Node("n0", site.store.address)]
        nodes += [Node("n%d" % n, site.store.address, seed=nodes[0].address) for n in (1, 2)]
        with contextlib.ExitStack() as stack:
            for node in nodes:
                stack.callback(node.stop)
            for life in range(2):
                if life > 0:
                    for node in nodes:
                        node.process.kill()
                        node.process.wait()
                    for node in nodes:
                        node.start()
                started_at = time.monotonic()
                for node in nodes:
                    site.node = node
                    for replica in site.replicas[:2]:
                        self.assertTrue(
                            until(
                                started_at + RECOVER_SECONDS,
                                lambda: site.is_served_by(replica),
                            ),
                            (life, node.name, replica.name),
                        )
            for node in nodes:
                site.node, site.started_at = node, time.monotonic()
                self.assertEqual("", site.problem(), node.name)


if __name__ == "__main__":
    unittest.main()
