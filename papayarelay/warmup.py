"""Cold-start ramp (slow start) of one watcher node for one backend server."""

from __future__ import annotations

WATCHERS = 2
FAILURES_TO_COLD = 3
SHRINK_FACTOR = 0.5
RATE_DROP_FACTOR = 0.7


class WarmUp:
    """Bounds the tokens in flight from one watcher to a cold backend server.

    Only the ``watchers`` nodes that poll the server's load send it requests while it
    is cold.  Each starts with an equal part of ``cold_bound_tokens``.  The bound
    grows by the tokens of each answer completed in time, so the bounds of all
    watchers together never exceed ``cold_bound_tokens`` plus the tokens answered
    since the server became cold.  The bound does not grow with time.  Once a watcher
    has received its part of ``full_tokens`` in answers, the server counts as warm.
    Source: slow start of RFC 5681, counted in tokens.
    """

    def __init__(
        self,
        cold_bound_tokens: int,
        full_tokens: int,
        *,
        watchers: int = WATCHERS,
        cold: bool = False,
    ):
        self._start_tokens = max(1, cold_bound_tokens // watchers)
        # The initial bound is not backed by answers, so it is added to the limit.
        self._full_tokens = self._start_tokens + max(1, full_tokens // watchers)
        self._bound_tokens: int | None = self._start_tokens if cold else None
        self._failures = 0
        self._rate = 0.0

    @property
    def cold(self) -> bool:
        """Return whether the backend server counts as cold."""
        return self._bound_tokens is not None

    @property
    def bound_tokens(self) -> int | None:
        """Return this watcher's bound on tokens in flight, None if warm."""
        return self._bound_tokens

    def turn_cold(self, now_s: float) -> None:
        """Restart the ramp after a load report or a new boot id shows a cold start."""
        self._bound_tokens = self._start_tokens
        self._failures = 0

    def record_rate(self, prefill_tokens_per_s: float, now_s: float) -> bool:
        """Record the reported rate; return whether its drop marks the server cold.

        A server may lose its warm state without a restart and without reporting it.
        Only a drop between two reports counts, so that a server which stays slow
        still completes its ramp.
        """
        dropped = prefill_tokens_per_s < RATE_DROP_FACTOR * self._rate
        self._rate = prefill_tokens_per_s
        if dropped and not self.cold:
            self.turn_cold(now_s)
            return True
        return False

    def record_success(self, tokens: int, in_time: bool, now_s: float) -> None:
        """Record an answer for which the server computed ``tokens``.

        These are the prompt tokens without a prefix cache hit and the output tokens.
        """
        self._failures = 0
        if self._bound_tokens is None or not in_time:
            return
        self._bound_tokens += max(0, tokens)
        if self._bound_tokens >= self._full_tokens:
            self._bound_tokens = None

    def record_failure(self, now_s: float) -> None:
        """Record a failure: halve the bound, or mark the server cold after several."""
        if self._bound_tokens is not None:
            shrunk = int(self._bound_tokens * SHRINK_FACTOR)
            self._bound_tokens = max(self._start_tokens, shrunk)
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_COLD:
            self.turn_cold(now_s)
