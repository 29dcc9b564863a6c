"""Choice of the engines on which a suspect request does the least harm."""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Sequence

from ..cost import Cost
from ..placement import PackAndSplit
from ..routing import BackendView


def isolated_choices(
    policy: object, cost: Cost, views: Sequence[BackendView], key: int
) -> Iterator[Sequence[BackendView]]:
    """Yield sets of engines for a suspect request, the best first.

    An engine without other requests is best.  Nodes choose the same one for the same
    ``key``, so that suspects that may share a cause meet there, and others do not.  A
    prompt that is split needs several.
    """
    idle = [view for view in views if not view.work.decodes and not view.work.prefills]
    idle.sort(key=lambda view: (view.cold, view.slow, engine_rank(view.id, key)))
    split = isinstance(policy, PackAndSplit) and (
        cost.prefill_tokens > policy.split_above_tokens
    )
    if idle:
        yield idle if split else idle[:1]
    elif not split and views:
        yield [min(views, key=lambda view: (view.work.decodes, view.work.prefills))]
    yield views


def engine_rank(engine: str, key: int) -> int:
    """Return the rank of an engine for a key, the same on all nodes."""
    return zlib.crc32(b"%s\n%d" % (engine.encode(), key))
