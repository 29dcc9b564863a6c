"""Tests of the retry budget."""

import unittest

from ..retry import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Guards against retry storms that multiply the load of a failing fleet."""

    def test_retries_stay_a_fraction_of_requests(self):
        budget = RetryBudget(fraction=0.1, window_s=10.0, reserve=3.0)
        allowed = 0
        for step in range(10_000):
            now_s = step * 0.01
            budget.record_request(now_s)
            allowed += budget.allow(now_s)
        # 100 s with 100 requests/s; the reserve refills once per window.
        self.assertLessEqual(allowed, 0.1 * 10_000 + 3.0 * 11)
        self.assertGreater(allowed, 0.05 * 10_000)

    def test_no_burst_after_the_requests_stop(self):
        budget = RetryBudget(fraction=0.1, window_s=10.0, reserve=0.0)
        for _ in range(1000):
            budget.record_request(0.0)
        self.assertFalse(budget.allow(200.0))

    def test_a_quiet_node_can_retry(self):
        budget = RetryBudget(reserve=3.0)
        self.assertEqual([budget.allow(0.0) for _ in range(4)], [True] * 3 + [False])
        self.assertTrue(budget.allow(60.0))

    def test_time_that_goes_back_adds_nothing(self):
        budget = RetryBudget(reserve=1.0)
        self.assertTrue(budget.allow(100.0))
        self.assertFalse(budget.allow(0.0))
        self.assertFalse(budget.allow(100.0))
