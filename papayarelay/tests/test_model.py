"""Tests of the model checker, and conformance of the code to its specifications."""

import contextlib
import io
import random
import unittest
from collections import Counter

from ..model.checker import ForbiddenStepError, Step, ViolationError, replay
from ..model.claims import ClaimSpecification
from ..model.program import SMALL_CHECKS, fault_checks, run_check, run_faults
from ..model.versions import VersionSpecification
from ..nodes.config_state import ConfigState
from .claim_simulation import (
    ForeignRefusalClaims,
    TakeoverClaims,
    UnconfirmedDispatchClaims,
    UnconfirmedRefusalClaims,
)
from .claim_traces import record

TRACES = 500
VARIANT_SEEDS = 300
VERSION_SEEDS = 100
EDITOR_SECTIONS = (0, 1, 0, 0, 1, 0)
EDIT_STEPS = ("read", "prepare", "send", "commit", "confirmed")


def traces_of(seeds, claims_class=None):
    """Yield seed, number of attempts and trace for each trace of the schedules."""
    for seed in seeds:
        options = {} if claims_class is None else {"claims_class": claims_class}
        traces, _ = record(seed, **options)
        for attempts, trace in traces:
            yield seed, attempts, trace


def is_rejected(attempts, trace):
    """Return whether the specification rejects a trace."""
    try:
        replay(ClaimSpecification(attempts), trace)
    except (ForbiddenStepError, ViolationError):
        return True
    return False


class SearchTest(unittest.TestCase):
    def test_small_bounds(self):
        """Guards against a specification that violates its safety properties."""
        with contextlib.redirect_stdout(io.StringIO()):
            results = [run_check(check) for check in SMALL_CHECKS]
        for check, result in zip(SMALL_CHECKS, results, strict=True):
            with self.subTest(check=check.name):
                self.assertTrue(result.complete)
                self.assertIsNone(result.violation)

    def test_seeded_faults(self):
        """Guards against properties that cannot detect a faulty protocol."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertTrue(run_faults())
        for check in fault_checks():
            self.assertRegex(output.getvalue(), f"{check.name}: .*\\n     1\\. ")


class TraceTest(unittest.TestCase):
    def test_claims_follow_the_specification(self):
        """Guards against divergence of ``Claims`` from its specification.

        Traces that are recorded under random faults are replayed in the model.
        """
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

    def test_forbidden_steps_are_rejected(self):
        """Guards against a replay that accepts missing or repeated steps."""
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
                self.assertTrue(is_rejected(1, without))
        for again in (Step("begin", 0), Step("dispatch", 0), Step("execute", 0)):
            with self.subTest(again=str(again)), self.assertRaises(ForbiddenStepError):
                replay(ClaimSpecification(1), [*trace, again])

    def test_traces_of_faulty_claims_are_rejected(self):
        """Guards against incomplete traces, in which faulty claims go undetected."""
        for variant in (
            UnconfirmedDispatchClaims,
            UnconfirmedRefusalClaims,
            TakeoverClaims,
            ForeignRefusalClaims,
        ):
            with self.subTest(variant=variant.__name__):
                traces = traces_of(range(VARIANT_SEEDS), variant)
                self.assertTrue(any(is_rejected(n, trace) for _, n, trace in traces))


class ConfigTrace:
    """Random delivery of snapshots and changes to nodes, recorded as a trace."""

    def __init__(self, seed, state_class=ConfigState):
        self.rng = random.Random(seed)
        self.state_class = state_class
        self.texts = [{}]
        self.nodes = [state_class(), state_class()]
        self.restarts = 0
        self.trace = []

    def run(self):
        """Return the specification, the trace and the final contents of the nodes."""
        for _ in range(60):
            action = self.rng.choice([self.edit, self.take, self.change, self.change])
            action()
            if self.rng.random() < 0.05:
                self.restart()
        specification = VersionSpecification(EDITOR_SECTIONS, 2, self.restarts)
        return specification, self.trace, [self.content(n) for n in self.nodes]

    def edit(self):
        editor = len(self.texts) - 1
        if editor < len(EDITOR_SECTIONS):
            self.trace += [Step(name, f"editor {editor}") for name in EDIT_STEPS]
            section = {f"s{EDITOR_SECTIONS[editor]}": {"last": editor}}
            self.texts.append({**self.texts[-1], **section})

    def take(self):
        index, version = self.rng.randrange(2), self.rng.randrange(len(self.texts))
        node = self.nodes[index]
        before = node.version
        node.replace(version, self.texts[version], 0.0)
        if node.version != before:
            self.trace.append(Step("take version", f"node {index}", str(version)))

    def change(self):
        versions = range(1, len(self.texts))
        if len(versions) < 2:
            return
        base, version = sorted(self.rng.sample(versions, 2))
        sender = ConfigState()
        sender.replace(base, self.texts[base], 0.0)
        change = sender.replace(version, self.texts[version], 0.0)
        index = self.rng.randrange(2)
        node = self.nodes[index]
        before = node.version
        node.apply(change, 0.0)
        if node.version != before:
            # Buffered changes that depend on this one are applied with it.
            detail = f"from {before} to {node.version}"
            self.trace.append(Step("apply the change", f"node {index}", detail))

    def restart(self):
        index = self.rng.randrange(2)
        if self.nodes[index].version:
            self.nodes[index] = self.state_class()
            self.restarts += 1
            self.trace.append(Step("restart", f"node {index}"))

    def content(self, node):
        texts = [node.sections.get(f"s{section}", {}) for section in range(2)]
        return tuple(text.get("last", -1) for text in texts)


class LastArrivalState(ConfigState):
    """Seeded fault: the version that arrives last is applied, even if it is older."""

    def replace(self, version, sections, now_s):
        if 0 < version < self.version:
            self.version = 0
        return super().replace(version, sections, now_s)


class ConfigTraceTest(unittest.TestCase):
    def test_config_state_follows_the_specification(self):
        """Guards against divergence of ``ConfigState`` from its specification."""
        names = Counter()
        for seed in range(VERSION_SEEDS):
            with self.subTest(seed=seed):
                specification, trace, contents = ConfigTrace(seed).run()
                names.update(step.name for step in trace)
                state = replay(specification, trace)
                self.assertEqual([node.content for node in state.nodes], contents)
        for name in ("take version", "apply the change", "restart"):
            self.assertGreater(names[name], VERSION_SEEDS // 2, name)

    def test_decreasing_version_is_rejected(self):
        """Guards against a replay that accepts a decreasing version."""
        specification, trace, _ = ConfigTrace(1, LastArrivalState).run()
        with self.assertRaises(ForbiddenStepError):
            replay(specification, trace)
