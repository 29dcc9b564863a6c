"""Tests of the placement of requests on engines."""

import random
import unittest

from ..bench.fleet import DEFAULT_TIMING as TIMING
from ..cost import Cost
from ..placement import PackAndSplit, place
from ..routing import BackendView, EngineWork

SHORT = Cost(5_000, 1_600, 0.3, 0.25)
LONG = Cost(154_000, 800, 3.0, 1.0)
HUGE = Cost(700_000, 800, 3.0, 1.0)


def view(name: str, *work: object, cold: bool = False) -> BackendView:
    """Return an engine with the given ``EngineWork`` fields."""
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
    """Guards against short prompts behind long prefills, and late long prompts."""

    def _place(self, cost, *views):
        return place(PackAndSplit(), cost, views, 0.0, random.Random(1))

    def test_short_prompts_are_packed(self):
        """Guards against decodes on every engine, which long prefills would stall."""
        placement = self._place(SHORT, view("a"), view("b", 3, 0, 0.0, 18_000))
        self.assertEqual(placement.backend_id, "b")

    def test_full_engine(self):
        """Guards against packing that leaves a short prompt without a free slot."""
        placement = self._place(SHORT, view("a"), view("b", 7, 0, 0.0, 42_000))
        self.assertEqual(placement.backend_id, "a")

    def test_short_prompt_beside_a_long_prefill(self):
        """Guards against a short prompt that waits for a pending long prefill."""
        placement = self._place(SHORT, view("a", 1, 1, 0.6, 90_000), view("b"))
        self.assertEqual(placement.backend_id, "b")

    def test_cold_engine(self):
        """Guards against work for a cold engine while a warm one has capacity."""
        placement = self._place(SHORT, view("a", cold=True), view("b"))
        self.assertEqual(placement.backend_id, "b")
        self.assertEqual(self._place(SHORT, view("a", cold=True)).backend_id, "a")

    def test_long_prompt_is_split(self):
        """Guards against a long prefill on a single engine while others are idle."""
        views = [view(f"e{n}") for n in range(16)]
        placement = self._place(LONG, *views)
        self.assertLess(placement.expected_s, LONG.target_s / 2)
        self.assertEqual(placement.reserved_tokens, ())

    def test_long_prompt_avoids_streams(self):
        """Guards against a part of a long prompt that stalls decodes on an engine."""
        busy = [view(f"b{n}", 6, 0, 0.0, 36_000) for n in range(8)]
        idle = [view(f"i{n}") for n in range(8)]
        placement = self._place(LONG, *busy, *idle)
        chosen = {placement.backend_id, *placement.helpers}
        self.assertTrue(all(name.startswith("i") for name in chosen), chosen)

    def test_huge_prompt_has_memory(self):
        """Guards against rejecting a prompt that exceeds one engine's KV cache."""
        views = [view(f"e{n}") for n in range(16)]
        placement = self._place(HUGE, *views)
        kept = HUGE.kv_tokens - sum(placement.reserved_tokens)
        self.assertLessEqual(
            max(kept, *placement.reserved_tokens), 0.6 * TIMING.kv_tokens
        )
        self.assertLess(placement.expected_s, 2 * HUGE.target_s)

    def test_huge_prompt_waits_for_memory(self):
        """Guards against placement on engines without enough free KV cache."""
        views = [view(f"e{n}", 2, 0, 0.0, 250_000) for n in range(16)]
        self.assertIsNone(self._place(HUGE, *views))

    def test_no_engine(self):
        """Guards against an exception when no engine is available."""
        self.assertIsNone(self._place(SHORT))
