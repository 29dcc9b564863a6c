"""Tests of the fleet simulation and of the placement policies' results in it."""

import heapq
import itertools
import math
import unittest

from ..bench.fleet import (
    DEFAULT_TIMING,
    ENGRAVERS,
    FleetSimulation,
    LoadKind,
    NamedLimit,
)
from ..bench.fleet_engine import EngineRequest, FleetEngine, split_prompt
from ..bench.fleet_experiments import (
    POLICIES,
    Comparison,
    compare,
    format_comparisons,
    scale_load,
)

SEEDS = (1, 2)
BASELINES = ("round robin", "least requests", "power of two choices")
DEFAULT_POLICY = "packed (today)"


class EventQueue:
    """Event loop in virtual time."""

    def __init__(self):
        self._events = []
        self._order = itertools.count()

    def schedule(self, at_s, action):
        """Schedule an action."""
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(self):
        """Run all scheduled actions in order of time."""
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            action(at_s)


class EngineTest(unittest.TestCase):
    """Guards against an engine model that is more optimistic than the engines."""

    def setUp(self):
        self.event_queue = EventQueue()
        self.events = {}

    def _engine(self, name: str = "e0") -> FleetEngine:
        return FleetEngine(name, DEFAULT_TIMING, self.event_queue.schedule)

    def _run(
        self, name: str, prompt: int, output: int, parts: int = 1
    ) -> EngineRequest:
        run = EngineRequest(name, prompt, output, parts, prompt // parts)
        self.events[name] = []
        run.on_event = lambda now_s, last: self.events[name].append((now_s, last))
        return run

    def test_idle(self):
        """Guards against a time to first event that differs from the prefill time.

        On an idle engine nothing else may delay the first event.
        """
        run = self._run("a", 2000, 1)
        self._engine().offer(run, split_prompt(DEFAULT_TIMING, run, 1)[0], 0.0)
        self.event_queue.run()
        ((first_event_s, last),) = self.events["a"]
        least_s = 2000 / 177_000
        self.assertGreater(first_event_s, least_s)
        self.assertLess(first_event_s, 1.2 * least_s + DEFAULT_TIMING.step_s)
        self.assertTrue(last)

    def test_iteration(self):
        """Guards against events before the end of an iteration of 51 steps."""
        run = self._run("a", 100, 103)
        self._engine().offer(run, split_prompt(DEFAULT_TIMING, run, 1)[0], 0.0)
        self.event_queue.run()
        times = [at_s for at_s, _ in self.events["a"]]
        self.assertEqual(len(times), 3)
        self.assertGreaterEqual(times[2] - times[1], 51 * DEFAULT_TIMING.step_s)

    def test_prefill_delays_decodes(self):
        """Guards against a long prefill that does not delay concurrent decodes."""
        engine = self._engine()
        short = self._run("a", 100, 511)
        long = self._run("b", 90_000, 1)
        engine.offer(short, split_prompt(DEFAULT_TIMING, short, 1)[0], 0.0)
        engine.offer(long, split_prompt(DEFAULT_TIMING, long, 1)[0], 0.01)
        self.event_queue.run()
        times = [at_s for at_s, _ in self.events["a"]]
        pauses = [b - a for a, b in itertools.pairwise(times)]
        self.assertGreater(max(pauses), 90_000 / 177_000)

    def test_slots(self):
        """Guards against more concurrent requests than the engine has slots."""
        engine = self._engine()
        names = [f"r{n}" for n in range(DEFAULT_TIMING.slots + 1)]
        for name in names:
            run = self._run(name, 100, 51 * 4 + 1)
            engine.offer(run, split_prompt(DEFAULT_TIMING, run, 1)[0], 0.0)
        self.event_queue.run()
        first = {name: self.events[name][0][0] for name in names}
        ends = [self.events[name][-1][0] for name in names[:-1]]
        self.assertGreaterEqual(first[names[-1]], min(ends))

    def test_split(self):
        """Guards against a split prefill without speed-up or with too large a one."""
        run = self._run("a", 300_000, 1, 4)
        engines = [self._engine(f"e{n}") for n in range(4)]
        parts = split_prompt(DEFAULT_TIMING, run, 4)
        for engine, part in zip(engines[1:], parts[1:], strict=True):
            self.assertTrue(engine.offer_helper_part(part, 0.0))
        engines[0].offer(run, parts[0], 0.0)
        self.event_queue.run()
        ((first_event_s, _),) = self.events["a"]
        alone_s = DEFAULT_TIMING.prefill_s(300_000)
        self.assertGreater(first_event_s, alone_s / 4.5)
        self.assertLess(first_event_s, alone_s / 3)

    def test_newest_part_first(self):
        """Guards against helper parts that are not prefilled newest first.

        Benchmarks have shown that the engines prefill them in that order.
        """
        engine = self._engine()
        for name in ("a", "b", "c"):
            run = self._run(name, 40_000, 1)
            engine.offer_helper_part(split_prompt(DEFAULT_TIMING, run, 1)[0], 0.0)
        self.event_queue.run()
        # The iteration that prefills "a" has begun when "b" and "c" arrive.
        self.assertLess(self.events["c"][0][0], self.events["b"][0][0])


class PolicyTest(unittest.TestCase):
    """Guards against a default policy that performs worse than the baselines.

    The load alternates between mostly long and mostly short prompts, as in the
    users' daily load pattern.
    """

    @classmethod
    def setUpClass(cls):
        """Simulate the load with the same seeds under each policy."""
        names = (*BASELINES, DEFAULT_POLICY, "packed, 1 parts at most")
        cls.played = {name: compare("engravers", name, SEEDS) for name in names}

    def test_baselines(self):
        """Guards against a baseline that earns as much, in total or for one kind."""
        for name in BASELINES:
            for kind in ("all", "short", "long"):
                with self.subTest(policy=name, kind=kind):
                    today = self.played[DEFAULT_POLICY].worth[kind]
                    self.assertGreater(today, self.played[name].worth[kind])

    def test_split(self):
        """Guards against split prefill that does not speed up long prompts."""
        unsplit = self.played["packed, 1 parts at most"]
        self.assertGreater(
            self.played[DEFAULT_POLICY].worth["long"], unsplit.worth["long"]
        )
        self.assertLess(self.played[DEFAULT_POLICY].long_p90_s, unsplit.long_p90_s)

    def test_short_beside_long(self):
        """Guards against head-of-line blocking of short prompts by long ones."""
        short = ENGRAVERS.kinds[0]
        self.assertLess(self.played[DEFAULT_POLICY].short_median_s, short.target_s / 2)
        self.assertLess(self.played[DEFAULT_POLICY].short_p99_s, short.target_s)

    def test_long_prompts_finish(self):
        """Guards against long prompts that miss their deadline."""
        outcomes = FleetSimulation(ENGRAVERS, POLICIES[DEFAULT_POLICY](), 3).run()
        for each in outcomes:
            if each.kind.name == "long":
                self.assertLess(each.last_event_s - each.sent_s, each.kind.deadline_s)


class LimitTest(unittest.TestCase):
    """Guards against placement that breaks the rate limits of engines."""

    def _run(self, seed: int, limits: dict[str, NamedLimit]) -> FleetSimulation:
        policy = POLICIES[DEFAULT_POLICY]()
        simulation = FleetSimulation(ENGRAVERS, policy, seed, limits)
        simulation.run()
        return simulation

    def _check(self, simulation: FleetSimulation, limits: dict[str, NamedLimit]):
        for name, limit in limits.items():
            times = simulation.arrivals[name]
            for end_s in times:
                if limit.start_s + 4.0 <= end_s < limit.end_s:
                    count = sum(end_s - 4.0 <= at_s <= end_s for at_s in times)
                    self.assertLessEqual(count, 6 * limit.per_s + 5, (name, end_s))

    def test_some_engines(self):
        """Guards against packing on engines that name a limit."""
        limits = {f"e{number}": NamedLimit(1.2, 8.0, 30.0) for number in range(4)}
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = self._run(seed, limits)
                self._check(simulation, limits)
                short = ENGRAVERS.kinds[0]
                late = [
                    each.met_targets
                    for each in simulation.outcomes
                    if each.kind is short
                ].count(False)
                self.assertLess(late, 0.05 * len(simulation.outcomes))

    def test_all_engines(self):
        """Guards against prompts that no engine serves if all name limits."""
        limits = {f"e{number}": NamedLimit(2.5, 8.0) for number in range(18)}
        simulation = self._run(1, limits)
        self._check(simulation, limits)
        served = [each.last_event_s < math.inf for each in simulation.outcomes]
        self.assertGreater(served.count(True), 0.95 * len(served))


class TableTest(unittest.TestCase):
    """Guards against wrong values in the comparison table."""

    def test_table(self):
        """Guards against requests without any event that appear to be served."""
        worth = {"all": 0.5, "short": 0.25}
        text = format_comparisons(
            [Comparison("f", "p", 1, worth, 0.1, float("inf"), 2.0)]
        )
        self.assertIn("| f | p | 0.500 | 0.250 | 0.000 | 0.000 |", text)
        self.assertIn("| 0.10 s | none | 2.00 s |", text)

    def test_scale(self):
        """Guards against a load factor that scales durations instead of rates."""
        doubled = scale_load(ENGRAVERS, 2.0)
        self.assertEqual(doubled.phases[0], (2.0, (2.0, 2.0, 2.0)))
        self.assertIsInstance(doubled.kinds[0], LoadKind)
