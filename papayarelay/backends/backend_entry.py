"""A node's local state for one backend server."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from ..circuit import Circuit
from ..config import Backend, Service
from ..ejection import Ejection
from ..routing import EngineWork
from ..slowdown import SlowdownDetector
from ..warmup import WarmUp
from .in_flight_work import InFlightWork, WorkTotals, compute_totals
from .load_report import LoadReport
from .pool import BackendPool
from .restriction import Incarnation


@dataclass
class BackendEntry:
    """A backend server: configuration, connections, load and this node's requests.

    ``work`` holds this node's requests in flight on the server.
    """

    id: str
    config: Backend
    pool: BackendPool
    warm_up: WarmUp
    circuit: Circuit
    load: LoadReport = LoadReport()
    reported_s: float = 0.0
    work: set[InFlightWork] = field(default_factory=set)
    service: Service | None = None
    ejection: Ejection = field(default_factory=Ejection)
    slowdown_detector: SlowdownDetector = field(default_factory=SlowdownDetector)
    _totals: WorkTotals | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return the server incarnation."""
        return Incarnation(self.id, self.config.started)

    @property
    def process(self) -> Incarnation:
        """Return the running process of the server.

        A list without start times leaves its incarnation unchanged by a restart.
        """
        boot = zlib.crc32(self.load.boot_id.encode())
        return Incarnation(self.id, self.config.started or boot)

    @property
    def totals(self) -> WorkTotals:
        """Return aggregates over the requests in flight.

        Cached until a change, since every routing decision reads them for every
        server.
        """
        if self._totals is None:
            self._totals = compute_totals(self.work, self.reported_s)
        return self._totals

    def own_work(self, now_s: float) -> EngineWork:
        """Return the work of this node's requests in flight on the server."""
        waiting = [each for each in self.work if not each.prefilled]
        return EngineWork(
            decodes=sum(not each.partial_prefill for each in self.work),
            prefills=len(waiting),
            reading_s=sum(each.remaining_prefill_s(now_s) for each in waiting),
            tokens=sum(each.tokens for each in self.work),
            max_gap_s=min(
                (
                    each.cost.gap_target_s
                    for each in self.work
                    if not each.partial_prefill and each.cost.gap_target_s
                ),
                default=math.inf,
            ),
        )

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server has announced a cold start that still lasts."""
        return self.pool.restriction.is_cold(now_s)

    def invalidate_totals(self) -> None:
        """Invalidate the cached aggregates."""
        self._totals = None

    def report_age_s(self, now_s: float) -> float | None:
        """Return the age of the last load report, or None if there is none."""
        return round(now_s - self.reported_s, 1) if self.reported_s else None
