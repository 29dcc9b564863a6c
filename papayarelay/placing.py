"""Placement of requests on engines, including prefill split over several engines.

Short and long prompts share the engines.  An iteration that prefills a long part
of a prompt delays the next token of every request that decodes on that engine, so
placement keeps long prefills and running decodes apart.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from functools import singledispatch

from .cost import Cost
from .routing import BackendView, choose

MAX_HELPERS = 16
# Target fraction of an engine's KV cache for one shard of a very long prompt.
SHARE_PART = 0.5


@dataclass(frozen=True)
class Placement:
    """The engine that decodes a request, and the helpers that prefill parts of it.

    ``reserved`` lists the KV cache tokens to reserve on the first helpers,
    one item per helper; the other helpers keep no KV cache for the prompt.
    ``read_s`` is the estimated prefill time of each part and ``expected_s`` the
    estimated time to first token; both are 0 when the engine timing is unknown.
    """

    backend_id: str
    helpers: tuple[str, ...] = ()
    reserved: tuple[int, ...] = ()
    read_s: float = 0.0
    expected_s: float = 0.0


@dataclass(frozen=True)
class Packed:
    """Packs short prompts on few engines and splits long ones over the others.

    A step takes nearly the same time for one sequence as for eight, so packing
    leaves some engines without decodes, and these prefill long parts at full speed.

    A prompt longer than ``part_tokens`` is split into the smallest number of
    parts that brings the estimated time to first token (TTFT) below
    ``split_part`` of the target.  Short prompts leave ``spare_slots`` slots
    free.  ``writer_s`` is the penalty per decoding request when engines are
    ranked for a long prompt.
    Placements with a TTFT above ``target_part`` of the target, or an iteration
    longer than ``gap_part`` of the allowed time between events, are avoided.
    An engine with at most ``idle_s`` of pending prefill counts as idle.
    The KV cache of a prompt that needs more than ``memory_part`` of an engine's
    capacity is sharded over several engines.
    """

    part_tokens: int = 20_000
    max_parts: int = MAX_HELPERS + 1
    split_part: float = 0.25
    spare_slots: int = 2
    writer_s: float = 0.05
    target_part: float = 0.7
    gap_part: float = 0.8
    memory_part: float = 0.6
    idle_s: float = 0.05


@singledispatch
def place(
    policy: object,
    cost: Cost,
    views: Sequence[BackendView],
    now_s: float,
    rng: random.Random,
) -> Placement | None:
    """Return the placement of a request, None while no server has capacity."""
    view = choose(policy, cost, views, now_s, rng)
    return None if view is None else Placement(view.id)


@place.register
def _(policy: Packed, cost, views, now_s, rng):
    if not views:
        return None
    if views[0].timing is None:
        view = min(views, key=lambda each: (each.cold, _fill(each), rng.random()))
        return Placement(view.id)
    if cost.prefill_tokens > policy.part_tokens:
        return _split(policy, cost, views, rng)
    return _pack(policy, cost, views, rng)


def _fill(view: BackendView) -> float:
    return (view.work.writers + 1) / max(1, view.slots)


def _pack(
    policy: Packed, cost: Cost, views: Sequence[BackendView], rng: random.Random
) -> Placement:
    """Return the fullest engine that meets a short prompt's latency targets.

    Without any such engine, the one with the lowest estimated TTFT is returned.
    """
    good = []
    others = []
    for view in views:
        read_s = view.timing.read_s(cost.prefill_tokens)
        expected_s = _first_event_s(view, cost, read_s)
        placement = Placement(view.id, read_s=read_s, expected_s=expected_s)
        work = view.work
        crowded = work.writers + policy.spare_slots >= view.slots
        slow = expected_s > policy.target_part * cost.target_s > 0
        pause_s = _pass_s(view, cost) + work.reading_s + read_s
        paused = pause_s > policy.gap_part * cost.gap_target_s > 0
        if crowded or slow or paused or view.slow:
            full = work.writers >= view.slots
            others.append((full, view.slow, expected_s, rng.random(), placement))
        else:
            good.append((view.cold, -work.writers, rng.random(), placement))
    return min(good)[-1] if good else min(others)[-1]


def _split(
    policy: Packed, cost: Cost, views: Sequence[BackendView], rng: random.Random
) -> Placement | None:
    """Return the engines that prefill a long prompt, None to keep it queued.

    An engine prefills the newest part first, so a part on an engine with pending
    prefill delays an earlier prompt.  Engines whose decodes would be delayed beyond
    their limit take no part: one late prompt is better than many stalled streams.
    """
    quick = [view for view in views if not view.slow] or views
    ranked = sorted(
        quick,
        key=lambda view: (
            view.work.writers >= view.slots,
            view.cold,
            view.work.reading_s + policy.writer_s * view.work.writers,
            rng.random(),
        ),
    )
    idle = [view for view in ranked if view.work.reading_s <= policy.idle_s]
    placement = _best_split(policy, cost, idle)
    good_s = policy.target_part * cost.target_s
    if placement is not None and placement.expected_s <= good_s:
        return placement
    if _expect_after_wait(policy, cost, ranked) <= good_s:
        return None
    return placement or _best_split(policy, cost, ranked)


def _expect_after_wait(
    policy: Packed, cost: Cost, ranked: Sequence[BackendView]
) -> float:
    """Return the best estimated TTFT, wait included, once busy engines are idle."""
    best_s = math.inf
    for wait_s in sorted({view.work.reading_s for view in ranked}):
        if wait_s <= policy.idle_s:
            continue
        free = [
            replace(view, work=view.work.after(wait_s))
            for view in ranked
            if view.work.reading_s <= wait_s
        ]
        placement = _best_split(policy, cost, free)
        if placement is not None:
            best_s = min(best_s, wait_s + placement.expected_s)
    return best_s


def _best_split(
    policy: Packed, cost: Cost, ranked: Sequence[BackendView]
) -> Placement | None:
    """Return the smallest split within ``split_part``, or the fastest one.

    Engines whose decodes would be delayed beyond their limit are left out.
    """
    if not ranked:
        return None
    timing = ranked[0].timing
    shares = _memory_shares(policy, cost, timing.kv_tokens)
    best = None
    for parts in range(shares, max(shares, min(policy.max_parts, len(ranked))) + 1):
        read_s = timing.read_s(cost.prefill_tokens, parts)
        chosen = [view for view in ranked if _bears(policy, cost, view, read_s)]
        placement = _spread(cost, chosen, parts, shares, read_s)
        if placement is None:
            continue
        if best is None or placement.expected_s < best.expected_s:
            best = placement
        if placement.expected_s <= policy.split_part * cost.target_s:
            break
    return best


def _bears(policy: Packed, cost: Cost, view: BackendView, read_s: float) -> bool:
    """Return whether the decodes on an engine tolerate the delay of one more part."""
    pause_s = _pass_s(view, cost) + view.work.reading_s + read_s
    return pause_s <= policy.gap_part * view.work.pause_s


def _spread(
    cost: Cost, ranked: Sequence[BackendView], parts: int, shares: int, read_s: float
) -> Placement | None:
    """Return a placement on the best engines, those that hold KV shards first."""
    tokens = -(-cost.kv_tokens // shares)
    holders = [view for view in ranked if _free_tokens(view) >= tokens][:shares]
    if len(holders) < shares or len(ranked) < parts:
        return None
    others = [view for view in ranked if view not in holders]
    chosen = [*holders, *others][:parts]
    return Placement(
        chosen[0].id,
        helpers=tuple(view.id for view in chosen[1:]),
        reserved=(tokens,) * (shares - 1),
        read_s=read_s,
        expected_s=_last_part_s(cost, chosen, read_s),
    )


def _last_part_s(cost: Cost, chosen: Sequence[BackendView], read_s: float) -> float:
    """Return the estimated TTFT, which the slowest part determines."""
    return max(_first_event_s(view, cost, read_s) for view in chosen)


def _memory_shares(policy: Packed, cost: Cost, kv_tokens: int) -> int:
    """Return the number of engines over which a prompt's KV cache is sharded."""
    if cost.kv_tokens <= policy.memory_part * kv_tokens:
        return 1
    return max(2, math.ceil(cost.kv_tokens / (SHARE_PART * kv_tokens)))


def _free_tokens(view: BackendView) -> int:
    return view.timing.kv_tokens - view.work.tokens


def _pass_s(view: BackendView, cost: Cost) -> float:
    tokens = view.work.tokens + cost.kv_tokens
    return view.timing.pass_s(view.work.writers + 1, tokens)


def _first_event_s(view: BackendView, cost: Cost, read_s: float) -> float:
    """Return the estimated time to first token of a request on an engine."""
    pass_s = _pass_s(view, cost)
    running_s = pass_s / 2 if view.work.writers else 0.0
    return running_s + view.work.reading_s + read_s + pass_s
