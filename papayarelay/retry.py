"""Retry budgets of a node and of all nodes together."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .request import RequestKind

# Maximum number of attempts of a request that reach a server.
MAX_SERVER_ATTEMPTS = 6
# Fractions of the cluster-wide limit: guaranteed to each node, and shared by all.
GUARANTEED_FRACTION = 0.45
SHARED_FRACTION = 0.5
# Maximum age of a peer's reported retry usage.
PEER_USAGE_MAX_AGE_S = 1.2
WINDOW_BUCKETS = 20
DEFAULT_FRACTION = 0.1
DEFAULT_WINDOW_S = 10.0
DEFAULT_RESERVE = 3.0


def find_retry_denial(kind: RequestKind, possible_executions: int, reached: int) -> str:
    """Return why a request must not be retried, an empty string if it may be.

    ``possible_executions`` is the number of attempts that may have been executed,
    ``reached`` the number that reached a server: refused connections cost the
    servers nothing.
    """
    if possible_executions and not kind.idempotent:
        return "not_idempotent"
    if 0 < kind.max_attempts <= possible_executions:
        return "max_attempts"
    if reached >= MAX_SERVER_ATTEMPTS:
        return "attempts"
    return ""


class RetryBudget:
    """Limits retries to a fraction of the recent requests.

    Both counts decay exponentially with the time constant ``window_s``.  ``reserve``
    is the number of retries per window that are allowed without any requests, so
    that a node with little traffic can still retry.  All services share one budget.
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

    def record_request(self, now_s: float, service: str = "") -> None:
        """Count a request that is not itself a retry."""
        self._decay(now_s)
        self._requests += 1

    def allow(self, now_s: float, service: str = "") -> bool:
        """Return whether a retry is allowed now, and count it if so."""
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


@dataclass(frozen=True)
class RetryUsage:
    """Requests and retries of a node within the window."""

    requests: int = 0
    retries: int = 0

    def __add__(self, other: RetryUsage) -> RetryUsage:
        return RetryUsage(self.requests + other.requests, self.retries + other.retries)


class SharedRetryBudget:
    """Limits the retries of all nodes together, for each service.

    In any window, all nodes together may retry ``ratio`` of their requests plus
    ``reserve``.  ``GUARANTEED_FRACTION`` of this limit is guaranteed: each node
    may always use its part of it.  While a node receives the usage of all peers in
    its group, it may also use what they leave of ``SHARED_FRACTION``.  Both
    fractions add up to less than 1, so that the limit holds even when the usage
    known of the peers is outdated.
    """

    def __init__(self, ratio: float, window_s: float, reserve: float):
        self._ratio = ratio
        self._window_s = window_s
        self._reserve = reserve
        self._group_size = 1
        self._node_count = 1
        self._own: dict[str, _SlidingWindow] = {}
        self._peers: dict[str, tuple[float, Mapping[str, RetryUsage]]] = {}

    def set_limits(self, ratio: float, reserve: float) -> None:
        """Replace the cluster-wide limits."""
        self._ratio = ratio
        self._reserve = reserve

    def set_nodes(self, group: int, total: int) -> None:
        """Set the number of nodes that exchange usage, and the number of all nodes."""
        self._group_size = max(1, group)
        self._node_count = max(self._group_size, total)

    def set_peer_usage(
        self, peer: str, usage: Mapping[str, RetryUsage], now_s: float
    ) -> None:
        """Replace the usage that a peer has reported, by service."""
        self._peers[peer] = (now_s, usage)

    def forget_peer(self, peer: str) -> None:
        """Forget the usage of a peer that has left."""
        self._peers.pop(peer, None)

    def own_usage(self, now_s: float) -> dict[str, RetryUsage]:
        """Return the usage of this node by service."""
        found = {name: window.usage(now_s) for name, window in self._own.items()}
        return {name: usage for name, usage in found.items() if usage.requests}

    def record_request(self, now_s: float, service: str = "") -> None:
        """Count a request that is not itself a retry."""
        self._window(service).add(now_s, RetryUsage(1, 0))

    def allow(self, now_s: float, service: str = "") -> bool:
        """Return whether a retry is allowed now, and count it if so."""
        window = self._window(service)
        own = window.usage(now_s)
        limit = self._ratio * own.requests + self._reserve / self._node_count
        allowed = own.retries + 1 <= GUARANTEED_FRACTION * limit
        if not allowed:
            peer_usage = [
                usage.get(service, RetryUsage())
                for reported_s, usage in self._peers.values()
                if now_s - reported_s <= PEER_USAGE_MAX_AGE_S
            ]
            total = sum(peer_usage, own)
            reserve = self._reserve * self._group_size / self._node_count
            limit = self._ratio * total.requests + reserve
            all_reported = len(peer_usage) + 1 >= self._group_size
            # Each peer may have retried as much as this node since its last report.
            unreported = (self._group_size - 1) * window.usage(
                now_s, PEER_USAGE_MAX_AGE_S
            ).retries
            upper_bound = total.retries + unreported + self._group_size
            allowed = all_reported and upper_bound <= SHARED_FRACTION * limit
        if allowed:
            window.add(now_s, RetryUsage(0, 1))
        return allowed

    def _window(self, service: str) -> _SlidingWindow:
        window = self._own.get(service)
        if window is None:
            window = self._own[service] = _SlidingWindow(self._window_s)
        return window


class _SlidingWindow:
    """Usage counts over a sliding window of ``WINDOW_BUCKETS`` buckets."""

    def __init__(self, length_s: float):
        self._bucket_s = length_s / WINDOW_BUCKETS
        self._buckets: deque[tuple[int, RetryUsage]] = deque()

    def add(self, now_s: float, usage: RetryUsage) -> None:
        """Add usage at the current time."""
        step = int(now_s / self._bucket_s)
        if self._buckets and self._buckets[-1][0] >= step:
            last, before = self._buckets.pop()
            self._buckets.append((last, before + usage))
        else:
            self._buckets.append((step, usage))

    def usage(self, now_s: float, length_s: float | None = None) -> RetryUsage:
        """Return the sum over the window or ``length_s``, in whole buckets."""
        step = int(now_s / self._bucket_s)
        while self._buckets and self._buckets[0][0] < step - WINDOW_BUCKETS:
            self._buckets.popleft()
        oldest = 0 if length_s is None else int((now_s - length_s) / self._bucket_s)
        return sum((usage for at, usage in self._buckets if at >= oldest), RetryUsage())
