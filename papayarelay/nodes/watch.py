"""Assignment of engines to the nodes that watch them.

Source: D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase Hit
Rates, 1998 (rendezvous hashing).
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

WATCHERS = 2


def score(node: str, key: str) -> int:
    """Return the rendezvous weight of a node for a key."""
    digest = hashlib.blake2b(f"{node}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def watchers(key: str, nodes: Iterable[str], count: int = WATCHERS) -> list[str]:
    """Return the ``count`` nodes with the highest weight, first watcher first."""
    return heapq.nlargest(count, nodes, key=lambda node: (score(node, key), node))


def rank(node: str, key: str, nodes: Iterable[str]) -> int | None:
    """Return 0 for the first watcher, 1 for the second, None for any other."""
    chosen = watchers(key, nodes)
    return chosen.index(node) if node in chosen else None
