"""Tests of the engine model."""

import contextlib
import random
import unittest

from ..standins.commands import LOAD_MODEL, EngineCommand
from ..standins.model import (
    DEADLINE,
    DROPPED,
    LENGTH,
    EngineModel,
    EngineRejectedError,
    EngineSettings,
    FinishEvent,
    TokenEvent,
)

MAX_STEPS = 100_000


def run_until_idle(model):
    """Step the model until it is idle; return (time, request id, event) tuples."""
    events = []
    for _ in range(MAX_STEPS):
        due_s = model.next_event_s()
        if due_s is None:
            return events
        events.extend((due_s, *event) for event in model.step(due_s))
    raise AssertionError(f"not idle after {MAX_STEPS} steps")


def finishes(events):
    """Return the finish reasons by request id."""
    return {
        key: event.reason for _, key, event in events if isinstance(event, FinishEvent)
    }


def tokens(events, request_id):
    """Return the offsets of the generated tokens of a request, in order."""
    return [
        event.offset + index
        for _, key, event in events
        if key == request_id and isinstance(event, TokenEvent)
        for index in range(event.count)
    ]


def first_token_s(events, request_id):
    """Return the time of the first event of a request."""
    return next(time_s for time_s, key, _ in events if key == request_id)


class BatchingTest(unittest.TestCase):
    def test_answers_are_whole(self):
        """Guards against missing or repeated tokens, also with merged iterations."""
        for merged in (1, 7):
            model = EngineModel(EngineSettings(merged_steps=merged))
            model.submit("a", 2_000, 50, 1, [], 0.0)
            model.submit("b", 10, 20, 1, [], 0.0, resume_from=5)
            model.submit("c", 10, 20, 1, [], 0.0, resume_from=20)
            events = run_until_idle(model)
            self.assertEqual(tokens(events, "a"), list(range(50)))
            self.assertEqual(tokens(events, "b"), list(range(5, 20)))
            self.assertEqual(tokens(events, "c"), [])
            self.assertEqual(finishes(events), dict.fromkeys("abc", LENGTH))

    def test_priority(self):
        """Guards against an urgent request that is blocked by a long prefill."""
        model = EngineModel()
        model.submit("long", 100_000, 5, 2, [], 0.0)
        model.submit("late", 100, 5, 2, [], 0.0)
        model.submit("urgent", 100, 5, 0, [], 0.0)
        events = run_until_idle(model)
        first = [first_token_s(events, key) for key in ("urgent", "long", "late")]
        self.assertEqual(first, sorted(first))
        # The urgent request waits for the current iteration and then for its own.
        self.assertLess(first[0], 3 * (0.005 + 512 / 20_000))

    def test_long_prefill_does_not_stop_decoding(self):
        """Guards against a prefill that is not chunked and stalls decoding."""
        model = EngineModel()
        model.submit("short", 100, 20, 1, [], 0.0)
        model.submit("long", 100_000, 1, 1, [], 0.0)
        events = run_until_idle(model)
        self.assertLess(
            max(time_s for time_s, key, _ in events if key == "short"),
            first_token_s(events, "long"),
        )

    def test_memory_limit(self):
        """Guards against more running requests than the KV cache can hold."""
        model = EngineModel(EngineSettings(kv_capacity_tokens=1_000))
        for number in range(5):
            model.submit(str(number), 300, 100, 1, [], 0.0)
        report = model.load(0.0)
        self.assertEqual((report.running, report.waiting), (1, 4))
        while (due_s := model.next_event_s()) is not None:
            model.step(due_s)
            self.assertLessEqual(model.load(due_s).kv_used_tokens, 1_000)
        with self.assertRaises(EngineRejectedError) as raised:
            model.submit("huge", 1_000, 1, 1, [], due_s or 9.0)
        self.assertEqual(raised.exception.code, "memory")

    def test_deadline_frees_memory(self):
        """Guards against a request that keeps its KV cache after its end time."""
        model = EngineModel()
        model.submit("a", 1_000, 100_000, 1, [], 0.0, end_s=1.5)
        events = run_until_idle(model)
        self.assertEqual(events[-1][::2], (1.5, FinishEvent(DEADLINE)))
        self.assertEqual(model.load(2.0).kv_used_tokens, 0)

    def test_end_of_an_earlier_attempt(self):
        """Guards against a resubmitted request that ends at its old end time."""
        model = EngineModel()
        model.submit("a", 10, 100, 1, [], 0.0, end_s=0.05)
        self.assertTrue(model.cancel("a"))
        self.assertFalse(model.cancel("a"))
        model.submit("a", 10, 100, 1, [], 0.0, end_s=100.0)
        self.assertEqual(finishes(run_until_idle(model)), {"a": LENGTH})


class PrefixCacheTest(unittest.TestCase):
    def test_hit_and_eviction(self):
        """Guards against a prefix cache that is never hit or never evicted."""
        model = EngineModel(EngineSettings(kv_capacity_tokens=4_096))
        blocks = [f"a{index}" for index in range(8)]
        cached = []
        for number, prefix in enumerate((blocks, blocks, ["b"] * 12, blocks)):
            model.submit(str(number), len(prefix) * 256, 10, 1, prefix, 50.0 * number)
            events = run_until_idle(model)
            cached.append(events[-1][2].cached_tokens)
            report = model.load(50.0 * number + 49)
            self.assertEqual(report.kv_used_tokens, 0)
            self.assertLessEqual(report.kv_cached_tokens, 4_096)
        # The third request needs 3,082 of 4,096 tokens, which leaves 3 blocks.
        self.assertEqual(cached, [0, 2_047, 0, 3 * 256])

    def test_events_are_late_and_have_gaps(self):
        """Guards against cache events that are delivered without lag or gaps."""
        settings = EngineSettings(event_lag_s=5.0, event_gap=0.3)
        model = EngineModel(settings, random.Random(3))
        model.submit("a", 25_600, 1, 1, [str(block) for block in range(100)], 0.0)
        end_s = run_until_idle(model)[-1][0]
        self.assertEqual(model.cache_events(0, end_s), [])
        events = model.cache_events(0, end_s + 5.0)
        self.assertTrue(50 < len(events) < 90, len(events))
        numbers = [event.number for event in events]
        self.assertEqual(numbers, sorted(set(numbers)))
        after = numbers[10]
        self.assertEqual(model.cache_events(after, end_s + 5.0), events[11:])


class ColdStartTest(unittest.TestCase):
    settings = EngineSettings(
        starts_cold=True,
        cold_bound_tokens=1_000,
        warmup_tokens=8_000,
        restart_s=2.0,
    )

    def test_crash_when_overloaded(self):
        """Guards against a cold engine that does not crash under overload."""
        model = EngineModel(self.settings)
        boot_id = model.boot_id
        for number in range(3):
            model.submit(str(number), 600, 100, 1, [], 0.0)
        self.assertEqual(model.crashes, 1)
        self.assertNotEqual(model.boot_id, boot_id)
        dropped = dict.fromkeys("012", DROPPED)
        self.assertEqual(finishes([(0, *each) for each in model.step(0.0)]), dropped)
        with self.assertRaises(EngineRejectedError):
            model.submit("3", 600, 100, 1, [], 1.9)
        model.submit("4", 600, 100, 1, [], 2.0)
        self.assertEqual(finishes(run_until_idle(model)), {"4": LENGTH})
        self.assertEqual(model.load(99.0).state, "cold")

    def test_warms_with_work_within_the_bound(self):
        """Guards against an engine that stays cold, or warms up without work."""
        model = EngineModel(self.settings)
        now_s = 1_000.0
        self.assertEqual(model.load(now_s).state, "cold")
        for number in range(20):
            model.submit(str(number), 600, 100, 1, [], now_s)
            now_s = run_until_idle(model)[-1][0]
        self.assertEqual((model.load(now_s).state, model.crashes), ("ready", 0))

    def test_unreported_cold_start(self):
        """Guards against an unreported cold start that the load report reveals."""
        model = EngineModel()
        model.turn_cold(1.0, reported=False)
        self.assertTrue(model.is_cold)
        self.assertEqual(model.load(1.0).state, "ready")
        model.turn_cold(1.0)
        self.assertEqual(model.load(1.0).state, "cold")


class ReportTest(unittest.TestCase):
    def test_lag(self):
        """Guards against a load report without lag, or one that never catches up."""
        model = EngineModel(EngineSettings(report_lag_s=2.0))
        model.submit("a", 1_000, 100_000, 1, [], 10.0)
        for tenth in range(100, 160):
            model.step(tenth / 10)
            running = model.load(tenth / 10).running
            self.assertEqual(running, 0 if tenth < 120 else 1, tenth)
        model.cancel("a")
        self.assertEqual(model.load(16.5).running, 1)
        self.assertEqual(model.load(18.0).running, 0)


class CommandTest(unittest.TestCase):
    def test_fencing(self):
        """Guards against stale fencing tokens that pass, or fail when unchecked."""
        for checks in (True, False):
            model = EngineModel(EngineSettings(checks_fencing=checks))
            self.assertTrue(model.commands.apply(EngineCommand(LOAD_MODEL, "m", 7)))
            self.assertTrue(model.commands.apply(EngineCommand(LOAD_MODEL, "n", 7)))
            stale = model.commands.apply(EngineCommand(LOAD_MODEL, "old", 6))
            self.assertEqual(stale, not checks)
            self.assertEqual("old" in model.commands.models, not checks)


class MemoryTest(unittest.TestCase):
    """Guards against leaked KV cache that no request or hold owns."""

    SEEDS = 40
    ACTIONS = 300

    def test_all_memory_is_freed(self):
        for seed in range(self.SEEDS):
            with self.subTest(seed=seed):
                self.run_schedule(random.Random(seed))

    def run_schedule(self, rng):
        settings = EngineSettings(
            kv_capacity_tokens=20_000,
            block_tokens=64,
            merged_steps=rng.choice((1, 4)),
            starts_cold=rng.random() < 0.3,
            restart_s=0.1,
        )
        model = EngineModel(settings, rng)
        now_s, known = 0.0, ([], [])
        for number in range(self.ACTIONS):
            now_s += rng.expovariate(20.0)
            model.step(now_s)
            with contextlib.suppress(EngineRejectedError):
                self.act(model, rng, str(number), now_s, known)
            report = model.load(now_s)
            total = report.kv_used_tokens + report.kv_cached_tokens
            self.assertLessEqual(total, settings.kv_capacity_tokens)
            self.assertGreaterEqual(report.queued_prefill_tokens, 0)
        events = run_until_idle(model)
        end_s = max([now_s, *(event[0] for event in events)])
        report = model.load(end_s)
        left = (report.kv_used_tokens, report.queued_prefill_tokens)
        self.assertEqual(left, (0, 0))
        self.assertEqual((report.running, report.waiting), (0, 0))
        self.assertEqual(model.in_flight_tokens, 0)
        # The remaining blocks are evictable, so the whole cache can be reserved.
        blocks = [f"last-{block}" for block in range(20_000 // 64)]
        model.import_blocks(blocks, "o", end_s + 2.0, end_s + 1.0)
        self.assertEqual(model.load(end_s + 1.0).kv_used_tokens, len(blocks) * 64)
        run_until_idle(model)
        self.assertEqual(model.load(end_s + 2.0).kv_used_tokens, 0)

    def act(self, model, rng, key, now_s, known):
        """Take one random action; ``known`` holds the request ids and the hold ids."""
        requests, holds = known
        prefix = [f"{rng.randrange(4)}-{n}" for n in range(rng.randrange(60))]
        end_s = now_s + rng.uniform(-0.1, 3.0)
        match rng.choices(range(7), (8, 3, 2, 2, 2, 0.3, 0.1))[0]:
            case 0:
                prompt = len(prefix) * 64 + rng.randrange(2_000)
                most = rng.randrange(1, 200)
                options = {"resume_from": rng.randrange(most + 1)}
                if rng.random() < 0.5:
                    options["end_s"] = end_s
                priority = rng.randrange(3)
                model.submit(key, prompt, most, priority, prefix, now_s, **options)
                requests.append(key)
            case 1 if requests:
                model.cancel(rng.choice(requests))
            case 2:
                holds.append(model.export_blocks(prefix, "o", end_s, now_s).id)
            case 3:
                holds.append(model.import_blocks(prefix, "o", end_s, now_s).id)
            case 4 if holds:
                model.release(rng.choice(holds), rng.choice("oox"), now_s)
            case 5:
                model.turn_cold(now_s)
            case 6:
                model.crash(now_s)
