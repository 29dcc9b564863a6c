"""Routing policies: which backend server gets a request."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from .cost import Cost


@dataclass(frozen=True)
class BackendView:
    """What a node knows about a backend server when it decides.

    The report fields are as old as ``reported_s``; ``own_*`` is the work this
    node has sent and that has not finished.
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


POLICIES = {
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "power_of_two": PowerOfTwo,
}
