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
KV_SHARD_FRACTION = 0.5


@dataclass(frozen=True)
class Placement:
    """The engine that decodes a request, and the helpers that prefill parts of it.

    ``reserved_tokens`` lists the KV cache tokens to reserve on the first helpers,
    one item per helper; the other helpers keep no KV cache for the prompt.
    ``prefill_s`` is the estimated prefill time of each part and ``expected_s`` the
    estimated time to first token; both are 0 when the engine timing is unknown.
    """

    backend_id: str
    helpers: tuple[str, ...] = ()
    reserved_tokens: tuple[int, ...] = ()
    prefill_s: float = 0.0
    expected_s: float = 0.0

    @property
    def servers(self) -> tuple[str, ...]:
        """Return the engine and the helpers."""
        return (self.backend_id, *self.helpers)


@dataclass(frozen=True)
class PackAndSplit:
    """Packs short prompts on few engines and splits long ones over the others.

    A step takes nearly the same time for one sequence as for eight, so packing
    leaves some engines without decodes, and these prefill long parts at full speed.

    A prompt longer than ``split_above_tokens`` is split into the smallest number of
    parts that brings the estimated time to first token (TTFT) below
    ``split_ttft_fraction`` of the target.  Short prompts leave ``spare_slots`` slots
    free.  ``decode_penalty_s`` is the penalty per decoding request when engines are
    ranked for a long prompt.
    Placements with a TTFT above ``max_ttft_fraction`` of the target, or an iteration
    longer than ``max_gap_fraction`` of the allowed time between events, are avoided.
    An engine with at most ``max_idle_prefill_s`` of pending prefill counts as idle.
    The KV cache of a prompt that needs more than ``max_kv_fraction`` of an engine's
    capacity is sharded over several engines.
    """

    split_above_tokens: int = 20_000
    max_parts: int = MAX_HELPERS + 1
    split_ttft_fraction: float = 0.25
    spare_slots: int = 2
    decode_penalty_s: float = 0.05
    max_ttft_fraction: float = 0.7
    max_gap_fraction: float = 0.8
    max_kv_fraction: float = 0.6
    max_idle_prefill_s: float = 0.05


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
def _(policy: PackAndSplit, cost, views, now_s, rng):
    if not views:
        return None
    if views[0].timing is None:
        view = min(
            views, key=lambda each: (each.cold, _slot_utilisation(each), rng.random())
        )
        return Placement(view.id)
    if cost.prefill_tokens > policy.split_above_tokens:
        return _split(policy, cost, views, rng)
    return _pack(policy, cost, views, rng)


def _slot_utilisation(view: BackendView) -> float:
    return (view.work.decodes + 1) / max(1, view.slots)


def _pack(
    policy: PackAndSplit, cost: Cost, views: Sequence[BackendView], rng: random.Random
) -> Placement:
    """Return a placement on the fullest engine that meets a short prompt's targets.

    Without any such engine, the one with the lowest estimated TTFT is chosen.
    """
    good = []
    others = []
    for view in views:
        prefill_s = view.timing.prefill_s(cost.prefill_tokens)
        expected_s = _ttft_s(view, cost, prefill_s)
        placement = Placement(view.id, prefill_s=prefill_s, expected_s=expected_s)
        work = view.work
        crowded = work.decodes + policy.spare_slots >= view.slots
        slow = expected_s > policy.max_ttft_fraction * cost.target_s > 0
        gap_s = _iteration_s(view, cost) + work.reading_s + prefill_s
        gap_exceeded = gap_s > policy.max_gap_fraction * cost.gap_target_s > 0
        if crowded or slow or gap_exceeded or view.slow:
            full = work.decodes >= view.slots
            others.append((full, view.slow, expected_s, rng.random(), placement))
        else:
            good.append((view.cold, -work.decodes, rng.random(), placement))
    return min(good)[-1] if good else min(others)[-1]


def _split(
    policy: PackAndSplit, cost: Cost, views: Sequence[BackendView], rng: random.Random
) -> Placement | None:
    """Return the engines that prefill a long prompt, None to keep it queued.

    An engine prefills the newest part first, so a part on an engine with pending
    prefill delays an earlier prompt.  Engines whose decodes would be delayed beyond
    their limit take no part: one late prompt is better than many stalled streams.
    """
    not_slow = [view for view in views if not view.slow] or views
    ranked = sorted(
        not_slow,
        key=lambda view: (
            view.work.decodes >= view.slots,
            view.cold,
            view.work.reading_s + policy.decode_penalty_s * view.work.decodes,
            rng.random(),
        ),
    )
    idle = [view for view in ranked if view.work.reading_s <= policy.max_idle_prefill_s]
    placement = _best_split(policy, cost, idle)
    good_s = policy.max_ttft_fraction * cost.target_s
    if placement is not None and placement.expected_s <= good_s:
        return placement
    if _best_ttft_after_wait_s(policy, cost, ranked) <= good_s:
        return None
    return placement or _best_split(policy, cost, ranked)


def _best_ttft_after_wait_s(
    policy: PackAndSplit, cost: Cost, ranked: Sequence[BackendView]
) -> float:
    """Return the best estimated TTFT, wait included, once busy engines are idle."""
    best_s = math.inf
    for wait_s in sorted({view.work.reading_s for view in ranked}):
        if wait_s <= policy.max_idle_prefill_s:
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
    policy: PackAndSplit, cost: Cost, ranked: Sequence[BackendView]
) -> Placement | None:
    """Return the smallest split within ``split_ttft_fraction``, or the fastest one.

    Engines whose decodes would be delayed beyond their limit are left out.
    """
    if not ranked:
        return None
    timing = ranked[0].timing
    shards = _kv_shards(policy, cost, timing.kv_tokens)
    best = None
    for parts in range(shards, max(shards, min(policy.max_parts, len(ranked))) + 1):
        prefill_s = timing.prefill_s(cost.prefill_tokens, parts)
        chosen = [view for view in ranked if _tolerates(policy, cost, view, prefill_s)]
        placement = _place_parts(cost, chosen, parts, shards, prefill_s)
        if placement is None:
            continue
        if best is None or placement.expected_s < best.expected_s:
            best = placement
        if placement.expected_s <= policy.split_ttft_fraction * cost.target_s:
            break
    return best


def _tolerates(
    policy: PackAndSplit, cost: Cost, view: BackendView, prefill_s: float
) -> bool:
    """Return whether the decodes on an engine tolerate the delay of one more part."""
    gap_s = _iteration_s(view, cost) + view.work.reading_s + prefill_s
    return gap_s <= policy.max_gap_fraction * view.work.max_gap_s


def _place_parts(
    cost: Cost, ranked: Sequence[BackendView], parts: int, shards: int, prefill_s: float
) -> Placement | None:
    """Return a placement on the best engines, those that hold KV shards first."""
    tokens = -(-cost.kv_tokens // shards)
    shard_holders = [view for view in ranked if _free_kv_tokens(view) >= tokens][
        :shards
    ]
    if len(shard_holders) < shards or len(ranked) < parts:
        return None
    others = [view for view in ranked if view not in shard_holders]
    chosen = [*shard_holders, *others][:parts]
    return Placement(
        chosen[0].id,
        helpers=tuple(view.id for view in chosen[1:]),
        reserved_tokens=(tokens,) * (shards - 1),
        prefill_s=prefill_s,
        expected_s=_slowest_part_ttft_s(cost, chosen, prefill_s),
    )


def _slowest_part_ttft_s(
    cost: Cost, chosen: Sequence[BackendView], prefill_s: float
) -> float:
    """Return the estimated TTFT, which the slowest part determines."""
    return max(_ttft_s(view, cost, prefill_s) for view in chosen)


def _kv_shards(policy: PackAndSplit, cost: Cost, kv_tokens: int) -> int:
    """Return the number of engines over which a prompt's KV cache is sharded."""
    if cost.kv_tokens <= policy.max_kv_fraction * kv_tokens:
        return 1
    return max(2, math.ceil(cost.kv_tokens / (KV_SHARD_FRACTION * kv_tokens)))


def _free_kv_tokens(view: BackendView) -> int:
    return view.timing.kv_tokens - view.work.tokens


def _iteration_s(view: BackendView, cost: Cost) -> float:
    tokens = view.work.tokens + cost.kv_tokens
    return view.timing.iteration_s(view.work.decodes + 1, tokens)


def _ttft_s(view: BackendView, cost: Cost, prefill_s: float) -> float:
    """Return the estimated time to first token of a request on an engine."""
    iteration_s = _iteration_s(view, cost)
    running_s = iteration_s / 2 if view.work.decodes else 0.0
    return running_s + view.work.reading_s + prefill_s + iteration_s
