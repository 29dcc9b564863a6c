"""Which prompt segments were answered in whole before, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

MAX_SEGMENTS = 8192
TTL_S = 600.0


class AnswerHistory:
    """Begin of the last proven answer to a request with each segment."""

    def __init__(self):
        self._begun_s: OrderedDict[int, float] = OrderedDict()

    def record(self, segments: Iterable[int], begun_s: float) -> None:
        """Record an answer that began at ``begun_s``."""
        for segment in segments:
            self._begun_s[segment] = max(begun_s, self._begun_s.get(segment, begun_s))
            self._begun_s.move_to_end(segment)
        while len(self._begun_s) > MAX_SEGMENTS:
            self._begun_s.popitem(last=False)

    def age_s(self, segment: int, now_s: float) -> float | None:
        """Return how long ago the last answer began; None if that is not known."""
        begun_s = self._begun_s.get(segment)
        if begun_s is None or now_s - begun_s > TTL_S:
            return None
        return now_s - begun_s
