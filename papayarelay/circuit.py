"""Circuit breaker of a node for one backend server."""

from __future__ import annotations

import enum
import random
from collections import deque

# Not above the reserve of the retry budget, so that on a node with little
# traffic one failing server cannot use up the retries before it is left out.
FAILURE_THRESHOLD = 3
FAILURE_RATE = 0.5
WINDOW_S = 10.0
OPEN_S = 1.0
MAX_OPEN_S = 30.0
PROBES_TO_CLOSE = 2
PROBE_TIMEOUT_S = 10.0
MAX_SAMPLES = 256


class CircuitState(enum.Enum):
    """Whether requests pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Circuit:
    """Stops requests to a backend server that fails, and probes it.

    The circuit opens when at least ``FAILURE_THRESHOLD`` answers of the last
    ``WINDOW_S`` failed and they are at least ``FAILURE_RATE`` of all.  After
    ``OPEN_S``, doubled on each failed probe up to ``MAX_OPEN_S``, it lets one
    probe at a time through; ``PROBES_TO_CLOSE`` successes close it.
    ``rng`` spreads the probes of several nodes; without it they are not spread.
    """

    def __init__(self, rng: random.Random | None = None):
        self._rng = rng
        self._state = CircuitState.CLOSED
        self._samples: deque[tuple[float, bool]] = deque(maxlen=MAX_SAMPLES)
        self._open_s = OPEN_S
        self._until_s = 0.0
        self._probe_sent_s: float | None = None
        self._probe_successes = 0

    @property
    def state(self) -> CircuitState:
        """Return the state as of the last call."""
        return self._state

    def is_ready(self, now_s: float) -> bool:
        """Return whether ``allow`` would let a request pass, without counting it."""
        if self._state is CircuitState.CLOSED:
            return True
        if now_s < self._until_s:
            return False
        sent_s = self._probe_sent_s
        # A probe whose result never arrives must not keep the circuit open.
        return sent_s is None or now_s - sent_s >= PROBE_TIMEOUT_S

    def allow(self, now_s: float) -> bool:
        """Return whether a request may be sent; counts it as a probe if needed."""
        if not self.is_ready(now_s):
            return False
        if self._state is not CircuitState.CLOSED:
            if self._state is CircuitState.OPEN:
                self._probe_successes = 0
            self._state = CircuitState.HALF_OPEN
            self._probe_sent_s = now_s
        return True

    def record_success(self, now_s: float) -> None:
        """Record a good answer."""
        if self._state is CircuitState.CLOSED:
            self._add_sample(now_s, True)
            return
        if self._state is CircuitState.OPEN:
            # Answers to requests sent before the circuit opened prove nothing
            # about new requests.
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
        self._until_s = now_s + self._open_s * spread
        self._probe_sent_s = None
        self._samples.clear()
