"""Discrete-event simulation of many nodes in front of servers with rate limits.

The nodes run the production code of permits (``Permits``), their datagrams have a
delay and may be lost.  Requests are for one server each, as if no other one could
serve them; a request without a permit within its time is rejected.
"""

from __future__ import annotations

import argparse
import functools
import itertools
import math
import random
import sys
import tracemalloc
from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..backends.restriction import Incarnation, Restrictions
from ..nodes.broadcast import ABSENT_TIMEOUT_S
from ..nodes.groups import Group, divide_into_groups
from ..nodes.permit_exchange import IDLE_POLL_INTERVAL_S, POLL_INTERVAL_S
from ..nodes.permit_messages import LimitRecord, Message, encode
from ..nodes.permits import MAX_PERMIT_WAIT_S, PermitListener, Permits
from .virtual_time import VirtualTime

NETWORK_DELAY_S = 0.001
# Time of a server from the arrival of a request to its response.
SERVICE_S = 0.05
# Delay of the broadcast of a changed limit in a group.
BROADCAST_S = 0.02
# Header of an IP datagram, which counts as sent.
DATAGRAM_HEADER_BYTES = 28
NODES_PER_DATA_CENTRE = 40
MAJORITY_RATIO = 0.5


@dataclass
class LimitedServer:
    """A server that names a limit; ``arrivals`` are times and nodes of requests."""

    incarnation: Incarnation
    per_s: float = math.inf
    named_s: float = math.inf
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def name(self, per_s: float, now_s: float) -> None:
        """Name another limit from now on."""
        self.per_s = per_s
        self.named_s = min(self.named_s, now_s)

    def count(self, start_s: float, end_s: float, nodes: frozenset[str] | None = None):
        """Return the number of requests in a time span, of some nodes or of all."""
        times = [at_s for at_s, _ in self.arrivals]
        found = self.arrivals[bisect_left(times, start_s) : bisect_left(times, end_s)]
        return sum(nodes is None or node in nodes for _, node in found)

    def largest_count(
        self, length_s: float, start_s: float, end_s: float, excluded=frozenset()
    ) -> int:
        """Return the most requests in a window that ends between two times."""
        times = [at_s for at_s, node in self.arrivals if node not in excluded]
        most = 0
        first = 0
        for last, at_s in enumerate(times):
            while times[first] < at_s - length_s:
                first += 1
            if start_s <= at_s < end_s:
                most = max(most, last + 1 - first)
        return most


@dataclass
class _Waiting:
    """A request without a permit; it is rejected at ``end_s``."""

    id: str
    server: LimitedServer
    end_s: float


class SimulatedNode(PermitListener):
    """A node with its permits and its waiting requests."""

    def __init__(self, simulation: LimitSimulation, name: str, seed: int):
        self.name = name
        self.is_up = True
        self.killed_s = math.inf
        self.sent = 0
        self.sent_bytes = 0
        self.served = 0
        self.rejected = 0
        self.waiting: list[_Waiting] = []
        self._frozen_until_s = 0.0
        self._simulation = simulation
        self._poll_due_s = math.inf
        self.permits = Permits(
            name,
            simulation.data_centre(name),
            Restrictions(),
            random.Random(seed),
            self._send,
            lambda: simulation.share(self),
            self,
        )

    def on_permits(self) -> None:
        """Retry the waiting requests."""
        self._simulation.schedule(0.0, self._retry)

    def on_limit_changed(self) -> None:
        """Broadcast the limits to the group."""
        now_s = self._simulation.now_s
        self.permits.restrictions.start_announcing_limits(now_s)
        self._simulation.broadcast(self)

    def on_unknown_node(self, name: str, data_centre: str) -> None:
        """Add a node to the list."""
        self._simulation.introduce(self, name)

    def offer(self, server: LimitedServer, request_id: str) -> None:
        """Handle a caller's request for a server."""
        if not self.is_up or self._defer(lambda: self.offer(server, request_id)):
            return
        now_s = self._simulation.now_s
        waiting = _Waiting(request_id, server, now_s + MAX_PERMIT_WAIT_S)
        if not self._try(waiting):
            self.waiting.append(waiting)
            self.schedule_poll()

    def freeze(self, duration_s: float) -> None:
        """Pause the process; what it receives meanwhile, it handles afterwards."""
        self._frozen_until_s = self._simulation.now_s + duration_s

    def _defer(self, action: Callable[[], None]) -> bool:
        """Run an action after the pause; return whether the process is paused."""
        left_s = self._frozen_until_s - self._simulation.now_s
        if left_s > 0:
            self._simulation.schedule(left_s, action)
        return left_s > 0

    def schedule_poll(self) -> None:
        """Poll the permits and the waiting requests at the interval of a node."""
        now_s = self._simulation.now_s
        active = self.permits.is_active or self.waiting
        interval_s = POLL_INTERVAL_S if active else IDLE_POLL_INTERVAL_S
        due_s = now_s + interval_s
        if due_s < self._poll_due_s and (active or self.permits.any_limited):
            self._poll_due_s = due_s
            self._simulation.schedule(interval_s, lambda: self._poll(due_s))

    def _poll(self, due_s: float) -> None:
        if due_s != self._poll_due_s or self._defer(lambda: self._poll(due_s)):
            return
        self._poll_due_s = math.inf
        if self.is_up:
            self.permits.poll(self._simulation.now_s)
            self._retry()
            self.schedule_poll()

    def _retry(self) -> None:
        if not self.is_up or self._defer(self._retry):
            return
        waiting, self.waiting = self.waiting, []
        self.waiting = [each for each in waiting if not self._try(each)]

    def _try(self, waiting: _Waiting) -> bool:
        """Send or reject a request, or ask for a permit; return whether it is done."""
        now_s = self._simulation.now_s
        incarnation = waiting.server.incarnation
        permits = self.permits
        left_s = waiting.end_s - now_s
        if not permits.has_permit(incarnation, now_s) and left_s > 0:
            permits.ask(incarnation, waiting.id, left_s, now_s)
        if permits.has_permit(incarnation, now_s):
            permit = permits.take(incarnation, waiting.id, now_s)
            restriction = permits.restrictions.get_or_create(incarnation)
            restriction.record_sent(permit, now_s)
            self._simulation.send_request(self, waiting.server)
            return True
        if left_s <= 0 or permits.wait_s(incarnation, waiting.id, now_s) > 0:
            permits.forget(waiting.id)
            self.rejected += 1
            return True
        return False

    def record_cold_start(
        self, server: LimitedServer, per_s: float, end_s: float
    ) -> None:
        """Apply the entry of a cold server in the list."""
        now_s = self._simulation.now_s
        restriction = self.permits.restrictions.get_or_create(server.incarnation)
        restriction.record_cold_start(per_s, end_s - now_s, now_s)
        self.permits.apply_rate(server.incarnation, now_s)
        self.schedule_poll()

    def receive_response(
        self, server: LimitedServer, per_s: float, sent_s: float
    ) -> None:
        """Read the limit in a response."""
        again = functools.partial(self.receive_response, server, per_s, sent_s)
        if not self.is_up or self._defer(again):
            return
        self.served += 1
        now_s = self._simulation.now_s
        limit = self.permits.restrictions.get_or_create(server.incarnation).limit
        if limit.record_response(per_s, sent_s, now_s):
            self.permits.spread(server.incarnation, now_s)
            self.schedule_poll()

    def receive(self, message: Message) -> None:
        """Handle a datagram."""
        if self.is_up and not self._defer(lambda: self.receive(message)):
            self.permits.receive(message, self._simulation.now_s)
            self.schedule_poll()

    def learn(self, records: Sequence[LimitRecord], source: str) -> None:
        """Handle a broadcast of a peer."""
        if self.is_up and not self._defer(lambda: self.learn(records, source)):
            now_s = self._simulation.now_s
            self.permits.learn(records, source, now_s, announced=True)
            self.schedule_poll()

    def _send(self, node: str, message: Message) -> None:
        self.sent += 1
        self.sent_bytes += len(encode(message)) + DATAGRAM_HEADER_BYTES
        self._simulation.send(self, node, message)
        self.schedule_poll()


class LimitSimulation(VirtualTime):
    """Nodes and servers; ``loss_ratio`` of the datagrams are lost."""

    def __init__(self, nodes: int, seed: int, loss_ratio: float = 0.0):
        super().__init__()
        self.nodes: dict[str, SimulatedNode] = {}
        self.servers: list[LimitedServer] = []
        self.partition: frozenset[str] = frozenset()
        self._rng = random.Random(seed)
        self._loss_ratio = loss_ratio
        self._request_numbers = itertools.count()
        self._groups: dict[str, Group] = {}
        self._lists: dict[str, set[str]] = {}
        for number in range(nodes):
            self._create_node(f"n{number}")
        names = set(self.nodes)
        for name in names:
            self._lists[name] = set(names)
        self.apply_lists(names)

    def add_server(self, per_s: float = math.inf) -> LimitedServer:
        """Add a server that names a limit from the start."""
        server = LimitedServer(Incarnation(f"s{len(self.servers)}", 1))
        if per_s < math.inf:
            server.name(per_s, self.now_s)
        self.servers.append(server)
        return server

    def start_cold(
        self, server: LimitedServer, per_s: float, duration_s: float, lag_s: float
    ) -> None:
        """Let a server start cold; each node learns it within ``lag_s``."""
        end_s = self.now_s + duration_s
        for node in self.nodes.values():
            self.schedule(
                self._rng.uniform(0.0, lag_s),
                lambda n=node: n.record_cold_start(server, per_s, end_s),
            )

    def add_node(self, name: str, known_by: Sequence[str] = ()) -> SimulatedNode:
        """Start a node that knows all others; only some of them know it."""
        node = self._create_node(name)
        self._lists[name] = set(self.nodes)
        for other in known_by:
            self._lists[other].add(name)
        self.apply_lists((name, *known_by))
        return node

    def kill(self, name: str) -> None:
        """Kill a node, which stays in the lists."""
        self.nodes[name].is_up = False
        self.nodes[name].killed_s = self.now_s

    def restart(self, name: str) -> SimulatedNode:
        """Start a node again that has been killed, with nothing known."""
        node = self._create_node(name)
        self.apply_lists((name,))
        return node

    def apply_lists(self, names: Iterable[str]) -> None:
        """Divide the nodes into groups, as some of them see these."""
        for name in names:
            known = {each: self.data_centre(each) for each in self._lists[name]}
            groups = divide_into_groups(known)
            own = next(group for group in groups if name in group.nodes)
            self._groups[name] = own
            self.nodes[name].permits.set_groups(own, groups)

    def introduce(self, node: SimulatedNode, name: str) -> None:
        """Add a node to the list of another one."""
        self._lists[node.name].add(name)
        self.apply_lists((node.name,))

    @staticmethod
    def data_centre(name: str) -> str:
        """Return the data centre of a node."""
        return f"dc{int(name[1:]) // NODES_PER_DATA_CENTRE}"

    def share(self, node: SimulatedNode) -> float:
        """Return the part of a limit that a node may issue."""
        group = [self.nodes[name] for name in self._groups[node.name].nodes]
        present = [
            each for each in group if self.now_s - each.killed_s < ABSENT_TIMEOUT_S
        ]
        heard = sum(
            each.is_up and self._reaches(node.name, each.name) for each in present
        )
        ratio = heard / len(present)
        return 1.0 if ratio >= MAJORITY_RATIO else ratio

    def broadcast(self, node: SimulatedNode) -> None:
        """Send the limits that a node announces to its group."""
        records = node.permits.to_announce(self.now_s)
        for name in self._groups[node.name].nodes:
            if name != node.name and self._reaches(node.name, name):
                self.schedule(
                    BROADCAST_S,
                    lambda other=self.nodes[name]: other.learn(records, node.name),
                )

    def offer_load(
        self, server: LimitedServer, per_s: float, start_s: float, end_s: float
    ) -> None:
        """Offer requests for a server to random nodes."""
        at_s = start_s
        while (at_s := at_s + self._rng.expovariate(per_s)) < end_s:
            self.schedule(at_s - self.now_s, lambda: self._offer(server))

    def offer_burst(self, node: SimulatedNode, server: LimitedServer, count: int):
        """Offer many requests to one node at once."""
        for _ in range(count):
            node.offer(server, f"r{next(self._request_numbers)}")

    def send(self, node: SimulatedNode, name: str, message: Message) -> None:
        """Send a datagram to a node, if it is known and reachable."""
        if self._rng.random() < self._loss_ratio or name not in self.nodes:
            return
        if not self._reaches(node.name, name):
            return
        delay_s = NETWORK_DELAY_S * self._rng.uniform(0.5, 1.5)
        self.schedule(delay_s, lambda: self.nodes[name].receive(message))

    def send_request(self, node: SimulatedNode, server: LimitedServer) -> None:
        """Send a request to a server, and its response back to the node."""
        sent_s = self.now_s

        def arrive() -> None:
            server.arrivals.append((self.now_s, node.name))
            per_s = server.per_s
            self.schedule(
                SERVICE_S, lambda: node.receive_response(server, per_s, sent_s)
            )

        self.schedule(NETWORK_DELAY_S, arrive)

    def _offer(self, server: LimitedServer) -> None:
        node = self._rng.choice([node for node in self.nodes.values() if node.is_up])
        node.offer(server, f"r{next(self._request_numbers)}")

    def _create_node(self, name: str) -> SimulatedNode:
        node = SimulatedNode(self, name, self._rng.getrandbits(32))
        self.nodes[name] = node
        return node

    def _reaches(self, source: str, target: str) -> bool:
        return (source in self.partition) == (target in self.partition)


def main(argv: Sequence[str] | None = None) -> int:
    """Print what a limited server gets from fleets of several sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[6, 67, 195, 370])
    parser.add_argument(
        "--limits", type=float, nargs="*", default=[0.5, 1.0, 5.0, 50.0]
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    namespace = parser.parse_args(argv)
    print("nodes limit/s offered/s used/s most-in-4s allowed messages bytes busiest")
    for nodes, limit in itertools.product(namespace.nodes, namespace.limits):
        print(_describe(nodes, limit, namespace))
    print(f"memory of a node: {measure_state_bytes():.0f} bytes for a limited server")
    return 0


def measure_state_bytes(servers: int = 200) -> float:
    """Return the memory that a node needs for each limited server that it knows."""
    simulation = LimitSimulation(1, seed=1)
    (node,) = simulation.nodes.values()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        records = [LimitRecord(f"i-{n:010x}", n, 2.0, 1) for n in range(servers)]
        node.learn(records, "n1")
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / servers


def _describe(nodes: int, limit: float, namespace: argparse.Namespace) -> str:
    """Return a line of figures; messages and bytes are per node and second."""
    simulation = LimitSimulation(nodes, namespace.seed, namespace.loss)
    server = simulation.add_server(limit)
    offered = 3 * limit + 5
    simulation.offer_load(server, offered, 0.0, namespace.seconds)
    simulation.run(namespace.seconds)
    steady_s = namespace.seconds - 5.0
    used = server.count(5.0, namespace.seconds) / steady_s
    most = server.largest_count(4.0, 3.0, namespace.seconds)
    sent = [node.sent / namespace.seconds for node in simulation.nodes.values()]
    sent_bytes = sum(node.sent_bytes for node in simulation.nodes.values())
    return (
        f"{nodes:5} {limit:7g} {offered:9g} {used:6.2f} {most:10} "
        f"{6 * limit + 5:7g} {sum(sent) / nodes:8.2f} "
        f"{sent_bytes / nodes / namespace.seconds:5.0f} {max(sent):7.1f}"
    )


if __name__ == "__main__":
    sys.exit(main())
