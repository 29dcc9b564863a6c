"""Rate limits that a server names, and checks that all nodes together keep to them."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from .process import SETTLE_S, NodeProcess

WINDOW_S = 4.0
# Requests of a node count from this long after a response told it of the limit.
TOLD_S = 0.5
# A server may get this multiple of its limit in a window, and some more requests.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5


@dataclass(frozen=True)
class _Arrival:
    """A request that reached the server, and the process that sent it."""

    at_s: float
    node: NodeProcess
    pid: int


@dataclass
class LimitCheck:
    """The limit that one incarnation of a server names, and its recent requests.

    ``per_s`` is in requests/s, infinite if the server names none.
    """

    per_s: float = math.inf
    _first_named_s: float | None = None
    _changes: deque[tuple[float, float]] = field(default_factory=deque)
    _told_s: dict[int, float] = field(default_factory=dict)
    _arrivals: deque[_Arrival] = field(default_factory=deque)

    def name(self, per_s: float, now_s: float) -> None:
        """Name another limit from now on, infinite for none."""
        self._changes.append((now_s, self.per_s))
        self.per_s = per_s
        if per_s == math.inf:
            self._first_named_s = None

    def header(self, node: NodeProcess | None, now_s: float) -> bytes:
        """Return the header of a response to a node, None if that is not known."""
        if self.per_s == math.inf:
            return b""
        if self._first_named_s is None:
            self._first_named_s = now_s
        if node is not None:
            self._told_s.setdefault(node.popen.pid, now_s)
        return b"Server-Limit: %g\r\n" % self.per_s

    def check_arrival(self, node: NodeProcess, now_s: float) -> str:
        """Record a request; return how it violates the limit, or an empty string."""
        if node.popen is None:
            return ""
        self._arrivals.append(_Arrival(now_s, node, node.popen.pid))
        while self._arrivals[0].at_s < now_s - WINDOW_S:
            self._arrivals.popleft()
        named_s = self._first_named_s
        if named_s is None or now_s - named_s < SETTLE_S:
            return ""
        count = sum(self._counts(arrival, now_s) for arrival in self._arrivals)
        allowed = ALLOWED_FACTOR * WINDOW_S * self._highest_per_s(now_s) + ALLOWED_EXTRA
        if count <= allowed:
            return ""
        return f"got {count} requests in {WINDOW_S:g} s, allowed {allowed:.1f}"

    def _counts(self, arrival: _Arrival, now_s: float) -> bool:
        """Return whether a request counts: its node was told and is undisturbed."""
        told_s = self._told_s.get(arrival.pid)
        if told_s is None or now_s - told_s < TOLD_S:
            return False
        return arrival.at_s - arrival.node.disturbed_s > SETTLE_S

    def _highest_per_s(self, now_s: float) -> float:
        """Return the highest limit that was named within the window."""
        while self._changes and self._changes[0][0] < now_s - WINDOW_S - TOLD_S:
            self._changes.popleft()
        return max([self.per_s, *(per_s for _, per_s in self._changes)])
