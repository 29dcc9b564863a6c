"""Tests of at-most-once claims under fault injection, in virtual time with fakes.

``ScheduleTest`` runs random fault schedules; ``VariantTest`` shows that the same
schedules detect seeded faults.
"""

import random
import time
import unittest
from collections import Counter
from unittest import mock

import msgspec

from .. import claim as claim_module
from ..claim import Claims
from ..claim_rows import ClaimRow, ClaimState, row_key
from ..errors import (
    CheckFailedError,
    ConflictError,
    DeadlineError,
    Outcome,
    OverloadError,
    RequestError,
)
from ..request import RequestKind
from ..standins.tables import Faults, Tables, TablesStandIn, TableWrite
from ..store.client import TableClient
from .claim_simulation import (
    HOUR_S,
    START_WALL_S,
    EarlyCompletionClaims,
    FakeService,
    FakeTable,
    FinishNotRunClaims,
    ForeignRefusalClaims,
    Node,
    Schedule,
    Simulation,
    TakeoverClaims,
    UnconfirmedDispatchClaims,
    UnconfirmedRefusalClaims,
    make_request,
)

SCHEDULES = 1200


class ScheduleTest(unittest.TestCase):
    def test_random_fault_schedules(self):
        """Guards against double execution and false outcomes under random faults."""
        outcomes = Counter()
        executed = 0
        for seed in range(SCHEDULES):
            schedule = Schedule(seed)
            self.assertEqual(schedule.run(), [], f"seed {seed}")
            outcomes.update(outcome for _, outcome, _ in schedule.answers)
            executed += sum(schedule.service.count.values())
        # The schedules must cover each outcome often enough to be meaningful.
        for outcome in Outcome:
            self.assertGreater(outcomes[outcome], SCHEDULES / 10, outcomes)
        self.assertGreater(executed, SCHEDULES / 10)


class ReliableService(FakeService):
    """Executes each request after a latency of 0.1 s."""

    def send(self, key):
        self.simulation.wait(0.1)
        self.execute(key)
        return f"answer to {key}".encode()


class ClaimCase(unittest.TestCase):
    """Base class with a simulation, three nodes and a service without faults."""

    def setUp(self):
        self.build()

    def build(self):
        self.simulation = Simulation()
        self.rows = Tables()
        self.service = ReliableService(self.simulation, random.Random(1))
        self.nodes = [
            Node(self.simulation, FakeTable(self.simulation, self.rows), self.service)
            for _ in range(3)
        ]
        self.answers = {}

    def table(self, node=0):
        return self.nodes[node].claims._table

    def send_request(self, at_s, node, name, **changes):
        """Schedule a request to a node; store its result under ``name``."""

        def task():
            request = make_request(now_s=self.simulation.now_s, **changes)
            self.answers[name] = self.nodes[node].answer(request)

        self.simulation.spawn(at_s, task, self.nodes[node])

    def outcome(self, name):
        return self.answers[name][0]

    def state(self, key="k1"):
        return self.nodes[2].claims.look_up("dentists", "booking", key).state


class StepTest(ClaimCase):
    def count_steps(self):
        self.build()
        self.send_request(0.0, 0, "first")
        self.simulation.run()
        return self.nodes[0].steps

    def run_with_fault(self, step, fault):
        self.build()
        self.nodes[0].fault_step = step
        self.nodes[0].fault = fault
        self.send_request(0.0, 0, "first")
        self.send_request(0.005, 1, "at once")
        self.send_request(60.0, 1, "repeat")
        self.simulation.run()
        self.assertLessEqual(self.service.count["k1"], 1)
        for outcome, _ in self.answers.values():
            if outcome is Outcome.NOT_RUN:
                self.assertEqual(self.service.count["k1"], 0)
            if outcome is Outcome.COMPLETED:
                self.assertEqual(self.service.count["k1"], 1)
        return self.outcome("repeat")

    def test_crash_at_each_step(self):
        """Guards against a retry that executes the request of a crashed node again."""
        steps = self.count_steps()
        self.assertGreater(steps, 6)
        retries = set()
        for step in range(1, steps + 1):
            with self.subTest(step=step):
                retries.add(
                    self.run_with_fault(step, lambda node: setattr(node, "crashed", 1))
                )
        self.assertEqual(retries, {Outcome.UNKNOWN, Outcome.COMPLETED})

    def test_pause_past_the_deadline_at_each_step(self):
        """Guards against an owner that dispatches after its deadline.

        The node is paused for two hours at each step in turn.
        """

        def pause(node):
            node.paused_until_s = self.simulation.now_s + 2 * HOUR_S

        for step in range(1, self.count_steps() + 1):
            with self.subTest(step=step):
                self.run_with_fault(step, pause)


class StoreFaultTest(ClaimCase):
    def test_lost_response_to_the_insert(self):
        """Guards against abandoning a claim that was committed.

        The response to the insert is lost, so the owner must recognize its own row.
        """
        self.table().scripted_results = ["lost"]
        self.send_request(0.0, 0, "first")
        self.simulation.run()
        self.assertEqual(self.outcome("first"), Outcome.COMPLETED)
        self.assertEqual(self.service.count["k1"], 1)

    def test_lost_response_to_the_record(self):
        """Guards against counting a recorded outcome as unrecorded.

        The outcome is committed, but the response to the write is lost.
        """
        self.table().scripted_results = ["ok", "lost"]
        self.send_request(0.0, 0, "first")
        self.simulation.run()
        self.assertEqual(self.nodes[0].claims.counters.not_recorded, 0)
        self.assertEqual(self.state(), ClaimState.COMPLETED)

    def test_insert_takes_effect_after_the_node_gave_up(self):
        """Guards against the dispatch of a claim whose insert is committed late.

        The insert takes effect after 20 s, when the node has given up.
        """
        self.table().scripted_results = [20.0, *["none"] * 20]
        self.send_request(0.0, 0, "first")
        self.send_request(25.0, 1, "repeat")
        self.simulation.run()
        self.assertEqual(self.outcome("first"), Outcome.UNKNOWN)
        self.assertEqual(self.outcome("repeat"), Outcome.UNKNOWN)
        self.assertEqual(self.state(), ClaimState.CLAIMED)
        self.assertEqual(self.service.count["k1"], 0)

    def test_confirmed_refusal_blocks_the_delayed_insert(self):
        """Guards against ``not_run`` for a key that is claimed afterwards.

        The insert is delayed; the committed ``refused`` row must make its check fail.
        """
        self.table().scripted_results = [20.0, *["none"] * 20]
        self.simulation.call_later(
            claim_module.CLAIM_TIMEOUT_S, self.table().scripted_results.clear
        )
        self.send_request(0.0, 0, "first")
        self.send_request(30.0, 1, "repeat")
        self.simulation.run()
        self.assertEqual(self.outcome("first"), Outcome.NOT_RUN)
        self.assertEqual(self.outcome("repeat"), Outcome.NOT_RUN)
        self.assertEqual(self.state(), ClaimState.REFUSED)
        self.assertEqual(self.service.count["k1"], 0)

    def test_own_insert_is_refused_after_the_node_gave_up(self):
        """Guards against a key that stays claimed by an abandoned attempt.

        The insert was committed, but its response and all reads are lost.
        """
        self.table().scripted_results = ["lost", *["none"] * 20]
        self.simulation.call_later(
            claim_module.CLAIM_TIMEOUT_S, self.table().scripted_results.clear
        )
        self.send_request(0.0, 0, "first")
        self.simulation.run()
        self.assertEqual(self.outcome("first"), Outcome.NOT_RUN)
        self.assertEqual(self.state(), ClaimState.REFUSED)

    def test_unconfirmed_refusal_of_a_claim(self):
        """Guards against ``not_run`` while the row is still in state ``claimed``."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        self.table().scripted_results = ["none"] * 20
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", self.simulation.now_s)
        self.assertIs(outcome, Outcome.UNKNOWN)

    def test_outage_fails_requests_before_the_deadline(self):
        """Guards against requests that hang until their deadline in a store outage.

        After three failures claims fail at once, until the suspension ends.
        """
        for result in ("down", "none"):
            with self.subTest(result=result):
                self.build()
                self.table().scripted_results = [result] * 100
                durations_s = []
                for index in range(5):
                    at_s = self.simulation.now_s
                    request = make_request(f"k{index}", at_s)
                    outcome, _ = self.nodes[0].answer(request)
                    self.assertEqual(outcome, Outcome.UNKNOWN)
                    durations_s.append(self.simulation.now_s - at_s)
                self.assertLess(max(durations_s), 4.0)
                self.assertEqual(durations_s[3:], [0.0, 0.0])
                self.simulation.wait(claim_module.SUSPENSION_S)
                self.table().scripted_results = []
                outcome, _ = self.nodes[0].answer(
                    make_request("k9", self.simulation.now_s)
                )
                self.assertEqual(outcome, Outcome.COMPLETED)

    def test_short_deadlines_do_not_suspend_claims(self):
        """Guards against requests with short deadlines that suspend all claims.

        Their claims time out at a slow store, but before the full claim timeout.
        """
        self.table().latency_s = 0.6
        claims = self.nodes[0].claims
        for index in range(5):
            now_s = self.simulation.now_s
            request = make_request(f"k{index}", now_s, deadline_s=now_s + 1)
            self.assertIsNot(self.nodes[0].answer(request)[0], Outcome.COMPLETED)
            self.assertFalse(claims.is_suspended(self.simulation.now_s))
        self.assertEqual(claims.counters.store_failures, 5)

    def test_record_is_not_awaited_long_after_the_deadline(self):
        """Guards against a response that is held back during a store outage."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        claims.begin_dispatch(claim, 29.0)
        self.simulation.now_s = 30.0
        self.table().scripted_results = ["none"] * 20
        claims.finish(claim, Outcome.COMPLETED, 200, b"", 30.0)
        self.assertLess(
            self.simulation.now_s, 30.0 + claim_module.REJECT_TIMEOUT_S + 0.1
        )
        self.assertEqual(claims.counters.not_recorded, 1)

    def test_malformed_row(self):
        """Guards against dispatching or sweeping a row that cannot be decoded."""
        key = row_key("dentists", "booking", "k1")
        self.rows.apply([TableWrite(key, b"{}")])
        outcome, _ = self.nodes[0].answer(make_request())
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertEqual(self.service.count["k1"], 0)
        while not self.nodes[0].claims.sweep(self.simulation.now_s, 0, 1).done:
            pass
        self.assertIsNotNone(self.rows.get(key))

    def test_slow_store(self):
        """Guards against treating a slow store response as a failure."""
        self.table().latency_s = 0.9
        self.send_request(0.0, 0, "first")
        self.simulation.run()
        self.assertEqual(self.outcome("first"), Outcome.COMPLETED)


class RetryTest(ClaimCase):
    def test_duplicates_at_the_same_moment(self):
        """Guards against double execution of concurrent duplicates on several nodes."""
        for node in (0, 1, 2, 0):
            self.send_request(0.0, node, len(self.simulation._events))
        self.simulation.run()
        self.assertEqual(
            set(self.answers.values()), {(Outcome.COMPLETED, b"answer to k1")}
        )
        self.assertEqual(self.service.count["k1"], 1)

    def test_polling_is_bounded(self):
        """Guards against retries that poll the store until their deadline.

        The first attempt has no outcome, and the retry has a deadline of an hour.
        """
        self.nodes[0].claims.claim(make_request(), 0.0)
        before = self.table(1).reads
        self.send_request(0.0, 1, "repeat", deadline_s=HOUR_S)
        self.simulation.run()
        self.assertEqual(self.outcome("repeat"), Outcome.UNKNOWN)
        self.assertLess(self.table(1).reads - before, 12)
        self.assertLess(self.simulation.now_s, claim_module.MAX_POLL_TIME_S + 1)

    def test_number_of_polling_retries_is_bounded(self):
        """Guards against an unbounded number of retries that poll concurrently."""
        self.nodes[0].claims.claim(make_request(), 0.0)
        retries = 3 * claim_module.MAX_POLLING_RETRIES
        for index in range(retries):
            self.send_request(0.0, 1, index)
        self.simulation.run()
        polls = self.table(1).reads - retries
        self.assertLess(polls, 12 * claim_module.MAX_POLLING_RETRIES)

    def test_another_body_or_organisation_conflicts(self):
        """Guards against replaying the response of a different request.

        The requests share a key but differ in body or organisation.
        """
        self.nodes[0].answer(make_request())
        for changes in ({"body": b"other"}, {"organisation": "other"}):
            with self.assertRaises(ConflictError) as caught:
                self.nodes[1].claims.claim(make_request(**changes), 0.0)
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_body_limit(self):
        """Guards against rows that grow with the length of the response body."""
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
        """Guards against an owner that dispatches once its deadline has passed."""
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        with self.assertRaises(DeadlineError):
            claims.begin_dispatch(claim, 30.0)
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", 30.0)
        self.assertIs(outcome, Outcome.NOT_RUN)

    def test_claim_confirmed_after_the_deadline(self):
        """Guards against returning a claim that was committed after its deadline."""
        transact = self.table().transact

        def pause(*arguments, **options):
            self.simulation.now_s += 31.0
            return transact(*arguments, **options)

        with (
            mock.patch.object(self.table(), "transact", pause),
            self.assertRaises(DeadlineError) as caught,
        ):
            self.nodes[0].claims.claim(make_request(), 0.0)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertIs(self.state(), ClaimState.REFUSED)

    def test_retries_use_one_write(self):
        """Guards against retries that consume the write budget of new requests.

        A retry of a recorded request must be charged for one write only.
        """
        claims = self.nodes[0].claims
        claims.set_writes_per_s(0.0, 0.001)
        self.nodes[0].answer(make_request("k1"))
        claims.claim(make_request("k1"), 0.0)
        with self.assertRaises(OverloadError) as caught:
            claims.claim(make_request("k2"), 0.0)
        self.assertAlmostEqual(caught.exception.retry_after_s, 1000.0, delta=1.0)

    def test_refusal(self):
        """Guards against ``not_run`` for a key that another attempt may execute."""
        claims = self.nodes[0].claims
        self.assertIs(claims.reject(make_request("k1"), 0.0), Outcome.NOT_RUN)
        self.assertIs(claims.reject(make_request("k1"), 0.0), Outcome.NOT_RUN)
        self.nodes[1].claims.claim(make_request("k2"), 0.0)
        self.assertIs(claims.reject(make_request("k2"), 0.0), Outcome.UNKNOWN)
        self.table().scripted_results = ["down"] * 20
        self.assertIs(claims.reject(make_request("k3"), 0.0), Outcome.UNKNOWN)

    def test_idempotent_kinds_need_no_store(self):
        """Guards against store access for requests that need no claim."""
        kind = RequestKind("chart", "service", idempotent=True)
        claims = self.nodes[0].claims
        self.assertIs(claims.reject(make_request(kind=kind), 0.0), Outcome.NOT_RUN)
        self.assertEqual(self.table().writes + self.table().reads, 0)

    def test_early_refusals_leave_the_store_alone(self):
        """Guards against store access for requests that are rejected anyway.

        They have no idempotency key or exceed the write rate.
        """
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
        while not claims.sweep(self.simulation.now_s, index, count).done:
            self.simulation.wait(1.0)
        return claims.counters.swept

    def test_clock_offsets(self):
        """Guards against deleting a key after less than 24 h due to clock skew."""
        for offset_s in (-8.0, 8.0):
            with self.subTest(offset_s=offset_s):
                self.build()
                self.nodes[0].wall_offset_s = offset_s
                self.nodes[1].wall_offset_s = -offset_s
                self.nodes[0].answer(make_request())
                self.simulation.now_s = 24 * HOUR_S + 1
                self.assertEqual(self.sweep(1), 0)
                self.simulation.now_s = (
                    24 * HOUR_S + claim_module.CLOCK_SKEW_MARGIN_S + 20
                )
                self.assertEqual(self.sweep(1), 1)

    def test_suspended_owner_does_not_dispatch_after_the_sweep(self):
        """Guards against dispatching a claim whose row has expired and been deleted.

        The monotonic clock of the VM stopped while it was suspended for a day.
        """
        claims = self.nodes[0].claims
        claim = claims.claim(make_request(), 0.0)
        for node in self.nodes:
            node.wall_offset_s += 25 * HOUR_S
        self.assertEqual(self.sweep(1), 1)
        self.nodes[1].answer(make_request(now_s=self.simulation.now_s))
        with self.assertRaises(DeadlineError):
            claims.begin_dispatch(claim, 1.0)
        outcome = claims.finish(claim, Outcome.NOT_RUN, 0, b"", 1.0)
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertEqual(self.service.count["k1"], 1)

    def test_row_that_changes_after_the_scan(self):
        """Guards against deleting a claim that was written after the sweep's scan."""
        self.nodes[0].claims.claim(make_request(), 0.0)
        self.simulation.now_s = 25 * HOUR_S
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
        """Guards against expired rows that no node deletes.

        Prefixes with more rows than one scan returns must be split.
        """
        for index in range(600):
            row = ClaimRow(ClaimState.COMPLETED, "a", "d", START_WALL_S - 25 * HOUR_S)
            key = row_key("dentists", "booking", f"k{index}")
            self.rows.apply([TableWrite(key, msgspec.json.encode(row))])
        with mock.patch.object(claim_module, "MAX_ROWS_PER_SCAN", 3):
            swept = [self.sweep(node, node, 3) for node in range(3)]
        self.assertEqual(sum(swept), 600)
        self.assertGreater(min(swept), 100)


class StandInTest(unittest.TestCase):
    def test_claim_and_repeat_over_http(self):
        """Guards against claims that work only with the in-process fakes."""
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


class ResendingNode(Node):
    """Seeded fault: a retry after an unknown outcome."""

    max_sends = 2


def node_with(claims):
    """Return a node class that uses a faulty variant of ``Claims``."""
    return type(f"{claims.__name__}Node", (Node,), {"claims_class": claims})


class VariantTest(unittest.TestCase):
    def test_schedules_find_seeded_faults(self):
        """Guards against schedules and checks that cannot detect faults."""
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
