"""Sends requests to backend servers, and retries where that is safe."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from .backends import engine, service
from .backends.stream import Chunk, StreamCounters
from .backends.table import BackendEntry, BackendTable
from .cost import Cost, estimate_cost
from .errors import BackendError, DeadlineError, Outcome, OverloadError, RelayError
from .request import Request
from .retry import RetryBudget
from .routing import choose

NO_BACKEND_RETRY_S = 1.0


class Dispatcher:
    """Runs requests on the backend servers of a table."""

    def __init__(
        self,
        table: BackendTable,
        policy: object,
        budget: RetryBudget,
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self.counters = StreamCounters()
        self.resumed = 0
        self._table = table
        self._policy = policy
        self._budget = budget
        self._rng = rng
        self._clock = clock

    def stream(self, request: Request) -> Iterator[Chunk]:
        """Yield the chunks of an engine's answer, in order and each once.

        A stream that breaks is resumed on another engine from the tokens
        received so far.  Raises ``RelayError`` when the request fails.
        """
        cost = estimate_cost(request)
        self._budget.record_request(self._clock())
        received = 0
        tried: set[str] = set()
        while True:
            entry = self._select(request, cost, tried)
            try:
                for chunk in self._attempt(entry, request, cost, received):
                    received = chunk.offset if chunk.event else received
                    yield chunk
                return
            except (BackendError, OverloadError) as error:
                self._check_retry(request, error)
                tried.add(entry.id)
                self.resumed += 1

    def call(self, request: Request) -> service.ServiceAnswer:
        """Run a request on a plain service.

        A request is sent again only when no byte of it was sent before, or
        when its kind is idempotent.
        """
        cost = Cost(0, 0)
        self._budget.record_request(self._clock())
        tried: set[str] = set()
        while True:
            entry = self._select(request, cost, tried)
            try:
                return self._call_once(entry, request, cost)
            except BackendError as error:
                self._check_retry(request, error)
                tried.add(entry.id)

    def _select(self, request: Request, cost: Cost, tried: set[str]) -> BackendEntry:
        """Return the server for the next attempt; raises ``RelayError``."""
        now_s = self._clock()
        if request.time_left_s(now_s) <= 0:
            raise DeadlineError("deadline passed", step="route", peer="backends")
        kind = request.kind
        name = request.model if kind.target == "engine" else kind.name
        views = self._table.views(kind.target, name, now_s)
        fresh = [view for view in views if view.id not in tried] or views
        view = choose(self._policy, cost, fresh, now_s, self._rng)
        if view is None:
            raise OverloadError(
                f"no backend server takes requests for {name!r} now",
                step="route",
                peer="backends",
                retry_after_s=NO_BACKEND_RETRY_S,
            )
        entry = self._table.get(view.id)
        entry.circuit.allow(now_s)
        return entry

    def _attempt(
        self, entry: BackendEntry, request: Request, cost: Cost, received: int
    ) -> Iterator[Chunk]:
        """Yield the rest of the answer from one engine."""
        now_s = self._clock()
        try:
            with (
                self._table.hold(entry, cost, now_s),
                engine.open_stream(
                    entry.pool, request, received, self.counters, now_s
                ) as stream,
            ):
                for chunk in stream:
                    yield chunk
                    self._check_deadline(request, entry.id)
                    stream.limit_read(request.time_left_s(self._clock()))
        except BackendError:
            self._record_failure(entry)
            self._check_deadline(request, entry.id)
            raise
        now_s = self._clock()
        entry.circuit.record_success(now_s)
        entry.warm_up.record_success(cost.kv_tokens, True, now_s)

    def _call_once(
        self, entry: BackendEntry, request: Request, cost: Cost
    ) -> service.ServiceAnswer:
        try:
            now_s = self._clock()
            with self._table.hold(entry, cost, now_s):
                answer = service.call(entry.pool, request, now_s)
        except RelayError:
            self._record_failure(entry)
            raise
        entry.circuit.record_success(self._clock())
        return answer

    def _record_failure(self, entry: BackendEntry) -> None:
        now_s = self._clock()
        entry.circuit.record_failure(now_s)
        entry.warm_up.record_failure(now_s)

    def _check_deadline(self, request: Request, peer: str) -> None:
        if request.time_left_s(self._clock()) <= 0:
            raise DeadlineError(
                "deadline passed while the answer was produced",
                step="stream",
                peer=peer,
                outcome=Outcome.UNKNOWN,
            )

    def _check_retry(self, request: Request, error: RelayError) -> None:
        """Raise the error when the request must not be sent again."""
        may_have_run = error.outcome is not Outcome.NOT_RUN
        if may_have_run and not request.kind.idempotent:
            raise error
        if not self._budget.allow(self._clock()):
            raise error


def collect(chunks: Iterator[Chunk]) -> tuple[str, str | None]:
    """Return the whole text of an answer and its finish reason."""
    parts: list[str] = []
    reason = None
    for chunk in chunks:
        parts.append(chunk.content)
        reason = chunk.finish_reason or reason
    return "".join(parts), reason


