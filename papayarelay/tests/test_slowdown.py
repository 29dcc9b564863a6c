"""Tests of the detection of slow engines."""

import random
import unittest
from dataclasses import replace

from ..bench.fleet import DEFAULT_TIMING as TIMING
from ..cost import Cost
from ..placement import PackAndSplit, place
from ..routing import BackendView
from ..slowdown import (
    MIN_ITERATIONS,
    SAMPLE_TTL_S,
    SlowdownDetector,
    full_load_iteration_s,
)

ITERATION_S = TIMING.iteration_s(2, 20_000)


class SlowdownDetectorTest(unittest.TestCase):
    """Guards against undetected throttled engines, and against false positives."""

    def setUp(self):
        self.detector = SlowdownDetector()
        self.now_s = 50.0

    def _iterate(self, measured_s: float, streams: int = 1) -> None:
        self.now_s += measured_s
        for _ in range(streams):
            self.detector.record_iteration(measured_s, TIMING, self.now_s)

    def test_slow(self):
        """Guards against a throttled engine that gets as much work as the others."""
        for _ in range(MIN_ITERATIONS):
            self.assertFalse(self.detector.is_slow(self.now_s))
            self._iterate(4 * ITERATION_S)
        self.assertTrue(self.detector.is_slow(self.now_s))

    def test_busy(self):
        """Guards against treating a fully loaded engine as slow."""
        for _ in range(10):
            self._iterate(full_load_iteration_s(TIMING), streams=TIMING.slots)
        self.assertFalse(self.detector.is_slow(self.now_s))

    def test_prefill(self):
        """Guards against treating one long prefill beside many streams as slowness."""
        self._iterate(ITERATION_S, streams=8)
        self._iterate(20 * ITERATION_S, streams=8)
        self._iterate(ITERATION_S, streams=8)
        self.assertFalse(self.detector.is_slow(self.now_s))

    def test_forgotten(self):
        """Guards against avoiding a recovered engine for ever.

        A slow engine gets no requests, so no new samples would show its recovery.
        """
        for _ in range(MIN_ITERATIONS):
            self._iterate(6 * ITERATION_S)
        self.assertFalse(self.detector.is_slow(self.now_s + SAMPLE_TTL_S + 0.1))
        self.now_s += SAMPLE_TTL_S + 0.1
        self._iterate(6 * ITERATION_S)
        self.assertFalse(self.detector.is_slow(self.now_s))


class SlowEngineTest(unittest.TestCase):
    """Guards against placement on slow engines while there are others."""

    def setUp(self):
        view = BackendView("", "a", "engine", (), slots=8, timing=TIMING)
        self.views = [replace(view, id=f"e{n}", slow=n < 3) for n in range(4)]
        self.rng = random.Random(7)

    def _place(self, tokens: int, views: list[BackendView]):
        cost = Cost(tokens, 500, 0.3 if tokens < 20_000 else 3.0, 0.25)
        return place(PackAndSplit(), cost, views, 0.0, self.rng)

    def test_short(self):
        """Guards against a short prompt on a slow engine."""
        self.assertEqual(self._place(5_000, self.views).backend_id, "e3")

    def test_long(self):
        """Guards against a slow helper that delays the prefill of a whole prompt."""
        placement = self._place(100_000, self.views)
        self.assertEqual((placement.backend_id, placement.helpers), ("e3", ()))

    def test_all_slow(self):
        """Guards against requests that are never placed when all engines are slow."""
        for tokens in (5_000, 100_000):
            self.assertIsNotNone(self._place(tokens, self.views[:3]))
