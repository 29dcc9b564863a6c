"""Tests of the model check, and of ``Claims`` against its specification."""

import contextlib
import io
import unittest
from collections import Counter

from ..model.checker import ForbiddenStepError, Step, ViolationError, replay
from ..model.claims import ClaimSpecification
from ..model.program import SMALL_CHECKS, fault_checks, run_check, run_faults
from .claim_traces import record
from .test_claim import (
    ForeignRefusalClaims,
    TakeoverClaims,
    UnconfirmedDispatchClaims,
    UnconfirmedRefusalClaims,
)

TRACES = 500
VARIANT_SEEDS = 300


def traces_of(seeds, claims_class=None):
    """Yield the traces of schedules as pairs of number of attempts and steps."""
    for seed in seeds:
        options = {} if claims_class is None else {"claims_class": claims_class}
        traces, _ = record(seed, **options)
        for attempts, trace in traces:
            yield seed, attempts, trace


def is_refused(attempts, trace):
    """Return whether the specification refuses a trace."""
    try:
        replay(ClaimSpecification(attempts), trace)
    except (ForbiddenStepError, ViolationError):
        return True
    return False


class SearchTest(unittest.TestCase):
    def test_small_bounds(self):
        """Guards against a specification that violates its properties."""
        with contextlib.redirect_stdout(io.StringIO()):
            results = [run_check(check) for check in SMALL_CHECKS]
        for check, result in zip(SMALL_CHECKS, results, strict=True):
            with self.subTest(check=check.name):
                self.assertTrue(result.complete)
                self.assertIsNone(result.violation)

    def test_seeded_faults(self):
        """Guards against properties that hold whatever the protocol does."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertTrue(run_faults())
        for check in fault_checks():
            self.assertRegex(output.getvalue(), f"{check.name}: .*\\n     1\\. ")


class TraceTest(unittest.TestCase):
    def test_claims_follow_the_specification(self):
        """Guards against code and specification that drift apart."""
        names = Counter()
        replayed = seed = 0
        while replayed < TRACES:
            for _, attempts, trace in traces_of([seed]):
                with self.subTest(seed=seed):
                    replay(ClaimSpecification(attempts), trace)
                names.update(f"{step.name} {step.detail}" for step in trace)
                replayed += 1
            seed += 1
        for name in ("apply refuse own", "apply record", "answer not_run", "execute "):
            self.assertGreater(names[name], 10, name)

    def test_forbidden_steps_are_refused(self):
        """Guards against a replay that accepts any trace."""
        trace = [
            Step("send", 0, "insert"),
            Step("apply", 0, "insert"),
            Step("confirmed", 0, "insert"),
            Step("begin", 0),
            Step("dispatch", 0),
            Step("execute", 0),
            Step("send", 0, "record"),
            Step("answer", 0, "completed"),
        ]
        replay(ClaimSpecification(1), trace)
        for index in range(len(trace) - 1):
            with self.subTest(left_out=str(trace[index])):
                without = trace[:index] + trace[index + 1 :]
                self.assertTrue(is_refused(1, without))
        for again in (Step("begin", 0), Step("dispatch", 0), Step("execute", 0)):
            with self.subTest(again=str(again)), self.assertRaises(ForbiddenStepError):
                replay(ClaimSpecification(1), [*trace, again])

    def test_traces_of_faulty_claims_are_refused(self):
        """Guards against traces that leave out the steps that matter."""
        for variant in (
            UnconfirmedDispatchClaims,
            UnconfirmedRefusalClaims,
            TakeoverClaims,
            ForeignRefusalClaims,
        ):
            with self.subTest(variant=variant.__name__):
                traces = traces_of(range(VARIANT_SEEDS), variant)
                self.assertTrue(any(is_refused(n, trace) for _, n, trace in traces))
