"""Tests of the cold-start ramp."""

import random
import unittest

from ..warmup import FAILURES_TO_COLD, WATCHERS, WarmUp

COLD_TOKENS = 8192
FULL_TOKENS = 262_144


def cold_ramp() -> WarmUp:
    """Return one watcher's ramp for a server that has just become cold."""
    return WarmUp(COLD_TOKENS, FULL_TOKENS, cold=True)


class WarmUpTest(unittest.TestCase):
    """Guards against overloading a cold server with more work than it can handle."""

    def test_watchers_together_stay_within_the_bound(self):
        rng = random.Random(1)
        ramps = [cold_ramp() for _ in range(WATCHERS)]
        answered = 0
        for step in range(1000):
            total = sum(ramp.bound_tokens for ramp in ramps)
            self.assertLessEqual(total, COLD_TOKENS + answered)
            tokens = rng.randrange(1, 60)
            rng.choice(ramps).record_success(tokens, True, float(step))
            answered += tokens

    def test_time_and_late_answers_do_not_raise_the_bound(self):
        ramp = cold_ramp()
        ramp.record_success(5000, False, 10_000.0)
        self.assertEqual(ramp.bound_tokens, COLD_TOKENS // WATCHERS)

    def test_failure_shrinks_but_leaves_room_to_recover(self):
        ramp = cold_ramp()
        ramp.record_success(30_000, True, 1.0)
        before = ramp.bound_tokens
        ramp.record_failure(2.0)
        self.assertLess(ramp.bound_tokens, before)
        for _ in range(50):
            ramp.record_failure(3.0)
        self.assertEqual(ramp.bound_tokens, COLD_TOKENS // WATCHERS)

    def test_answers_end_the_ramp(self):
        ramp = cold_ramp()
        for step in range(200):
            ramp.record_success(2000, True, float(step))
        self.assertFalse(ramp.cold)
        self.assertIsNone(ramp.bound_tokens)

    def test_the_ramp_ends_only_with_answers_worth_the_full_share(self):
        """Guards against full load on a server before its warm-up is complete."""
        ramp = cold_ramp()
        share = FULL_TOKENS // WATCHERS
        ramp.record_success(share - 1, True, 1.0)
        self.assertTrue(ramp.cold)
        ramp.record_success(1, True, 2.0)
        self.assertFalse(ramp.cold)

    def test_turning_cold_again_starts_from_the_bound(self):
        ramp = WarmUp(COLD_TOKENS, FULL_TOKENS)
        self.assertIsNone(ramp.bound_tokens)
        ramp.turn_cold(5.0)
        self.assertEqual(ramp.bound_tokens, COLD_TOKENS // WATCHERS)

    def test_failures_in_a_row_turn_cold_without_notice(self):
        """Guards against a server that has become cold but still reports ready."""
        ramp = WarmUp(COLD_TOKENS, FULL_TOKENS)
        for _ in range(FAILURES_TO_COLD - 1):
            ramp.record_failure(1.0)
        ramp.record_success(100, True, 1.0)
        for _ in range(FAILURES_TO_COLD - 1):
            ramp.record_failure(1.0)
        self.assertFalse(ramp.cold)
        ramp.record_failure(1.0)
        self.assertTrue(ramp.cold)

    def test_a_fall_of_the_rate_turns_cold_once(self):
        """Guards against a server that becomes cold without a restart or a report."""
        ramp = WarmUp(COLD_TOKENS, FULL_TOKENS)
        self.assertFalse(ramp.record_rate(20_000.0, 1.0))
        self.assertTrue(ramp.record_rate(10_000.0, 2.0))
        for step in range(200):
            ramp.record_success(2_000, True, float(step))
            self.assertFalse(ramp.record_rate(10_000.0, float(step)))
        self.assertFalse(ramp.cold)
