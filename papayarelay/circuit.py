"""Circuit breaker of a node for one backend server."""

from __future__ import annotations

import enum
import random
from collections import deque

# At most the reserve of the retry budget: otherwise, on a node with little traffic, one
# failing server could exhaust the budget before its circuit opens.
FAILURE_THRESHOLD = 3
FAILURE_RATE = 0.5
WINDOW_S = 10.0
OPEN_S = 1.0
MAX_OPEN_S = 30.0
PROBES_TO_CLOSE = 2
PROBE_TIMEOUT_S = 10.0
MAX_SAMPLES = 256


class CircuitState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Circuit breaker that stops requests to a failing backend server and probes it.

    The circuit opens when at least ``FAILURE_THRESHOLD`` answers within ``WINDOW_S``
    failed and these are at least ``FAILURE_RATE`` of all.  After ``OPEN_S``, doubled
    on each failed probe up to ``MAX_OPEN_S``, it admits one probe at a time;
    ``PROBES_TO_CLOSE`` successful probes close it.  ``rng`` adds jitter, so that the
    nodes do not probe at the same time; without it there is none.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng
        self._state = CircuitState.CLOSED
        self._samples: deque[tuple[float, bool]] = deque(maxlen=MAX_SAMPLES)
        self._open_s = OPEN_S
        self._open_until_s = 0.0
        self._probe_sent_s: float | None = None
        self._probe_successes = 0

    @property
    def state(self) -> CircuitState:
        """Return the state after the last recorded event."""
        return self._state

    def is_ready(self, now_s: float) -> bool:
        """Return whether ``allow`` would admit a request, without starting a probe."""
        if self._state is CircuitState.CLOSED:
            return True
        if now_s < self._open_until_s:
            return False
        sent_s = self._probe_sent_s
        # A probe whose result never arrives must not block further probes.
        return sent_s is None or now_s - sent_s >= PROBE_TIMEOUT_S

    def allow(self, now_s: float) -> bool:
        """Return whether a request may be sent; it is a probe unless closed."""
        if not self.is_ready(now_s):
            return False
        if self._state is not CircuitState.CLOSED:
            if self._state is CircuitState.OPEN:
                self._probe_successes = 0
            self._state = CircuitState.HALF_OPEN
            self._probe_sent_s = now_s
        return True

    def record_success(self, now_s: float) -> None:
        """Record a successful answer."""
        if self._state is CircuitState.CLOSED:
            self._add_sample(now_s, True)
            return
        if self._state is CircuitState.OPEN:
            # The request was sent before the circuit opened, so its success says
            # nothing about new requests.
            return
        self._probe_sent_s = None
        self._probe_successes += 1
        if self._probe_successes >= PROBES_TO_CLOSE:
            self._state = CircuitState.CLOSED
            self._open_s = OPEN_S
            self._samples.clear()

    def record_failure(self, now_s: float) -> None:
        """Record a failed answer or connection."""
        if self._state is CircuitState.OPEN:
            return
        if self._state is CircuitState.HALF_OPEN:
            self._open_s = min(MAX_OPEN_S, 2 * self._open_s)
            self._open(now_s)
            return
        self._add_sample(now_s, False)
        failures = sum(not good for _, good in self._samples)
        many = failures >= FAILURE_THRESHOLD
        if many and failures >= FAILURE_RATE * len(self._samples):
            self._open(now_s)

    def _add_sample(self, now_s: float, good: bool) -> None:
        self._samples.append((now_s, good))
        while self._samples and now_s - self._samples[0][0] > WINDOW_S:
            self._samples.popleft()

    def _open(self, now_s: float) -> None:
        self._state = CircuitState.OPEN
        spread = 1.0 if self._rng is None else self._rng.uniform(0.75, 1.25)
        self._open_until_s = now_s + self._open_s * spread
        self._probe_sent_s = None
        self._samples.clear()
