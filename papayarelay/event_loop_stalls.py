"""Measurement of event loop stalls."""

from __future__ import annotations

import time

import gevent

# libev runs watchers of a higher priority first.
HIGHEST_PRIORITY = 2
LOWEST_PRIORITY = -2


class StallMeter:
    """Measures the longest iteration of the event loop of this thread.

    An iteration lasts from the end of one poll for I/O events to the start of the
    next.  No I/O or timer is handled in that time.
    """

    def __init__(self):
        self._longest_s = 0.0
        self._polled_s: float | None = None
        loop = gevent.get_hub().loop
        self._watchers = {
            loop.check(ref=False, priority=HIGHEST_PRIORITY): self._end_poll,
            loop.prepare(ref=False, priority=LOWEST_PRIORITY): self._start_poll,
        }

    def start(self) -> None:
        """Start measuring."""
        for watcher, callback in self._watchers.items():
            watcher.start(callback)

    def close(self) -> None:
        """Stop measuring."""
        for watcher in self._watchers:
            watcher.close()

    def take_longest_s(self) -> float:
        """Return the longest iteration since the last call, in seconds; resets it."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s

    def _end_poll(self) -> None:
        self._polled_s = time.perf_counter()

    def _start_poll(self) -> None:
        if self._polled_s is not None:
            elapsed_s = time.perf_counter() - self._polled_s
            self._longest_s = max(elapsed_s, self._longest_s)
