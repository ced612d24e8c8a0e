"""Tests what counts as a replica's entry in the store, and what is said of the others."""
import subprocess
import threading
import time
import unittest

from fake_replica import FakeReplica, encode_response
from odd_site import NO_ENTRY, REPLICAS, Site, configuration_with, odd_names
from relay_nodes import BUILD, wait_until

# Names of entries that are a replica's but for their names, which no field of a call can hold.
NO_FIELD_TEXTS = [
    "",
    " i",
    "i ",
    "i\t1",
    "i-1\r\nKv-Hold: 1",
    "i-1\r\n\r\nGET /x HTTP/1.1\r\n",
    "i-1\n",
    "i\r1",
    "i\x001",
    "i\x1b[2J",
    "i\x7f",
    "i\ud800",
    "i\udcff",
]

# Names that a field of a call can hold.
FIELD_TEXTS = ["i &+#%=?;:,\"'\\/<>z", "%0d%0a", "i-\u6f22\xe9", "event=x request=r1"]

# A service without a route, written like a line of the log.
FORGED_LINE = "unknown\r\ntime_ms=1 level=info node=n1 event=forged request=r1 server=\u6f22"

# Fields that make no replica of an entry.
ODD_FIELDS = [
    {"Service": 7},
    {"Service": None},
    {"Service": "unknown"},
    {"Service": FORGED_LINE},
    {"Address": None},
    {"Address": 7},
    {"Address": ""},
    {"Address": "nowhere"},
    {"Address": "localhost:80"},
    {"Address": "127.0.0.1:0"},
    {"Address": "127.0.0.1:65536"},
    {"Address": "127.0.0.1:80\r\nX: y"},
    {"Zone": 7},
    {"Slots": "8"},
    {"Slots": 0},
    {"Slots": -(2**31)},
    {"Slots": 2**31},
    {"Slots": 2**32 + 8},
    {"Slots": 10**30},
    {"Slots": True},
    {"State": "odd"},
    {"State": 7},
    {"State": "READY"},
    {"Phase": "odd"},
    {"Phase": 7},
    {"born": "x"},
    {"born": [1]},
    {"More": "a" * 70_000},
]


def answer_with_limit(connection, fields):
    limit = "Server-Limit: 100\r\n"
    connection.sendall(encode_response(200, b"answer", fields["Request-Id"], extra=limit))
    return True


def unreadable_lines(node):
    """Returns the keys of the entries that a node has logged as unreadable, as they are logged."""
    lines = [line for line in node.log().split("\n") if " event=replica-unreadable " in line]
    return [line.split(' key="', 1)[1].split('" reason="', 1)[0] for line in lines]


class OddReplicasTest(unittest.TestCase):
    def start(self, site):
        self.addCleanup(site.stop)
        site.start()
        return site

    def test_entry_is_logged_once(self):
        names = ["a %d" % number for number in range(7)] + ["i-m\r\nevent=x \"\u6f22"]
        site = self.start(Site(names))
        self.assertEqual("", site.problem())
        logged = ["servers/a %d" % number for number in range(7)]
        logged.append("servers/i-m\\r\\nevent=x \\\"\\xe6\\xbc\\xa2")
        self.assertEqual(logged, unreadable_lines(site.node))
        for _ in range(3):
            site.put_odd_entries(names)  # As a writer's heartbeats.
            time.sleep(0.4)
        for _ in range(2):
            lost = site.node.log().count("event=store-lost")
            site.store.mode = "busy"
            wait_until(lambda: site.node.log().count("event=store-lost") >= lost + 2)
            reached = site.node.log().count("event=store-reached")
            site.store.mode = ""
            wait_until(lambda: site.node.log().count("event=store-reached") >= reached + 2)
        self.assertEqual(logged, unreadable_lines(site.node))
        self.assertTrue(site.is_served_by(site.replicas[0]))
        site.store.delete("servers/a 3")
        time.sleep(1)
        site.store.put("servers/a 3", NO_ENTRY)
        wait_until(lambda: len(unreadable_lines(site.node)) > len(logged))
        self.assertEqual([*logged, "servers/a 3"], unreadable_lines(site.node))

    def test_entry_that_becomes_unreadable_names_no_replica_any_more(self):
        rows = [
            {},
            {"Value": 7},
            {"Value": "%%%"},
            {"Revision": None},
            {"Revision": "7"},
            {"More": float("inf")},
            {"More": "\0"},
        ]
        for fields in rows:
            with self.subTest(row=fields):
                site = self.start(Site(["a"]))
                self.assertEqual("", site.problem())
                first = site.replicas[0]
                site.store.put("servers/" + first.name, NO_ENTRY, **fields)
                wait_until(lambda: not site.is_served_by(first))
                self.assertTrue(site.is_served_by(site.replicas[1]))
                site.put_replica(first)
                wait_until(lambda: site.is_served_by(first))
                site.stop()

    def test_entry_that_names_no_replica_gets_no_request(self):
        rows = [(name, {}) for name in NO_FIELD_TEXTS] + [("i-1", odd) for odd in ODD_FIELDS]
        site = Site([], escapes=False)
        traps = []
        for number, (name, fields) in enumerate(rows):
            trap = FakeReplica(name)
            traps.append((name, fields, trap))
            entry = {**trap.entry(REPLICAS[0]), **fields}
            key = name if not fields else "t%d" % number
            site.store.put("servers/" + key, entry)
        self.start(site)
        self.assertEqual("", site.problem())
        requests = [
            threading.Thread(target=site.node.send_request, args=("/%s/x" % REPLICAS[0], "r%d" % n))
            for n in range(40)
        ]
        for request in requests:
            request.start()
        for request in requests:
            request.join()
        self.assertEqual([], [(name, odd, trap.raw) for name, odd, trap in traps if trap.raw])
        # A service that has no route is no reason to skip an entry.
        of_other_services = sum("unknown" in str(odd.get("Service")) for _, odd in rows)
        self.assertEqual(len(rows) - of_other_services, len(unreadable_lines(site.node)))
        for line in site.node.log().splitlines():
            self.assertTrue(line.startswith("time_ms=") and line.isascii(), line)
        story = subprocess.run(
            [BUILD / "packages/ctl/heatherforkctl", "explain", "--log", site.node.log_path, "r1"],
            capture_output=True,
            check=True,
        ).stdout.decode()
        self.assertIn(" answered ", story)
        self.assertNotIn(" forged", story)
        replicas = site.node.read_metrics()["heatherfork_replicas"]
        self.assertEqual(3 + of_other_services, replicas)

    def test_replica_of_an_unusual_name_is_used(self):
        site = Site(odd_names("n"))
        names = dict(zip(FIELD_TEXTS, "abcd"))
        replicas = []
        value = configuration_with(3, [*REPLICAS, *names.values()])
        site.store.put("op/config", value)
        for name, service in names.items():
            replica = FakeReplica(name)
            site.store.put("servers/" + name, replica.entry(service))
            replicas.append((service, replica))
        self.start(site)
        site.node.wait_ready()
        for service, replica in replicas:
            with self.subTest(row=replica.name):
                wait_until(lambda: site.node.send_request("/%s/x" % service)[0] == 200)
                self.assertEqual(replica.name, replica.received[0][0]["Target-Instance"])
                replica.faults = [answer_with_limit]
                self.assertEqual(200, site.node.send_request("/%s/x" % service)[0])
                escaped = replica.name.replace("\\", "\\\\").replace('"', '\\"')
                metric = 'heatherfork_server_limit_per_second{server="%s"}' % escaped
                wait_until(lambda: site.node.read_metrics().get(metric) == 100)


if __name__ == "__main__":
    unittest.main()
