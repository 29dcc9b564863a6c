"""Schedules the requests of all nodes to one server at its rate limit."""

from __future__ import annotations

# Unused rate is saved for this long, which lets a short burst through.
BURST_S = 0.25
# Longest time that requests sent without a permit can take up.
MAX_BACKLOG_S = 4.5


class PermitSchedule:
    """Issues permits with start times that are spread evenly at the rate limit.

    Source: the generic cell rate algorithm (ITU-T I.371), with start times instead
    of refusals.  ``_next_s`` is its theoretical arrival time.
    """

    def __init__(self, per_s: float, next_s: float):
        self._interval_s = 1.0 / per_s
        self._next_s = next_s

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Change the rate; the backlog keeps its number of requests.

        It takes up ``MAX_BACKLOG_S`` at most, since a lower limit voids the permits
        that have not been used.
        """
        interval_s = 1.0 / per_s
        backlog_s = self.backlog_s(now_s)
        if backlog_s > 0 and interval_s != self._interval_s:
            scaled_s = backlog_s * interval_s / self._interval_s
            self._next_s = now_s + min(scaled_s, MAX_BACKLOG_S)
        self._interval_s = interval_s

    def backlog_s(self, now_s: float) -> float:
        """Return the time that the requests so far take up at the rate limit."""
        return max(0.0, self._next_s - now_s)

    def next_free_s(self, now_s: float) -> float:
        """Return the time until another permit can start."""
        return max(0.0, self._next_s - BURST_S - now_s)

    def postpone(self, backlog_s: float, now_s: float) -> None:
        """Take over the backlog of a former issuer."""
        self._next_s = max(self._next_s, now_s + backlog_s)

    def charge(self, count: int, now_s: float) -> None:
        """Count requests that were sent without a permit."""
        charged_s = max(now_s, self._next_s) + count * self._interval_s
        latest_s = max(self._next_s, now_s + MAX_BACKLOG_S)
        self._next_s = min(charged_s, latest_s)

    def refund(self, count: int, now_s: float) -> None:
        """Take back unused permits."""
        self._next_s = max(now_s, self._next_s - count * self._interval_s)

    def issue(self, count: int, max_wait_s: float, now_s: float) -> list[float]:
        """Return the delays of up to ``count`` permits that start in time."""
        delays_s = []
        while len(delays_s) < count:
            delay_s = self.next_free_s(now_s)
            if delay_s > max_wait_s:
                break
            delays_s.append(delay_s)
            self._next_s = max(self._next_s, now_s) + self._interval_s
        return delays_s
