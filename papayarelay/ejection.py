"""Temporary ejection of backend servers that are unreachable or at capacity."""

from __future__ import annotations

import math

# Retry delay of a server that refuses connections: exponential backoff from the
# first to the maximum.
INITIAL_BACKOFF_S = 0.4
MAX_BACKOFF_S = 3.0
# A server at capacity frees slots quickly.
FULL_BACKOFF_S = 0.15


class Ejection:
    """Ejects a server from routing on a single unambiguous failure.

    The circuit breaker needs several failed answers.  A refused connection, a
    rejected request or a replaced server is conclusive at once.
    """

    def __init__(self):
        self._until_s = 0.0
        self._unreachable_until_s = 0.0
        self._backoff_s = INITIAL_BACKOFF_S

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server is ejected from routing."""
        return now_s < self._until_s

    def record_unreachable(self, now_s: float) -> None:
        """Eject the server after a failed connection, with exponential backoff."""
        if now_s < self._unreachable_until_s:
            return
        self._unreachable_until_s = now_s + self._backoff_s
        self._until_s = max(self._until_s, self._unreachable_until_s)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def record_full(self, now_s: float) -> None:
        """Eject the server briefly after it rejected a request for lack of capacity."""
        self._until_s = max(self._until_s, now_s + FULL_BACKOFF_S)

    def record_replaced(self) -> None:
        """Eject the server for good: another server answers at its address."""
        self._until_s = math.inf

    def record_success(self) -> None:
        """Readmit the server after a successful answer and reset the backoff."""
        self._until_s = 0.0
        self._unreachable_until_s = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
