"""Tests of KV cache reservations on helper engines."""

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
from ..reservations import (
    MemoryRequirement,
    Reservations,
    list_reservations,
    release,
    reserve,
)

LIMIT_S = 5.0


class FakeMemory(Protocol):
    """The reservations of one engine; ``behaviour`` selects the result of commands.

    With ``late`` a command gets no response and is executed by ``execute_delayed``.
    """

    def __init__(self):
        self.names: set[str] = set()
        self.renewals = 0
        self.behaviour = "done"
        self.delayed: list[str] = []

    def execute_delayed(self) -> None:
        """Execute the commands that got no response."""
        self.names.update(self.delayed)


@reserve.register
def _(protocol: FakeMemory, pool, name, tokens, hold_s):
    if protocol.behaviour == "late":
        protocol.delayed.append(name)
        raise _error(Outcome.UNKNOWN)
    if protocol.behaviour == "full":
        raise _error(Outcome.NOT_RUN)
    protocol.renewals += name in protocol.names
    protocol.names.add(name)


@release.register
def _(protocol: FakeMemory, pool, name):
    if protocol.behaviour == "late":
        raise _error(Outcome.UNKNOWN)
    protocol.names.discard(name)


@list_reservations.register
def _(protocol: FakeMemory, pool):
    return frozenset(protocol.names)


def _error(outcome: Outcome) -> BackendError:
    return BackendError("order", step="order", peer="e", outcome=outcome)


class ReservationsTest(unittest.TestCase):
    """Guards against leaked reservations and against losing those in use."""

    def setUp(self):
        self.now_s = 0.0
        self.reservations = Reservations("n1", lambda: self.now_s)
        self.memories = [FakeMemory(), FakeMemory()]
        self.pools = [
            BackendPool(f"e{n}", "http://127.0.0.1:9", memory)
            for n, memory in enumerate(self.memories)
        ]
        self.requirements = [MemoryRequirement(pool, 1000) for pool in self.pools]

    def _held(self) -> list[int]:
        return [len(memory.names) for memory in self.memories]

    def test_held_and_released(self):
        """Guards against a reservation that outlives its request."""
        with self.reservations.hold("r1", self.requirements) as names:
            self.assertEqual(sorted(names), ["e0", "e1"])
            self.assertEqual(self._held(), [1, 1])
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_released_after_a_failure(self):
        """Guards against a reservation that is leaked when its request fails."""
        with (
            self.assertRaises(ValueError),
            self.reservations.hold("r1", self.requirements),
        ):
            raise ValueError
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_one_is_full(self):
        """Guards against a leaked reservation when another helper is full."""
        self.memories[1].behaviour = "full"
        with (
            self.assertRaises(BackendError) as caught,
            self.reservations.hold("r1", self.requirements),
        ):
            self.fail("held without memory")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_renewed(self):
        """Guards against a reservation that expires while its request is running."""
        self.enterContext(mock.patch.object(module, "RENEWAL_INTERVAL_S", 0.01))
        with self.reservations.hold("r1", self.requirements):
            wait_for(lambda: self.memories[0].renewals > 2, LIMIT_S, "renewals")

    def test_delayed_command(self):
        """Guards against a reservation leaked by a delayed command.

        The command got no response and is executed after its request was rejected.
        """
        self.memories[0].behaviour = "late"
        with (
            self.assertRaises(BackendError) as caught,
            self.reservations.hold("r1", self.requirements),
        ):
            self.fail("held without memory")
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        gevent.idle()
        self.memories[0].behaviour = "done"
        self.memories[0].execute_delayed()
        self.assertEqual(self._held()[0], 1)
        self.reservations._release_leaked(self.now_s + 5.0)
        self.assertEqual(self._held()[0], 0)

    def test_delayed_command_of_a_running_request(self):
        """Guards against releasing a reservation in use after a lost renewal."""
        self.enterContext(mock.patch.object(module, "RENEWAL_INTERVAL_S", 0.01))
        done = Event()

        def run():
            with self.reservations.hold("r1", self.requirements):
                done.wait(LIMIT_S)

        task = gevent.spawn(run)
        wait_for(lambda: self.memories[0].renewals > 0, LIMIT_S, "renewal")
        self.memories[0].behaviour = "late"
        wait_for(lambda: self.memories[0].delayed, LIMIT_S, "lost renewal")
        self.memories[0].behaviour = "done"
        self.reservations._release_leaked(self.now_s)
        self.assertEqual(self._held(), [1, 1])
        done.set()
        task.get(timeout=LIMIT_S)
        wait_for(lambda: self._held() == [0, 0], LIMIT_S, "release")

    def test_names_differ(self):
        """Guards against two requests that share a reservation by name."""
        other = Reservations(f"{random.Random(2).random()}", lambda: 0.0)
        with (
            self.reservations.hold("r1", self.requirements) as first,
            self.reservations.hold("r2", self.requirements) as second,
            other.hold("r3", self.requirements) as third,
        ):
            names = {first["e0"], second["e0"], third["e0"]}
        self.assertEqual(len(names), 3)
