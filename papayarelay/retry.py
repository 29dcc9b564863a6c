"""Retry budgets of a node and of all nodes together."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from .request import RequestKind

# Maximum number of attempts of a request that reach a server.
MAX_REACHED = 6
# Fractions of the cluster-wide limit: guaranteed to each node, and shared by all.
OWN_PART = 0.45
POOL_PART = 0.5
# Maximum age of a peer's reported retry usage.
TOLD_LIMIT_S = 1.2
WINDOW_STEPS = 20
DEFAULT_FRACTION = 0.1
DEFAULT_WINDOW_S = 10.0
DEFAULT_RESERVE = 3.0


def find_denial(kind: RequestKind, runs: int, reached: int) -> str:
    """Return why a request must not be retried, an empty string if it may be.

    ``runs`` is the number of attempts that may have been executed,
    ``reached`` the number that reached a server: refused connections cost the
    servers nothing.
    """
    if runs and not kind.idempotent:
        return "not_idempotent"
    if 0 < kind.max_attempts <= runs:
        return "max_attempts"
    if reached >= MAX_REACHED:
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
class RetryUse:
    """Requests and retries of a node within the window."""

    requests: int = 0
    repeats: int = 0

    def __add__(self, other: RetryUse) -> RetryUse:
        return RetryUse(self.requests + other.requests, self.repeats + other.repeats)


class SharedRetryBudget:
    """Limits the retries of all nodes together, for each service.

    In any window, all nodes together may retry ``ratio`` of their requests plus
    ``reserve``.  ``OWN_PART`` of this limit is guaranteed: each node
    may always use its part of it.  While a node receives the usage of all peers in
    its group, it may also use what they leave of ``POOL_PART``.  Both
    fractions add up to less than 1, so that the limit holds even when the usage
    known of the peers is outdated.
    """

    def __init__(self, ratio: float, window_s: float, reserve: float):
        self._ratio = ratio
        self._window_s = window_s
        self._reserve = reserve
        self._group = 1
        self._total = 1
        self._own: dict[str, _Window] = {}
        self._peers: dict[str, tuple[float, Mapping[str, RetryUse]]] = {}

    def set_limits(self, ratio: float, reserve: float) -> None:
        """Replace the cluster-wide limits."""
        self._ratio = ratio
        self._reserve = reserve

    def set_nodes(self, group: int, total: int) -> None:
        """Set the number of nodes that exchange usage, and the number of all nodes."""
        self._group = max(1, group)
        self._total = max(self._group, total)

    def set_peer_use(
        self, peer: str, use: Mapping[str, RetryUse], now_s: float
    ) -> None:
        """Replace the usage that a peer has reported, by service."""
        self._peers[peer] = (now_s, use)

    def forget_peer(self, peer: str) -> None:
        """Forget the usage of a peer that has left."""
        self._peers.pop(peer, None)

    def own_use(self, now_s: float) -> dict[str, RetryUse]:
        """Return the usage of this node by service."""
        found = {name: window.use(now_s) for name, window in self._own.items()}
        return {name: use for name, use in found.items() if use.requests}

    def record_request(self, now_s: float, service: str = "") -> None:
        """Count a request that is not itself a retry."""
        self._window(service).add(now_s, RetryUse(1, 0))

    def allow(self, now_s: float, service: str = "") -> bool:
        """Return whether a retry is allowed now, and count it if so."""
        window = self._window(service)
        own = window.use(now_s)
        limit = self._ratio * own.requests + self._reserve / self._total
        allowed = own.repeats + 1 <= OWN_PART * limit
        if not allowed:
            told = [
                use.get(service, RetryUse())
                for told_s, use in self._peers.values()
                if now_s - told_s <= TOLD_LIMIT_S
            ]
            total = sum(told, own)
            reserve = self._reserve * self._group / self._total
            limit = self._ratio * total.requests + reserve
            heard = len(told) + 1 >= self._group
            # Each peer may have retried as much as this node since its last report.
            unheard = (self._group - 1) * window.use(now_s, TOLD_LIMIT_S).repeats
            most = total.repeats + unheard + self._group
            allowed = heard and most <= POOL_PART * limit
        if allowed:
            window.add(now_s, RetryUse(0, 1))
        return allowed

    def _window(self, service: str) -> _Window:
        window = self._own.get(service)
        if window is None:
            window = self._own[service] = _Window(self._window_s)
        return window


class _Window:
    """Usage counts over a sliding window of ``WINDOW_STEPS`` buckets."""

    def __init__(self, length_s: float):
        self._step_s = length_s / WINDOW_STEPS
        self._steps: deque[tuple[int, RetryUse]] = deque()

    def add(self, now_s: float, use: RetryUse) -> None:
        """Add usage at the current time."""
        step = int(now_s / self._step_s)
        if self._steps and self._steps[-1][0] >= step:
            last, before = self._steps.pop()
            self._steps.append((last, before + use))
        else:
            self._steps.append((step, use))

    def use(self, now_s: float, length_s: float | None = None) -> RetryUse:
        """Return the sum over the window or ``length_s``, in whole buckets."""
        step = int(now_s / self._step_s)
        while self._steps and self._steps[0][0] < step - WINDOW_STEPS:
            self._steps.popleft()
        oldest = 0 if length_s is None else int((now_s - length_s) / self._step_s)
        return sum((use for at, use in self._steps if at >= oldest), RetryUse())
