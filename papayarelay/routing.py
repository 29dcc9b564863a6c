"""Routing policies: which backend server gets a request."""

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

    ``writers`` are requests whose answers are being produced, ``reads`` parts of
    prompts that are still to be read, which takes ``reading_s``; ``tokens`` is
    the memory that all of these hold.  ``pause_s`` is the longest pause that the
    most impatient writer bears.
    """

    writers: int = 0
    reads: int = 0
    reading_s: float = 0.0
    tokens: int = 0
    pause_s: float = math.inf

    def __add__(self, other: EngineWork) -> EngineWork:
        return EngineWork(
            self.writers + other.writers,
            self.reads + other.reads,
            self.reading_s + other.reading_s,
            self.tokens + other.tokens,
            min(self.pause_s, other.pause_s),
        )

    def after(self, elapsed_s: float) -> EngineWork:
        """Return what is left of the work after some time."""
        left_s = max(0.0, self.reading_s - elapsed_s)
        return replace(self, reading_s=left_s)


@dataclass(frozen=True)
class BackendView:
    """What a node knows about a backend server when it decides.

    The report fields are as old as ``reported_s``; ``own_*`` is the work this
    node has sent and that has not finished; ``sent_*`` is the part of it that
    was sent after ``reported_s`` and is not in the report.  ``cached_tokens``
    is the part of this request's prompt that the prefix cache holds.  ``home``
    says that this node is one of the few that prefer the engine.
    ``bound`` limits the node's own tokens in flight (``own_tokens``) while the
    backend server is cold; None means no limit.  ``work`` is what all nodes have
    sent to the server, ``slots`` what it runs at once, ``timing`` how it works,
    ``cold`` whether it is in cold start and ``slow`` whether its streams show that
    it is slower than that.
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
    bound: int | None = None
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
    """Takes the backend servers in turn."""

    turn: int = 0


@dataclass(frozen=True)
class LeastRequests:
    """Takes the backend server with the fewest own requests in flight."""


@dataclass(frozen=True)
class PowerOfTwo:
    """Takes the better of two random backend servers by load report.

    Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load
    Balancing, 2001.
    """


SHORT_TOKENS = 4_096
LONG_TOKENS = 32_000
"""Prompts above this length are sent to the elastic set of engines."""
DEFAULT_NODES = 7
MAX_WAIT_S = (0.5, 1.0, 2.0)
"""Longest expected wait on an engine per size class; longer ones stay queued."""
KV_FRACTION = (1.0, 0.85, 0.95)
"""Part of an engine's memory per size class; the rest is for shorter requests.

The part for long prompts is larger, since prompts above it only fit on an
engine without any other request.
"""
AWAY_S = 0.6
"""Weight of an engine that is not a home engine of the node.

A node knows the load of its home engines better, since few other nodes send
short requests there; reports of the others are about a second old.
"""
HOMES_PER_ENGINE = 2
INFLIGHT_S = 0.05
"""Weight of one own request in flight, which slows decoding and hides a wait."""
LONG_PREFILL_S = 0.05
"""Weight of a long prefill in progress, which lengthens each step."""
TIE_S = 0.005
MIN_LONG_FRACTION = 0.25
MAX_LONG_FRACTION = 0.6
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
UNUSABLE_STATES = frozenset({"drained", "leaving", "down"})


def size_class(prompt_tokens: int) -> int:
    """Return 0 for a short prompt, 1 for a medium one and 2 for a long one."""
    return (prompt_tokens > SHORT_TOKENS) + (prompt_tokens > LONG_TOKENS)


def engine_priority(kind_priority: int, prompt_tokens: int) -> int:
    """Return the priority to send to an engine.

    A longer prompt is never more urgent than a shorter one on an engine,
    whatever its kind, since the shorter one would wait for its whole prefill.
    """
    return max(kind_priority, size_class(prompt_tokens))


@dataclass(frozen=True)
class CostAware:
    """Takes an engine with a near-lowest estimated time to first token.

    Engines prefill the shorter size classes first, so a request waits only for
    work of its own class or a shorter one.  Load reports do not say which part
    of a queue that is: the policy takes the node's own part times ``nodes``,
    since all nodes receive like traffic, and at most the reported total.

    Long prompts go to an elastic set of engines, which all nodes derive in the
    same way from the engine ids.  A request for which no engine is expected to
    start within the allowed wait stays in the queue of the node: ``choose``
    returns None.
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
    """Return the backend server for a request, or None if there is none."""
    raise TypeError(f"no routing policy {type(policy).__name__}")


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
        usable = _long_set(usable, policy, now_s)
    scores = []
    for view in usable:
        wait_s = estimate_wait_s(view, size, policy.nodes, now_s)
        if wait_s <= MAX_WAIT_S[size]:
            scores.append((wait_s + _own_s(cost, size, view, now_s), view))
    if not scores:
        return None
    limit_s = min(score for score, _ in scores) + TIE_S
    return rng.choice([view for score, view in scores if score <= limit_s])


def assign_homes(
    engine_ids: Iterable[str],
    node_names: Collection[str],
    most_homes: int = HOMES_PER_ENGINE,
) -> dict[str, tuple[str, ...]]:
    """Return the nodes that prefer each engine, with like numbers of engines.

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
        # The last engines may find fewer nodes below the limit than copies.
        ranked.sort(key=lambda name: counts[name] >= limit)
        homes[engine_id] = tuple(ranked[:copies])
        for name in ranked[:copies]:
            counts[name] += 1
    return homes


def estimate_wait_s(view: BackendView, size: int, nodes: int, now_s: float) -> float:
    """Return the seconds of prefill ahead of a new request of a size class."""
    reported = view.queued_prefill_tokens + nodes * view.sent_prefill_tokens
    if size == 2:
        return reported / _rate(view)
    own = sum(view.own_prefill_by_size[: size + 1])
    if view.home:
        nodes = min(nodes, HOMES_PER_ENGINE)
    return min(reported, nodes * own) / _rate(view)


def _own_s(cost: Cost, size: int, view: BackendView, now_s: float) -> float:
    """Return the seconds that the request itself and its neighbours add."""
    prefill = max(0, cost.prefill_tokens - view.cached_tokens)
    seconds = prefill / _rate(view) + INFLIGHT_S * view.own_inflight
    if size < 2 and not view.home:
        seconds += AWAY_S
    done = _rate(view) * max(0.0, now_s - view.reported_s)
    if size < 2 and view.queued_prefill_tokens > done:
        seconds += LONG_PREFILL_S
    return seconds


def _rate(view: BackendView) -> float:
    return view.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S


def _has_room(cost: Cost, size: int, view: BackendView) -> bool:
    """Return whether the engine can hold the request within its bounds."""
    if view.state in UNUSABLE_STATES:
        return False
    if view.bound is not None and view.own_tokens + cost.kv_tokens > view.bound:
        return False
    if not view.kv_capacity_tokens:
        return True
    used = view.kv_used_tokens + view.sent_kv_tokens
    if used == 0:
        return cost.kv_tokens <= view.kv_capacity_tokens
    return used + cost.kv_tokens <= KV_FRACTION[size] * view.kv_capacity_tokens


def _long_set(
    views: Sequence[BackendView], policy: CostAware, now_s: float
) -> list[BackendView]:
    """Return the engines for long prompts; the set grows while it is busy.

    The order is a hash of the id, so that all nodes use the same engines
    without exchanging messages and short prompts keep the other ones.
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
