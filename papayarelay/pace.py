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
PASSES = 3
SLOW_RATIO = 1.6
# Events of several streams within this fraction of a full iteration belong to the
# same iteration.
SAME_PASS_PART = 0.3
# Samples expire after this time, so that a slow engine is tried again.
FORGET_S = 3.0


class Pace:
    """Iteration times of one engine, as this node observes them."""

    def __init__(self):
        self._ratios: deque[float] = deque(maxlen=PASSES)
        self._noted_s = -math.inf

    def note(self, pass_s: float, timing: EngineTiming, now_s: float) -> bool:
        """Record the time between two events of a stream, one engine iteration.

        Returns whether the engine has just become slow.
        """
        full_s = full_pass_s(timing)
        if now_s - self._noted_s < SAME_PASS_PART * full_s:
            return False
        before = self.is_slow(now_s)
        if now_s - self._noted_s > FORGET_S:
            self._ratios.clear()
        self._ratios.append(pass_s / full_s)
        self._noted_s = now_s
        return self.is_slow(now_s) and not before

    def ratio(self, now_s: float) -> float:
        """Return the measured over the configured iteration time, 1 when unknown."""
        if now_s - self._noted_s > FORGET_S or len(self._ratios) < PASSES:
            return 1.0
        return max(1.0, min(self._ratios))

    def is_slow(self, now_s: float) -> bool:
        """Return whether the engine is slower than full load would explain."""
        return self.ratio(now_s) > SLOW_RATIO


def full_pass_s(timing: EngineTiming) -> float:
    """Return the time of a decode iteration at full load.

    Full load is all slots and half of the KV cache in use; an iteration that takes
    much longer is not explained by the number of sequences.
    """
    return timing.pass_s(timing.slots, timing.kv_tokens / 2)
