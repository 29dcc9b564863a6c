"""Tests of at-most-once claims under faults, with virtual time and small fakes.

``Schedule`` draws one fault schedule from a seed: nodes that crash or are paused,
clock offsets, store outages, lost answers and delayed effects, and servers that
refuse, execute without an answer or answer late.  Its checks are that no key is
executed twice and that every ``not_run`` and ``completed`` answer is true at the
end.  ``VariantTest`` shows that the same schedules find seeded faults.
"""

import heapq
import itertools
import random
import time
import unittest
from collections import Counter
from dataclasses import replace
from functools import partial
from unittest import mock

import greenlet
import msgspec

from .. import claim as claim_module
from ..backends.service import ServiceAnswer
from ..claim import Claim, ClaimRow, Claims, ClaimState, row_key
from ..errors import (
    BackendError,
    CheckFailedError,
    ConflictError,
    DeadlineError,
    Outcome,
    OverloadError,
    RelayError,
    RequestError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..job import JobRunner
from ..request import Request, RequestKind
from ..standins.tables import Faults, TableCheck, Tables, TablesStandIn, TableWrite
from ..store.client import Row, TableClient

SCHEDULES = 1200
KIND = RequestKind("booking", "service", idempotent=False, deadline_s=30.0)
START_WALL_S = 1.7e9
HOUR_S = 3600.0


def make_request(key="k1", now_s=0.0, body=b"{}", **changes):
    """Return a non-idempotent request with 30 s until its deadline."""
    request = Request(
        id="r1",
        member="dentists",
        organisation="stable",
        kind=KIND,
        model="",
        path="/booking",
        body=body,
        prompt_tokens=0,
        max_tokens=0,
        stream=False,
        received_s=now_s,
        deadline_s=now_s + 30.0,
        idempotency_key=key,
    )
    return replace(request, **changes)


def store_error(kind):
    """Return an error as the table client raises it."""
    return kind("fault", step="write", peer="store", outcome=Outcome.UNKNOWN)


class World:
    """Runs tasks in virtual time; each wait is a point where others run."""

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._order = itertools.count()
        self._hub = greenlet.getcurrent()

    def later(self, delay_s, action):
        event = (self.now_s + max(0.0, delay_s), next(self._order), action)
        heapq.heappush(self._events, event)

    def spawn(self, delay_s, function, node=None):
        task = greenlet.greenlet(function, parent=self._hub)
        task.node = node
        self.later(delay_s, lambda: self._resume(task))
        return task

    def wait(self, delay_s):
        task = greenlet.getcurrent()
        if task is self._hub:
            self.now_s += delay_s
            return
        self.check_alive()
        self.later(delay_s, lambda: self._resume(task))
        self._hub.switch()

    def check_alive(self):
        """End the task of a crashed node also when it handles its own end."""
        node = getattr(greenlet.getcurrent(), "node", None)
        if node is not None and node.crashed:
            raise greenlet.GreenletExit

    def run(self):
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action()

    def _resume(self, task):
        if task.dead:
            return
        node = task.node
        if node is not None:
            node.count_step()
        if node is not None and node.crashed:
            task.throw(greenlet.GreenletExit)
        elif node is not None and self.now_s < node.paused_until_s:
            self.later(node.paused_until_s - self.now_s, lambda: self._resume(task))
        else:
            task.switch()


class FakeTable:
    """Table client with a queue of fates for transactions: one word per call.

    ``ok``; ``down`` (not applied); ``lost`` (applied, no answer); ``none`` (not
    applied, no answer); a number (no answer, applied after so many seconds).
    """

    def __init__(self, world, tables, fates=(), latency_s=0.01, rng=None):
        self.world = world
        self.tables = tables
        self.fates = list(fates)
        self.latency_s = latency_s
        self.rng = rng
        self.reads = 0
        self.writes = 0

    def get(self, key, timeout_s=2.0):
        self.reads += 1
        self.world.wait(self.latency_s)
        if self.next_fate() != "ok":
            raise store_error(StoreUnavailableError)
        row = self.tables.get(key)
        return row and Row(row.key, row.value, row.version)

    def scan(self, prefix, limit, timeout_s=2.0):
        self.reads += 1
        return [Row(r.key, r.value, r.version) for r in self.tables.scan(prefix, limit)]

    def transact(self, checks, writes, timeout_s=2.0):
        self.world.check_alive()
        self.writes += 1
        fate = self.next_fate()
        if isinstance(fate, float):
            self.world.later(fate, lambda: self.commit(checks, writes))
        if fate == "down":
            self.world.wait(self.latency_s)
            raise store_error(StoreUnavailableError)
        if fate != "ok":
            self.world.wait(timeout_s / 2)
            if fate == "lost":
                self.commit(checks, writes)
            self.world.wait(timeout_s / 2)
            raise store_error(StoreOutcomeUnknownError)
        self.world.wait(min(self.latency_s, timeout_s))
        if self.latency_s > timeout_s:
            late_s = self.latency_s - timeout_s
            self.world.later(late_s, lambda: self.commit(checks, writes))
            raise store_error(StoreOutcomeUnknownError)
        version = self.commit(checks, writes)
        # The answer travels while others may already see the effect.
        self.world.wait(self.latency_s)
        if not version:
            raise store_error(CheckFailedError)
        return version

    def commit(self, checks, writes):
        if self.tables.failed_checks([TableCheck(c.key, c.version) for c in checks]):
            return 0
        return self.tables.apply([TableWrite(w.key, w.value) for w in writes])

    def next_fate(self):
        return self.fates.pop(0) if self.fates else "ok"


class Executions:
    """Service that counts executions by key; ``send`` follows a drawn fate."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.count = Counter()
        self.refusing = 0.2

    def send(self, key):
        """Return an answer; raises ConnectionRefusedError or BackendError."""
        self.world.wait(self.rng.uniform(0, 0.05))
        if self.rng.random() < self.refusing:
            raise ConnectionRefusedError
        fate = self.rng.choice(["ok", "ok", "ok", "late", "no answer", "dropped"])
        if fate == "dropped":
            self.world.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        if fate == "no answer":
            self.world.later(self.rng.uniform(0, 20), lambda: self.execute(key))
            self.world.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        self.world.wait(5.0 if fate == "late" else 0.05)
        self.execute(key)
        return f"answer to {key}".encode()

    def execute(self, key):
        self.count[key] += 1


class Node:
    """Runs requests with ``JobRunner`` against the fakes."""

    claims_class = Claims
    sends = 1
    steps = 0
    fault_step = None
    fault = None

    def count_step(self):
        """Trigger the fault of a focused test at its step."""
        self.steps += 1
        if self.steps == self.fault_step:
            self.fault(self)

    def __init__(self, world, table, service, wall_offset_s=0.0):
        self.world = world
        self.service = service
        self.crashed = False
        self.paused_until_s = 0.0
        self.wall_offset_s = wall_offset_s
        self.claims = self.claims_class(
            table,
            scopes=lambda: [("dentists", "booking")],
            writes_per_s=1000.0,
            clock=lambda: world.now_s,
            wall_clock=lambda: START_WALL_S + world.now_s + self.wall_offset_s,
            wait=world.wait,
        )
        self.jobs = JobRunner(self.claims, lambda: world.now_s)

    def answer(self, request):
        """Return the outcome and body that the caller gets."""
        try:
            reply = self.jobs.run(request, self.execute)
        except RelayError as error:
            return error.outcome, None
        return Outcome.COMPLETED, reply.body

    def execute(self, request, guard):
        for _ in range(3):
            self.world.wait(0.0)
            guard.begin()
            try:
                return ServiceAnswer(200, "text/plain", self.send(request))
            except ConnectionRefusedError:
                guard.undo()
        raise BackendError("refused", step="call", peer="s")

    def send(self, request):
        for attempt in range(self.sends):
            try:
                return self.service.send(request.idempotency_key)
            except BackendError:
                if attempt + 1 == self.sends:
                    raise
        return None


class RandomTable(FakeTable):
    """Draws the fate of each call; ``outages`` are time spans without answers."""

    def __init__(self, world, tables, rng, outages):
        super().__init__(world, tables)
        self.rng = rng
        self.outages = outages
        self.trouble = rng.choice([0.0, 0.1, 0.4])

    def next_fate(self):
        self.latency_s = self.rng.choice([0.001, 0.01, 0.01, 0.5])
        out = any(start <= self.world.now_s < end for start, end in self.outages)
        if not out and self.rng.random() >= self.trouble:
            return "ok"
        late_s = self.rng.uniform(0, 15)
        return self.rng.choice(
            ["down", "none", "lost", late_s] if not out else ["down", "none", late_s]
        )


class Schedule:
    """One random fault schedule."""

    def __init__(self, seed, node_class=Node):
        self.rng = random.Random(seed)
        self.world = World()
        self.tables = Tables()
        self.service = Executions(self.world, self.rng)
        self.service.refusing = self.rng.choice([0.0, 0.2, 0.8])
        self.answers = []
        outages = [self.draw_outage() for _ in range(self.rng.randrange(3))]
        self.nodes = [
            self.draw_node(node_class, outages) for _ in range(self.rng.choice([2, 3]))
        ]

    def draw_outage(self):
        start_s = self.rng.uniform(0, 20)
        return start_s, start_s + self.rng.choice([0.3, 3, 30])

    def draw_node(self, node_class, outages):
        table = RandomTable(self.world, self.tables, self.rng, outages)
        offset_s = self.rng.uniform(-8, 8)
        return node_class(self.world, table, self.service, offset_s)

    def run(self):
        """Run the schedule; return the violations found."""
        for index in range(self.rng.choice([1, 2, 4])):
            self.plan_key(f"k{index}")
        for node in self.nodes:
            self.plan_node_faults(node)
        self.world.run()
        return self.violations()

    def plan_key(self, key):
        at_s = self.rng.choice([0.0, self.rng.uniform(0, 20)])
        for _ in range(self.rng.randrange(1, 6)):
            # Duplicates arrive at the same moment or as later repeats.
            gap_s = self.rng.choice([0.0, 0.0, 0.02, self.rng.uniform(0, 40)])
            node = self.rng.choice(self.nodes)
            body = b"{}" if self.rng.random() < 0.95 else b"other"
            allowed_s = self.rng.choice([0.5, 5.0, 30.0])
            refuse = self.rng.random() < 0.1
            self.world.spawn(
                at_s + gap_s,
                lambda n=node, b=body, a=allowed_s, r=refuse: self.call(
                    n, key, b, a, r
                ),
                node,
            )

    def plan_node_faults(self, node):
        for _ in range(self.rng.randrange(3)):
            length_s = self.rng.choice([1.0, 20.0, 2 * HOUR_S])
            self.world.later(
                self.rng.uniform(0, 25), partial(self.pause, node, length_s)
            )
        if self.rng.random() < 0.3:
            self.world.later(self.rng.uniform(0, 30), lambda: self.crash(node))
        for _ in range(2):
            sweep_s = self.rng.uniform(0, 20 * HOUR_S)
            self.world.spawn(sweep_s, lambda: self.sweep(node), node)

    def call(self, node, key, body, allowed_s, refuse):
        now_s = self.world.now_s
        request = make_request(key, now_s, body, deadline_s=now_s + allowed_s)
        if refuse:
            self.answers.append((key, node.claims.refuse(request, now_s), None))
        else:
            self.answers.append((key, *node.answer(request)))

    def sweep(self, node):
        try:
            while not node.claims.sweep(self.world.now_s, 0, 1).done:
                self.world.wait(1.0)
        except StoreError:
            pass

    def pause(self, node, length_s):
        node.paused_until_s = self.world.now_s + length_s

    def crash(self, node):
        node.crashed = True

    def violations(self):
        count = self.service.count
        found = [f"{key} ran {n} times" for key, n in count.items() if n > 1]
        for key, outcome, body in self.answers:
            if outcome is Outcome.NOT_RUN and count[key]:
                found.append(f"{key} answered not_run and ran")
            if outcome is Outcome.COMPLETED and not count[key]:
                found.append(f"{key} answered completed and did not run")
            if outcome is Outcome.COMPLETED and body != f"answer to {key}".encode():
                found.append(f"{key} answered with another body")
        return found


class ScheduleTest(unittest.TestCase):
    def test_random_fault_schedules(self):
        """Guards against a second execution and against false answers."""
        outcomes = Counter()
        executed = 0
        for seed in range(SCHEDULES):
            schedule = Schedule(seed)
            self.assertEqual(schedule.run(), [], f"seed {seed}")
            outcomes.update(outcome for _, outcome, _ in schedule.answers)
            executed += sum(schedule.service.count.values())
        # Without many answers of each kind the checks above say little.
        for outcome in Outcome:
            self.assertGreater(outcomes[outcome], SCHEDULES / 10, outcomes)
        self.assertGreater(executed, SCHEDULES / 10)


class ReliableService(Executions):
    """Executes each request that is sent after 0.1 s."""

    def send(self, key):
        self.world.wait(0.1)
        self.execute(key)
        return f"answer to {key}".encode()


class ClaimCase(unittest.TestCase):
    """Gives a test a world, three nodes and a service without faults."""

    def setUp(self):
        self.build()

    def build(self):
        self.world = World()
        self.rows = Tables()
        self.service = ReliableService(self.world, random.Random(1))
        self.nodes = [
            Node(self.world, FakeTable(self.world, self.rows), self.service)
            for _ in range(3)
        ]
        self.answers = {}

    def table(self, node=0):
        return self.nodes[node].claims._table

    def ask(self, at_s, node, name, **changes):
        """Send a request to a node at a time; its answer gets a name."""

        def task():
            request = make_request(now_s=self.world.now_s, **changes)
            self.answers[name] = self.nodes[node].answer(request)

        self.world.spawn(at_s, task, self.nodes[node])

    def outcome(self, name):
        return self.answers[name][0]

    def state(self, key="k1"):
        return self.nodes[2].claims.look_up("dentists", "booking", key).state


class StepTest(ClaimCase):
    def count_steps(self):
        self.build()
        self.ask(0.0, 0, "first")
        self.world.run()
        return self.nodes[0].steps

    def run_with_fault(self, step, fault):
        self.build()
        self.nodes[0].fault_step = step
        self.nodes[0].fault = fault
        self.ask(0.0, 0, "first")
        self.ask(0.005, 1, "at once")
        self.ask(60.0, 1, "repeat")
        self.world.run()
        self.assertLessEqual(self.service.count["k1"], 1)
        for outcome, _ in self.answers.values():
            if outcome is Outcome.NOT_RUN:
                self.assertEqual(self.service.count["k1"], 0)
            if outcome is Outcome.COMPLETED:
                self.assertEqual(self.service.count["k1"], 1)
        return self.outcome("repeat")

    def test_crash_at_each_step(self):
        """Guards against a repeat that runs a request of a crashed node again."""
        steps = self.count_steps()
        self.assertGreater(steps, 6)
        repeats = set()
        for step in range(1, steps + 1):
            with self.subTest(step=step):
                repeats.add(
                    self.run_with_fault(step, lambda node: setattr(node, "crashed", 1))
                )
        self.assertEqual(repeats, {Outcome.UNKNOWN, Outcome.COMPLETED})

    def test_pause_past_the_deadline_at_each_step(self):
        """Guards against a paused owner that dispatches after its deadline."""

        def pause(node):
            node.paused_until_s = self.world.now_s + 2 * HOUR_S

        for step in range(1, self.count_steps() + 1):
            with self.subTest(step=step):
                self.run_with_fault(step, pause)


class StoreFaultTest(ClaimCase):
    def test_lost_answer_to_the_insert(self):
        """Guards against giving up a claim that holds."""
        self.table().fates = ["lost"]
        self.ask(0.0, 0, "first")
        self.world.run()
        self.assertEqual(self.outcome("first"), Outcome.COMPLETED)
        self.assertEqual(self.service.count["k1"], 1)

    def test_lost_answer_to_the_record(self):
        """Guards against an outcome that is counted as unrecorded or lost."""
        self.table().fates = ["ok", "lost"]
        self.ask(0.0, 0, "first")
        self.world.run()
        self.assertEqual(self.nodes[0].claims.counts.unrecorded, 0)
        self.assertEqual(self.state(), ClaimState.COMPLETED)

    def test_insert_takes_effect_after_the_node_gave_up(self):
        """Guards against a claim row that lands late and is dispatched."""
        self.table().fates = [20.0, *["none"] * 20]
        self.ask(0.0, 0, "first")
        self.ask(25.0, 1, "repeat")
        self.world.run()
        self.assertEqual(self.outcome("first"), Outcome.UNKNOWN)
        self.assertEqual(self.outcome("repeat"), Outcome.UNKNOWN)
        self.assertEqual(self.state(), ClaimState.CLAIMED)
        self.assertEqual(self.service.count["k1"], 0)

    def test_confirmed_refusal_blocks_the_delayed_insert(self):
        """Guards against ``not_run`` for a key whose insert lands afterwards."""
        self.table().fates = [20.0, *["none"] * 20]
        self.world.later(claim_module.CLAIM_LIMIT_S, self.table().fates.clear)
        self.ask(0.0, 0, "first")
        self.ask(30.0, 1, "repeat")
        self.world.run()
        self.assertEqual(self.outcome("first"), Outcome.NOT_RUN)
        self.assertEqual(self.outcome("repeat"), Outcome.NOT_RUN)
        self.assertEqual(self.state(), ClaimState.REFUSED)
        self.assertEqual(self.service.count["k1"], 0)

    def test_own_insert_is_refused_after_the_node_gave_up(self):
        """Guards against a key that stays claimed by an attempt that gave up."""
        self.table().fates = ["lost", *["none"] * 20]
        self.world.later(claim_module.CLAIM_LIMIT_S, self.table().fates.clear)
        self.ask(0.0, 0, "first")
        self.world.run()
        self.assertEqual(self.outcome("first"), Outcome.NOT_RUN)
        self.assertEqual(self.state(), ClaimState.REFUSED)

    def test_unconfirmed_refusal_of_a_claim(self):
        """Guards against ``not_run`` while the row is still ``claimed``."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        self.table().fates = ["none"] * 20
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", self.world.now_s)
        self.assertIs(outcome, Outcome.UNKNOWN)

    def test_outage_is_answered_before_the_deadline(self):
        """Guards against holding requests while the store does not answer."""
        for fate in ("down", "none"):
            with self.subTest(fate=fate):
                self.build()
                self.table().fates = [fate] * 100
                held_s = []
                for index in range(5):
                    at_s = self.world.now_s
                    request = make_request(f"k{index}", at_s)
                    outcome, _ = self.nodes[0].answer(request)
                    self.assertEqual(outcome, Outcome.UNKNOWN)
                    held_s.append(self.world.now_s - at_s)
                self.assertLess(max(held_s), 4.0)
                self.assertEqual(held_s[3:], [0.0, 0.0])
                self.world.wait(claim_module.SUSPEND_S)
                self.table().fates = []
                outcome, _ = self.nodes[0].answer(make_request("k9", self.world.now_s))
                self.assertEqual(outcome, Outcome.COMPLETED)

    def test_short_deadlines_do_not_suspend_claims(self):
        """Guards against callers whose short deadlines stop all others."""
        self.table().latency_s = 0.6
        claims = self.nodes[0].claims
        for index in range(5):
            now_s = self.world.now_s
            request = make_request(f"k{index}", now_s, deadline_s=now_s + 1)
            self.assertIsNot(self.nodes[0].answer(request)[0], Outcome.COMPLETED)
            self.assertFalse(claims.is_suspended(self.world.now_s))
        self.assertEqual(claims.counts.store_failed, 5)

    def test_record_is_not_awaited_long_after_the_deadline(self):
        """Guards against an answer that is held back while the store is down."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        claims.begin_dispatch(claim, 29.0)
        self.world.now_s = 30.0
        self.table().fates = ["none"] * 20
        claims.finish(claim, Outcome.COMPLETED, 200, b"", 30.0)
        self.assertLess(self.world.now_s, 30.0 + claim_module.REFUSE_LIMIT_S + 0.1)
        self.assertEqual(claims.counts.unrecorded, 1)

    def test_malformed_row(self):
        """Guards against a dispatch or a sweep that fails at a row of another form."""
        key = row_key("dentists", "booking", "k1")
        self.rows.apply([TableWrite(key, b"{}")])
        outcome, _ = self.nodes[0].answer(make_request())
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertEqual(self.service.count["k1"], 0)
        while not self.nodes[0].claims.sweep(self.world.now_s, 0, 1).done:
            pass
        self.assertIsNotNone(self.rows.get(key))

    def test_slow_store(self):
        """Guards against treating a slow answer as a failure."""
        self.table().latency_s = 0.9
        self.ask(0.0, 0, "first")
        self.world.run()
        self.assertEqual(self.outcome("first"), Outcome.COMPLETED)


class RepeatTest(ClaimCase):
    def test_duplicates_at_the_same_moment(self):
        """Guards against a second execution of duplicates at several nodes."""
        for node in (0, 1, 2, 0):
            self.ask(0.0, node, len(self.world._events))
        self.world.run()
        self.assertEqual(
            set(self.answers.values()), {(Outcome.COMPLETED, b"answer to k1")}
        )
        self.assertEqual(self.service.count["k1"], 1)

    def test_polling_is_bounded(self):
        """Guards against repeats that load the store until their deadline."""
        self.nodes[0].claims.claim(make_request(), 0.0)
        before = self.table(1).reads
        self.ask(0.0, 1, "repeat", deadline_s=HOUR_S)
        self.world.run()
        self.assertEqual(self.outcome("repeat"), Outcome.UNKNOWN)
        self.assertLess(self.table(1).reads - before, 12)
        self.assertLess(self.world.now_s, claim_module.REPEAT_WAIT_S + 1)

    def test_number_of_waiting_repeats_is_bounded(self):
        """Guards against any number of repeats that poll the store at once."""
        self.nodes[0].claims.claim(make_request(), 0.0)
        repeats = 3 * claim_module.MAX_WAITING
        for index in range(repeats):
            self.ask(0.0, 1, index)
        self.world.run()
        polls = self.table(1).reads - repeats
        self.assertLess(polls, 12 * claim_module.MAX_WAITING)

    def test_another_body_or_organisation_conflicts(self):
        """Guards against an answer that belongs to another request."""
        self.nodes[0].answer(make_request())
        for changes in ({"body": b"other"}, {"organisation": "other"}):
            with self.assertRaises(ConflictError) as caught:
                self.nodes[1].claims.claim(make_request(**changes), 0.0)
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_body_limit(self):
        """Guards against rows that grow with the length of answers."""
        for size, kept in ((16 * 1024, True), (16 * 1024 + 1, False)):
            request = make_request(f"k{size}")
            claims = self.nodes[0].claims
            claim = claims.claim(request, 0.0)
            claims.begin_dispatch(claim, 0.0)
            claims.finish(claim, Outcome.COMPLETED, 200, b"x" * size, 0.0)
            recorded = claims.claim(request, 0.0)
            self.assertEqual(recorded.body_bytes, size)
            self.assertEqual(recorded.body is not None, kept)


class DispatchTest(ClaimCase):
    def test_one_dispatch_for_each_claim(self):
        """Guards against a second dispatch, and ``not_run`` after a dispatch."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        claims.begin_dispatch(claim, 0.0)
        with self.assertRaises(ConflictError):
            claims.begin_dispatch(claim, 0.0)
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", 0.0)
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertIs(self.state(), ClaimState.CLAIMED)

    def test_no_dispatch_after_the_deadline(self):
        """Guards against an owner that resumes and dispatches too late."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        with self.assertRaises(DeadlineError):
            claims.begin_dispatch(claim, 30.0)
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", 30.0)
        self.assertIs(outcome, Outcome.NOT_RUN)

    def test_claim_confirmed_after_the_deadline(self):
        """Guards against a claim that is returned when it can no longer be used."""
        transact = self.table().transact

        def pause(*arguments, **options):
            self.world.now_s += 31.0
            return transact(*arguments, **options)

        with (
            mock.patch.object(self.table(), "transact", pause),
            self.assertRaises(DeadlineError) as caught,
        ):
            self.nodes[0].claims.claim(make_request(), 0.0)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertIs(self.state(), ClaimState.REFUSED)

    def test_repeats_use_one_write(self):
        """Guards against repeats that use up the writes of first requests."""
        claims = self.nodes[0].claims
        claims.set_writes_per_s(0.0, 0.001)
        self.nodes[0].answer(make_request("k1"))
        claims.claim(make_request("k1"), 0.0)
        with self.assertRaises(OverloadError) as caught:
            claims.claim(make_request("k2"), 0.0)
        self.assertAlmostEqual(caught.exception.retry_after_s, 1000.0, delta=1.0)

    def test_refusal(self):
        """Guards against ``not_run`` for a key that another attempt may run."""
        claims = self.nodes[0].claims
        self.assertIs(claims.refuse(make_request("k1"), 0.0), Outcome.NOT_RUN)
        self.assertIs(claims.refuse(make_request("k1"), 0.0), Outcome.NOT_RUN)
        self.nodes[1].claims.claim(make_request("k2"), 0.0)
        self.assertIs(claims.refuse(make_request("k2"), 0.0), Outcome.UNKNOWN)
        self.table().fates = ["down"] * 20
        self.assertIs(claims.refuse(make_request("k3"), 0.0), Outcome.UNKNOWN)

    def test_idempotent_kinds_need_no_store(self):
        """Guards against store use by requests that need no claim."""
        kind = RequestKind("chart", "service", idempotent=True)
        claims = self.nodes[0].claims
        self.assertIs(claims.refuse(make_request(kind=kind), 0.0), Outcome.NOT_RUN)
        self.assertEqual(self.table().writes + self.table().reads, 0)

    def test_early_refusals_leave_the_store_alone(self):
        """Guards against store use by requests without a key or over the rate."""
        claims = self.nodes[0].claims
        with self.assertRaises(RequestError):
            claims.claim(make_request(idempotency_key=None), 0.0)
        claims.set_writes_per_s(0.0, 1.0)
        claims.claim(make_request("k1"), 0.0)
        claims.claim(make_request("k2"), 0.0)
        with self.assertRaises(OverloadError) as caught:
            claims.claim(make_request("k3"), 0.0)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)
        self.assertAlmostEqual(caught.exception.retry_after_s, 2.0)
        self.assertEqual(self.table().writes, 2)


class SweepTest(ClaimCase):
    def sweep(self, node, index=0, count=1):
        claims = self.nodes[node].claims
        while not claims.sweep(self.world.now_s, index, count).done:
            self.world.wait(1.0)
        return claims.counts.swept

    def test_clock_offsets(self):
        """Guards against a key that is kept for less than 24 h."""
        for offset_s in (-8.0, 8.0):
            with self.subTest(offset_s=offset_s):
                self.build()
                self.nodes[0].wall_offset_s = offset_s
                self.nodes[1].wall_offset_s = -offset_s
                self.nodes[0].answer(make_request())
                self.world.now_s = 24 * HOUR_S + 1
                self.assertEqual(self.sweep(1), 0)
                self.world.now_s = 24 * HOUR_S + claim_module.CLOCK_MARGIN_S + 20
                self.assertEqual(self.sweep(1), 1)

    def test_suspended_owner_does_not_dispatch_after_the_sweep(self):
        """Guards against a VM whose monotonic clock stood still for a day."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        for node in self.nodes:
            node.wall_offset_s += 25 * HOUR_S
        self.assertEqual(self.sweep(1), 1)
        self.nodes[1].answer(make_request(now_s=self.world.now_s))
        with self.assertRaises(DeadlineError):
            claims.begin_dispatch(claim, 1.0)
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", 1.0)
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertEqual(self.service.count["k1"], 1)

    def test_row_that_changes_after_the_scan(self):
        """Guards against the deletion of a claim made after the sweep's scan."""
        self.nodes[0].claims.claim(make_request(), 0.0)
        self.world.now_s = 25 * HOUR_S
        key = row_key("dentists", "booking", "k1")
        scan = self.table(1).scan

        def renew(*arguments):
            rows = scan(*arguments)
            if rows:
                self.rows.apply([TableWrite(key, b"new")])
            return rows

        with (
            mock.patch.object(self.table(1), "scan", renew),
            self.assertRaises(CheckFailedError),
        ):
            self.sweep(1)
        self.assertEqual(self.rows.get(key).value, b"new")

    def test_nodes_divide_the_rows(self):
        """Guards against rows that no node sweeps, and scans that cannot go on."""
        for index in range(600):
            row = ClaimRow(ClaimState.COMPLETED, "a", "d", START_WALL_S - 25 * HOUR_S)
            key = row_key("dentists", "booking", f"k{index}")
            self.rows.apply([TableWrite(key, msgspec.json.encode(row))])
        with mock.patch.object(claim_module, "SWEEP_SCAN_ROWS", 3):
            swept = [self.sweep(node, node, 3) for node in range(3)]
        self.assertEqual(sum(swept), 600)
        self.assertGreater(min(swept), 100)


class StandInTest(unittest.TestCase):
    def test_claim_and_repeat_over_http(self):
        """Guards against claims that work with the fakes only."""
        tables = TablesStandIn()
        tables.start()
        self.addCleanup(tables.close)
        client = TableClient(f"http://{tables.address}")
        client.start()
        self.addCleanup(client.close)
        claims = Claims(client)
        now_s = time.monotonic()
        request = make_request("k1", now_s)
        tables.set_faults(Faults(lost_answers=1))
        claim = claims.claim(request, now_s)
        claims.begin_dispatch(claim, now_s)
        claims.finish(claim, Outcome.COMPLETED, 200, b"\xff", now_s)
        self.assertEqual(claims.claim(request, now_s).body, b"\xff")


class UnconfirmedDispatchClaims(Claims):
    """Seeded fault: a claim without a confirmed row."""

    def _put(self, key, version, row, end_s):
        try:
            return super()._put(key, version, row, end_s)
        except StoreError:
            if version or row.state is not ClaimState.CLAIMED:
                raise
            return 1, row


class UnconfirmedRefusalClaims(Claims):
    """Seeded fault: ``not_run`` without a confirmed row."""

    def _refuse(self, key, row, end_s):
        super()._refuse(key, row, end_s)
        return Outcome.NOT_RUN


class TakeoverClaims(Claims):
    """Seeded fault: a repeat takes over a claim that has no outcome."""

    def _repeat(self, request, key, fresh, found):
        try:
            return super()._repeat(request, key, fresh, found)
        except DeadlineError:
            row = self._table.get(key)
            version, taken = self._put(
                key, row.version, fresh, self._clock() + claim_module.CLAIM_LIMIT_S
            )
            if taken != fresh:
                raise
            deadline_s = self._clock() + 30.0
            return Claim(key, version, fresh, self._clock(), deadline_s)


class ForeignRefusalClaims(Claims):
    """Seeded fault: a refusal replaces the claim of another attempt."""

    def _refuse(self, key, row, end_s):
        try:
            version, _ = self._put(key, 0, row, end_s)
            refused = replace(row, state=ClaimState.REFUSED)
            self._put(key, version, refused, end_s)
        except StoreError:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN


class FinishNotRunClaims(Claims):
    """Seeded fault: an unknown outcome is recorded as ``refused``."""

    def finish(self, claim, outcome, status, body, now_s, **options):
        claim.progress.dispatching = False
        return super().finish(claim, outcome, status, body, now_s, **options)


class EarlyCompletionClaims(Claims):
    """Seeded fault: ``completed`` is recorded before the answer is at hand."""

    def begin_dispatch(self, claim, now_s):
        super().begin_dispatch(claim, now_s)
        self._record(claim, 200, b"", now_s, "")


class ResendingNode(Node):
    """Seeded fault: a retry after an unknown outcome."""

    sends = 2


def node_with(claims):
    """Return a node class that uses a variant of ``Claims``."""
    return type(f"{claims.__name__}Node", (Node,), {"claims_class": claims})


class VariantTest(unittest.TestCase):
    def test_schedules_find_seeded_faults(self):
        """Guards against checks that pass whatever the code does."""
        variants = {
            node_with(UnconfirmedDispatchClaims): "times",
            node_with(UnconfirmedRefusalClaims): "not_run and ran",
            node_with(TakeoverClaims): "times",
            node_with(ForeignRefusalClaims): "not_run and ran",
            node_with(FinishNotRunClaims): "not_run and ran",
            node_with(EarlyCompletionClaims): "another body",
            ResendingNode: "times",
        }
        for node_class, violation in variants.items():
            with self.subTest(variant=node_class.__name__):
                self.assertTrue(
                    any(
                        violation in text
                        for seed in range(SCHEDULES)
                        for text in Schedule(seed, node_class).run()
                    )
                )
