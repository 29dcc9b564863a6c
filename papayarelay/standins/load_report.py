"""Load report of an engine and its simulated reporting lag."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

READY = "ready"
COLD = "cold"
STARTING = "starting"
RECORDS_PER_LAG = 16


@dataclass(frozen=True)
class LoadReport:
    """Load of an engine; ``state`` is ``ready``, ``cold`` or ``starting``."""

    boot_id: str
    state: str
    kv_capacity_tokens: int
    kv_used_tokens: int
    kv_cached_tokens: int
    queued_prefill_tokens: int
    running: int
    waiting: int
    prefill_tokens_per_s: float


class ReportHistory:
    """Serves load reports with a lag of ``lag_s``.

    ``build`` returns the report of the current state for a given time.
    """

    def __init__(self, lag_s: float, build: Callable[[float], LoadReport]):
        self._lag_s = lag_s
        self._build = build
        self._changed_s = -math.inf
        self._records = deque([(-math.inf, build(-math.inf))])

    def set_lag(self, lag_s: float, now_s: float) -> None:
        """Change the lag; states from before a lag was turned on are never reported."""
        if not self._lag_s:
            self._records = deque([(now_s, self._build(now_s))])
        self._lag_s = lag_s

    def record_change(self, now_s: float) -> None:
        """Record the state after a change."""
        self._changed_s = now_s
        if not self._lag_s:
            return
        spacing_s = self._lag_s / RECORDS_PER_LAG
        if len(self._records) > 1 and now_s - self._records[-2][0] < spacing_s:
            self._records.pop()
        self._records.append((now_s, self._build(now_s)))
        self._drop_old(now_s)

    def read(self, now_s: float) -> LoadReport:
        """Return the report that is visible at ``now_s``."""
        visible_s = now_s - self._lag_s
        if self._changed_s <= visible_s:
            return self._build(visible_s)
        self._drop_old(now_s)
        return self._records[0][1]

    def _drop_old(self, now_s: float) -> None:
        while len(self._records) > 1 and self._records[1][0] <= now_s - self._lag_s:
            self._records.popleft()
