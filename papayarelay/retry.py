"""Retry budget of a node."""

from __future__ import annotations

import math

from .request import RequestKind

# Times that a request is offered before its caller learns of the failure.
MAX_ATTEMPTS = 6
DEFAULT_FRACTION = 0.1
DEFAULT_WINDOW_S = 10.0
DEFAULT_RESERVE = 3.0


def find_denial(kind: RequestKind, runs: int, attempts: int) -> str:
    """Return why a request must not be sent again, nothing where it may be.

    ``runs`` is the number of attempts that may have run.
    """
    if runs and not kind.idempotent:
        return "not_idempotent"
    if 0 < kind.max_attempts <= runs:
        return "max_attempts"
    if attempts >= MAX_ATTEMPTS:
        return "attempts"
    return ""


class RetryBudget:
    """Limits retries to a fraction of the recent requests.

    Both counts decay exponentially with the time constant ``window_s``.
    ``reserve`` is the number of retries per window that are allowed even
    without requests, so that a node with little traffic can still retry.
    """

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        window_s: float = DEFAULT_WINDOW_S,
        reserve: float = DEFAULT_RESERVE,
    ):
        self._fraction = fraction
        self._window_s = window_s
        self._reserve = reserve
        self._requests = 0.0
        self._retries = 0.0
        self._updated_s: float | None = None

    def set_reserve(self, reserve: float) -> None:
        """Set the number of retries per window that need no requests."""
        self._reserve = reserve

    def record_request(self, now_s: float) -> None:
        """Count a request that is not itself a retry."""
        self._decay(now_s)
        self._requests += 1

    def allow(self, now_s: float) -> bool:
        """Return whether a retry may be sent now; a permitted retry is counted."""
        self._decay(now_s)
        limit = self._reserve + self._fraction * self._requests
        if self._retries + 1 > limit:
            return False
        self._retries += 1
        return True

    def _decay(self, now_s: float) -> None:
        if self._updated_s is not None and now_s > self._updated_s:
            factor = math.exp((self._updated_s - now_s) / self._window_s)
            self._requests *= factor
            self._retries *= factor
        self._updated_s = max(now_s, self._updated_s or now_s)
