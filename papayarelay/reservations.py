"""KV cache reservations on helper engines for prompts too long for one engine.

A reservation expires after ``HOLD_S`` unless it is renewed, so that the
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
from .errors import BackendError, Fault, Outcome, RelayError
from .events import Event
from .guard import BackgroundTask, run_step
from .logs import log

HOLD_S = 3.2
RENEW_S = 1.4
# Longest delay after which a command without a response may still be executed.
LATE_S = 13.0
CHECK_S = 1.5


@dataclass(frozen=True)
class MemoryNeed:
    """KV cache to reserve on a helper engine, in tokens."""

    pool: BackendPool
    tokens: int


@singledispatch
def reserve(
    protocol: Protocol, pool: BackendPool, name: str, tokens: int, hold_s: float
) -> None:
    """Reserve KV cache on an engine, or renew the reservation of that name.

    Raises ``BackendError``, whose outcome is ``not_run`` when the engine rejected
    the command.
    """
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def release(protocol: Protocol, pool: BackendPool, name: str) -> None:
    """Release a reservation; raises ``BackendError``."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def read_names(protocol: Protocol, pool: BackendPool) -> frozenset[str]:
    """Return the names of an engine's reservations; raises ``BackendError``."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


class Reservations(BackgroundTask):
    """Reservations of one node; ``prefix`` makes their names unique across nodes."""

    def __init__(self, prefix: str, clock: Callable[[], float]):
        self._prefix = prefix
        self._clock = clock
        self._numbers = itertools.count(1)
        # Until when a command whose response was lost may still take effect.
        self._unsure: dict[tuple[BackendPool, str], float] = {}
        self._held: set[tuple[BackendPool, str]] = set()

    @contextmanager
    def hold(
        self, request_id: str, needs: Sequence[MemoryNeed]
    ) -> Iterator[Mapping[str, str]]:
        """Hold a reservation on several engines; yield its names by engine id.

        Raises ``BackendError`` with the outcome ``not_run`` when one of them has too
        little free memory or does not respond.
        """
        if not needs:
            yield {}
            return
        name = f"{self._prefix}-{next(self._numbers)}"
        keeper = None
        try:
            self._reserve_all(request_id, name, needs)
            keeper = gevent.spawn(self._keep, request_id, name, needs)
            yield {need.pool.backend_id: name for need in needs}
        finally:
            if keeper is not None:
                keeper.kill(block=False)
            self._give_back(request_id, name, needs)

    def _reserve_all(
        self, request_id: str, name: str, needs: Sequence[MemoryNeed]
    ) -> None:
        tasks = [gevent.spawn(self._reserve, name, need) for need in needs]
        try:
            gevent.joinall(tasks)
        finally:
            # If the caller disconnected, pending commands are no longer awaited.
            gevent.killall(tasks, block=False)
        failures = [task.value for task in tasks if task.value is not None]
        log(
            Event.MEMORY_RESERVED if not failures else Event.MEMORY_REFUSED,
            request=request_id,
            backends_count=len(needs),
            failures_count=len(failures),
            tokens_count=sum(need.tokens for need in needs),
        )
        if failures:
            raise failures[0]

    def _reserve(self, name: str, need: MemoryNeed) -> BackendError | None:
        pool = need.pool
        if (pool, name) not in self._held and pool.restriction.blocks_requests(
            self._clock()
        ):
            return pool.unavailable_error()
        self._held.add((pool, name))
        answered = False
        try:
            reserve(pool.protocol, pool, name, need.tokens, HOLD_S)
            answered = True
        except BackendError as error:
            answered = error.outcome is Outcome.NOT_RUN
            error.outcome = Outcome.NOT_RUN
            error.culprit = pool.backend_id
            if error.fault is Fault.BROKEN:
                error.fault = Fault.FULL
            if answered:
                self._held.discard((pool, name))
            return error
        finally:
            if not answered:
                self._unsure[pool, name] = self._clock() + LATE_S
        return None

    def _keep(self, request_id: str, name: str, needs: Sequence[MemoryNeed]) -> None:
        while True:
            gevent.sleep(RENEW_S)
            tasks = [gevent.spawn(self._reserve, name, need) for need in needs]
            gevent.joinall(tasks)
            for need, task in zip(needs, tasks, strict=True):
                if task.value is not None:
                    log(
                        Event.MEMORY_NOT_RENEWED,
                        request=request_id,
                        backend=need.pool.backend_id,
                        error=task.value,
                    )

    def _give_back(
        self, request_id: str, name: str, needs: Sequence[MemoryNeed]
    ) -> None:
        for need in needs:
            if (need.pool, name) in self._held:
                self._held.discard((need.pool, name))
                gevent.spawn(self._release, need.pool, name)

    def _release(self, pool: BackendPool, name: str) -> None:
        try:
            release(pool.protocol, pool, name)
        except RelayError as error:
            # The reservation expires unless a delayed command renews it.
            self._unsure[pool, name] = self._clock() + LATE_S
            log(Event.MEMORY_NOT_RELEASED, backend=pool.backend_id, error=error)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_S)
            run_step(self._check_unsure, self._clock())

    def _check_unsure(self, now_s: float) -> None:
        """Release reservations that were made by delayed commands."""
        for key, end_s in list(self._unsure.items()):
            if now_s >= end_s:
                del self._unsure[key]
        names: dict[BackendPool, set[str]] = {}
        for key in self._unsure:
            if key not in self._held and not key[0].restriction.blocks_requests(now_s):
                names.setdefault(key[0], set()).add(key[1])
        for pool, wanted in names.items():
            try:
                found = read_names(pool.protocol, pool)
            except RelayError:
                continue
            for name in wanted & found:
                self._release(pool, name)
