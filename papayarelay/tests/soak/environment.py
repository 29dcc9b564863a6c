"""Environment of a soak run: store, backend servers, nodes and invariant checks."""

from __future__ import annotations

import json
import os
import random
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from ..platform_documents import make_document
from ..raw_server import ReceivedRequest
from ..store_standin import StoreStandIn
from .backend import BackendStandIn, Proxy, Record
from .poison import PoisonCheck
from .process import (
    CONFIG_S,
    DRAIN_S,
    EVACUATE_S,
    REVOKE_S,
    SETTLE_S,
    SLACK_S,
    NodeProcess,
)

DATA_CENTRES = ("a", "b")
KEYS = ("k1", "k2")


def _own_network() -> str:
    """Return a loopback /24 prefix derived from the process id.

    Concurrent runs get different prefixes, so their nodes do not share addresses.
    """
    second, third = divmod(os.getpid() % (240 * 240), 240)
    return f"127.{10 + second}.{1 + third}"


def _reservation_prefix(name: str) -> str:
    """Return the part of a reservation's name that tells its node process."""
    return name.partition("-")[0]


@dataclass
class Version:
    """A configuration version, and when the store confirmed it."""

    document: dict
    confirmed_s: float
    keys: frozenset[str]
    routes: frozenset[str]


@dataclass
class Environment:
    """Nodes, backend servers and store; ``check_*`` record violated invariants."""

    seed: int
    directory: Path
    nodes: list[NodeProcess] = field(default_factory=list)
    backends: list[BackendStandIn] = field(default_factory=list)
    at_most_once: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    poisoned: set[str] = field(default_factory=set)
    sent_s: dict[str, float] = field(default_factory=dict)
    sent_key: dict[str, str] = field(default_factory=dict)
    sent_to: dict[str, NodeProcess] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    evacuated_s: dict[str, float] = field(default_factory=dict)
    command_fault: str = ""
    poison: PoisonCheck = field(default_factory=PoisonCheck)
    store_disturbed_s: float = 0.0
    _reserved_by: dict[str, NodeProcess] = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.record = Record()
        self.store = StoreStandIn()

    def start(self, nodes: int) -> None:
        """Start the store, the backend servers and the nodes."""
        self.put_config(KEYS)
        for number in range(4):
            self.add_backend(f"e{number}", "model", "engine")
        for number in range(2):
            self.add_backend(f"p{number}", "plain", "plain")
            self.add_backend(f"m{number}", "model-2", "engine")
        for number in range(nodes):
            node = NodeProcess(
                f"n{number}",
                f"{_own_network()}.{number + 1}",
                DATA_CENTRES[number % 2],
                Proxy(self.store.address),
                self.directory / f"n{number}.log",
                self.directory / f"n{number}.toml",
            )
            node.start()
            self.nodes.append(node)

    def close(self) -> None:
        """Stop all processes and simulated servers."""
        for node in self.nodes:
            node.kill()
            node.store.close()
        for backend in self.backends:
            backend.close()
        self.store.close()

    def add_backend(self, name: str, service: str, kind: str) -> None:
        """Start a backend server."""
        zone = DATA_CENTRES[len(self.backends) % 2]
        backend = BackendStandIn(self, name, service, kind, zone)
        self.backends.append(backend)

    def backend_at(self, address: str) -> BackendStandIn | None:
        """Return the server registered with an address."""
        return next((b for b in self.backends if b.address == address), None)

    def put_config(self, keys: tuple[str, ...], without: str = "") -> None:
        """Store a configuration with these API keys, optionally without one route."""
        version = (self.versions[-1].document["version"] if self.versions else 0) + 3
        fields = make_document(version, tenants=[{"name": "office", "api_keys": keys}])
        fields["services"].append({**fields["services"][0], "name": "model-2"})
        job = fields["routes"][1]
        call = {**job, "name": "r-call", "prefix": "/call/", "kind": "idempotent"}
        once_route = {**fields["routes"][0], "name": "r-once", "prefix": "/once/"}
        fields["routes"] += [
            {**call, "max_attempts": 2},
            {**once_route, "resumable": False},
        ]
        fields["routes"] = [r for r in fields["routes"] if r["name"] != without]
        self.store.put("op", "config", fields)
        names = frozenset(r["name"] for r in fields["routes"])
        now_s = time.monotonic()
        self.versions.append(Version(fields, now_s, frozenset(keys), names))

    def evacuate(self, zone: str, on: bool) -> None:
        """Evacuate a data centre, or end its evacuation."""
        if on:
            self.store.put("op", f"evacuate/{zone}", {})
            self.evacuated_s[zone] = time.monotonic()
        else:
            self.store.remove("op", f"evacuate/{zone}")
            self.evacuated_s.pop(zone, None)

    def write_again(self) -> None:
        """Write what a restore has lost, as the operator and the servers do."""
        self.store.put("op", "config", self.versions[-1].document)
        for zone in DATA_CENTRES:
            if zone in self.evacuated_s:
                self.store.put("op", f"evacuate/{zone}", {})
            else:
                self.store.remove("op", f"evacuate/{zone}")
        present = {backend.id for backend in self.backends}
        for name in self.store.rows.tables["servers"].keys() - present:
            self.store.remove("servers", name)
        for backend in self.backends:
            backend.register_again()

    def event_count(self, attempt: str) -> int:
        """Return the number of events in the stream of a request."""
        return 3 + int(attempt[:4], 16) % 25

    def sender(self, request: ReceivedRequest) -> NodeProcess | None:
        """Return the node that sent a request, None if that is not known.

        A reservation is known once a request has used one of its node process.
        """
        attempt = (request.get(b"X-Attempt-Id") or b"").decode()
        if not attempt:
            command = json.loads(request.body) if request.body else {}
            return self._reserved_by.get(_reservation_prefix(command.get("id", "")))
        node = self.sent_to.get(attempt)
        for item in (request.get(b"X-Helpers") or b"").decode().split(","):
            reservation = item.partition("/")[2]
            if reservation and node is not None:
                self._reserved_by[_reservation_prefix(reservation)] = node
        return node

    def draw_command_fault(self) -> str:
        """Return how a command to an engine fails: ``lost``, ``late`` or ``""``."""
        return (
            self.command_fault if self.command_fault and self.rng.random() < 0.5 else ""
        )

    def check_arrival(
        self,
        backend: BackendStandIn,
        attempt: str,
        request: ReceivedRequest,
        now_s: float,
    ) -> None:
        """Check the invariants of a request that reaches a server."""
        add_violation = self.record.add_violation
        if attempt not in self.sent_s:
            add_violation(f"UNASKED {attempt} was never sent")
            return
        if request.get(b"X-Key") is not None:
            add_violation(f"UNASKED {attempt} forwarded with its API key")
        if request.get(b"X-Tenant") != b"office":
            add_violation(f"UNASKED {attempt} has tenant {request.get(b'X-Tenant')}")
        node = self.sent_to[attempt]
        sent_s = self.sent_s[attempt]
        self._check_key(attempt, sent_s)
        if not node.is_undisturbed(now_s) or not node.is_undisturbed(sent_s):
            return
        if now_s - self.store_disturbed_s < SETTLE_S + SLACK_S:
            return
        drained_s = backend.draining_s
        if drained_s is not None and min(now_s, sent_s) - drained_s > DRAIN_S + SLACK_S:
            add_violation(f"DRAIN {attempt} reached {backend.id} by {node.name}")
        gone_s = self.evacuated_s.get(backend.zone)
        if gone_s is not None and sent_s - gone_s > EVACUATE_S + SLACK_S:
            add_violation(f"EVAC {attempt} reached {backend.zone} by {node.name}")
        self._check_route(attempt, request.target.decode(), sent_s, node)

    def _check_key(self, attempt: str, sent_s: float) -> None:
        """Check that the key was valid; the limit holds under every fault."""
        allowed = any(
            self.sent_key[attempt] in version.keys
            for number, version in enumerate(self.versions)
            if number + 1 == len(self.versions)
            or sent_s < self.versions[number + 1].confirmed_s + REVOKE_S
        )
        if not allowed:
            self.record.add_violation(
                f"REVOKED {attempt} executed by {self.sent_to[attempt].name}"
            )

    def _check_route(self, attempt: str, path: str, sent_s: float, node) -> None:
        kind = path.split("/")[1]
        allowed = any(
            f"r-{kind}" in version.routes
            for number, version in enumerate(self.versions)
            if number + 1 == len(self.versions)
            or sent_s < self.versions[number + 1].confirmed_s + CONFIG_S + SLACK_S
        )
        if not allowed:
            self.record.add_violation(
                f"CONFIG {attempt} executed on {kind} by {node.name}"
            )

    def ready(self, node: NodeProcess) -> bool:
        """Return whether the readiness check of a node succeeds."""
        try:
            with gevent.Timeout(1.0, TimeoutError):
                sock = socket.create_connection((node.ip, 8220), 1.0)
                sock.sendall(b"GET /papayarelay/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = sock.recv(100)
                sock.close()
        except OSError:
            return False
        return b" 200 " in line

    def describe(self) -> str:
        """Return the figures of a run as a line of JSON."""
        return json.dumps(
            {
                "seed": self.seed,
                "ran": len(self.record.executions),
                "sent": len(self.sent_s),
            }
        )
