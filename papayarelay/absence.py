"""How long a backend server is left out after it has refused or not been there."""

from __future__ import annotations

import math

# A server that refuses connections is tried again after this time, doubled up to
# the longest.
FIRST_S = 0.4
LONGEST_S = 3.0
# A server that is full has room again soon.
FULL_S = 0.15


class Absence:
    """What one node has seen of a server that cannot take requests.

    The circuit breaker judges by several answers; these signs are certain, and
    one of them is enough.
    """

    def __init__(self):
        self._until_s = 0.0
        self._unreachable_until_s = 0.0
        self._pause_s = FIRST_S

    def is_out(self, now_s: float) -> bool:
        """Return whether the server is left out."""
        return now_s < self._until_s

    def note_unreachable(self, now_s: float) -> None:
        """Note that no connection could be opened."""
        if now_s < self._unreachable_until_s:
            return
        self._unreachable_until_s = now_s + self._pause_s
        self._until_s = max(self._until_s, self._unreachable_until_s)
        self._pause_s = min(LONGEST_S, 2 * self._pause_s)

    def note_full(self, now_s: float) -> None:
        """Note that the server has refused a request."""
        self._until_s = max(self._until_s, now_s + FULL_S)

    def note_replaced(self) -> None:
        """Note that another server answers at the address."""
        self._until_s = math.inf

    def note_answer(self) -> None:
        """Note that the server works."""
        self._until_s = 0.0
        self._unreachable_until_s = 0.0
        self._pause_s = FIRST_S
