"""Which node issues the permits of a limited server."""

from __future__ import annotations

import functools
import zlib
from collections.abc import Iterable

# A node that was heard from this recently is reachable.
HEARD_S = 1.0


class Issuers:
    """Ranks the nodes by server; the first reachable one issues the server's permits.

    The rank of a node relative to another one depends only on their names and the
    server id (rendezvous hashing), so that nodes with different node lists agree on
    the order of those that both know.  A node is unreachable from its failure to
    reply until it is heard from again.
    """

    def __init__(self, own: str):
        self._own = own
        self._names = frozenset((own,))
        self._heard_s: dict[str, float] = {}
        self._unreachable: set[str] = set()
        self._rank = functools.lru_cache(maxsize=256)(self._compute_rank)

    @property
    def names(self) -> frozenset[str]:
        """Return the known nodes."""
        return self._names

    def set_names(self, names: Iterable[str]) -> None:
        """Replace the known nodes."""
        self._names = frozenset(names) | {self._own}
        self._unreachable &= self._names
        self._heard_s = {n: s for n, s in self._heard_s.items() if n in self._names}
        self._rank.cache_clear()

    def record_heard(self, name: str, now_s: float) -> bool:
        """Record a message of a node; return whether it was unreachable before."""
        if name not in self._names:
            return False
        self._heard_s[name] = now_s
        was_unreachable = name in self._unreachable
        self._unreachable.discard(name)
        return was_unreachable

    def record_unreachable(self, name: str) -> None:
        """Record that a node failed to reply."""
        if name in self._names and name != self._own:
            self._unreachable.add(name)

    def is_unreachable(self, name: str) -> bool:
        """Return whether a node failed to reply and was not heard from since."""
        return name in self._unreachable

    def is_heard(self, name: str, now_s: float) -> bool:
        """Return whether a node was heard from recently."""
        return now_s - self._heard_s.get(name, float("-inf")) < HEARD_S

    def ranked(self, server_id: str) -> tuple[str, ...]:
        """Return all nodes in the order of their rank for a server."""
        return self._rank(server_id)

    def first(self, server_id: str) -> str:
        """Return the first node that is not unreachable, at last this one."""
        ranked = self.ranked(server_id)
        return next(name for name in ranked if name not in self._unreachable)

    def above(self, server_id: str, name: str | None = None) -> tuple[str, ...]:
        """Return the nodes that rank above a node (default: this one)."""
        ranked = self.ranked(server_id)
        return ranked[: ranked.index(name or self._own)]

    def below(self, server_id: str) -> tuple[str, ...]:
        """Return the reachable nodes that rank below this one."""
        ranked = self.ranked(server_id)
        below = ranked[ranked.index(self._own) + 1 :]
        return tuple(name for name in below if name not in self._unreachable)

    def _compute_rank(self, server_id: str) -> tuple[str, ...]:
        return tuple(sorted(self._names, key=lambda name: _order(server_id, name)))


def _order(server_id: str, name: str) -> tuple[int, str]:
    return zlib.crc32(f"{server_id}/{name}".encode()), name
