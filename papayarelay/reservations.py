"""KV cache reservations on helper engines for prompts too long for one engine.

A reservation expires after ``RESERVATION_TTL_S`` unless it is renewed, so that the
memory is freed soon after a crash of this node.  A command without a response may
still be executed later; until that is ruled out, the reservations of the engine are
listed periodically and leaked ones are released.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import singledispatch

import gevent

from .backends.pool import BackendPool
from .backends.protocol import Protocol
from .background import BackgroundTask, run_step
from .errors import BackendError, Fault, Outcome, RelayError
from .events import Event
from .logs import log

RESERVATION_TTL_S = 3.2
RENEWAL_INTERVAL_S = 1.4
# Longest delay after which a command without a response may still be executed.
MAX_COMMAND_DELAY_S = 13.0
LEAK_CHECK_INTERVAL_S = 1.5


@dataclass(frozen=True)
class MemoryRequirement:
    """KV cache to reserve on a helper engine, in tokens."""

    pool: BackendPool
    tokens: int


@singledispatch
def reserve(
    protocol: Protocol, pool: BackendPool, name: str, tokens: int, hold_s: float
) -> None:
    """Reserve KV cache on an engine, or renew the reservation of that name.

    It expires after ``hold_s``.  Raises ``BackendError``, whose outcome is ``not_run``
    when the engine rejected the command.
    """
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def release(protocol: Protocol, pool: BackendPool, name: str) -> None:
    """Release a reservation; raises ``BackendError``."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def list_reservations(protocol: Protocol, pool: BackendPool) -> frozenset[str]:
    """Return the names of an engine's reservations; raises ``BackendError``."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


class Reservations(BackgroundTask):
    """Reservations of one node; ``prefix`` makes their names unique across nodes."""

    def __init__(self, prefix: str, clock: Callable[[], float]):
        self._prefix = prefix
        self._clock = clock
        self._sequence = itertools.count(1)
        # Until when a command whose response was lost may still take effect.
        self._uncertain: dict[tuple[BackendPool, str], float] = {}
        self._held: set[tuple[BackendPool, str]] = set()

    @contextmanager
    def hold(
        self, request_id: str, requirements: Sequence[MemoryRequirement]
    ) -> Iterator[Mapping[str, str]]:
        """Hold a reservation on several engines; yield its name by engine id.

        Raises ``BackendError`` with the outcome ``not_run`` when one of them has too
        little free memory or does not respond.
        """
        if not requirements:
            yield {}
            return
        name = f"{self._prefix}-{next(self._sequence)}"
        renewal_task = None
        try:
            self._reserve_all(request_id, name, requirements)
            renewal_task = gevent.spawn(
                self._renew_periodically, request_id, name, requirements
            )
            yield {requirement.pool.backend_id: name for requirement in requirements}
        finally:
            if renewal_task is not None:
                renewal_task.kill(block=False)
            self._release_all(request_id, name, requirements)

    def _reserve_all(
        self, request_id: str, name: str, requirements: Sequence[MemoryRequirement]
    ) -> None:
        tasks = [
            gevent.spawn(self._reserve, name, requirement)
            for requirement in requirements
        ]
        try:
            gevent.joinall(tasks)
        finally:
            # If the caller disconnected, pending commands are no longer awaited.
            gevent.killall(tasks, block=False)
        failures = [task.value for task in tasks if task.value is not None]
        log(
            Event.MEMORY_RESERVED if not failures else Event.MEMORY_REFUSED,
            request=request_id,
            backends_count=len(requirements),
            failures_count=len(failures),
            tokens_count=sum(requirement.tokens for requirement in requirements),
        )
        if failures:
            raise failures[0]

    def _reserve(
        self, name: str, requirement: MemoryRequirement
    ) -> BackendError | None:
        pool = requirement.pool
        if (pool, name) not in self._held and pool.restriction.blocks_requests(
            self._clock()
        ):
            return pool.unavailable_error()
        self._held.add((pool, name))
        answered = False
        try:
            reserve(pool.protocol, pool, name, requirement.tokens, RESERVATION_TTL_S)
            answered = True
        except BackendError as error:
            answered = error.outcome is Outcome.NOT_RUN
            error.outcome = Outcome.NOT_RUN
            error.faulty_server = pool.backend_id
            if error.fault is Fault.BROKEN:
                error.fault = Fault.FULL
            if answered:
                self._held.discard((pool, name))
            return error
        finally:
            if not answered:
                self._uncertain[pool, name] = self._clock() + MAX_COMMAND_DELAY_S
        return None

    def _renew_periodically(
        self, request_id: str, name: str, requirements: Sequence[MemoryRequirement]
    ) -> None:
        while True:
            gevent.sleep(RENEWAL_INTERVAL_S)
            tasks = [
                gevent.spawn(self._reserve, name, requirement)
                for requirement in requirements
            ]
            gevent.joinall(tasks)
            for requirement, task in zip(requirements, tasks, strict=True):
                if task.value is not None:
                    log(
                        Event.MEMORY_NOT_RENEWED,
                        request=request_id,
                        backend=requirement.pool.backend_id,
                        error=task.value,
                    )

    def _release_all(
        self, request_id: str, name: str, requirements: Sequence[MemoryRequirement]
    ) -> None:
        for requirement in requirements:
            if (requirement.pool, name) in self._held:
                self._held.discard((requirement.pool, name))
                gevent.spawn(self._release, requirement.pool, name)

    def _release(self, pool: BackendPool, name: str) -> None:
        try:
            release(pool.protocol, pool, name)
        except RelayError as error:
            # The reservation expires unless a delayed command renews it.
            self._uncertain[pool, name] = self._clock() + MAX_COMMAND_DELAY_S
            log(Event.MEMORY_NOT_RELEASED, backend=pool.backend_id, error=error)

    def _run(self) -> None:
        while True:
            gevent.sleep(LEAK_CHECK_INTERVAL_S)
            run_step(self._release_leaked, self._clock())

    def _release_leaked(self, now_s: float) -> None:
        """Release reservations that were made by delayed commands."""
        for key, end_s in list(self._uncertain.items()):
            if now_s >= end_s:
                del self._uncertain[key]
        names: dict[BackendPool, set[str]] = {}
        for key in self._uncertain:
            if key not in self._held and not key[0].restriction.blocks_requests(now_s):
                names.setdefault(key[0], set()).add(key[1])
        for pool, wanted in names.items():
            try:
                found = list_reservations(pool.protocol, pool)
            except RelayError:
                continue
            for name in wanted & found:
                self._release(pool, name)
