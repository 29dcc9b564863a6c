"""Prefix-cache event log of an engine, delivered with lag and gaps."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

MAX_STORED_EVENTS = 16_384
MAX_EVENTS_PER_READ = 4_096
CLEARED = "cleared"


@dataclass(frozen=True)
class CacheEvent:
    """A change of the prefix cache: ``stored``, ``evicted`` or ``cleared``."""

    number: int
    kind: str
    block: str


class CacheEventLog:
    """Numbers cache events and simulates a lagging, lossy event feed.

    An event becomes visible ``lag_s`` after it happened.  A fraction ``gap`` of the
    events is dropped; readers detect a drop by the missing sequence number.
    """

    def __init__(self, lag_s: float, gap: float, rng: random.Random):
        self.lag_s = lag_s
        self.gap = gap
        self._rng = rng
        self._number = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_STORED_EVENTS)

    def add(self, kind: str, block: str, now_s: float) -> None:
        """Append an event, or drop it with probability ``gap``."""
        self._number += 1
        if self.gap and self._rng.random() < self.gap:
            return
        self._events.append((now_s, CacheEvent(self._number, kind, block)))

    def read(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return up to MAX_EVENTS_PER_READ visible events numbered above ``after``."""
        found = []
        for time_s, event in reversed(self._events):
            if event.number <= after:
                break
            if time_s <= now_s - self.lag_s:
                found.append(event)
        found.reverse()
        return found[:MAX_EVENTS_PER_READ]
