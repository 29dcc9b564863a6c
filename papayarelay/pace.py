"""Whether a model engine works as fast as its configuration says.

An engine that is throttled answers everything, only late: neither its health nor
its errors show that.  The times between the events of its streams do.
"""

from __future__ import annotations

import math
from collections import deque

from .timing import EngineTiming

# A read lengthens a pass for the streams beside it, so the shortest of some
# passes counts.
PASSES = 3
SLOW_RATIO = 1.6
# Events of several streams that come this close are of one pass.
SAME_PASS_PART = 0.3
# An engine that nothing was seen of for this long is tried again.
FORGET_S = 3.0


class Pace:
    """What one node has seen of the speed of an engine."""

    def __init__(self):
        self._ratios: deque[float] = deque(maxlen=PASSES)
        self._noted_s = -math.inf

    def note(self, pass_s: float, timing: EngineTiming, now_s: float) -> bool:
        """Note the time between two events of a stream, one pass of the engine.

        Returns whether that has made the engine count as slow.
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
        """Return how many times as long as it should the engine takes, or 1."""
        if now_s - self._noted_s > FORGET_S or len(self._ratios) < PASSES:
            return 1.0
        return max(1.0, min(self._ratios))

    def is_slow(self, now_s: float) -> bool:
        """Return whether the engine is slower than its load explains."""
        return self.ratio(now_s) > SLOW_RATIO


def full_pass_s(timing: EngineTiming) -> float:
    """Return the time of a pass with all slots and half of the memory in use.

    What is slower than that is not so because of its streams.
    """
    return timing.pass_s(timing.slots, timing.kv_tokens / 2)
