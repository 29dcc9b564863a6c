"""Prompt segments that crash engines, and the check that nodes stop sending them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..raw_server import ReceivedRequest
from .process import SETTLE_S, NodeProcess

SEGMENTS_HEADER = "X-Prompt-Prefix"
# After this number of crashes and the time to react, this many requests may arrive.
FREE_CRASHES = 5
ALLOWED_LATE = 3


@dataclass
class PoisonCheck:
    """One segment at a time that crashes each engine that begins to answer on it."""

    segment: str = ""
    crashes: int = 0
    late: int = 0
    _fifth_crash_s: float | None = field(default=None)

    def begin(self, segment: str) -> None:
        """Let a segment crash engines from now on."""
        self.segment = segment
        self.crashes = self.late = 0
        self._fifth_crash_s = None

    def end(self) -> None:
        """Let the segment crash engines no more."""
        self.segment = ""

    def crashes_engine(self, request: ReceivedRequest) -> bool:
        """Return whether a request crashes the engine that gets it."""
        header = (request.get(SEGMENTS_HEADER.encode()) or b"").decode()
        names = [item.partition(":")[0] for item in header.split(",")]
        return bool(self.segment) and self.segment in names[:-1]

    def record_crash(self, now_s: float) -> None:
        """Record that an engine crashed."""
        self.crashes += 1
        if self.crashes == FREE_CRASHES:
            self._fifth_crash_s = now_s

    def check_arrival(self, node: NodeProcess, sent_s: float, now_s: float) -> str:
        """Record such a request; return how it violates the rule, or nothing."""
        fifth_s = self._fifth_crash_s
        if fifth_s is None or now_s - fifth_s < SETTLE_S:
            return ""
        if not node.is_undisturbed(sent_s) or not node.is_undisturbed(now_s):
            return ""
        self.late += 1
        if self.late <= ALLOWED_LATE:
            return ""
        return f"{self.late} requests with {self.segment} after {self.crashes} crashes"
