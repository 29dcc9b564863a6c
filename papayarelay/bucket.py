"""Token bucket for rate limits."""

from __future__ import annotations


class TokenBucket:
    """Limits a rate and allows short bursts.

    ``rate_per_s`` is the refill rate in tokens per second and ``burst`` the capacity
    in tokens.  Times are monotonic seconds; a time that goes backwards refills
    nothing.
    """

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._updated_s: float | None = None

    def take(self, now_s: float, amount: float = 1.0) -> bool:
        """Take ``amount`` tokens and return True, or take none and return False."""
        self._refill(now_s)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def put_back(self, amount: float) -> None:
        """Put back tokens that were taken but not used."""
        self._tokens = min(self.burst, self._tokens + amount)

    def set_rate(self, now_s: float, rate_per_s: float, burst: float) -> None:
        """Change the rate and the capacity from now on."""
        self._refill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def wait_s(self, now_s: float, amount: float = 1.0) -> float:
        """Return the seconds until ``amount`` tokens are available."""
        self._refill(now_s)
        missing = amount - self._tokens
        if missing <= 0:
            return 0.0
        if self.rate_per_s <= 0 or amount > self.burst:
            return float("inf")
        return missing / self.rate_per_s

    def _refill(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.rate_per_s)
        self._updated_s = max(self._updated_s, now_s)
