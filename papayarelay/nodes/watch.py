"""Assignment of engines to the nodes that watch them.

Source: D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase Hit
Rates, 1998 (rendezvous hashing).
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

WATCHERS_PER_ENGINE = 2


def rendezvous_weight(node: str, key: str) -> int:
    """Return the rendezvous weight of a node for a key."""
    digest = hashlib.blake2b(f"{node}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def select_watchers(
    key: str, nodes: Iterable[str], count: int = WATCHERS_PER_ENGINE
) -> list[str]:
    """Return the ``count`` nodes with the highest weight, first watcher first."""
    return heapq.nlargest(
        count, nodes, key=lambda node: (rendezvous_weight(node, key), node)
    )


def rank(node: str, key: str, nodes: Iterable[str]) -> int | None:
    """Return 0 for the first watcher, 1 for the second, None for any other."""
    chosen = select_watchers(key, nodes)
    return chosen.index(node) if node in chosen else None
