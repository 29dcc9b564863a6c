"""Restrictions that backend servers signal: shutting down, or pausing requests."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

# Limit on server incarnations whose restrictions are kept.
MOST_REMEMBERED = 1024
# Peers are notified for this long that a server is leaving; by then the list of
# servers shows it.
TOLD_S = 10.0


class Lifetime(NamedTuple):
    """One incarnation of a server: ``started`` changes with each start of an id."""

    id: str
    started: int


class Restriction:
    """Restrictions signalled by one incarnation of a server.

    Leaving is permanent for the incarnation; a pause expires.
    """

    def __init__(self):
        self.leaving = False
        self._seen_s: float | None = None
        self._paused_until_s = 0.0

    def note_leaving(self, now_s: float) -> bool:
        """Record a leaving signal; return whether it is the first this node got."""
        first = self._seen_s is None
        if first:
            self._seen_s = now_s
        self.leaving = True
        return first

    def note_told_leaving(self) -> None:
        """Record that a peer reported the server as leaving."""
        self.leaving = True

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the server accepts no requests for some time."""
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)

    def pause_left_s(self, now_s: float) -> float:
        """Return the remaining time of the pause, or 0."""
        return max(0.0, self._paused_until_s - now_s)

    def bars(self, now_s: float) -> bool:
        """Return whether new requests to the server are blocked."""
        return self.leaving or now_s < self._paused_until_s

    def is_news(self, now_s: float) -> bool:
        """Return whether peers must still be notified that the server is leaving."""
        return self._seen_s is not None and now_s - self._seen_s < TOLD_S


class Restrictions:
    """Restrictions by server incarnation, kept after a server leaves the list.

    An entry of the list may disappear and return, for instance if its lease expires
    while the store is unavailable; the restriction must survive that.
    """

    def __init__(self):
        self._known: OrderedDict[Lifetime, Restriction] = OrderedDict()
        self._news_until_s = 0.0

    def of(self, lifetime: Lifetime) -> Restriction:
        """Return the restriction of an incarnation, creating it if needed."""
        found = self._known.setdefault(lifetime, Restriction())
        self._known.move_to_end(lifetime)
        while len(self._known) > MOST_REMEMBERED:
            self._known.popitem(last=False)
        return found

    def note_news(self, now_s: float) -> None:
        """Record that a server started leaving, of which peers must be notified."""
        self._news_until_s = now_s + TOLD_S

    def news(self, now_s: float) -> tuple[Lifetime, ...]:
        """Return the leaving incarnations of which peers must be notified."""
        if now_s >= self._news_until_s:
            return ()
        return tuple(each for each, r in self._known.items() if r.is_news(now_s))
