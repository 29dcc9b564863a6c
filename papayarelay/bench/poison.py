"""Discrete-event simulation of many nodes and of requests that crash engines.

The nodes run the production code (``PoisonGuard`` and ``EvidenceSpread``); their
datagrams have a delay and may be lost.  An engine that begins to answer a request with
a harmful segment crashes, with all requests on it, and is back as a new incarnation.
"""

from __future__ import annotations

import argparse
import functools
import random
import sys
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field, replace

from ..backends.restriction import Incarnation
from ..errors import HarmfulRequestError
from ..nodes.groups import divide_into_groups
from ..poison.exchange import EvidenceSpread
from ..poison.guard import PROVEN_S, Admission, PoisonGuard
from ..poison.messages import PoisonMessage, SegmentRecord, encode
from ..poison.placement import engine_rank
from ..request import Request, RequestKind
from .limits import DATAGRAM_HEADER_BYTES, NETWORK_DELAY_S, NODES_PER_DATA_CENTRE
from .virtual_time import VirtualTime

# Time from the arrival of a request to the begin of its answer, to the crash that a
# harmful one causes, and to the end of other answers.
PREFILL_S = 0.05
CRASH_S = 0.1
ANSWER_S = 1.0
RESTART_S = 3.0
# A held request is tried again at this interval, and rejected after the other time.
RETRY_INTERVAL_S = 0.05
MAX_WAIT_S = 1.2
MAX_ATTEMPTS = 2
KIND = RequestKind("short")
# Segments of ordinary requests: one that all share, and one of each caller.
SHARED = 1
FIRST_CALLER = 100
CALLERS = 12
FIRST_DIGEST = 1 << 32


@dataclass
class SimulatedEngine:
    """An engine and the requests on it; ``started`` changes with each restart."""

    id: str
    data_centre: str
    started: int = 0
    is_up: bool = True
    requests: dict[str, tuple[SimulatedNode, _Attempt]] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation of the engine."""
        return Incarnation(self.id, self.started)


@dataclass(frozen=True)
class _Attempt:
    """An attempt of a request, sent at ``sent_s``; its answer begins at ``begun_s``."""

    request: Request
    number: int
    sent_s: float
    begun_s: float | None = None


class SimulatedNode:
    """A node: admits requests, sends them to engines and learns from crashes."""

    def __init__(self, simulation: PoisonSimulation, name: str, seed: int):
        rng = random.Random(seed)
        self.name = name
        self.is_up = True
        self.sent = 0
        self.sent_bytes = 0
        self.results: Counter[str] = Counter()
        self._simulation = simulation
        self._frozen_until_s = 0.0
        self._polling = False
        self.guard = PoisonGuard(name, rng)
        self.spread = EvidenceSpread(name, self.guard, rng, self._send)
        self.guard.set_listeners(self._publish, self._start_polling)

    def freeze(self, duration_s: float) -> None:
        """Pause the process; what it receives meanwhile, it handles afterwards."""
        self._frozen_until_s = self._simulation.now_s + duration_s

    def offer(self, request: Request, number: int = 1) -> None:
        """Admit a request, or its next attempt; try again while it is held."""
        if not self.is_up or self._defer(lambda: self.offer(request, number)):
            return
        now_s = self._simulation.now_s
        guard = self.guard
        try:
            guard.check(request, now_s)
        except HarmfulRequestError:
            self.results["rejected"] += 1
            return
        admission = guard.admission(request, now_s)
        engine = None
        if admission is not Admission.HELD:
            isolated = admission is Admission.ISOLATED
            key = guard.isolation_key(request) if isolated else None
            engine = self._simulation.choose_engine(key)
        if engine is not None:
            if admission is Admission.ISOLATED:
                guard.record_sent(request, now_s)
            attempt = _Attempt(request, number, now_s)
            self._simulation.send_request(self, engine, attempt)
        elif now_s - request.received_s < MAX_WAIT_S:
            again = lambda: self.offer(request, number)  # noqa: E731
            self._simulation.schedule(RETRY_INTERVAL_S, again)
        else:
            self.results["expired"] += 1

    def on_begun(self, engine: SimulatedEngine, attempt: _Attempt) -> None:
        """Handle the first event of an answer."""
        now_s = self._simulation.now_s
        begun = replace(attempt, begun_s=now_s)
        engine.requests[attempt.request.id] = (self, begun)
        self.results["begun" if attempt.number == 1 else "begun again"] += 1
        self._simulation.schedule(PROVEN_S, lambda: self._on_proven(engine, begun))
        self._simulation.schedule(ANSWER_S, lambda: self._on_end(engine, begun))

    def on_crash(
        self, engine: SimulatedEngine, attempt: _Attempt, is_alone: bool
    ) -> None:
        """Handle an attempt that broke off with its engine."""
        again = lambda: self.on_crash(engine, attempt, is_alone)  # noqa: E731
        if not self.is_up or self._defer(again):
            return
        now_s = self._simulation.now_s
        request = attempt.request
        begun_s = now_s if attempt.begun_s is None else attempt.begun_s
        proven = now_s - begun_s >= PROVEN_S
        self.guard.record_crash(request, engine.incarnation, is_alone, now_s, proven)
        self.guard.record_ended(request)
        if attempt.number < MAX_ATTEMPTS:
            self.offer(request, attempt.number + 1)
        else:
            self.results["failed"] += 1

    def receive(self, message: PoisonMessage) -> None:
        """Handle a datagram."""
        if self.is_up and not self._defer(lambda: self.receive(message)):
            self.spread.receive(message, self._simulation.now_s)
            self._start_polling()

    def _on_proven(self, engine: SimulatedEngine, attempt: _Attempt) -> None:
        if self._is_running(engine, attempt):
            now_s = self._simulation.now_s
            self.guard.record_answer(attempt.request, attempt.begun_s, now_s)

    def _on_end(self, engine: SimulatedEngine, attempt: _Attempt) -> None:
        if self._is_running(engine, attempt):
            del engine.requests[attempt.request.id]
            now_s = self._simulation.now_s
            self.guard.record_answer(attempt.request, attempt.begun_s, now_s, True)
            self.guard.record_ended(attempt.request)
            self.guard.record_finished(attempt.request)

    def _is_running(self, engine: SimulatedEngine, attempt: _Attempt) -> bool:
        _, current = engine.requests.get(attempt.request.id, (None, None))
        return self.is_up and current is attempt

    def _defer(self, action: Callable[[], None]) -> bool:
        """Run an action after the pause; return whether the process is paused."""
        left_s = self._frozen_until_s - self._simulation.now_s
        if left_s > 0:
            self._simulation.schedule(left_s, action)
        return left_s > 0

    def _start_polling(self) -> None:
        if not self._polling:
            self._polling = True
            self._poll()

    def _poll(self) -> None:
        if self._defer(self._poll):
            return
        self.spread.poll(self._simulation.now_s)
        interval_s = self.spread.poll_interval_s
        self._polling = self.is_up and interval_s is not None
        if self._polling:
            self._simulation.schedule(interval_s, self._poll)

    def _publish(self, records: list[SegmentRecord]) -> None:
        self.spread.publish(records)

    def _send(self, node: str, message: PoisonMessage) -> None:
        self.sent += 1
        self.sent_bytes += len(encode(message)) + DATAGRAM_HEADER_BYTES
        self._simulation.send(self, node, message)


class PoisonSimulation(VirtualTime):
    """Nodes and engines; ``loss_ratio`` of the datagrams are lost.

    ``harmful`` are the segments and digests that crash engines now, ``arrivals`` the
    times and nodes of the requests with one of them, ``crashes`` the times of the
    crashes that they caused.
    """

    def __init__(self, nodes: int, engines: int, seed: int, loss_ratio: float = 0.0):
        super().__init__()
        self.harmful: set[int] = set()
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self._harmful_offers: list[float] = []
        self.partition: frozenset[str] = frozenset()
        self._rng = random.Random(seed)
        self._loss_ratio = loss_ratio
        self._request_number = 0
        self.nodes = {
            f"n{number}": SimulatedNode(self, f"n{number}", self._rng.getrandbits(32))
            for number in range(nodes)
        }
        count = 1 + (nodes - 1) // NODES_PER_DATA_CENTRE
        self.engines = [
            SimulatedEngine(f"e{number}", f"dc{number % count}")
            for number in range(engines)
        ]
        self._set_groups(self.nodes)

    def restart(self, name: str) -> SimulatedNode:
        """Kill a node and start it again at once, with nothing known."""
        self.nodes[name].is_up = False
        node = SimulatedNode(self, name, self._rng.getrandbits(32))
        self.nodes[name] = node
        self._set_groups([name])
        return node

    def greet(self, name: str) -> None:
        """Let the nodes of its group notice a new process."""
        groups = self._groups()
        group = next(group for group in groups if name in group.nodes)
        for other in group.nodes:
            if other != name and self._reaches(other, name):
                self.nodes[other].spread.greet(name, self.now_s)

    def offer_load(
        self,
        segments: Sequence[int],
        per_s: float,
        start_s: float,
        end_s: float,
        nodes: Sequence[str] = (),
        digest: int = 0,
    ) -> None:
        """Offer requests with some segments to random nodes, or to some nodes.

        With a ``digest``, they are the same request, sent again and again.
        """
        at_s = start_s
        while (at_s := at_s + self._rng.expovariate(per_s)) < end_s:
            chosen = tuple(segments)
            self.schedule(
                at_s - self.now_s,
                lambda s=chosen: self.offer(s, self._pick(nodes), digest),
            )

    def offer_ordinary_load(self, per_s: float, start_s: float, end_s: float) -> None:
        """Offer requests of several callers, which crash no engine."""
        for number in range(CALLERS):
            segments = (SHARED, FIRST_CALLER + number)
            self.offer_load(segments, per_s / CALLERS, start_s, end_s)

    def offer(
        self, segments: tuple[int, ...], node: SimulatedNode, digest: int = 0
    ) -> None:
        """Offer a request to a node."""
        self._request_number += 1
        request = Request(
            id=f"r{self._request_number}",
            member="",
            organisation="",
            kind=KIND,
            model="",
            path="/",
            body=b"",
            prompt_tokens=1000,
            max_tokens=100,
            stream=True,
            received_s=self.now_s,
            deadline_s=self.now_s + 10.0,
            segments=segments,
            digest=digest or FIRST_DIGEST + self._request_number,
        )
        if not self.harmful.isdisjoint(request.traits):
            self._harmful_offers.append(self.now_s)
        node.offer(request)

    def choose_engine(self, isolation_key: int | None) -> SimulatedEngine | None:
        """Return a random engine, or for a key the first one without requests."""
        up = [engine for engine in self.engines if engine.is_up]
        if not up:
            return None
        if isolation_key is None:
            return self._rng.choice(up)
        idle = [engine for engine in up if not engine.requests] or up
        return min(idle, key=lambda engine: engine_rank(engine.id, isolation_key))

    def send_request(
        self, node: SimulatedNode, engine: SimulatedEngine, attempt: _Attempt
    ) -> None:
        """Send a request to an engine."""
        engine.requests[attempt.request.id] = (node, attempt)
        harmful = not self.harmful.isdisjoint(attempt.request.traits)
        if harmful:
            self.arrivals.append((self.now_s, node.name))
        started = engine.started

        def begin() -> None:
            _, current = engine.requests.get(attempt.request.id, (None, None))
            if engine.started != started or current is not attempt:
                return
            if harmful:
                self.crash(engine, True)
            else:
                node.on_begun(engine, attempt)

        delay_s = PREFILL_S + (CRASH_S if harmful else 0.0)
        self.schedule(NETWORK_DELAY_S + delay_s, begin)

    def crash(self, engine: SimulatedEngine, by_request: bool = False) -> None:
        """End an engine with its requests; another incarnation starts later."""
        if by_request:
            self.crashes.append(self.now_s)
        broken, engine.requests = engine.requests, {}
        engine.is_up = False
        ended = replace(engine)
        engine.started += 1
        alone = len(broken) == 1
        for node, attempt in broken.values():
            notify = functools.partial(node.on_crash, ended, attempt, alone)
            self.schedule(NETWORK_DELAY_S, notify)
        self.schedule(RESTART_S, lambda: setattr(engine, "is_up", True))

    def send(self, node: SimulatedNode, name: str, message: PoisonMessage) -> None:
        """Send a datagram to a node, if it is reachable."""
        lost = self._rng.random() < self._loss_ratio
        if lost or name not in self.nodes or not self._reaches(node.name, name):
            return
        delay_s = NETWORK_DELAY_S * self._rng.uniform(0.5, 1.5)
        self.schedule(delay_s, lambda: self.nodes[name].receive(message))

    def results(self, nodes: Collection[str] | None = None) -> Counter[str]:
        """Return how requests ended, at some nodes or at all."""
        names = self.nodes if nodes is None else nodes
        return sum((self.nodes[name].results for name in names), Counter())

    def harmful_offered(self, from_s: float) -> int:
        """Return how many harmful requests callers have sent since a time."""
        return sum(at_s >= from_s for at_s in self._harmful_offers)

    def late_arrivals(
        self, contact_s: float, excused: Collection[str] = (), free_crashes: int = 5
    ) -> int:
        """Return the harmful requests later than a time after the fifth crash."""
        if len(self.crashes) < free_crashes:
            return 0
        from_s = self.crashes[free_crashes - 1] + contact_s
        return sum(at_s > from_s and n not in excused for at_s, n in self.arrivals)

    def _pick(self, nodes: Sequence[str]) -> SimulatedNode:
        up = [self.nodes[name] for name in nodes or self.nodes]
        return self._rng.choice([node for node in up if node.is_up])

    def _groups(self):
        data_centres = {
            name: f"dc{int(name[1:]) // NODES_PER_DATA_CENTRE}" for name in self.nodes
        }
        return divide_into_groups(data_centres)

    def _set_groups(self, names: Iterable[str]) -> None:
        groups = self._groups()
        for name in names:
            own = next(group for group in groups if name in group.nodes)
            self.nodes[name].spread.set_groups(own, groups)

    def _reaches(self, source: str, target: str) -> bool:
        return (source in self.partition) == (target in self.partition)


def main(argv: Sequence[str] | None = None) -> int:
    """Print what a harmful segment costs fleets of several sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[6, 67, 195, 370])
    parser.add_argument("--ratio", type=float, default=0.05, help="part of requests")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    namespace = parser.parse_args(argv)
    print("nodes requests/s harmful/s crashes last-crash-s messages bytes busiest")
    for nodes in namespace.nodes:
        print(_describe(nodes, namespace))
    return 0


def _describe(nodes: int, namespace: argparse.Namespace) -> str:
    """Return a line of figures; messages and bytes are per node and second."""
    simulation = PoisonSimulation(nodes, nodes * 3, namespace.seed, namespace.loss)
    per_s = 2.0 * nodes
    harmful_per_s = namespace.ratio * per_s
    begin_s, end_s = 5.0, 5.0 + namespace.seconds
    simulation.offer_ordinary_load(per_s, 0.0, end_s)
    simulation.harmful = {2}
    segments = (SHARED, FIRST_CALLER, 2)
    simulation.offer_load(segments, harmful_per_s, begin_s, end_s)
    simulation.run(end_s)
    sent = [node.sent / namespace.seconds for node in simulation.nodes.values()]
    sent_bytes = sum(node.sent_bytes for node in simulation.nodes.values())
    early = [at_s - begin_s for at_s in simulation.crashes if at_s < begin_s + 2.9]
    return (
        f"{nodes:5} {per_s:10g} {harmful_per_s:9g} {len(simulation.crashes):7} "
        f"{max(early, default=0.0):12.2f} {sum(sent) / nodes:8.2f} "
        f"{sent_bytes / nodes / namespace.seconds:5.0f} {max(sent):7.1f}"
    )


if __name__ == "__main__":
    sys.exit(main())
