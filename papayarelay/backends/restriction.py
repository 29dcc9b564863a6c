"""Restrictions that backend servers signal: shutting down, pauses and rate limits."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from .server_limit import KnownLimit

# Limit on server incarnations whose restrictions are kept.
MAX_RESTRICTIONS = 1024
# Peers are notified for this long that a server is leaving; by then the list of
# servers shows it.
ANNOUNCE_S = 10.0


class Incarnation(NamedTuple):
    """One incarnation of a server: ``started`` changes with each start of an id."""

    id: str
    started: int


class Restriction:
    """Restrictions signalled by one incarnation of a server.

    Leaving is permanent for the incarnation; a pause expires; ``limit`` is the rate
    limit for all nodes together.
    """

    def __init__(self):
        self.leaving = False
        self.limit = KnownLimit()
        self._leaving_since_s: float | None = None
        self._paused_until_s = 0.0

    def record_leaving(self, now_s: float) -> bool:
        """Record a leaving signal; return whether it is the first this node got."""
        first = self._leaving_since_s is None
        if first:
            self._leaving_since_s = now_s
        self.leaving = True
        return first

    def record_peer_leaving(self) -> None:
        """Record that a peer reported the server as leaving."""
        self.leaving = True

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the server accepts no requests for some time."""
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)

    def remaining_pause_s(self, now_s: float) -> float:
        """Return the remaining time of the pause, or 0."""
        return max(0.0, self._paused_until_s - now_s)

    def blocks_requests(self, now_s: float) -> bool:
        """Return whether new requests to the server are blocked."""
        return self.leaving or now_s < self._paused_until_s

    def must_announce(self, now_s: float) -> bool:
        """Return whether peers must still be notified that the server is leaving."""
        return (
            self._leaving_since_s is not None
            and now_s - self._leaving_since_s < ANNOUNCE_S
        )


class Restrictions:
    """Restrictions by server incarnation, kept after a server leaves the list.

    An entry of the list may disappear and return, for instance if its lease expires
    while the store is unavailable; the restriction must survive that.
    """

    def __init__(self):
        self._restrictions: OrderedDict[Incarnation, Restriction] = OrderedDict()
        self._announce_until_s = 0.0

    def get_or_create(self, incarnation: Incarnation) -> Restriction:
        """Return the restriction of an incarnation, creating it if needed."""
        found = self._restrictions.setdefault(incarnation, Restriction())
        self._restrictions.move_to_end(incarnation)
        while len(self._restrictions) > MAX_RESTRICTIONS:
            self._restrictions.popitem(last=False)
        return found

    def start_announcing(self, now_s: float) -> None:
        """Record that a server started leaving, of which peers must be notified."""
        self._announce_until_s = now_s + ANNOUNCE_S

    def leaving_to_announce(self, now_s: float) -> tuple[Incarnation, ...]:
        """Return the leaving incarnations of which peers must be notified."""
        if now_s >= self._announce_until_s:
            return ()
        return tuple(
            each for each, r in self._restrictions.items() if r.must_announce(now_s)
        )
