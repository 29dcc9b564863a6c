"""Tests of the traces, the replay and the ``bench`` command."""

import argparse
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from ..bench import program, traces
from ..bench.engine import BENCH_SETTINGS
from ..bench.engine_capacity import measure_requests_per_s
from ..bench.experiments import Setup
from ..bench.replay import Fault, Replay, engine_names
from ..bench.report import ExpectedOutcome, Result, format_outcomes, read_outcomes

SMALL = traces.Deployment(
    "small", ("dentists", "engravers"), ("dc1", "dc2", "dc3"), engines=6, nodes=3
)
RATE = 8.0


def replay(policy="cost_aware", *, rate=RATE, duration_s=30.0, seed=1, **options):
    """Replay a generated trace on the small deployment."""
    trace = traces.generate(SMALL, rate, duration_s, seed, max_prompt_tokens=300_000)
    return Replay(trace, SMALL, policy, seed, **options).run()


class TraceTest(unittest.TestCase):
    def test_shape(self):
        """Guards against generated traces that are lighter than required."""
        trace = traces.generate(traces.DEPLOYMENTS["dentists"], 50.0, 600.0, 1)
        prompts = [each.prompt_tokens for each in trace]
        long = sum(each.long for each in trace) / len(trace)
        self.assertAlmostEqual(long, 0.02, delta=0.004)
        self.assertGreaterEqual(min(prompts), 1_000)
        self.assertLessEqual(max(prompts), 1_000_000)
        self.assertGreater(max(prompts), 500_000)
        self.assertAlmostEqual(len(trace) / 600.0, 50.0, delta=2.0)

    def test_round_trip(self):
        """Guards against a trace that changes when it is written and read."""
        trace = traces.generate(SMALL, 5.0, 20.0, 1)
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "trace.jsonl"
            traces.write(trace, path)
            self.assertEqual(traces.read(path), trace)

    def test_bad_line_is_named(self):
        """Guards against replaying part of a malformed trace."""
        good = '{"arrival_s": 1, "member": "a", "organisation": "o", "kind": "note", '
        lines = [
            good + '"prompt_tokens": 10, "output_tokens": 5}',
            good + '"prompt_tokens": "10", "output_tokens": 5}',
        ]
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "trace.jsonl"
            path.write_text("\n".join(lines))
            with self.assertRaisesRegex(traces.TraceError, "line 2"):
                traces.read(path)


class ReplayTest(unittest.TestCase):
    def assert_all_answered(self, result):
        for record in result.records:
            answers = (record.finished_s, record.failed_s, record.rejected_s)
            self.assertEqual(sum(each is not None for each in answers), 1, record)
            if record.failed_s is not None:
                self.assertLessEqual(record.failed_s, record.deadline_s + 0.01)

    def test_every_request_has_one_answer(self):
        """Guards against requests with no outcome or more than one."""
        for policy in ("round_robin", "least_requests", "power_of_two", "cost_aware"):
            with self.subTest(policy=policy):
                self.assert_all_answered(replay(policy))

    def test_same_seed_same_result(self):
        """Guards against results that cannot be reproduced with the same seed."""
        first, second = replay(), replay()
        self.assertEqual(
            [each.finished_s for each in first.records],
            [each.finished_s for each in second.records],
        )

    def test_overload_answers_every_request(self):
        """Guards against requests without an outcome when the queues are full."""
        self.assert_all_answered(replay(rate=60.0, duration_s=20.0))

    def test_drained_data_centre_gets_no_new_work(self):
        """Guards against requests sent to a data centre 3 s after it is drained."""
        faults = [
            Fault(10.0, "drain", data_centre="dc1"),
            Fault(20.0, "return", data_centre="dc1"),
        ]
        result = replay(faults=faults)
        centres = engine_names(SMALL)
        drained = {name for name in centres if centres[name] == "dc1"}
        attempts = [
            at_s
            for record in result.records
            for at_s, engine in record.attempts
            if engine in drained
        ]
        self.assertFalse([at_s for at_s in attempts if 13.0 <= at_s < 20.0])
        self.assertTrue([at_s for at_s in attempts if at_s > 22.0])
        self.assertFalse([each for each in result.records if each.failed_s])

    def test_cold_engines_stay_within_their_bound(self):
        """Guards against a thundering herd of all nodes on a restarted engine."""
        cold = ("engine-0", "engine-1")
        faults = [Fault(10.0, "cold", engines=cold)]
        result = replay(rate=12.0, faults=faults, duration_s=40.0)
        self.assert_all_answered(result)
        # At this load a cold engine crashes at once, which tells the nodes.
        for name in cold:
            self.assertEqual(result.engines[name].model.crashes, 1)
            self.assertEqual(result.engines[name].max_excess_tokens(), 0)
        late = {
            name for each in result.records for at_s, name in each.attempts if at_s > 20
        }
        self.assertLessEqual(set(cold), late)

    def test_silently_cold_engines_do_not_crash(self):
        """Guards against overloading a cold engine whose load report says ready."""
        cold = ("engine-0", "engine-1")
        faults = [Fault(10.0, "cold", engines=cold)]
        result = replay(rate=4.0, faults=faults, duration_s=40.0)
        self.assert_all_answered(result)
        crashes = sum(result.engines[name].model.crashes for name in cold)
        self.assertEqual(crashes, 0)

    def test_resumed_requests_finish(self):
        """Guards against streams that are lost when their engine restarts."""
        engines = tuple(engine_names(SMALL))[:3]
        result = replay(rate=12.0, faults=[Fault(15.0, "cold", engines=engines)])
        resumed = [each for each in result.records if each.received_tokens]
        self.assertTrue(resumed)
        self.assertTrue(all(each.finished_s is not None for each in resumed))

    def test_nodes_do_not_all_pick_one_engine(self):
        """Guards against herding: nodes that pick the same engine on stale reports."""
        result = replay(rate=12.0)
        counts = dict.fromkeys(result.engines, 0)
        for record in result.records:
            if record.request.short:
                for _, engine in record.attempts:
                    counts[engine] += 1
        mean = sum(counts.values()) / len(counts)
        self.assertLess(max(counts.values()), 2 * mean)

    def test_load_is_a_fraction_of_the_measured_capacity(self):
        """Guards against experiments that run at a lower load than configured."""
        setup = Setup(SMALL, "cost_aware", 0.7, 1)
        expected = 0.7 * 6 * measure_requests_per_s(BENCH_SETTINGS)
        self.assertAlmostEqual(setup.requests_per_s, expected)


class ProgramTest(unittest.TestCase):
    def parse(self, *argv):
        parser = argparse.ArgumentParser()
        program.add_arguments(parser.add_subparsers())
        return parser.parse_args(["bench", "--quiet", *argv])

    def run_bench(self, *argv) -> int:
        streams = io.StringIO()
        with contextlib.redirect_stdout(streams), contextlib.redirect_stderr(streams):
            return self.parse(*argv).run(self.parse(*argv))

    def test_missed_outcome_fails(self):
        """Guards against an exit code of 0 when an expected outcome is missed."""
        result = {
            "scenario": "steady",
            "policy": "cost_aware",
            "load": 0.7,
            "seed": 1,
            "figures": {"failed": 2.0},
        }
        outcome = {
            "scenario": "steady",
            "policy": "cost_aware",
            "load": 0.7,
            "figure": "failed",
            "statistic": "worst",
        }
        with tempfile.TemporaryDirectory() as directory:
            results, outcomes = (Path(directory) / name for name in ("r", "o"))
            results.write_text(json.dumps([result]))
            for limit, code in ((2.0, 0), (1.0, 1)):
                outcomes.write_text(json.dumps([outcome | {"at_most": limit}]))
                argv = ("--results", str(results), "--outcomes", str(outcomes))
                self.assertEqual(self.run_bench(*argv), code)
            outcomes.write_text(json.dumps([outcome]))
            self.assertEqual(self.run_bench(*argv), 2)

    def test_outcome_without_values_is_missed(self):
        """Guards against an expected outcome that is met without any run."""
        outcome = ExpectedOutcome("drain", "cost_aware", 0.6, "failed", "worst", 0.0)
        results = [Result("steady", "cost_aware", 0.6, 1, {"failed": 0.0})]
        self.assertFalse(format_outcomes(results, [outcome])[1])

    def test_stated_outcomes_of_the_repository_are_valid(self):
        """Guards against an outcomes file of the repository that is malformed."""
        path = Path(__file__).parent.parent / "bench" / "outcomes.json"
        self.assertGreater(len(read_outcomes(path)), 10)
