"""Tests of where requests run."""

import random
import unittest

from ..bench.fleet import TODAY_TIMING as TIMING
from ..cost import Cost
from ..placing import Packed, place
from ..routing import BackendView, EngineWork

SHORT = Cost(5_000, 1_600, 0.3, 0.25)
LONG = Cost(154_000, 800, 3.0, 1.0)
HUGE = Cost(700_000, 800, 3.0, 1.0)


def view(name: str, *work: object, cold: bool = False) -> BackendView:
    """Return an engine with some work."""
    return BackendView(
        name,
        "dc1",
        "engine",
        (),
        work=EngineWork(*work),
        slots=8,
        timing=TIMING,
        cold=cold,
    )


class PackedTest(unittest.TestCase):
    """Guards against short prompts behind long ones, and long ones too late."""

    def _place(self, cost, *views):
        return place(Packed(), cost, views, 0.0, random.Random(1))

    def test_short_prompts_are_packed(self):
        """Every engine would have a few streams, which long parts hold up."""
        placement = self._place(SHORT, view("a"), view("b", 3, 0, 0.0, 18_000))
        self.assertEqual(placement.backend_id, "b")

    def test_full_engine(self):
        """A short prompt would wait for a slot while others are free."""
        placement = self._place(SHORT, view("a"), view("b", 7, 0, 0.0, 42_000))
        self.assertEqual(placement.backend_id, "a")

    def test_short_prompt_beside_a_long_read(self):
        """A short prompt would wait for a long one to be read."""
        placement = self._place(SHORT, view("a", 1, 1, 0.6, 90_000), view("b"))
        self.assertEqual(placement.backend_id, "b")

    def test_cold_engine(self):
        """A cold engine would get work while warm ones have room."""
        placement = self._place(SHORT, view("a", cold=True), view("b"))
        self.assertEqual(placement.backend_id, "b")
        self.assertEqual(self._place(SHORT, view("a", cold=True)).backend_id, "a")

    def test_long_prompt_is_split(self):
        """A long prompt would be read by one engine while others are idle."""
        views = [view(f"e{n}") for n in range(16)]
        placement = self._place(LONG, *views)
        self.assertLess(placement.expected_s, LONG.target_s / 2)
        self.assertEqual(placement.reserved, ())

    def test_long_prompt_avoids_streams(self):
        """A long part would hold up the streams of an engine."""
        busy = [view(f"b{n}", 6, 0, 0.0, 36_000) for n in range(8)]
        idle = [view(f"i{n}") for n in range(8)]
        placement = self._place(LONG, *busy, *idle)
        chosen = {placement.backend_id, *placement.helpers}
        self.assertTrue(all(name.startswith("i") for name in chosen), chosen)

    def test_huge_prompt_has_memory(self):
        """A prompt over one engine's memory would be refused."""
        views = [view(f"e{n}") for n in range(16)]
        placement = self._place(HUGE, *views)
        kept = HUGE.kv_tokens - sum(placement.reserved)
        self.assertLessEqual(max(kept, *placement.reserved), 0.6 * TIMING.kv_tokens)
        self.assertLess(placement.expected_s, 2 * HUGE.target_s)

    def test_huge_prompt_waits_for_memory(self):
        """A prompt would be sent where its memory is taken."""
        views = [view(f"e{n}", 2, 0, 0.0, 250_000) for n in range(16)]
        self.assertIsNone(self._place(HUGE, *views))

    def test_no_engine(self):
        """Placing would fail without engines."""
        self.assertIsNone(self._place(SHORT))
