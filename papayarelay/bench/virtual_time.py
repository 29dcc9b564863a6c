"""Event queue of a discrete-event simulation."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """Runs actions in the order of their times; ``now_s`` is the present time."""

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._order = itertools.count()

    def run(self, end_s: float) -> None:
        """Run until a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        item = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, item)
