"""Discrete-event simulation of a mixed prompt load on a fleet of engines.

The nodes run the production placement code (``place`` and ``BackendTable``) and
learn of each other's load with the delay of the datagrams.  Engines may name rate
limits, which the nodes keep with the production code of permits.  No faults are
injected: the simulation covers queueing and placement only.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from types import MappingProxyType

from ..backends.protocol import ServerSignals
from ..backends.restriction import Restrictions
from ..backends.table import BackendTable
from ..config import Backend, Config, DataCentre, Service
from ..cost import Cost
from ..nodes.broadcast import BATCH_S
from ..nodes.groups import divide_into_groups
from ..nodes.permit_exchange import POLL_INTERVAL_S
from ..nodes.permit_messages import Message
from ..nodes.permits import PermitListener, Permits
from ..permit_placement import place_with_permits
from ..placement import Placement, place
from ..scheduler import (
    QUEUE_POLL_INTERVAL_S,
    URGENT_PREFILL_S,
    Assignment,
    register_placement,
)
from ..timing import EngineTiming
from .fleet_engine import EngineRequest, FleetEngine, split_prompt

SERVICE = "model"
# One-way network delay between a node and an engine, or between two nodes.
NETWORK_DELAY_S = 0.001
CALLER_DELAY_S = 0.003


@dataclass(frozen=True)
class LoadKind:
    """A request class with log-normal sizes.

    ``value`` is earned by a response within its latency targets, ``late_value`` by one
    that meets only the deadline.
    """

    name: str
    requests_per_s: float
    prompt_tokens: float
    prompt_cv: float
    max_prompt_tokens: float
    events: float
    events_cv: float
    target_s: float
    max_gap_s: float
    deadline_s: float
    value: float
    late_value: float


@dataclass(frozen=True)
class Fleet:
    """A deployment and its load; ``phases`` are (seconds, rate factor by kind)."""

    nodes: int
    engines: int
    timing: EngineTiming
    kinds: tuple[LoadKind, ...]
    phases: tuple[tuple[float, tuple[float, ...]], ...]
    event_tokens: int


@dataclass
class RequestOutcome:
    """Timing of one request as its caller sees it."""

    kind: LoadKind
    prompt_tokens: int
    sent_s: float
    first_event_s: float = math.inf
    max_gap_s: float = 0.0
    last_event_s: float = math.inf

    @property
    def met_targets(self) -> bool:
        """Return whether the response met the deadline and both latency targets."""
        whole = self.last_event_s - self.sent_s <= self.kind.deadline_s
        first = self.first_event_s - self.sent_s <= self.kind.target_s
        return whole and first and self.max_gap_s <= self.kind.max_gap_s

    def value(self, mean_tokens: float) -> tuple[float, float]:
        """Return the earned and the maximum value of the request."""
        size = min(4.0, 0.3 + 0.7 * self.prompt_tokens / mean_tokens)
        owed = self.kind.value * size
        if self.met_targets:
            return owed, owed
        whole = self.last_event_s - self.sent_s <= self.kind.deadline_s
        return (self.kind.late_value * size if whole else 0.0), owed


@dataclass(frozen=True)
class NamedLimit:
    """A rate limit that an engine names from ``start_s`` to ``end_s``."""

    per_s: float
    start_s: float = 0.0
    end_s: float = math.inf

    def at(self, now_s: float) -> float:
        """Return the limit in a response at a time, infinite if there is none."""
        return self.per_s if self.start_s <= now_s < self.end_s else math.inf


NO_LIMIT = NamedLimit(math.inf)


@dataclass
class _Node:
    name: str
    table: BackendTable
    permits: Permits
    rng: random.Random
    update_pending: bool = False


class _LimitListener(PermitListener):
    """Broadcasts changed limits; ``broadcast`` sends them to the other nodes."""

    def __init__(self, broadcast: Callable[[], None]):
        self.on_limit_changed = broadcast


class FleetSimulation:
    """One simulation run of a fleet under a placement policy.

    ``limits`` are the rate limits that engines name, by id; ``arrivals`` are the
    times at which requests and parts of prompts reach each engine.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: object,
        seed: int,
        limits: Mapping[str, NamedLimit] = MappingProxyType({}),
    ):
        self.outcomes: list[RequestOutcome] = []
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self._limits = limits
        self._fleet = fleet
        self._policy = policy
        self._rng = random.Random(seed)
        self._now_s = 0.0
        longest_s = max(kind.deadline_s for kind in fleet.kinds)
        self._end_s = sum(length_s for length_s, _ in fleet.phases) + longest_s
        self._sequence = itertools.count()
        self._events: list = []
        self._engines = {
            f"e{number}": FleetEngine(f"e{number}", fleet.timing, self._schedule)
            for number in range(fleet.engines)
        }
        config = _make_config(fleet)
        self._nodes: list[_Node] = []
        for number in range(fleet.nodes):
            rng = random.Random(self._rng.random())
            self._nodes.append(self._create_node(f"n{number}", number, config, rng))
        groups = divide_into_groups({node.name: "dc1" for node in self._nodes})
        for node in self._nodes:
            own = next(group for group in groups if node.name in group.nodes)
            node.permits.set_groups(own, groups)
            self._schedule_poll(node)

    def run(self) -> list[RequestOutcome]:
        """Run the simulation to its end and return the outcome of each request."""
        start_s = 0.0
        for length_s, factors in self._fleet.phases:
            for kind, factor in zip(self._fleet.kinds, factors, strict=True):
                self._add_arrivals(
                    kind, kind.requests_per_s * factor, start_s, length_s
                )
            start_s += length_s
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action(self._now_s)
        return self.outcomes

    def _create_node(
        self, name: str, seed: int, config: Config, rng: random.Random
    ) -> _Node:
        permits = Permits(
            name,
            "dc1",
            Restrictions(),
            random.Random(seed),
            self._send_message,
            listener=_LimitListener(lambda: self._broadcast_limits(name)),
        )
        table = BackendTable(
            random.Random(seed), clock=lambda: self._now_s, permits=permits
        )
        table.apply(config)
        return _Node(name, table, permits, rng)

    def _send_message(self, name: str, message: Message) -> None:
        """Send a datagram about permits to a node."""
        self._schedule(
            self._now_s + NETWORK_DELAY_S,
            lambda now_s: self._node(name).permits.receive(message, now_s),
        )

    def _broadcast_limits(self, name: str) -> None:
        """Send the limits that a node knows to the other nodes."""
        restrictions = self._node(name).permits.restrictions
        restrictions.start_announcing_limits(self._now_s)
        records = self._node(name).permits.to_announce(self._now_s)
        for other in self._nodes:
            if other.name != name:
                self._schedule(
                    self._now_s + BATCH_S + NETWORK_DELAY_S,
                    lambda now_s, permits=other.permits: permits.learn(
                        records, name, now_s, announced=True
                    ),
                )

    def _schedule_poll(self, node: _Node) -> None:
        if not self._limits or self._now_s > self._end_s:
            return

        def poll(now_s: float) -> None:
            node.permits.poll(now_s)
            self._schedule_poll(node)

        self._schedule(self._now_s + POLL_INTERVAL_S, poll)

    def _node(self, name: str) -> _Node:
        return self._nodes[int(name[1:])]

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _add_arrivals(
        self, kind: LoadKind, requests_per_s: float, start_s: float, length_s: float
    ) -> None:
        at_s = start_s
        while requests_per_s > 0:
            at_s += self._rng.expovariate(requests_per_s)
            if at_s >= start_s + length_s:
                return
            outcome = RequestOutcome(kind, _draw_tokens(kind, self._rng), at_s)
            events = _draw_events(kind, self._rng)
            self.outcomes.append(outcome)
            self._schedule(
                at_s + CALLER_DELAY_S,
                lambda now_s, o=outcome, e=events: self._arrive(o, e),
            )

    def _arrive(self, outcome: RequestOutcome, events: int) -> None:
        node = self._rng.choice(self._nodes)
        kind = outcome.kind
        tokens = (events - 1) * self._fleet.event_tokens + 1
        cost = Cost(outcome.prompt_tokens, tokens, kind.target_s, kind.max_gap_s)
        self._try_placement(node, outcome, cost)

    def _try_placement(self, node: _Node, outcome: RequestOutcome, cost: Cost) -> None:
        if self._now_s - outcome.sent_s > outcome.kind.deadline_s:
            return
        waited_s = self._now_s - outcome.sent_s
        left_s = max(0.0, outcome.kind.target_s - waited_s)
        cost = replace(cost, target_s=left_s)
        request_id = str(id(outcome))

        def choose(permit_wait_s: float | None) -> Placement | None:
            views = node.table.views("engine", SERVICE, self._now_s, permit_wait_s)
            return place(self._policy, cost, views, self._now_s, node.rng)

        placement = place_with_permits(node.table, choose, request_id, self._now_s)
        if placement is None:
            self._schedule(
                self._now_s + QUEUE_POLL_INTERVAL_S,
                lambda now_s: self._try_placement(node, outcome, cost),
            )
            return
        assignment = register_placement(
            node.table, cost, placement, self._now_s, request_id
        )
        self._broadcast_load(node, placement.prefill_s > URGENT_PREFILL_S)
        self._send(node, outcome, cost, assignment)

    def _send(
        self, node: _Node, outcome: RequestOutcome, cost: Cost, assignment: Assignment
    ) -> None:
        helpers = [entry.id for entry, _ in assignment.helpers]
        sent_s = self._now_s
        for entry in (assignment.entry, *(entry for entry, _ in assignment.helpers)):
            permit = assignment.permits.get(entry.id)
            entry.pool.restriction.record_sent(permit, sent_s)
        context_tokens = cost.prefill_tokens // (
            1 + len(assignment.placement.reserved_tokens)
        )
        request = EngineRequest(
            f"r{next(self._sequence)}",
            cost.prefill_tokens,
            cost.decode_tokens,
            1 + len(helpers),
            context_tokens,
        )
        request.on_event = lambda now_s, last: self._schedule(
            now_s + NETWORK_DELAY_S,
            lambda at_s: self._receive(node, outcome, assignment, last, sent_s),
        )
        parts = split_prompt(self._fleet.timing, request, 1 + len(helpers))
        first = self._engines[assignment.entry.id]

        def arrive(now_s: float) -> None:
            for name in (assignment.entry.id, *helpers):
                self.arrivals[name].append(now_s)
            for part, name in zip(parts[1:], helpers, strict=True):
                self._engines[name].offer_helper_part(part, now_s)
            first.offer(request, parts[0], now_s)

        self._schedule(self._now_s + NETWORK_DELAY_S, arrive)

    def _receive(
        self,
        node: _Node,
        outcome: RequestOutcome,
        assignment: Assignment,
        last: bool,
        sent_s: float,
    ) -> None:
        at_s = self._now_s + CALLER_DELAY_S
        table = node.table
        if outcome.first_event_s is math.inf:
            named = self._limits.get(assignment.entry.id, NO_LIMIT)
            signals = ServerSignals(limit_per_s=named.at(self._now_s))
            assignment.entry.pool.on_signals(signals, sent_s)
            outcome.first_event_s = at_s
            table.mark_prefilled(assignment.entry, assignment.work)
            for entry, work in assignment.helpers:
                table.mark_prefilled(entry, work)
            self._broadcast_load(node)
        else:
            outcome.max_gap_s = max(outcome.max_gap_s, at_s - outcome.last_event_s)
        outcome.last_event_s = at_s
        if last:
            table.release(assignment.entry, assignment.work)
            for entry, work in assignment.helpers:
                table.release(entry, work)
            self._broadcast_load(node)

    def _broadcast_load(self, node: _Node, urgent: bool = False) -> None:
        """Schedule a load update to the other nodes, batched unless urgent."""
        if node.update_pending and not urgent:
            return
        node.update_pending = True

        def send(now_s: float) -> None:
            node.update_pending = False
            work = node.table.own_work(now_s)
            for other in self._nodes:
                if other is not node:
                    other.table.set_peer_work(node.name, work, now_s + NETWORK_DELAY_S)

        self._schedule(self._now_s + (0.0 if urgent else BATCH_S), send)


def score(outcomes: Sequence[RequestOutcome]) -> dict[str, float]:
    """Return the earned fraction of the maximum value, in total and by kind."""
    totals: dict[str, list[float]] = {}
    kinds = {each.kind.name: each.kind for each in outcomes}
    means = {
        name: _mean([o.prompt_tokens for o in outcomes if o.kind.name == name])
        for name in kinds
    }
    for outcome in outcomes:
        earned, owed = outcome.value(means[outcome.kind.name])
        for name in ("all", outcome.kind.name):
            total = totals.setdefault(name, [0.0, 0.0])
            total[0] += earned
            total[1] += owed
    return {name: earned / owed for name, (earned, owed) in totals.items()}


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)


def _make_config(fleet: Fleet) -> Config:
    backends = {
        f"e{number}": Backend(
            f"e{number}",
            "engine",
            "dc1",
            f"http://127.0.0.1:{9000 + number}",
            service=SERVICE,
            slots=fleet.timing.slots,
        )
        for number in range(fleet.engines)
    }
    return Config(
        data_centres={"dc1": DataCentre("dc1", "r1")},
        backends=backends,
        services={SERVICE: Service(SERVICE, timing=fleet.timing)},
    )


def _draw_tokens(kind: LoadKind, rng: random.Random) -> int:
    drawn = _draw_lognormal(kind.prompt_tokens, kind.prompt_cv, rng)
    return max(1, int(min(kind.max_prompt_tokens, drawn)))


def _draw_events(kind: LoadKind, rng: random.Random) -> int:
    drawn = _draw_lognormal(kind.events, kind.events_cv, rng)
    return max(1, round(min(2.5 * kind.events, drawn)))


def _draw_lognormal(mean: float, cv: float, rng: random.Random) -> float:
    """Draw from a log-normal distribution; ``cv`` is std. deviation / mean."""
    sigma = math.sqrt(math.log(1 + cv * cv))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)


DEFAULT_TIMING = EngineTiming(
    kv_tokens=315_000,
    slots=8,
    stride=51,
    step_s=0.00085,
    sequence_s=0.0000085,
    context_s=0.00285e-6,
    prefill_tokens_per_s=177_000,
    attention_pair_s=0.184e-9,
    chunk_tokens=2048,
    hop_s=0.00005,
)


def _kinds(short: float, medium: float, long: float) -> tuple[LoadKind, ...]:
    return (
        LoadKind(
            "short", short, 4_960, 0.9, 23_800, 32.9, 0.7, 0.3, 0.25, 10, 1.3, 0.33
        ),
        LoadKind(
            "medium", medium, 45_000, 0.5, 110_000, 19.7, 0.6, 1.5, 0.6, 10, 4.2, 1.0
        ),
        LoadKind(
            "long", long, 154_000, 0.55, 700_000, 16.5, 0.5, 3.0, 1.0, 15, 21.0, 5.2
        ),
    )


# Daily load pattern: long prompts dominate while short ones are few, and vice
# versa.
PHASES = (
    (2.0, (1.0, 1.0, 1.0)),
    (10.0, (0.33, 1.3, 2.8)),
    (10.0, (2.45, 0.5, 0.05)),
    (10.0, (0.33, 1.3, 2.7)),
)
ENGRAVERS = Fleet(6, 18, DEFAULT_TIMING, _kinds(18.4, 0.935, 0.565), PHASES, 51)
DENTISTS = Fleet(7, 23, DEFAULT_TIMING, _kinds(23.5, 1.2, 0.72), PHASES, 51)
FLEETS = {"engravers": ENGRAVERS, "dentists": DENTISTS}
