"""Assignment of queued requests to backend servers as capacity becomes available."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import gevent
from gevent.event import AsyncResult, Event

from .admission import AdmissionQueue
from .backends.backend_entry import BackendEntry
from .backends.in_flight_work import InFlightWork
from .backends.restriction import Permit
from .backends.table import BackendTable
from .background import BackgroundTask, run_step
from .cost import Cost
from .errors import (
    ConflictError,
    DeadlineError,
    HarmfulRequestError,
    Outcome,
    OverloadError,
    RelayError,
)
from .events import Event as LogEvent
from .logs import log
from .permit_placement import place_with_permits
from .placement import Placement, place
from .poison.guard import Admission, PoisonGuard
from .poison.placement import isolated_choices
from .request import Request
from .routing import CostAware

# Wait estimates change with time alone, so the queue is retried periodically even
# without a load report.
QUEUE_POLL_INTERVAL_S = 0.05
# A prefill longer than this is announced to the other nodes at once: a few of them
# on one engine would exceed the time between events that its streams allow.
URGENT_PREFILL_S = 0.06
# A request waits for paused servers for at most this fraction of the time left until
# its latency target.
MAX_PAUSE_FRACTION = 0.5


@dataclass(frozen=True)
class Assignment:
    """A backend server assigned to a request, with the work registered on it.

    ``helpers`` prefill parts of the prompt; their work is registered as well.
    ``permits`` are those for the servers with a rate limit, by server id.
    """

    entry: BackendEntry
    work: InFlightWork
    placement: Placement
    helpers: tuple[tuple[BackendEntry, InFlightWork], ...] = ()
    permits: Mapping[str, Permit] = field(default_factory=dict)


class QueuedAttempt:
    """One attempt of a request that waits in the admission queue."""

    def __init__(self, request: Request, cost: Cost, tried: frozenset[str]):
        self.request = request
        self.cost = cost
        self.tried = tried
        self.assigned: AsyncResult = AsyncResult()

    def wait(self, timeout_s: float) -> Assignment | None:
        """Return the assignment to a backend server, None after the timeout.

        Raises ``DeadlineError`` when the request can no longer finish before its
        deadline.
        """
        try:
            return self.assigned.get(timeout=timeout_s)
        except gevent.Timeout:
            return None


class Scheduler(BackgroundTask):
    """Owns the admission queue of a node and the task that dispatches from it.

    ``guard`` decides which requests are sent, and which ones apart from others.
    ``on_work_change`` is called when the work of this node on a server has
    changed.  Its argument says whether the other nodes must be told at once, since a
    long prefill begins.
    """

    def __init__(
        self,
        table: BackendTable,
        policy: object,
        queue: AdmissionQueue,
        rng: random.Random,
        clock: Callable[[], float],
        guard: PoisonGuard,
        on_work_change: Callable[[bool], None] = lambda urgent: None,
    ):
        self.queue = queue
        self._guard = guard
        self._on_work_change = on_work_change
        self._table = table
        self._policy = policy
        self._rng = rng
        self._clock = clock
        self._queued: dict[str, QueuedAttempt] = {}
        self._wake = Event()

    def set_node_count(self, nodes: int) -> None:
        """Set how many nodes send similar traffic to the same engines."""
        if isinstance(self._policy, CostAware):
            self._policy = replace(self._policy, nodes=nodes)

    def offer(
        self, request: Request, cost: Cost, tried: frozenset[str]
    ) -> QueuedAttempt:
        """Queue an attempt that prefers servers not in ``tried``.

        Raises ``OverloadError`` when no server is available, the queue is full, or
        the request cannot finish before its deadline; ``ConflictError`` when one with
        its id is queued, which may still run; ``HarmfulRequestError`` when it would
        crash engines.
        """
        now_s = self._clock()
        self._guard.check(request, now_s)
        if request.id in self._queued:
            raise ConflictError(
                f"a request with the id {request.id!r} is queued already",
                step="queue",
                peer="caller",
                outcome=Outcome.UNKNOWN,
            )
        if not self._table.serves(request.kind.target, request.target_name, now_s):
            raise OverloadError(
                f"no backend server is available for {request.target_name!r}",
                step="route",
                peer="backends",
                retry_after_s=self.queue.retry_after_s(request, cost),
            )
        self.check_paused(request)
        self.queue.offer(request, cost, now_s)
        queued = QueuedAttempt(request, cost, tried)
        self._queued[request.id] = queued
        # Most requests can be placed immediately; waiting for the background task
        # would cost them two iterations of the event loop.
        self._assign_all()
        self._wake.set()
        return queued

    def check_paused(self, request: Request) -> None:
        """Raise ``OverloadError`` while all servers have paused or limited requests.

        A pause that ends early enough for the request's latency target is waited for.
        """
        now_s = self._clock()
        if not self._table.any_restricted(now_s):
            return
        kind = request.kind
        left_s = self._table.shortest_pause_s(
            kind.target, request.target_name, request.id, now_s
        )
        target_left_s = request.received_s + request.kind.target_s - now_s
        if left_s > max(0.0, MAX_PAUSE_FRACTION * target_left_s):
            raise OverloadError(
                f"all backend servers for {request.target_name!r} have paused or "
                "limited requests",
                step="route",
                peer="backends",
                retry_after_s=left_s,
            )

    def release(self, queued: QueuedAttempt) -> None:
        """Release what an attempt holds: its queue entry or its work on servers."""
        self._guard.record_ended(queued.request)
        if self._queued.get(queued.request.id) is queued:
            del self._queued[queued.request.id]
            self.queue.remove(queued.request.id)
            self._table.withdraw_demand(queued.request.id)
        elif queued.assigned.successful():
            assignment = queued.assigned.get()
            self._table.release(assignment.entry, assignment.work)
            for entry, work in assignment.helpers:
                self._table.release(entry, work)
            self._wake.set()
            self._on_work_change(False)

    def mark_prefilled(self, assignment: Assignment) -> None:
        """Mark the prefill as done, after the first event from the server."""
        self._table.record_reachable(assignment.entry)
        self._table.mark_prefilled(assignment.entry, assignment.work)
        for entry, work in assignment.helpers:
            self._table.mark_prefilled(entry, work)
        self._on_work_change(False)

    def record_success(self, entry: BackendEntry) -> None:
        """Record a complete answer of a server."""
        entry.ejection.record_success()
        self._table.record_reachable(entry)

    def is_alone(self, entry: BackendEntry) -> bool:
        """Return whether a server has no known request but one."""
        return self._table.total_work(entry.id, self._clock())[0].decodes <= 1

    def record_timeout(self, entry: BackendEntry) -> None:
        """Record that a server sent no response at all."""
        self._table.record_timeout(entry, self._clock())

    def find(self, name: str) -> BackendEntry | None:
        """Return the backend server with this id or address, or None."""
        return self._table.find(name) if name else None

    def wake(self) -> None:
        """Retry the queued requests, since a backend server may have capacity."""
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.wait(QUEUE_POLL_INTERVAL_S if self._queued else None)
            self._wake.clear()
            run_step(self._expire)
            run_step(self._reject_paused)
            run_step(self._reject_harmful)
            run_step(self._assign_all)

    def _assign_all(self) -> None:
        while self._assign_next():
            pass

    def _expire(self) -> None:
        for request in self.queue.expire(self._clock()):
            queued = self._queued.pop(request.id, None)
            if queued is not None:
                error = DeadlineError(
                    "no backend server had capacity before the deadline",
                    step="queue",
                    peer="backends",
                    retry_after_s=self.queue.retry_after_s(request, queued.cost),
                )
                queued.assigned.set_exception(error)

    def _reject_paused(self) -> None:
        """Reject the queued requests whose servers take none of them for too long."""
        if not self._table.any_restricted(self._clock()):
            return
        for queued in list(self._queued.values()):
            try:
                self.check_paused(queued.request)
            except OverloadError as error:
                self._reject(queued, error)

    def _reject_harmful(self) -> None:
        """Reject the queued requests that are known to crash engines by now."""
        for queued in list(self._queued.values()):
            try:
                self._guard.check(queued.request, self._clock())
            except HarmfulRequestError as error:
                self._reject(queued, error)

    def _reject(self, queued: QueuedAttempt, error: RelayError) -> None:
        del self._queued[queued.request.id]
        self.queue.remove(queued.request.id)
        self._table.withdraw_demand(queued.request.id)
        queued.assigned.set_exception(error)

    def _assign_next(self) -> bool:
        """Assign the next request that can be placed; return whether there was one."""
        now_s = self._clock()
        chosen: list[Placement] = []
        failed: list[tuple[QueuedAttempt, Exception]] = []

        def fits(request: Request, cost: Cost) -> bool:
            queued = self._queued[request.id]
            try:
                placement = self._place(queued, cost, now_s)
            except Exception as error:
                failed.append((queued, error))
                return False
            if placement is not None:
                chosen.append(placement)
            return placement is not None

        request = self.queue.next(now_s, fits)
        for queued, error in failed:
            self._fail(queued, error)
        if request is None:
            return False
        queued = self._queued.pop(request.id)
        placement = chosen[-1]
        self._log_placement(queued, placement, now_s)
        if self._guard.admission(request, now_s) is Admission.ISOLATED:
            self._guard.record_sent(request, now_s)
        queued.assigned.set(
            register_placement(self._table, queued.cost, placement, now_s, request.id)
        )
        self._on_work_change(placement.prefill_s > URGENT_PREFILL_S)
        return True

    def _fail(self, queued: QueuedAttempt, error: Exception) -> None:
        """Fail a request whose placement raised, so that it does not block others."""
        log(LogEvent.TASK_FAILED, task="place", error=error)
        del self._queued[queued.request.id]
        self.queue.remove(queued.request.id)
        failure = RelayError("internal error", step="place", peer="node")
        queued.assigned.set_exception(failure)

    def _log_placement(
        self, queued: QueuedAttempt, placement: Placement, now_s: float
    ) -> None:
        """Log the known work on the chosen server and the age of that information."""
        work, age_s = self._table.total_work(placement.backend_id, now_s)
        limit = self._table.get(placement.backend_id).pool.restriction.limit
        log(
            LogEvent.REQUEST_PLACED,
            request=queued.request.id,
            backend=placement.backend_id,
            attempt=len(queued.tried) + 1,
            waited_s=round(now_s - queued.request.received_s, 4),
            helpers=placement.helpers,
            reserved_tokens=sum(placement.reserved_tokens),
            expected_s=round(placement.expected_s, 4),
            writers_count=work.decodes,
            reading_s=round(work.reading_s, 4),
            peers_age_s=round(age_s, 3),
            limit_per_s=limit.current.per_s if limit.is_limited else None,
            limit_age_s=round(limit.age_s(now_s), 3) if limit.is_limited else None,
        )

    def _place(
        self, queued: QueuedAttempt, cost: Cost, now_s: float
    ) -> Placement | None:
        admission = self._guard.admission(queued.request, now_s)
        if admission is Admission.HELD:
            return None
        isolated = admission is Admission.ISOLATED
        waited_s = now_s - queued.request.received_s
        cost = replace(cost, target_s=max(0.0, cost.target_s - waited_s))
        return place_with_permits(
            self._table,
            lambda permit_wait_s: self._choose(
                queued, cost, permit_wait_s, isolated, now_s
            ),
            queued.request.id,
            now_s,
        )

    def _choose(
        self,
        queued: QueuedAttempt,
        cost: Cost,
        permit_wait_s: float | None,
        isolated: bool,
        now_s: float,
    ) -> Placement | None:
        """Return the policy's placement on servers that were not tried, if any."""
        request = queued.request
        views = self._table.views(
            request.kind.target, request.target_name, now_s, permit_wait_s
        )
        untried = [view for view in views if view.id not in queued.tried] or views
        if not isolated:
            return place(self._policy, cost, untried, now_s, self._rng)
        key = self._guard.isolation_key(request)
        for choice in isolated_choices(self._policy, cost, untried, key):
            placement = place(self._policy, cost, choice, now_s, self._rng)
            if placement is not None:
                return placement
        return None


def register_placement(
    table: BackendTable,
    cost: Cost,
    placement: Placement,
    now_s: float,
    request_id: str = "",
) -> Assignment:
    """Register the work of a placement on its servers, and take its permits."""
    entry = table.get(placement.backend_id)
    permits = {
        backend_id: permit
        for backend_id in placement.servers
        if (permit := table.take_permit(backend_id, request_id, now_s)) is not None
    }
    table.withdraw_demand(request_id)
    entry.circuit.allow(now_s)
    prefill_s = placement.prefill_s
    own_tokens = cost.kv_tokens - sum(placement.reserved_tokens)
    work = table.hold(entry, cost, now_s, prefill_s=prefill_s, tokens=own_tokens)
    helpers = []
    for backend_id, tokens in itertools.zip_longest(
        placement.helpers, placement.reserved_tokens, fillvalue=0
    ):
        helper = table.get(backend_id)
        part = table.hold(
            helper, cost, now_s, prefill_s=prefill_s, part=True, tokens=tokens
        )
        helpers.append((helper, part))
    return Assignment(entry, work, placement, tuple(helpers), permits)
