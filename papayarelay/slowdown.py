"""Detection of engines that decode slower than their configured timing.

A throttled engine still answers every request, so neither health checks nor error
rates show the problem.  The inter-token times of its streams do.
"""

from __future__ import annotations

import math
from collections import deque

from .timing import EngineTiming

# A concurrent prefill lengthens an iteration, so the minimum over this many
# iterations is used.
MIN_ITERATIONS = 3
SLOW_RATIO = 1.6
# Events of several streams within this fraction of a full iteration belong to the
# same iteration.
SAME_ITERATION_FRACTION = 0.3
# Samples expire after this time, so that a slow engine is tried again.
SAMPLE_TTL_S = 3.0


class SlowdownDetector:
    """Detects a slow engine by the iteration times that this node observes."""

    def __init__(self):
        self._ratios: deque[float] = deque(maxlen=MIN_ITERATIONS)
        self._recorded_s = -math.inf

    def record_iteration(
        self, measured_s: float, timing: EngineTiming, now_s: float
    ) -> bool:
        """Record the time between two events of a stream, one engine iteration.

        Returns whether the engine has just become slow.
        """
        full_s = full_load_iteration_s(timing)
        if now_s - self._recorded_s < SAME_ITERATION_FRACTION * full_s:
            return False
        before = self.is_slow(now_s)
        if now_s - self._recorded_s > SAMPLE_TTL_S:
            self._ratios.clear()
        self._ratios.append(measured_s / full_s)
        self._recorded_s = now_s
        return self.is_slow(now_s) and not before

    def slowdown(self, now_s: float) -> float:
        """Return the measured over the configured iteration time, 1 when unknown."""
        if (
            now_s - self._recorded_s > SAMPLE_TTL_S
            or len(self._ratios) < MIN_ITERATIONS
        ):
            return 1.0
        return max(1.0, min(self._ratios))

    def is_slow(self, now_s: float) -> bool:
        """Return whether the engine is slower than full load would explain."""
        return self.slowdown(now_s) > SLOW_RATIO


def full_load_iteration_s(timing: EngineTiming) -> float:
    """Return the time of a decode iteration at full load.

    Full load is all slots and half of the KV cache in use; an iteration that takes
    much longer is not explained by the number of sequences.
    """
    return timing.iteration_s(timing.slots, timing.kv_tokens / 2)
