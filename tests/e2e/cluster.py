"""A complete system on the local host: nodes, engines, services, platform."""

import dataclasses
import json
import os
import socket
import tempfile
from pathlib import Path

from callers import bearer
from publication import MODEL, configuration
from processes import BUILD, HOST, Processes, call, wait_until
from tcp_proxy import TcpProxy

ADMIN_KEY = "admin-key-for-tests"
KEY_LIFETIME_MS = 120_000
# Below the ephemeral port range, so that no outgoing connection takes a port.
FIRST_PORT, LAST_PORT = 10_000, 30_000

def free_ports(count):
    """Returns ports on which no process listens at present."""
    ports = []
    port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
    while len(ports) < count:
        port = FIRST_PORT + (port + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            if probe.connect_ex((HOST, port)) != 0:
                ports.append(port)
    return ports


def address(port):
    return f"{HOST}:{port}"


class Cluster:
    """Starts all processes and waits until all nodes list each other."""

    def __init__(self, nodes=3, prefill=2, decode=2, services=1, speed=4, proxies=False, **settings):
        self.processes = Processes()
        self.proxies = {}
        self._directory = tempfile.TemporaryDirectory(prefix="heatherfork-")
        self.directory = Path(self._directory.name)
        self._settings = settings
        self.nodes = {}
        try:
            self._start_backend_servers(prefill, decode, services, speed)
            self.platform = self.processes.start_stand_in("fake_platform")
            ports = free_ports(2 * nodes)
            self._ports = {f"node-{n}": ports[2 * n : 2 * n + 2] for n in range(nodes)}
            if proxies:
                self._add_proxies()
            self.publish(1)
            for name in self._ports:
                self.start_node(name)
            wait_until(lambda: self.has_converged(nodes), "nodes that list each other")
        except BaseException:
            self.close()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def close(self):
        self.processes.stop_all()
        for proxy in self.proxies.values():
            proxy.close()
        self._directory.cleanup()

    def _start_backend_servers(self, prefill, decode, services, speed):
        start = self.processes.start_stand_in
        common = [f"--model={MODEL}", f"--speed={speed}"]
        self.prefill = [start("fake_engine", "--role=prefill", *common) for _ in range(prefill)]
        self.decode = [start("fake_engine", "--role=decode", *common) for _ in range(decode)]
        self.services = [start("fake_service") for _ in range(services)]

    def _add_proxies(self):
        """Routes connections to backend servers and peers through TCP proxies."""
        for process in self.prefill + self.decode + self.services:
            process.proxy = TcpProxy(process.port)
        for name, (_, peer) in self._ports.items():
            self.proxies[name] = TcpProxy(peer)

    def _peer_address(self, name):
        proxy = self.proxies.get(name)
        return address(proxy.port if proxy else self._ports[name][1])

    def configuration(self):
        """Returns the configuration of this cluster."""
        return configuration(self.prefill, self.decode, self.services)

    def publish(self, revision, **changes):
        """Publishes the configuration with the given fields changed."""
        changed = dataclasses.replace(self.configuration(), **changes)
        documents = changed.documents()
        parts = {key: data.decode() for key, data in documents.parts.items()}
        vms = [
            {
                "name": name,
                "peer_address": self._peer_address(name),
                "zone": "north",
                "role": "entry",
                "state": "live",
            }
            for name in self._ports
        ]
        self.platform.control(revision=revision, parts=parts, vms=vms)

    def settings(self, name):
        """Returns a node's settings as TOML tables."""
        caller, peer = self._ports[name]
        seeds = [self._peer_address(other) for other in self._ports if other != name]
        platform = self.platform.address
        tables = {
            "node": {
                "name": name,
                "zone": "north",
                "caller_address": address(caller),
                "peer_address": self._peer_address(name),
                "peer_listen": address(peer),
                "seeds": seeds,
            },
            "platform": {"configuration_service": platform, "vm_list": platform},
            "keys": {"peer": "peer-key-for-the-tests", "admin": ADMIN_KEY},
        }
        return tables | self._settings

    def start_node(self, name):
        """Starts a node, or restarts it after it has exited."""
        lines = []
        for table, values in self.settings(name).items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        file = self.directory / f"{name}.toml"
        file.write_text("\n".join(lines) + "\n")
        program = BUILD / "packages" / "node" / "heatherfork"
        with open(self.directory / f"{name}.log", "ab") as log:
            command = [program, "--settings", file]
            self.nodes[name] = self.processes.start(name, self._ports[name][0], command, log)

    def has_converged(self, count, nodes=None):
        """Returns whether each of the nodes (default: all) serves and lists that many entries."""
        for node in nodes or self.nodes.values():
            try:
                answer = call(node, "GET", "/v1/entries", headers=bearer())
            except OSError:
                return False
            if answer.status != 200 or len(answer.json["entries"]) != count:
                return False
        return True

    def home(self, name):
        """Returns the value of "home" that names this node."""
        entries = call(self.nodes[name], "GET", "/v1/entries", headers=bearer()).json["entries"]
        own = next(entry for entry in entries if entry["node"] == name)
        return f"{name}/{own['incarnation']}"

    def status(self, name):
        """Returns a node's answer to GET /admin/status."""
        headers = {"Authorization": "Bearer " + ADMIN_KEY}
        return call(self.nodes[name], "GET", "/admin/status", headers=headers).json

    def wait_for_revision(self, revision):
        """Waits until every node has applied the revision."""
        wait_until(
            lambda: all(self.status(name)["revision"] == revision for name in self.nodes),
            f"revision {revision} everywhere",
        )

    def engines(self):
        return self.prefill + self.decode

    def held_pieces(self):
        return sum(p.counters()["held_pieces"] for p in self.engines() if p.running())

    def log_of(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")
