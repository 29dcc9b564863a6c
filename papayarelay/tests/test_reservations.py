"""Tests of memory on helper engines."""

import random
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from .. import reservations as module
from ..backends.pool import BackendPool
from ..backends.protocol import Protocol
from ..errors import BackendError, Outcome
from ..local import wait_for
from ..reservations import MemoryNeed, Reservations, read_names, release, reserve

LIMIT_S = 5.0


class FakeMemory(Protocol):
    """The reservations of one engine; ``fate`` says what happens to orders.

    ``late`` orders get no answer and are carried out when ``catch_up`` is called.
    """

    def __init__(self):
        self.names: set[str] = set()
        self.renewals = 0
        self.fate = "done"
        self.held_up: list[str] = []

    def catch_up(self) -> None:
        """Carry out the orders that had no answer."""
        self.names.update(self.held_up)


@reserve.register
def _(protocol: FakeMemory, pool, name, tokens, hold_s):
    if protocol.fate == "late":
        protocol.held_up.append(name)
        raise _error(Outcome.UNKNOWN)
    if protocol.fate == "full":
        raise _error(Outcome.NOT_RUN)
    protocol.renewals += name in protocol.names
    protocol.names.add(name)


@release.register
def _(protocol: FakeMemory, pool, name):
    if protocol.fate == "late":
        raise _error(Outcome.UNKNOWN)
    protocol.names.discard(name)


@read_names.register
def _(protocol: FakeMemory, pool):
    return frozenset(protocol.names)


def _error(outcome: Outcome) -> BackendError:
    return BackendError("order", step="order", peer="e", outcome=outcome)


class ReservationsTest(unittest.TestCase):
    """Guards against engines that lose memory, and requests that lose theirs."""

    def setUp(self):
        self.now_s = 0.0
        self.reservations = Reservations("n1", lambda: self.now_s)
        self.memories = [FakeMemory(), FakeMemory()]
        self.pools = [
            BackendPool(f"e{n}", "http://127.0.0.1:9", memory)
            for n, memory in enumerate(self.memories)
        ]
        self.needs = [MemoryNeed(pool, 1000) for pool in self.pools]

    def _held(self) -> list[int]:
        return [len(memory.names) for memory in self.memories]

    def test_held_and_given_back(self):
        """Memory would stay set aside after its request has ended."""
        with self.reservations.hold("r1", self.needs) as names:
            self.assertEqual(sorted(names), ["e0", "e1"])
            self.assertEqual(self._held(), [1, 1])
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_given_back_after_a_failure(self):
        """Memory would stay set aside when a request fails."""
        with (
            self.assertRaises(ValueError),
            self.reservations.hold("r1", self.needs),
        ):
            raise ValueError
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_one_is_full(self):
        """Memory would stay set aside where the other helper had no room."""
        self.memories[1].fate = "full"
        with (
            self.assertRaises(BackendError) as caught,
            self.reservations.hold("r1", self.needs),
        ):
            self.fail("held without memory")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_renewed(self):
        """A request would be cut off while it runs."""
        self.enterContext(mock.patch.object(module, "RENEW_S", 0.01))
        with self.reservations.hold("r1", self.needs):
            wait_for(lambda: self.memories[0].renewals > 2, LIMIT_S, "renewals")

    def test_carried_out_late(self):
        """An order without an answer would set memory aside when it comes late."""
        self.memories[0].fate = "late"
        with (
            self.assertRaises(BackendError) as caught,
            self.reservations.hold("r1", self.needs),
        ):
            self.fail("held without memory")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        gevent.idle()
        self.memories[0].fate = "done"
        self.memories[0].catch_up()
        self.assertEqual(self._held()[0], 1)
        self.reservations._check_unsure(self.now_s + 5.0)
        self.assertEqual(self._held()[0], 0)

    def test_late_order_of_a_running_request(self):
        """A reservation in use would be released because one renewal was lost."""
        self.enterContext(mock.patch.object(module, "RENEW_S", 0.01))
        done = Event()

        def run():
            with self.reservations.hold("r1", self.needs):
                done.wait(LIMIT_S)

        task = gevent.spawn(run)
        wait_for(lambda: self.memories[0].renewals > 0, LIMIT_S, "renewal")
        self.memories[0].fate = "late"
        wait_for(lambda: self.memories[0].held_up, LIMIT_S, "lost renewal")
        self.memories[0].fate = "done"
        self.reservations._check_unsure(self.now_s)
        self.assertEqual(self._held(), [1, 1])
        done.set()
        task.get(timeout=LIMIT_S)
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_names_differ(self):
        """Two requests would share one reservation."""
        other = Reservations(f"{random.Random(2).random()}", lambda: 0.0)
        with (
            self.reservations.hold("r1", self.needs) as first,
            self.reservations.hold("r2", self.needs) as second,
            other.hold("r3", self.needs) as third,
        ):
            names = {first["e0"], second["e0"], third["e0"]}
        self.assertEqual(len(names), 3)
