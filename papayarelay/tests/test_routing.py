"""Tests of the routing policies."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from ..cost import Cost
from ..routing import (
    LONG_TOKENS,
    MAX_LONG_FRACTION,
    POLICIES,
    BackendView,
    CostAware,
    assign_homes,
    choose,
    engine_priority,
)

SHORT = Cost(2_000, 200)
LONG = Cost(200_000, 500)
IDLE = BackendView(
    "e", "a", "engine", ("m",), kv_capacity_tokens=450_000, prefill_tokens_per_s=2e4
)


def fleet(count: int, **changes) -> list[BackendView]:
    """Return idle engines with some fields changed."""
    return [replace(IDLE, id=f"e{index}", **changes) for index in range(count)]


class ChooseTest(unittest.TestCase):
    """Guards against policies that fail with no or one backend server."""

    def test_empty_and_single(self):
        view = BackendView("e1", "a", "engine", ("m",))
        for name, policy in POLICIES.items():
            with self.subTest(policy=name):
                rng = random.Random(1)
                self.assertIsNone(choose(policy(), Cost(1, 1), [], 0.0, rng))
                self.assertIs(choose(policy(), Cost(1, 1), [view], 0.0, rng), view)


class CostAwareTest(unittest.TestCase):
    def choose_all(self, cost, views, count=300):
        rng = random.Random(1)
        chosen = (choose(CostAware(), cost, views, 0.0, rng) for _ in range(count))
        return Counter(view.id for view in chosen if view is not None)

    def test_nodes_with_the_same_reports_spread(self):
        """Guards against herding: all nodes choose one engine on equal load reports."""
        views = fleet(10)
        views[3] = replace(views[3], queued_prefill_tokens=0)
        counts = self.choose_all(SHORT, views)
        self.assertEqual(len(counts), 10)
        self.assertLess(max(counts.values()), 60)

    def test_a_burst_of_one_node_spreads(self):
        """Guards against a burst to one engine until the next load report arrives."""
        views = fleet(5)
        rng = random.Random(1)
        for _ in range(50):
            view = choose(CostAware(), SHORT, views, 0.0, rng)
            index = views.index(view)
            views[index] = replace(
                view,
                own_inflight=view.own_inflight + 1,
                sent_prefill_tokens=view.sent_prefill_tokens + 2_000,
                own_prefill_by_size=(view.own_prefill_by_size[0] + 2_000, 0, 0),
            )
            if min(each.own_inflight for each in views) >= 1:
                break
        self.assertLessEqual(max(each.own_inflight for each in views), 2)

    def test_short_requests_avoid_a_long_prefill(self):
        """Guards against short requests beside a long prefill while others are idle."""
        views = fleet(4)
        views[0] = replace(views[0], queued_prefill_tokens=300_000)
        self.assertNotIn("e0", self.choose_all(SHORT, views))

    def test_a_long_queue_does_not_hold_back_short_requests(self):
        """Guards against queueing short requests for prefills that they overtake."""
        views = fleet(3, queued_prefill_tokens=400_000)
        self.assertEqual(sum(self.choose_all(SHORT, views, 10).values()), 10)

    def test_long_prompts_leave_engines_to_short_ones(self):
        """Guards against long prefills on all engines at once."""
        views = fleet(20)
        busy = set()
        rng = random.Random(1)
        for _ in range(100):
            view = choose(CostAware(), LONG, views, 0.0, rng)
            if view is None:
                break
            busy.add(view.id)
            index = views.index(view)
            views[index] = replace(view, queued_prefill_tokens=200_000)
        self.assertIsNone(view)
        self.assertLessEqual(len(busy), round(20 * MAX_LONG_FRACTION))
        self.assertGreater(len(busy), 1)

    def test_the_set_for_long_prompts_does_not_depend_on_the_order(self):
        """Guards against nodes that use different engines for long prompts."""
        views = fleet(20)
        self.assertEqual(
            set(self.choose_all(LONG, views)), set(self.choose_all(LONG, views[::-1]))
        )

    def test_a_cold_engine_gets_no_more_than_its_bound(self):
        """Guards against overloading a cold engine beyond its token bound."""
        view = replace(IDLE, own_tokens_limit=4_096, own_tokens=2_000)
        rng = random.Random(1)
        self.assertIs(choose(CostAware(), Cost(2_000, 96), [view], 0.0, rng), view)
        self.assertIsNone(choose(CostAware(), Cost(2_000, 97), [view], 0.0, rng))
        banned = replace(IDLE, own_tokens_limit=0)
        self.assertIsNone(choose(CostAware(), Cost(1, 1), [banned], 0.0, rng))

    def test_memory_is_kept_for_short_requests(self):
        """Guards against long prompts that fill the whole KV cache of an engine."""
        view = replace(IDLE, kv_used_tokens=350_000)
        rng = random.Random(1)
        self.assertIsNone(choose(CostAware(), Cost(80_000, 1), [view], 0.0, rng))
        self.assertIs(choose(CostAware(), SHORT, [view], 0.0, rng), view)

    def test_unusable_engines_get_nothing(self):
        """Guards against new requests to a drained, leaving or failed engine."""
        for state in ("drained", "leaving", "down"):
            self.assertFalse(self.choose_all(SHORT, fleet(2, state=state)))

    def test_cached_prefixes_are_preferred(self):
        """Guards against recomputing a prefix that another engine has cached."""
        views = fleet(5)
        views[2] = replace(views[2], cached_tokens=1_900)
        self.assertEqual(set(self.choose_all(SHORT, views)), {"e2"})

    def test_home_engines_are_spread_and_agreed(self):
        """Guards against an uneven or inconsistent assignment of home engines."""
        engines = [f"e{index}" for index in range(25)]
        nodes = [f"n{index}" for index in range(7)]
        homes = assign_homes(engines, nodes)
        counts = Counter(name for names in homes.values() for name in names)
        self.assertEqual(len(counts), 7)
        self.assertLessEqual(max(counts.values()), 8)
        self.assertTrue(all(len(set(names)) == 2 for names in homes.values()))
        self.assertEqual(homes, assign_homes(engines[::-1], nodes[::-1]))

    def test_a_busy_home_engine_is_left(self):
        """Guards against queueing on a busy home engine while others are idle."""
        views = fleet(4)
        busy = (30_000, 0, 0)
        views[0] = replace(
            IDLE,
            id="e0",
            home=True,
            own_prefill_by_size=busy,
            sent_prefill_tokens=30_000,
        )
        self.assertNotIn("e0", self.choose_all(SHORT, views))
        views[0] = replace(IDLE, id="e0", home=True)
        self.assertEqual(set(self.choose_all(SHORT, views)), {"e0"})

    def test_a_long_prompt_of_an_urgent_kind_is_not_urgent_on_the_engine(self):
        """Guards against long prompts of an urgent kind that delay short requests."""
        lengths = (1_000, 10_000, 20_000, LONG_TOKENS + 1)
        priorities = [engine_priority(0, length) for length in lengths]
        self.assertEqual(priorities, [0, 1, 1, 2])
        self.assertEqual(engine_priority(3, 1_000), 3)
