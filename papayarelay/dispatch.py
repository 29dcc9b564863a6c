"""Dispatch of requests to backend servers, with retries where they are safe."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import gevent

from .backends import engine, service
from .backends.backend_entry import BackendEntry
from .backends.monitor import StreamMonitor
from .backends.protocol import KEEP_ALIVE, Attempt, Chunk, PrefillHelper, StreamCounters
from .backends.stream import EngineStream
from .cost import Cost, estimate_cost
from .errors import (
    BackendError,
    DeadlineError,
    Fault,
    Outcome,
    OverloadError,
    RelayError,
)
from .events import Event
from .logs import log
from .poison.guard import PROVEN_S, PoisonGuard
from .request import Request, RequestKind
from .reservations import MemoryRequirement, Reservations
from .retry import RetryBudget, SharedRetryBudget, find_retry_denial
from .scheduler import Assignment, QueuedAttempt, Scheduler

# Interval of the keep-alives of a queued request, which detect a disconnected caller.
QUEUE_KEEP_ALIVE_S = 1.0
# A retry beyond the budget waits for up to this time, which spreads a burst of
# failures; then the failure is returned to the caller.
MAX_RETRY_WAIT_S = 2.0
RETRY_POLL_INTERVAL_S = 0.1
# Idle timeout of a stream, as a multiple of the target time between events, with a
# minimum: a long prefill may delay the engine, and callers wait for at least 2 s.
IDLE_TIMEOUT_GAPS = 3.0
MIN_IDLE_TIMEOUT_S = 1.5
# Maximum idle timeout for an engine that is slow but makes progress; callers
# disconnect only after it.
SLOW_IDLE_TIMEOUT_GAPS = 8.0
# First-event timeout, as a multiple of the estimated and of the target time to first
# event; the larger one applies.
FIRST_EVENT_ESTIMATES = 2.0
FIRST_EVENT_TARGETS = 3.0


class DispatchGuard(Protocol):
    """Authorises each dispatch of a request immediately before it is sent."""

    def begin(self) -> None:
        """Authorise a dispatch; raises ``RelayError`` to forbid it."""

    def undo(self) -> None:
        """Withdraw the last dispatch, of which no byte was sent."""


class _NoGuard:
    """Authorises every dispatch, for idempotent requests."""

    def begin(self) -> None:
        pass

    def undo(self) -> None:
        pass


NO_GUARD = _NoGuard()
NO_RESERVATIONS: Mapping[str, str] = {}


@dataclass
class _Progress:
    """Combined result of the attempts of one request."""

    received: int = 0
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    # Time of the first event of the current attempt, and whether the answer has proven
    # that its request crashes no engine.
    first_event_s: float | None = None
    proven: bool = False
    # Attempts that reached a server, and attempts that may have been executed.
    reached: int = 0
    possible_executions: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have been executed."""
        return self.possible_executions > 0

    def begin_attempt(self) -> None:
        """Begin another attempt, of which no event has arrived."""
        self.first_event_s = None
        self.proven = False

    def streamed_s(self, now_s: float) -> float:
        """Return the time since the first event of the current attempt, or 0."""
        return 0.0 if self.first_event_s is None else now_s - self.first_event_s

    def set_final_outcome(self, error: RelayError) -> None:
        """Set the outcome of the final error from all attempts together."""
        if self.may_have_run:
            error.outcome = Outcome.UNKNOWN


class Dispatcher:
    """Executes requests on backend servers.

    ``on_failure`` is called with the id of the server that caused a failed attempt.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        monitor: StreamMonitor,
        budget: RetryBudget | SharedRetryBudget,
        on_failure: Callable[[str], None],
        reservations: Reservations,
        guard: PoisonGuard,
        clock: Callable[[], float],
    ):
        self._reservations = reservations
        self._guard = guard
        self.counters = StreamCounters()
        self.retries = 0
        self._scheduler = scheduler
        self._monitor = monitor
        self._budget = budget
        self._on_failure = on_failure
        self._clock = clock

    def stream(
        self, request: Request, guard: DispatchGuard = NO_GUARD
    ) -> Iterator[Chunk]:
        """Yield the chunks of an engine's answer in order, exactly once each.

        A broken stream is resumed on another engine from the tokens received so
        far.  While nothing arrives, keep-alive chunks are yielded.  Raises
        ``RelayError`` when the request fails; its outcome is ``not_run`` only when
        no attempt may have been executed.
        """
        self._budget.record_request(self._clock(), request.service)
        progress = _Progress(received=request.resume_from)
        try:
            while True:
                queued = self._enqueue(request, progress)
                try:
                    while (assignment := queued.wait(QUEUE_KEEP_ALIVE_S)) is None:
                        yield KEEP_ALIVE
                    try:
                        yield from self._attempt(assignment, request, progress, guard)
                        return
                    except (BackendError, OverloadError) as error:
                        failure = error
                finally:
                    self._scheduler.release(queued)
                yield from self._wait_for_retry(request, failure, assignment, progress)
        except RelayError as error:
            progress.set_final_outcome(error)
            raise
        finally:
            self._guard.record_finished(request)

    def call(
        self, request: Request, guard: DispatchGuard = NO_GUARD
    ) -> service.ServiceResponse:
        """Execute a request on a plain service.

        A request is retried only when no attempt may have been executed, or when
        its kind is idempotent.
        """
        self._budget.record_request(self._clock(), request.service)
        progress = _Progress()
        try:
            while True:
                queued = self._enqueue(request, progress)
                progress.begin_attempt()
                try:
                    while (assignment := queued.wait(QUEUE_KEEP_ALIVE_S)) is None:
                        pass
                    return self._call_once(assignment, request, progress, guard)
                except BackendError as error:
                    failure = error
                finally:
                    self._scheduler.release(queued)
                for _ in self._wait_for_retry(request, failure, assignment, progress):
                    pass
        except RelayError as error:
            progress.set_final_outcome(error)
            raise
        finally:
            self._guard.record_finished(request)

    def _enqueue(self, request: Request, progress: _Progress) -> QueuedAttempt:
        """Queue the next attempt; a ``RelayError`` from here is not retried."""
        if request.time_left_s(self._clock()) <= 0:
            raise DeadlineError("deadline passed", step="route", peer="backends")
        tried = frozenset(progress.tried)
        return self._scheduler.offer(request, _cost_of(request), tried)

    def _attempt(
        self,
        assignment: Assignment,
        request: Request,
        progress: _Progress,
        guard: DispatchGuard,
    ) -> Iterator[Chunk]:
        """Yield the remaining chunks of the answer from one engine."""
        entry = assignment.entry
        progress.begin_attempt()
        guard.begin()
        try:
            requirements = _memory_requirements(assignment)
            with self._reservations.hold(request.id, requirements) as names:
                self._admit_helper_parts(assignment)
                with engine.open_stream(
                    entry.pool,
                    request,
                    self._attempt_metadata(assignment, request, progress, names),
                    stream_timeouts(request.kind, assignment.placement.expected_s),
                    self.counters,
                    self._monitor,
                    self._clock,
                ) as stream:
                    yield from self._read_stream(stream, request, assignment, progress)
        except RelayError as error:
            if error.outcome is Outcome.NOT_RUN:
                guard.undo()
            if isinstance(error, BackendError):
                self._record_crash(entry, request, error, progress)
                self._record_failure(entry, error)
                self._check_deadline(request, entry.id)
            raise
        now_s = self._clock()
        entry.circuit.record_success(now_s)
        self._scheduler.record_success(entry)
        self._record_proof(request, progress, now_s, complete=True)
        tokens = _cost_of(request).kv_tokens
        entry.warm_up.record_success(tokens, True, now_s)

    def _read_stream(
        self,
        stream: EngineStream,
        request: Request,
        assignment: Assignment,
        progress: _Progress,
    ) -> Iterator[Chunk]:
        """Yield the chunks of a stream and record its progress."""
        last_s = None
        for chunk in stream:
            if chunk.event and not assignment.work.prefilled:
                self._scheduler.mark_prefilled(assignment)
                progress.first_event_s = self._clock()
            if chunk.event:
                last_s = self._record_event_gap(assignment, last_s)
            progress.received = stream.offset
            now_s = self._clock()
            if not progress.proven and progress.streamed_s(now_s) >= PROVEN_S:
                self._record_proof(request, progress, now_s)
            yield chunk

    def _record_event_gap(self, assignment: Assignment, last_s: float | None) -> float:
        """Record the time since the previous event; return the time of this one."""
        entry = assignment.entry
        now_s = self._clock()
        if last_s is None or entry.service is None or entry.service.timing is None:
            return now_s
        if entry.slowdown_detector.record_iteration(
            now_s - last_s, entry.service.timing, now_s
        ):
            slowdown = round(entry.slowdown_detector.slowdown(now_s), 2)
            log(Event.BACKEND_SLOW, backend=entry.id, pace_ratio=slowdown)
        return now_s

    def _call_once(
        self,
        assignment: Assignment,
        request: Request,
        progress: _Progress,
        guard: DispatchGuard,
    ) -> service.ServiceResponse:
        entry = assignment.entry
        guard.begin()
        attempt = self._attempt_metadata(assignment, request, progress)
        try:
            answer = service.call(entry.pool, request, attempt)
        except RelayError as error:
            if error.outcome is Outcome.NOT_RUN:
                guard.undo()
            if isinstance(error, BackendError):
                self._record_crash(entry, request, error, progress)
            self._record_failure(entry, error)
            raise
        now_s = self._clock()
        entry.circuit.record_success(now_s)
        self._scheduler.record_success(entry)
        self._record_proof(request, progress, now_s, complete=True)
        return answer

    def _attempt_metadata(
        self,
        assignment: Assignment,
        request: Request,
        progress: _Progress,
        reservations: Mapping[str, str] = NO_RESERVATIONS,
    ) -> Attempt:
        """Return the attempt metadata that is sent to the server."""
        helpers = tuple(
            PrefillHelper(entry.pool.address, reservations.get(entry.id, ""))
            for entry, _ in assignment.helpers
        )
        return Attempt(
            backend_id=assignment.entry.id,
            address=assignment.entry.pool.address,
            received=progress.received,
            time_left_s=request.time_left_s(self._clock()),
            priority=request.kind.priority,
            helpers=helpers,
            permit=assignment.permits.get(assignment.entry.id),
        )

    def _admit_helper_parts(self, assignment: Assignment) -> None:
        """Count the parts that reach the helpers.

        Raises ``BackendError`` if a helper accepts no request now.
        """
        now_s = self._clock()
        permits = assignment.permits
        for entry, _ in assignment.helpers:
            try:
                entry.pool.check_allowed(permits.get(entry.id))
            except BackendError as error:
                error.faulty_server = entry.id
                raise
        for entry, _ in assignment.helpers:
            entry.pool.restriction.record_sent(permits.get(entry.id), now_s)

    def _record_failure(self, entry: BackendEntry, error: RelayError) -> None:
        """Update the state of the server that a failed attempt puts at fault."""
        now_s = self._clock()
        culprit = self._scheduler.find(getattr(error, "faulty_server", "")) or entry
        ejection = culprit.ejection
        fault = getattr(error, "fault", Fault.BROKEN)
        if getattr(error, "no_response", False):
            self._scheduler.record_timeout(entry)
        if fault is Fault.UNREACHABLE:
            ejection.record_unreachable(now_s)
        elif fault is Fault.REPLACED:
            ejection.record_replaced()
        elif fault is Fault.BARRED:
            return
        elif fault is Fault.FULL and culprit is not entry:
            # A helper is unreachable, or delays the requests it helps with.
            ejection.record_unreachable(now_s)
        elif fault is Fault.FULL:
            ejection.record_full(now_s)
        else:
            culprit.circuit.record_failure(now_s)
            culprit.warm_up.record_failure(now_s)
        self._on_failure(culprit.id)

    def _record_proof(
        self,
        request: Request,
        progress: _Progress,
        now_s: float,
        complete: bool = False,
    ) -> None:
        """Record that an engine answers a request without a crash."""
        progress.proven = True
        begun_s = now_s if progress.first_event_s is None else progress.first_event_s
        self._guard.record_answer(request, begun_s, now_s, complete)

    def _record_crash(
        self,
        entry: BackendEntry,
        request: Request,
        error: BackendError,
        progress: _Progress,
    ) -> None:
        """Record a connection that was lost when the server began to answer."""
        if error.connection_lost:
            alone = self._scheduler.is_alone(entry)
            self._guard.record_crash(
                request, entry.process, alone, self._clock(), progress.proven
            )

    def _check_deadline(self, request: Request, peer: str) -> None:
        if request.time_left_s(self._clock()) <= 0:
            raise DeadlineError(
                "deadline passed while the answer was produced",
                step="stream",
                peer=peer,
                outcome=Outcome.UNKNOWN,
            )

    def _wait_for_retry(
        self,
        request: Request,
        error: RelayError,
        assignment: Assignment,
        progress: _Progress,
    ) -> Iterator[Chunk]:
        """Yield keep-alives until the request may be retried.

        Raises the error when a retry is unsafe, or when the retry budget does not
        allow one within ``MAX_RETRY_WAIT_S``.
        """
        first = assignment.entry.id not in progress.tried
        progress.tried.add(assignment.entry.id)
        progress.attempts += 1
        fault = getattr(error, "fault", Fault.BROKEN)
        progress.reached += fault not in (Fault.UNREACHABLE, Fault.BARRED)
        progress.possible_executions += error.outcome is not Outcome.NOT_RUN
        log(
            Event.ATTEMPT_FAILED,
            request=request.id,
            attempt=progress.attempts,
            received=progress.received,
            error=error,
            backend=assignment.entry.id,
            reason=fault.value,
            target=getattr(error, "faulty_server", "") or None,
            status=getattr(getattr(error, "response", None), "status", None),
            streamed_s=round(progress.streamed_s(self._clock()), 4),
        )
        reason = find_retry_denial(
            request.kind, progress.possible_executions, progress.reached
        )
        if not reason:
            self._scheduler.check_paused(request)
        # The first unsent attempt to each server does not use the budget: a refused
        # connection costs the server nothing.
        unsent = isinstance(error, BackendError) and error.outcome is Outcome.NOT_RUN
        allowed = first and unsent and not error.rejected
        end_s = min(self._clock() + MAX_RETRY_WAIT_S, request.deadline_s)
        while (
            not reason
            and not allowed
            and not self._budget.allow(self._clock(), request.service)
        ):
            if self._clock() >= end_s:
                reason = "budget"
            yield KEEP_ALIVE
            gevent.sleep(RETRY_POLL_INTERVAL_S)
        if reason:
            log(Event.RETRY_DENIED, request=request.id, reason=reason)
            raise error
        if not first:
            # Every server has been tried, so an immediate retry would likely fail too.
            yield KEEP_ALIVE
            gevent.sleep(RETRY_POLL_INTERVAL_S)
        self.retries += 1
        event = Event.STREAM_RESUMED if progress.received else Event.REQUEST_RETRIED
        log(event, request=request.id, received=progress.received)


def _memory_requirements(assignment: Assignment) -> list[MemoryRequirement]:
    """Return the KV cache reservations that the helpers must make."""
    pairs = zip(assignment.helpers, assignment.placement.reserved_tokens, strict=False)
    return [MemoryRequirement(entry.pool, tokens) for (entry, _), tokens in pairs]


def stream_timeouts(kind: RequestKind, expected_s: float) -> engine.StreamTimeouts:
    """Return the first-event and idle timeouts of a stream."""
    if not kind.gap_target_s:
        return engine.StreamTimeouts()
    idle_s = max(MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_GAPS * kind.gap_target_s)
    first_s = FIRST_EVENT_TARGETS * kind.target_s
    if expected_s:
        first_s = max(first_s, FIRST_EVENT_ESTIMATES * expected_s)
    slow_s = SLOW_IDLE_TIMEOUT_GAPS * kind.gap_target_s
    return engine.StreamTimeouts(max(MIN_IDLE_TIMEOUT_S, first_s), idle_s, slow_s)


def _cost_of(request: Request) -> Cost:
    """Return the cost in tokens; requests to plain services cost none."""
    if request.kind.target == "engine":
        return estimate_cost(request)
    return Cost(0, 0)
