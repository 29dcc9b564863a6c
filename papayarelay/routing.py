"""Routing policies: which backend server gets a request."""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from .cost import Cost


@dataclass(frozen=True)
class BackendView:
    """What a node knows about a backend server when it decides.

    The report fields are as old as ``reported_s``; ``own_*`` is the work this
    node has sent and that has not finished; ``sent_*`` is the part of it that
    was sent after ``reported_s`` and is not in the report.  ``cached_tokens``
    is the part of this request's prompt that the prefix cache holds.
    ``bound`` limits the node's own tokens in flight (``own_tokens``) while the
    backend server is cold; None means no limit.
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
    cached_tokens: int = 0


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


LONG_TOKENS = 32_000
"""Prompts above this length are sent to the elastic set of engines."""
TIE_S = 0.05
TIE_FRACTION = 0.25
MAX_WAIT_S = 0.5
LONG_MAX_WAIT_S = 2.0
MIN_LONG_FRACTION = 0.25
MAX_LONG_FRACTION = 0.6
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
UNUSABLE_STATES = frozenset({"drained", "leaving", "down"})


@dataclass(frozen=True)
class CostAware:
    """Takes an engine with a near-lowest estimated time to first token.

    Prompts over ``long_tokens`` go to an elastic set of engines, which all
    nodes derive in the same way from the engine ids.  A request for which no
    engine is expected to start within the allowed wait stays in the queue of
    the node: ``choose`` returns None.
    """

    long_tokens: int = LONG_TOKENS
    max_wait_s: float = MAX_WAIT_S
    long_max_wait_s: float = LONG_MAX_WAIT_S


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
    usable = [view for view in views if _has_room(cost, view)]
    if not usable:
        return None
    long = cost.prefill_tokens > policy.long_tokens
    limit_s = policy.long_max_wait_s if long else policy.max_wait_s
    if long:
        usable = _long_set(usable, limit_s)
    estimates = [(estimate_wait_s(view), view) for view in usable]
    estimates = [(wait_s, view) for wait_s, view in estimates if wait_s <= limit_s]
    if not estimates:
        return None
    firsts = [(wait_s + _prefill_s(cost, view), view) for wait_s, view in estimates]
    best_s = min(first_s for first_s, _ in firsts)
    near_s = best_s + TIE_S + TIE_FRACTION * best_s
    return rng.choice([view for first_s, view in firsts if first_s <= near_s])


def estimate_wait_s(view: BackendView) -> float:
    """Return the seconds of prefill work ahead of a new request."""
    queued = view.queued_prefill_tokens + view.sent_prefill_tokens
    return queued / _rate(view)


def _rate(view: BackendView) -> float:
    return view.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S


def _prefill_s(cost: Cost, view: BackendView) -> float:
    return max(0, cost.prefill_tokens - view.cached_tokens) / _rate(view)


def _has_room(cost: Cost, view: BackendView) -> bool:
    """Return whether the engine can hold the request within its bounds."""
    if view.state in UNUSABLE_STATES:
        return False
    if view.bound is not None and view.own_tokens + cost.kv_tokens > view.bound:
        return False
    used = view.kv_used_tokens + view.sent_kv_tokens
    return not view.kv_capacity_tokens or (
        used + cost.kv_tokens <= view.kv_capacity_tokens
    )


def _long_set(views: Sequence[BackendView], limit_s: float) -> list[BackendView]:
    """Return the engines for long prompts; the set grows while it is busy.

    The order is a hash of the id, so that all nodes use the same engines
    without exchanging messages and short prompts keep the other ones.
    """
    ranked = sorted(views, key=lambda view: zlib.crc32(view.id.encode()))
    size = max(1, round(MIN_LONG_FRACTION * len(ranked)))
    largest = max(1, round(MAX_LONG_FRACTION * len(ranked)))
    while size < largest and all(
        estimate_wait_s(view) > limit_s for view in ranked[:size]
    ):
        size += 1
    return ranked[:size]


POLICIES = {
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "power_of_two": PowerOfTwo,
    "cost_aware": CostAware,
}
