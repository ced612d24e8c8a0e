"""A case with nodes before pools of one kind of replicas."""
import unittest

from relay_nodes import Node, Platform, wait_until

REPLICAS = 4  # In each pool.


class PoolTestCase(unittest.TestCase):
    replica_class = None

    def start(self, node_count, service="desk"):
        self.platform = Platform()
        store = self.platform.store
        for replica in [
            *self.platform.plain_replicas, self.platform.prefill, *self.platform.decode_replicas
        ]:
            store.delete("servers/" + replica.name)
        if service == "desk":
            pools = {None: [self.replica_class("l-desk%d" % n) for n in range(REPLICAS)]}
        else:
            pools = {
                phase: [self.replica_class("l-%s%d" % (phase, n), phase) for n in range(REPLICAS)]
                for phase in ("prefill", "decode")
            }
        self.pools = pools
        count = 0
        for replicas in pools.values():
            for replica in replicas:
                store.put("servers/" + replica.name, replica.entry(service))
                count += 1
        self.nodes = []
        for number in range(node_count):
            self.start_node("n%d" % number, count)
        for node in self.nodes:
            wait_until(lambda: "known=%d" % node_count in node.log())

    def start_node(self, name, replica_count):
        seed = self.nodes[0].address if self.nodes else None
        node = Node(name, self.platform.store.address, seed=seed)
        self.nodes.append(node)
        self.addCleanup(node.stop)
        node.wait_ready()
        wait_until(lambda: node.log().count("event=replica ") >= replica_count)

    def stop_nodes(self):
        for node in self.nodes:
            node.stop()
