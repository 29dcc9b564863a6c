"""Tests of leases and engine commands, in virtual time with fakes.

``CommandSchedule`` generates operators on nodes with clock skew that pause or crash,
store faults, and engines that respond late or not at all.  It checks that commands
take effect in the order of their fencing tokens and that each confirmed command took
effect.  ``VariantTest`` shows that the same schedules detect seeded faults.
"""

import random
import time
import unittest
from dataclasses import replace
from functools import partial
from unittest import mock

from .. import lease as lease_module
from ..backends import commands as commands_module
from ..backends.commands import Command, CommandKind, post, send_command
from ..backends.pool import BackendPool
from ..errors import (
    BackendError,
    ConflictError,
    DeadlineError,
    Outcome,
    RelayError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..lease import (
    CLOCK_SKEW_MARGIN_S,
    COMMAND_TIMEOUT_S,
    LEASE_DURATION_S,
    LeaseRow,
    Leases,
    acquire_delay_s,
)
from ..standins.commands import CommandState, EngineCommand
from ..standins.engine import EngineStandIn
from ..standins.tables import Faults, Tables, TablesStandIn
from ..store.client import TableClient
from .claim_simulation import START_WALL_S, FakeTable, RandomTable, Simulation

SCHEDULES = 600
COMMAND = Command(CommandKind.SET_VERSION, "v")


class FakeEngine:
    """Engine with random responses; ``checks`` enables checks of fencing tokens."""

    def __init__(self, simulation, rng, checks):
        self.simulation = simulation
        self.rng = rng
        self.checks = checks
        self.state = CommandState((), checks)

    def wait_for_first_byte(self):
        """Pause within the limit that is safe for engines without fencing checks."""
        spare_s = commands_module.MIN_TIME_LEFT_S - commands_module.EXCHANGE_TIMEOUT_S
        self.simulation.wait(self.rng.choice([0.0, self.rng.uniform(0, spare_s)]))

    def exchange(self, message, left_s):
        """Process a command whose deadline is ``left_s`` away."""
        limit_s = (
            300.0 if self.checks else max(left_s, commands_module.EXCHANGE_TIMEOUT_S)
        )
        result = self.rng.choice(["ok", "ok", "late", "late", "lost", "refused"])
        if result == "refused":
            raise self.error(Outcome.NOT_RUN)
        if result == "late":
            delay_s = self.rng.uniform(0, limit_s)
            self.simulation.call_later(delay_s, partial(self.apply, message))
        elif not self.apply(message):
            raise ConflictError("fencing", step="order", peer="engine")
        if result != "ok":
            self.simulation.wait(commands_module.EXCHANGE_TIMEOUT_S)
            raise self.error(Outcome.UNKNOWN)

    def apply(self, message):
        return self.state.apply(
            EngineCommand(message.order, message.value, message.fencing)
        )

    def error(self, outcome):
        return BackendError("x", step="order", peer="engine", outcome=outcome)


class OperatorNode:
    """A node on which operators acquire the lease and send commands."""

    def __init__(self, simulation, table, engine, name, offset_s, leases_class=Leases):
        self.simulation = simulation
        self.engine = engine
        self.offset_s = offset_s
        self.crashed = False
        self.paused_until_s = 0.0
        self.leases = leases_class(table, name)
        self.before_first_byte = False
        self.steps = 0
        # Durations of pauses by step.
        self.pauses = {}
        self.confirmed = []

    def count_step(self):
        """Pause at the scheduled steps; a step is the resumption of a task."""
        self.steps += 1
        if self.steps in self.pauses:
            self.pause(self.pauses.pop(self.steps))

    def pause(self, length_s):
        # Engines that ignore fencing tokens are safe only if the pause between the last
        # deadline check and the first byte is bounded (backends/commands.py); the
        # fake engine simulates one within that bound.
        if self.engine.checks or not self.before_first_byte:
            self.paused_until_s = self.simulation.now_s + length_s

    def clock(self):
        return START_WALL_S + self.simulation.now_s + self.offset_s

    def operate(self, tries, orders):
        """Acquire the lease and send commands; retry after an error."""
        for _ in range(tries):
            try:
                self.hold(orders)
            except RelayError as error:
                self.simulation.wait((error.retry_after_s or 0.0) + 0.01)

    def hold(self, orders):
        lease = self.leases.acquire("e1", self.engine.checks, self.clock())
        for _ in range(orders):
            lease = self.send(lease)
            lease = self.leases.renew(lease, self.clock())
        self.leases.release(lease, self.clock())

    def send(self, lease):
        sent = []
        end_s = self.clock() + COMMAND_TIMEOUT_S

        def exchange(message):
            sent.append(message.fencing)
            self.before_first_byte = True
            self.engine.wait_for_first_byte()
            self.before_first_byte = False
            self.engine.exchange(message, end_s - self.clock())

        lease = send_command(self.leases, lease, COMMAND, exchange, self.clock)
        self.confirmed += sent
        return lease


class CommandSchedule:
    """One random schedule of operators and faults."""

    def __init__(self, seed, checks, leases_class=Leases):
        self.rng = rng = random.Random(seed)
        self.simulation = Simulation()
        self.engine = FakeEngine(self.simulation, rng, checks)
        tables = Tables()
        start_s = rng.uniform(0, 60)
        outages = [(start_s, start_s + rng.choice([1, 30]))] * rng.randrange(2)
        self.nodes = [
            OperatorNode(
                self.simulation,
                RandomTable(self.simulation, tables, rng, outages),
                self.engine,
                f"n{index}",
                rng.uniform(-4.9, 4.9),
                leases_class,
            )
            for index in range(rng.choice([2, 3]))
        ]

    def run(self):
        """Run the schedule; return the violations found."""
        rng = self.rng
        for node in self.nodes:
            task = partial(node.operate, rng.randrange(1, 8), rng.randrange(1, 4))
            self.simulation.spawn(rng.choice([0.0, rng.uniform(0, 60)]), task, node)
            for _ in range(rng.randrange(3)):
                length_s = rng.choice([5.0, 40.0, 3600.0])
                node.pauses[rng.randrange(40)] = length_s
                self.simulation.call_later(
                    rng.uniform(0, 120), partial(node.pause, length_s)
                )
            if rng.random() < 0.2:
                crash = partial(setattr, node, "crashed", True)
                self.simulation.call_later(rng.uniform(0, 120), crash)
        self.simulation.run()
        numbers = [order.fencing for order in self.engine.state.accepted]
        found = []
        if any(a >= b for a, b in zip(numbers, numbers[1:], strict=False)):
            found.append(f"commands took effect with fencing tokens {numbers}")
        lost = {n for node in self.nodes for n in node.confirmed} - set(numbers)
        if lost:
            found.append(f"confirmed commands {lost} did not take effect")
        return found


class ScheduleTest(unittest.TestCase):
    def test_random_schedules(self):
        """Guards against older commands that take effect after newer ones."""
        accepted = {True: 0, False: 0}
        for checks in accepted:
            for seed in range(SCHEDULES):
                schedule = CommandSchedule(seed, checks)
                self.assertEqual(schedule.run(), [], f"seed {seed}, {checks}")
                accepted[checks] += len(schedule.engine.state.accepted)
        self.assertGreater(min(accepted.values()), SCHEDULES)


class UncheckedLeases(Leases):
    """Seeded fault: the version of the row is not checked."""

    def _try_write(self, engine, version, row):
        found = self._table.get(lease_module.lease_key(engine))
        return super()._try_write(engine, found.version if found else 0, row)


class SharedNumberLeases(Leases):
    """Seeded fault: all commands of a holder share one fencing token."""

    def announce(self, lease, now_s):
        self._require_held(lease, now_s)
        return self._update(lease, order_end_s=now_s + COMMAND_TIMEOUT_S)


class NoWaitLeases(Leases):
    """Seeded fault: a new holder does not wait for pending commands."""

    def acquire(self, engine, checks_fencing, now_s):
        return replace(super().acquire(engine, True, now_s), checks_fencing=False)


class VariantTest(unittest.TestCase):
    def assert_found(self, checks, leases_class=Leases):
        self.assertTrue(
            any(
                CommandSchedule(seed, checks, leases_class).run()
                for seed in range(SCHEDULES)
            )
        )

    def test_seeded_faults(self):
        """Guards against schedules and checks that cannot detect faults.

        Tokens that rise with time alone would hide that a row is not checked.
        """
        count = lambda last, now_s: last + 1  # noqa: E731
        self.enterContext(mock.patch.object(lease_module, "next_token", count))
        for checks, variant in (
            (True, UncheckedLeases),
            (False, UncheckedLeases),
            (True, SharedNumberLeases),
            (False, NoWaitLeases),
        ):
            with self.subTest(variant=variant.__name__, checks=checks):
                self.assert_found(checks, variant)

    def test_commands_sent_after_their_deadline(self):
        """Guards against schedules in which no holder sends after the deadline.

        Such schedules would pass without the deadline check before sending.
        """
        with mock.patch.object(commands_module, "is_in_time", lambda *_: True):
            self.assert_found(False)

    def test_missing_margin(self):
        """Guards against schedules whose clock skew is too small to detect faults."""
        with mock.patch.object(lease_module, "CLOCK_SKEW_MARGIN_S", 0.0):
            self.assert_found(False)


class LeaseCase(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation()
        self.tables = Tables()
        self.engine = FakeEngine(self.simulation, random.Random(1), False)
        self.nodes = [
            OperatorNode(
                self.simulation,
                FakeTable(self.simulation, self.tables),
                self.engine,
                f"n{index}",
                offset_s,
            )
            for index, offset_s in enumerate((-4.9, 4.9))
        ]

    def acquire(self, node, checks=False):
        node = self.nodes[node]
        return node.leases.acquire("e1", checks, node.clock())


class LeaseTest(LeaseCase):
    def test_two_operators_at_once(self):
        """Guards against two holders of one lease after concurrent acquisitions."""
        self.acquire(0)
        with self.assertRaises(ConflictError) as caught:
            self.acquire(1)
        self.assertGreater(caught.exception.retry_after_s, 0)
        results = []

        def task(node):
            try:
                lease = node.leases.acquire("e2", False, node.clock())
                results.append(lease.row.owner)
            except ConflictError:
                results.append("conflict")

        for node in self.nodes:
            self.simulation.spawn(0.0, partial(task, node), node)
        self.simulation.run()
        self.assertEqual(sorted(results), ["conflict", "n0"])

    def test_clock_offset(self):
        """Guards against a takeover before the lease expires on the holder's clock."""
        self.acquire(0)
        end_s = self.simulation.now_s + LEASE_DURATION_S
        while True:
            try:
                self.acquire(1)
                break
            except ConflictError as error:
                self.simulation.now_s += error.retry_after_s
        self.assertGreaterEqual(self.simulation.now_s, end_s)
        self.assertLess(self.simulation.now_s, end_s + 2 * CLOCK_SKEW_MARGIN_S)

    def test_holder_resumes_after_lease_expiry(self):
        """Guards against writes by a holder that resumes after its lease expired."""
        old = self.acquire(0, checks=True)
        self.simulation.now_s += 3600.0
        leases = self.nodes[0].leases
        for action in (leases.announce, leases.renew, leases.release):
            with self.assertRaises(DeadlineError):
                action(old, self.nodes[0].clock())
        new = self.acquire(1, checks=True)
        self.assertGreater(new.fencing_token, old.fencing_token)
        with self.assertRaises(ConflictError):
            leases.confirm(old)

    def test_lost_response(self):
        """Guards against losing a lease or fencing token with a store response.

        The write is committed, so the retry must recognize its own row.
        """
        table = self.nodes[0].leases._table
        table.scripted_results = ["ok", "lost", "ok", "ok"]
        lease = self.acquire(0)
        self.assertEqual(lease.version, self.tables.get("lease/e1").version)
        table.scripted_results = ["lost", "ok", "ok"]
        before = lease.fencing_token
        now_s = self.nodes[0].clock()
        lease = self.nodes[0].leases.announce(lease, now_s)
        self.assertEqual(lease.fencing_token, lease_module.next_token(before, now_s))
        self.assertGreater(lease.fencing_token, before)

    def test_unknown_outcome(self):
        """Guards against reporting a write as failed that may still take effect.

        The first try has an unknown outcome; the retries find the store unavailable.
        """
        table = self.nodes[0].leases._table
        lease = self.acquire(0)
        table.scripted_results = ["none", "down", "down"]
        with self.assertRaises(StoreOutcomeUnknownError):
            self.nodes[0].leases.renew(lease, self.nodes[0].clock())

    def test_store_outage(self):
        """Guards against sending a command that was not announced in the lease row."""
        lease = self.acquire(0)
        self.nodes[0].leases._table.scripted_results = ["down"] * 20
        exchange = mock.Mock()
        with self.assertRaises(StoreUnavailableError):
            send_command(
                self.nodes[0].leases, lease, COMMAND, exchange, self.nodes[0].clock
            )
        exchange.assert_not_called()

    def test_pending_command_blocks_engines_without_fencing(self):
        """Guards against a command that overtakes one without a response."""
        row = LeaseRow("", 3, 0.0, 100.0, "w")
        for owner in ("n0", "n1"):
            self.assertEqual(
                acquire_delay_s(row, owner, 100.0, await_pending=True),
                CLOCK_SKEW_MARGIN_S,
            )
            self.assertEqual(
                acquire_delay_s(row, owner, 100.0, await_pending=False), 0.0
            )
        leases = self.nodes[0].leases
        lease = leases.announce(self.acquire(0), self.nodes[0].clock())
        with self.assertRaises(ConflictError):
            leases.announce(lease, self.nodes[0].clock())
        leases.announce(leases.confirm(lease), self.nodes[0].clock())


class RestoredStoreTest(LeaseCase):
    def test_fencing_token_after_restore(self):
        """Guards against a fencing token that is issued twice.

        The store is restored from a backup without the lease, so another node acquires
        it.  The engine must reject what the former holder sends afterwards.
        """
        backup = self.tables.back_up()
        lease = self.nodes[1].leases
        lost = lease.announce(self.acquire(1, True), self.nodes[1].clock())
        self.tables.restore(backup)
        self.simulation.now_s += CLOCK_SKEW_MARGIN_S
        found = self.acquire(0, True)
        announced = self.nodes[0].leases.announce(found, self.nodes[0].clock())
        self.assertGreater(announced.fencing_token, lost.fencing_token)

    def test_write_of_a_former_holder(self):
        """Guards against a write that is checked by a version issued again."""
        backup = self.tables.back_up()
        lost = self.acquire(1)
        self.tables.restore(backup)
        found = self.acquire(0)
        self.assertEqual(found.version, lost.version)
        with self.assertRaises(ConflictError):
            self.nodes[1].leases.renew(lost, self.nodes[1].clock())


class StandInTest(unittest.TestCase):
    def test_commands_over_http(self):
        """Guards against commands that work only with the in-process fakes."""
        tables, engine = TablesStandIn(), EngineStandIn()
        for standin in (tables, engine):
            standin.start()
            self.addCleanup(standin.close)
        client = TableClient(f"http://{tables.address}")
        pool = BackendPool("engine-1", f"http://{engine.address}")
        for part in (client, pool):
            part.start()
            self.addCleanup(part.close)
        old, new = Leases(client, "n0"), Leases(client, "n1")
        lease = old.acquire("engine-1", True, time.time())
        tables.set_faults(Faults(lost_answers=1))
        lease = send_command(old, lease, COMMAND, partial(post, pool))
        stale = old.announce(lease, time.time())
        later_s = time.time() + LEASE_DURATION_S + CLOCK_SKEW_MARGIN_S + 1
        lease = new.acquire("engine-1", True, later_s)
        send_command(new, lease, COMMAND, partial(post, pool))
        message = commands_module.CommandBody("set_version", "old", stale.fencing_token)
        with self.assertRaises(ConflictError):
            post(pool, message)
        self.assertEqual(engine.model.commands.version, "v")
