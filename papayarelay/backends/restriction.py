"""What a backend server has asked of this node: no new work, or none for a time."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

# Servers whose restrictions are remembered after they have left the list.
MOST_REMEMBERED = 1024
# Other nodes are told for this long that a server leaves; the list says so by then.
TOLD_S = 10.0


class Lifetime(NamedTuple):
    """One start of a server; ``started`` tells the starts of an id apart."""

    id: str
    started: int


class Restriction:
    """What one lifetime of a server has asked for.

    A server that leaves stays so until its end; a pause ends by itself.
    """

    def __init__(self):
        self.leaving = False
        self._seen_s: float | None = None
        self._paused_until_s = 0.0

    def note_leaving(self, now_s: float) -> bool:
        """Note an answer that says so; return whether that is new to this node."""
        first = self._seen_s is None
        if first:
            self._seen_s = now_s
        self.leaving = True
        return first

    def note_told_leaving(self) -> None:
        """Note the word of another node."""
        self.leaving = True

    def note_pause(self, pause_s: float, now_s: float) -> None:
        """Note that the server wants no requests for some time."""
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)

    def pause_left_s(self, now_s: float) -> float:
        """Return for how long the server wants no requests."""
        return max(0.0, self._paused_until_s - now_s)

    def bars(self, now_s: float) -> bool:
        """Return whether no new request may be sent to the server."""
        return self.leaving or now_s < self._paused_until_s

    def is_news(self, now_s: float) -> bool:
        """Return whether the other nodes are to be told that the server leaves."""
        return self._seen_s is not None and now_s - self._seen_s < TOLD_S


class Restrictions:
    """The restrictions of all lifetimes that are or were in the list.

    An entry of the list may go and come back, for instance when it lapses while
    the store is away; what the server has asked for holds on.
    """

    def __init__(self):
        self._known: OrderedDict[Lifetime, Restriction] = OrderedDict()
        self._news_until_s = 0.0

    def of(self, lifetime: Lifetime) -> Restriction:
        """Return the restriction of a lifetime."""
        found = self._known.setdefault(lifetime, Restriction())
        self._known.move_to_end(lifetime)
        while len(self._known) > MOST_REMEMBERED:
            self._known.popitem(last=False)
        return found

    def note_news(self, now_s: float) -> None:
        """Note that there is something of which the other nodes are to be told."""
        self._news_until_s = now_s + TOLD_S

    def news(self, now_s: float) -> tuple[Lifetime, ...]:
        """Return the lifetimes of which the other nodes are to be told."""
        if now_s >= self._news_until_s:
            return ()
        return tuple(each for each, r in self._known.items() if r.is_news(now_s))
