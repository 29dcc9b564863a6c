"""Routing policies, which select the backend server for a request."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import singledispatch

from .cost import Cost
from .timing import EngineTiming


@dataclass(frozen=True)
class EngineWork:
    """Unfinished work on a backend server.

    ``decodes`` counts the requests that the server decodes or will decode,
    ``prefills`` the pending prefills (whole prompts or parts), which take
    ``reading_s`` altogether; ``tokens`` is the KV cache held by all of these.
    ``max_gap_s`` is the smallest allowed time between events of these requests.
    """

    decodes: int = 0
    prefills: int = 0
    reading_s: float = 0.0
    tokens: int = 0
    max_gap_s: float = math.inf

    def __add__(self, other: EngineWork) -> EngineWork:
        return EngineWork(
            self.decodes + other.decodes,
            self.prefills + other.prefills,
            self.reading_s + other.reading_s,
            self.tokens + other.tokens,
            min(self.max_gap_s, other.max_gap_s),
        )

    def after(self, elapsed_s: float) -> EngineWork:
        """Return the work that is left after ``elapsed_s``."""
        left_s = max(0.0, self.reading_s - elapsed_s)
        return replace(self, reading_s=left_s)


@dataclass(frozen=True)
class BackendView:
    """A node's view of a backend server at the time of a routing decision.

    The fields of the load report are as old as ``reported_s``.  ``own_*`` is the
    unfinished work that this node has sent, ``sent_*`` the part of it sent after
    ``reported_s`` and so missing from the report.  ``cached_tokens`` is the part of
    this request's prompt in the server's prefix cache.  ``home`` marks engines with
    which this node has affinity.  ``own_tokens_limit`` limits the node's own tokens
    in flight (``own_tokens``) while the server is cold; None means no limit.
    ``work`` is the unfinished work of all nodes on the server, ``slots`` its number
    of concurrent sequences, ``timing`` its cost model.  ``cold`` is set during a
    cold start, ``slow`` when measured times between tokens exceed the cost model.
    """

    id: str
    data_centre: str
    target: str
    models: tuple[str, ...]
    state: str = "warm"
    kv_capacity_tokens: int = 0
    kv_used_tokens: int = 0
    queued_prefill_tokens: int = 0
    running: int = 0
    prefill_tokens_per_s: float = 0.0
    reported_s: float = 0.0
    own_inflight: int = 0
    own_prefill_tokens: int = 0
    own_tokens_limit: int | None = None
    own_tokens: int = 0
    sent_prefill_tokens: int = 0
    sent_kv_tokens: int = 0
    own_prefill_by_size: tuple[int, int, int] = (0, 0, 0)
    cached_tokens: int = 0
    home: bool = False
    work: EngineWork = EngineWork()
    slots: int = 0
    timing: EngineTiming | None = None
    cold: bool = False
    slow: bool = False


@dataclass
class RoundRobin:
    """Selects the backend servers in turn."""

    turn: int = 0


@dataclass(frozen=True)
class LeastRequests:
    """Selects the backend server with the fewest requests in flight from this node."""


@dataclass(frozen=True)
class PowerOfTwo:
    """Selects the less loaded of two random backend servers, by load report.

    Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load
    Balancing, 2001.
    """


SHORT_TOKENS = 4_096
LONG_TOKENS = 32_000
"""Prompts above this length go to the elastic subset of engines for long prompts."""
DEFAULT_NODES = 7
MAX_WAIT_S = (0.5, 1.0, 2.0)
"""Maximum estimated wait on an engine per size class; else requests stay queued."""
KV_FRACTION = (1.0, 0.85, 0.95)
"""KV cache fraction usable by each size class; the rest is kept for shorter requests.

It is larger for long prompts than for medium ones, since a prompt above it fits
only on an engine without any other request.
"""
NON_HOME_PENALTY_S = 0.6
"""Score penalty for an engine that is not a home engine of the node.

A node knows the load of its home engines better, since few other nodes send
short requests there; load reports of other engines are about a second old.
"""
HOMES_PER_ENGINE = 2
IN_FLIGHT_PENALTY_S = 0.05
"""Score penalty per own request in flight: it slows decoding and may hide a queue."""
LONG_PREFILL_PENALTY_S = 0.05
"""Score penalty for a long prefill in progress, which lengthens each step."""
SCORE_TOLERANCE_S = 0.005
MIN_LONG_FRACTION = 0.25
MAX_LONG_FRACTION = 0.6
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
UNUSABLE_STATES = frozenset({"drained", "leaving", "down"})


def size_class(prompt_tokens: int) -> int:
    """Return 0 for a short prompt, 1 for a medium one and 2 for a long one."""
    return (prompt_tokens > SHORT_TOKENS) + (prompt_tokens > LONG_TOKENS)


def engine_priority(kind_priority: int, prompt_tokens: int) -> int:
    """Return the priority to send to an engine; smaller is more urgent.

    Whatever its kind, a longer prompt never gets a higher engine priority than its
    size class: a shorter one would wait for its whole prefill.
    """
    return max(kind_priority, size_class(prompt_tokens))


@dataclass(frozen=True)
class CostAware:
    """Selects an engine with a near-minimal estimated time to first token.

    Engines prefill the shorter size classes first, so a request waits only for
    work of its own class or a shorter one.  Load reports give no breakdown by
    class: the policy estimates it as the node's own queued tokens times ``nodes``,
    since all nodes receive similar traffic, capped at the reported total.

    Long prompts go to an elastic subset of the engines, which all nodes derive
    identically from the engine ids.  If no engine is expected to start the request
    within ``MAX_WAIT_S``, ``choose`` returns None and the request stays queued.
    """

    nodes: int = DEFAULT_NODES


@singledispatch
def choose(
    policy: object,
    cost: Cost,
    views: Sequence[BackendView],
    now_s: float,
    rng: random.Random,
) -> BackendView | None:
    """Return the backend server for a request, None if none is suitable."""
    raise TypeError(f"unknown routing policy {type(policy).__name__}")


@choose.register
def _(policy: RoundRobin, cost, views, now_s, rng):
    if not views:
        return None
    policy.turn += 1
    return views[policy.turn % len(views)]


@choose.register
def _(policy: LeastRequests, cost, views, now_s, rng):
    if not views:
        return None
    return min(views, key=lambda view: (view.own_inflight, rng.random()))


@choose.register
def _(policy: PowerOfTwo, cost, views, now_s, rng):
    if not views:
        return None
    pair = rng.sample(views, min(2, len(views)))
    return min(pair, key=lambda view: (view.running, view.queued_prefill_tokens))


@choose.register
def _(policy: CostAware, cost, views, now_s, rng):
    size = size_class(cost.prefill_tokens)
    usable = [view for view in views if _has_room(cost, size, view)]
    if size == 2:
        usable = _long_prompt_engines(usable, policy, now_s)
    scores = []
    for view in usable:
        wait_s = estimate_wait_s(view, size, policy.nodes, now_s)
        if wait_s <= MAX_WAIT_S[size]:
            scores.append((wait_s + _request_score_s(cost, size, view, now_s), view))
    if not scores:
        return None
    limit_s = min(score for score, _ in scores) + SCORE_TOLERANCE_S
    return rng.choice([view for score, view in scores if score <= limit_s])


def assign_homes(
    engine_ids: Iterable[str],
    node_names: Collection[str],
    most_homes: int = HOMES_PER_ENGINE,
) -> dict[str, tuple[str, ...]]:
    """Return the home nodes of each engine, balanced over the nodes.

    Every node computes the same assignment without communication.

    Source: rendezvous hashing with a bound on the load of each node (V.
    Mirrokni, M. Thorup, M. Zadimoghaddam, Consistent Hashing with Bounded
    Loads, 2018).
    """
    engine_ids = sorted(engine_ids)
    copies = min(most_homes, len(node_names))
    limit = math.ceil(copies * len(engine_ids) / max(1, len(node_names)))
    counts = dict.fromkeys(node_names, 0)
    homes = {}
    for engine_id in engine_ids:
        ranked = sorted(
            node_names, key=lambda name: zlib.crc32(f"{engine_id}/{name}".encode())
        )
        # For the last engines, fewer than ``copies`` nodes may be below the limit.
        ranked.sort(key=lambda name: counts[name] >= limit)
        homes[engine_id] = tuple(ranked[:copies])
        for name in ranked[:copies]:
            counts[name] += 1
    return homes


def estimate_wait_s(view: BackendView, size: int, nodes: int, now_s: float) -> float:
    """Return the estimated prefill time queued ahead of a request of a size class."""
    reported = view.queued_prefill_tokens + nodes * view.sent_prefill_tokens
    if size == 2:
        return reported / _prefill_rate(view)
    own = sum(view.own_prefill_by_size[: size + 1])
    if view.home:
        nodes = min(nodes, HOMES_PER_ENGINE)
    return min(reported, nodes * own) / _prefill_rate(view)


def _request_score_s(cost: Cost, size: int, view: BackendView, now_s: float) -> float:
    """Return the prefill time of the request plus the engine's score penalties."""
    prefill = max(0, cost.prefill_tokens - view.cached_tokens)
    seconds = prefill / _prefill_rate(view) + IN_FLIGHT_PENALTY_S * view.own_inflight
    if size < 2 and not view.home:
        seconds += NON_HOME_PENALTY_S
    done = _prefill_rate(view) * max(0.0, now_s - view.reported_s)
    if size < 2 and view.queued_prefill_tokens > done:
        seconds += LONG_PREFILL_PENALTY_S
    return seconds


def _prefill_rate(view: BackendView) -> float:
    return view.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S


def _has_room(cost: Cost, size: int, view: BackendView) -> bool:
    """Return whether the request fits the engine's KV cache and cold-start bound."""
    if view.state in UNUSABLE_STATES:
        return False
    if (
        view.own_tokens_limit is not None
        and view.own_tokens + cost.kv_tokens > view.own_tokens_limit
    ):
        return False
    if not view.kv_capacity_tokens:
        return True
    used = view.kv_used_tokens + view.sent_kv_tokens
    if used == 0:
        return cost.kv_tokens <= view.kv_capacity_tokens
    return used + cost.kv_tokens <= KV_FRACTION[size] * view.kv_capacity_tokens


def _long_prompt_engines(
    views: Sequence[BackendView], policy: CostAware, now_s: float
) -> list[BackendView]:
    """Return the engines for long prompts; the subset grows while all are busy.

    Engines are ordered by a hash of the id, so that all nodes use the same ones
    without communication and the others stay free of long prefills.
    """
    ranked = sorted(views, key=lambda view: zlib.crc32(view.id.encode()))
    size = max(1, round(MIN_LONG_FRACTION * len(ranked)))
    largest = max(1, round(MAX_LONG_FRACTION * len(ranked)))
    while size < largest and all(
        estimate_wait_s(view, 2, policy.nodes, now_s) > MAX_WAIT_S[2]
        for view in ranked[:size]
    ):
        size += 1
    return ranked[:size]


POLICIES = {
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "power_of_two": PowerOfTwo,
    "cost_aware": CostAware,
}
