"""A store with odd entries of other writers beside those of replicas."""
import time

from fake_replica import FakeReplica
from fake_store import FakeStore
from relay_nodes import Node, configuration, route

RECOVER_SECONDS = 12

# Entries of the list that name a replica, and one that is written later. Each has a service and a
# route of its own, so that a request shows whether it is known.
REPLICAS = ["i-desk", "j-desk"]
LATE_REPLICA = "k-desk"

NO_ENTRY = b"\xff no entry \x00"

# Before and after the replicas; with pages of three, first and last of a page, several in a row,
# and two pages of nothing else.
ODD_COUNTS = {"a": 7, "i-m": 4, "x": 2}


def odd_names(part):
    return [
        "%s%s%d" % (start, part, number)
        for start, count in ODD_COUNTS.items()
        for number in range(count)
    ]


def configuration_with(version, replicas):
    value = configuration(version)
    for name in replicas:
        value["Routes"].append(route("/%s/" % name, name, "idempotent"))
        value["Services"].append({"Name": name, "HealthPath": "/health", "MaxConnections": 100})
    return value


class Site:
    """A store with replicas and odd entries, and one node."""

    def __init__(self, names, escapes=True, page_items=3, value=NO_ENTRY, **fields):
        self.store = FakeStore(page_items, escapes)
        self.replicas = [FakeReplica(name) for name in [*REPLICAS, LATE_REPLICA]]
        self.names = names
        self.value = value
        self.fields = fields
        self.store.put("op/config", configuration_with(3, REPLICAS))
        self.put_odd_entries(names)
        for replica in self.replicas[:2]:
            self.put_replica(replica)
        self.node = None

    def put_odd_entries(self, names):
        for name in names:
            self.store.put("servers/" + name, self.value, **self.fields)

    def put_replica(self, replica, **fields):
        self.store.put("servers/" + replica.name, {**replica.entry(replica.name), **fields})

    def start(self):
        self.started_at = time.monotonic()
        self.node = Node("n1", self.store.address)

    def stop(self):
        if self.node:
            self.node.stop()

    def is_served_by(self, replica):
        before = len(replica.received)
        try:
            answer = self.node.send_request("/%s/x" % replica.name)
        except OSError:
            return False
        return answer[0] == 200 and len(replica.received) > before

    def problem(self):
        """Returns what a caller misses; empty if the replicas are all in use, also a later one."""
        for replica in self.replicas[:2]:
            deadline = self.started_at + RECOVER_SECONDS
            if not until(deadline, lambda: self.is_served_by(replica)):
                return "no answer of " + replica.name
        late = self.replicas[2]
        self.put_odd_entries(self.names[:7])
        self.put_replica(late)
        self.store.put("op/config", configuration_with(4, [*REPLICAS, LATE_REPLICA]))
        if not until(time.monotonic() + RECOVER_SECONDS, lambda: self.is_served_by(late)):
            return "no answer of the later replica on the later route"
        if self.store.refused:
            return "refused: %r" % self.store.refused[0]
        return ""


def until(deadline, condition):
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.02)
    return True
