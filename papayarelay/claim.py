"""At-most-once execution of non-idempotent requests (design section 3.1).

A node claims a request by inserting a row under its idempotency key in the table
service before it sends any byte to a backend server.  No other node may take over
the claim.  Rows expire by the wall clock of the node that inserted them; see
``claim_rows.is_expired`` for the tolerated clock skew.  Names of monotonic times end
in ``_s``, those of wall-clock times in ``_wall_s``.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

import gevent
import msgspec

from .bucket import TokenBucket
from .claim_rows import (
    CLOCK_SKEW_MARGIN_S,
    MAX_RECORDED_BODY_BYTES,
    RETRY_AFTER_S,
    ClaimRow,
    ClaimState,
    RecordedOutcome,
    decode,
    may_delete,
    partition_prefixes,
    request_digest,
    row_key,
    store_unavailable_error,
    to_recorded_outcome,
)
from .errors import (
    CheckFailedError,
    ConflictError,
    DeadlineError,
    Outcome,
    OverloadError,
    RequestError,
    StoreError,
    StoreUnavailableError,
)
from .request import Request
from .store.client import Check, Row, Write

MAX_DEADLINE_S = 3600.0

CLAIM_TIMEOUT_S = 2.0
REJECT_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 5.0
# Largest fraction of the remaining time that the claim may use, so that a rejection
# can still be recorded before the deadline.
CLAIM_TIME_FRACTION = 0.5
INITIAL_RETRY_DELAY_S = 0.05
# Largest fraction of the remaining time for one call, so that a call whose response
# is lost can be retried.
CALL_TIME_FRACTION = 0.5
MIN_CALL_TIMEOUT_S = 0.01

MAX_POLL_TIME_S = 10.0
INITIAL_POLL_DELAY_S = 0.1
MAX_POLL_DELAY_S = 2.0
MAX_POLLING_RETRIES = 64

WRITES_PER_S = 20.0
BURST_S = 2.0
MIN_BURST = 4.0
# One write for the claim and one for its outcome.
WRITES_PER_CLAIM = 2
FAILURES_TO_SUSPEND = 3
SUSPENSION_S = 1.0

HEX_DIGITS = "0123456789abcdef"
MAX_SCANS_PER_SWEEP = 8
MAX_ROWS_PER_SCAN = 100
MAX_DELETES_PER_SCAN = 50


@dataclass
class Progress:
    """Progress of a claimed request on this node."""

    dispatching: bool = False
    finished: bool = False


@dataclass(frozen=True)
class Claim:
    """A committed claim; only its owner may dispatch the request, and only once."""

    row_key: str
    version: int
    row: ClaimRow
    claimed_s: float
    deadline_s: float
    progress: Progress = field(default_factory=Progress, compare=False)


@dataclass(frozen=True)
class SweepResult:
    """Result of one call of ``Claims.sweep``; ``done`` is set at the end of a pass."""

    scans: int
    deleted: int
    done: bool


@dataclass
class ClaimCounters:
    """Counters of claims by result since the node started."""

    claimed: int = 0
    recorded: int = 0
    conflicts: int = 0
    rate_limited: int = 0
    store_failures: int = 0
    not_recorded: int = 0
    swept: int = 0


class Table(Protocol):
    """The operations of the table service that claims need."""

    def get(self, key: str, timeout_s: float | None = None) -> Row | None:
        """Return a row or None."""

    def scan(
        self, prefix: str, limit: int, timeout_s: float | None = None
    ) -> list[Row]:
        """Return rows under a prefix in key order."""

    def transact(
        self,
        checks: Sequence[Check],
        writes: Sequence[Write],
        timeout_s: float | None = None,
    ) -> int:
        """Apply writes if all checks hold; return the commit version."""


def may_dispatch(claim: Claim, now_s: float, wall_s: float) -> bool:
    """Return whether a claimed request may still be dispatched before its deadline.

    The wall clock is checked as well because the monotonic clock may stop while a
    VM is suspended.  Both wall-clock readings are from the same node, so skew
    between nodes has no effect; the margin tolerates a step of the clock.
    """
    allowed_s = claim.deadline_s - claim.claimed_s
    elapsed_wall_s = wall_s - claim.row.claimed_wall_s
    return now_s < claim.deadline_s and elapsed_wall_s < allowed_s + CLOCK_SKEW_MARGIN_S


class Claims:
    """Creates, completes and garbage-collects the claims of one node.

    ``scopes`` returns the pairs of member and non-idempotent kind whose expired rows
    are deleted.  ``writes_per_s`` is this node's share of the store's write rate for
    claims.
    """

    def __init__(
        self,
        table: Table,
        *,
        scopes: Callable[[], Iterable[tuple[str, str]]] = tuple,
        writes_per_s: float = WRITES_PER_S,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        wait: Callable[[float], None] = gevent.sleep,
    ):
        self._table = table
        self._scopes = scopes
        self._clock = clock
        self._wall_clock = wall_clock
        self._wait = wait
        self._write_bucket = TokenBucket(writes_per_s, _burst_size(writes_per_s))
        self._polling = 0
        self._failures = 0
        self._suspended_until_s = 0.0
        self._sweep_partition: tuple[int, int] | None = None
        self._sweep_prefixes: list[str] = []
        self.counters = ClaimCounters()

    def is_suspended(self, now_s: float) -> bool:
        """Return whether claims fail fast because the store is unavailable."""
        return now_s < self._suspended_until_s

    def set_writes_per_s(self, now_s: float, writes_per_s: float) -> None:
        """Set this node's share of the write rate for claims."""
        self._write_bucket.set_rate(now_s, writes_per_s, _burst_size(writes_per_s))

    def claim(self, request: Request, now_s: float) -> Claim | RecordedOutcome:
        """Claim a request, or return the recorded outcome of an earlier attempt.

        Raises RequestError without an idempotency key, OverloadError above the write
        rate, ConflictError when the key was used for a different request,
        DeadlineError when the deadline passes or an earlier attempt is still in
        progress, and StoreError.  The outcome of the error is ``not_run`` only when
        a row in state ``refused`` is known to be committed.
        """
        _require_key(request)
        if request.time_left_s(now_s) <= 0:
            raise _deadline_error(Outcome.UNKNOWN)
        if self.is_suspended(now_s):
            raise store_unavailable_error("the table service is unavailable")
        if not self._write_bucket.take(now_s, WRITES_PER_CLAIM):
            self.counters.rate_limited += 1
            raise self._rate_limit_error(now_s)
        new_row = self._new_row(request, ClaimState.CLAIMED)
        key = _request_row_key(request)
        end_s = _claim_end_s(request, now_s)
        try:
            version, found = self._compare_and_set(key, 0, new_row, end_s)
        except StoreError as error:
            error.outcome = self._record_rejection(
                key, new_row, self._rejection_end_s(request)
            )
            self._count_failure(full_timeout=end_s - now_s >= CLAIM_TIMEOUT_S)
            raise
        self._failures = 0
        if found != new_row:
            self._write_bucket.put_back(1)
            return self._handle_retry(request, key, new_row, found)
        return self._create_claim(request, key, version, new_row, now_s)

    def begin_dispatch(self, claim: Claim, now_s: float) -> None:
        """Mark the claim as dispatching; call it right before connecting to the server.

        Raises DeadlineError when the deadline has passed, in which case nothing may
        be sent, and ConflictError when the claim was already dispatched or finished.
        """
        if claim.progress.dispatching or claim.progress.finished:
            raise ConflictError(
                "the claimed request has already been dispatched",
                step="dispatch",
                peer="caller",
                outcome=Outcome.UNKNOWN,
            )
        if not may_dispatch(claim, now_s, self._wall_clock()):
            raise _deadline_error(Outcome.UNKNOWN)
        claim.progress.dispatching = True

    def undo_dispatch(self, claim: Claim) -> None:
        """Allow another dispatch after a connection was refused, with no byte sent."""
        claim.progress.dispatching = False

    def finish(
        self,
        claim: Claim,
        outcome: Outcome,
        status: int,
        body: bytes,
        now_s: float,
        *,
        content_type: str = "application/json",
    ) -> Outcome:
        """Record the outcome of a claim; return the outcome to report to the caller.

        ``completed`` is reported even if it cannot be recorded, since the response
        is available.  ``not_run`` becomes ``unknown`` if the request may have been
        dispatched or the row in state ``refused`` is not known to be committed.
        ``unknown`` leaves the row unchanged.
        """
        if claim.progress.finished:
            return Outcome.UNKNOWN
        claim.progress.finished = True
        if outcome is Outcome.COMPLETED:
            self._record_completion(claim, status, body, now_s, content_type)
            return Outcome.COMPLETED
        if outcome is Outcome.UNKNOWN or claim.progress.dispatching:
            return Outcome.UNKNOWN
        return self._record_own_rejection(claim, now_s + REJECT_TIMEOUT_S)

    def reject(self, request: Request, now_s: float) -> Outcome:
        """Reject a request that was not claimed; return the outcome to report.

        Idempotent kinds need no store access.  For other kinds the outcome is
        ``not_run`` only once a row in state ``refused`` is committed.
        """
        if request.kind.idempotent or request.idempotency_key is None:
            return Outcome.NOT_RUN
        if request.time_left_s(now_s) <= 0 or not self._write_bucket.take(now_s):
            return Outcome.UNKNOWN
        row = self._new_row(request, ClaimState.REFUSED)
        end_s = min(now_s + REJECT_TIMEOUT_S, request.deadline_s)
        return self._record_rejection(_request_row_key(request), row, end_s)

    def look_up(self, member: str, kind: str, key: str) -> ClaimRow | None:
        """Return the claim row of an idempotency key, or None.

        Raises StoreUnavailableError, also for a row that cannot be decoded.
        """
        row = self._table.get(row_key(member, kind, key))
        return None if row is None else decode(row)

    def sweep(self, now_s: float, node_index: int, node_count: int) -> SweepResult:
        """Delete a bounded number of expired rows of this node's partition.

        Each call continues the pass where the previous one stopped.  Nodes that
        disagree about ``node_count`` at worst scan some rows twice, because each
        deletion checks the version of its row.  Raises StoreError.
        """
        if not self._sweep_prefixes or self._sweep_partition != (
            node_index,
            node_count,
        ):
            self._sweep_partition = (node_index, node_count)
            prefixes = partition_prefixes(self._scopes(), node_index, node_count)
            self._sweep_prefixes = prefixes[::-1]
        scans = deleted = 0
        while self._sweep_prefixes and scans < MAX_SCANS_PER_SWEEP:
            if not self._write_bucket.take(now_s):
                break
            scans += 1
            deleted += self._sweep_prefix(self._sweep_prefixes[-1])
        self.counters.swept += deleted
        return SweepResult(scans, deleted, not self._sweep_prefixes)

    def _sweep_prefix(self, prefix: str) -> int:
        rows = self._table.scan(prefix, MAX_ROWS_PER_SCAN)
        if len(rows) == MAX_ROWS_PER_SCAN:
            # Scans have no continuation token, so a prefix with too many rows is split
            # by the next hex digit of the hashed keys.
            self._sweep_prefixes.pop()
            self._sweep_prefixes += [prefix + digit for digit in HEX_DIGITS[::-1]]
            self._write_bucket.put_back(1)
            return 0
        wall_s = self._wall_clock()
        old = [row for row in rows if may_delete(row, wall_s)]
        part = old[:MAX_DELETES_PER_SCAN]
        if part:
            checks = [Check(row.key, row.version) for row in part]
            self._table.transact(checks, [Write(row.key, None) for row in part])
        else:
            self._write_bucket.put_back(1)
        if len(part) == len(old):
            self._sweep_prefixes.pop()
        return len(part)

    def _create_claim(
        self, request: Request, key: str, version: int, row: ClaimRow, now_s: float
    ) -> Claim:
        deadline_s = min(request.deadline_s, now_s + MAX_DEADLINE_S)
        claim = Claim(key, version, row, now_s, deadline_s)
        present_s = self._clock()
        if may_dispatch(claim, present_s, self._wall_clock()):
            self.counters.claimed += 1
            return claim
        outcome = self.finish(claim, Outcome.NOT_RUN, 0, b"", present_s)
        raise _deadline_error(outcome)

    def _handle_retry(
        self, request: Request, key: str, new_row: ClaimRow, found: ClaimRow
    ) -> RecordedOutcome:
        if found.digest != new_row.digest:
            self.counters.conflicts += 1
            raise ConflictError(
                "the idempotency key was already used for a different request",
                step="claim",
                peer="caller",
                outcome=Outcome.UNKNOWN,
            )
        if found.state is ClaimState.CLAIMED:
            found = self._wait_for_outcome(request, key, found)
        if found.state is ClaimState.CLAIMED:
            raise DeadlineError(
                "an earlier attempt has no outcome yet; retry with the same "
                "idempotency key",
                step="claim",
                peer="store",
                outcome=Outcome.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        self.counters.recorded += 1
        return to_recorded_outcome(found)

    def _wait_for_outcome(
        self, request: Request, key: str, found: ClaimRow
    ) -> ClaimRow:
        if self._polling >= MAX_POLLING_RETRIES:
            return found
        self._polling += 1
        try:
            return self._poll(request, key, found)
        finally:
            self._polling -= 1

    def _poll(self, request: Request, key: str, found: ClaimRow) -> ClaimRow:
        end_s = min(request.deadline_s, self._clock() + MAX_POLL_TIME_S)
        delay_s = INITIAL_POLL_DELAY_S
        while self._clock() + delay_s < end_s:
            self._wait(delay_s)
            delay_s = min(2 * delay_s, MAX_POLL_DELAY_S)
            try:
                row = self._table.get(key, timeout_s=self._call_timeout_s(end_s))
            except StoreUnavailableError:
                continue
            if row is None:
                return found
            found = decode(row)
            if found.state is not ClaimState.CLAIMED:
                return found
        return found

    def _compare_and_set(
        self, key: str, version: int, row: ClaimRow, end_s: float
    ) -> tuple[int, ClaimRow | None]:
        """Compare-and-set a row, with retries until the result is known.

        Returns the version and value that are stored: ``row`` if this or an earlier
        try wrote it, the conflicting value otherwise, or None if an existing row was
        deleted.  Raises StoreError at ``end_s``.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        value = msgspec.json.encode(row)
        while True:
            try:
                found = self._try_compare_and_set(key, version, value, end_s)
            except StoreError as error:
                failure = error
            else:
                if found is not None:
                    return found.version, decode(found)
                if version:
                    return 0, None
                failure = store_unavailable_error(
                    "the claim row changed during the write"
                )
            now_s = self._clock()
            if now_s + delay_s >= end_s or not self._write_bucket.take(now_s):
                raise failure
            self._wait(delay_s)
            delay_s *= 2

    def _try_compare_and_set(
        self, key: str, version: int, value: bytes, end_s: float
    ) -> Row | None:
        write = Write(key, value)
        try:
            written = self._table.transact(
                [Check(key, version)], [write], timeout_s=self._call_timeout_s(end_s)
            )
        except CheckFailedError:
            return self._table.get(key, timeout_s=self._call_timeout_s(end_s))
        return Row(key, value, written)

    def _record_rejection(self, key: str, row: ClaimRow, end_s: float) -> Outcome:
        """Write ``refused`` for an attempt that was not and will not be dispatched."""
        refused = replace(row, state=ClaimState.REFUSED)
        try:
            version, found = self._compare_and_set(key, 0, refused, end_s)
            if found.state is ClaimState.CLAIMED and found.attempt == row.attempt:
                _, found = self._compare_and_set(key, version, refused, end_s)
        except StoreError:
            return Outcome.UNKNOWN
        return _rejection_outcome(found)

    def _record_own_rejection(self, claim: Claim, end_s: float) -> Outcome:
        refused = replace(claim.row, state=ClaimState.REFUSED)
        try:
            _, found = self._compare_and_set(
                claim.row_key, claim.version, refused, end_s
            )
        except StoreError:
            return Outcome.UNKNOWN
        return _rejection_outcome(found)

    def _record_completion(
        self, claim: Claim, status: int, body: bytes, now_s: float, content_type: str
    ) -> None:
        completed = replace(
            claim.row,
            state=ClaimState.COMPLETED,
            status=status,
            content_type=content_type,
            body=body if len(body) <= MAX_RECORDED_BODY_BYTES else None,
            body_bytes=len(body),
        )
        # The response is held back until the outcome is recorded, but past the deadline
        # no longer than the limit for a rejection.
        end_s = min(
            now_s + RECORD_TIMEOUT_S, max(claim.deadline_s, now_s + REJECT_TIMEOUT_S)
        )
        try:
            _, found = self._compare_and_set(
                claim.row_key, claim.version, completed, end_s
            )
        except StoreError:
            found = None
        if found != completed:
            self.counters.not_recorded += 1

    def _count_failure(self, full_timeout: bool) -> None:
        """Suspend claims after several consecutive store failures.

        Without it each request would wait for the full timeout only to be rejected.
        Claims with less than the full timeout do not count, so that requests with
        short deadlines cannot suspend the others.
        """
        self.counters.store_failures += 1
        if not full_timeout:
            return
        self._failures += 1
        if self._failures >= FAILURES_TO_SUSPEND:
            self._suspended_until_s = self._clock() + SUSPENSION_S

    def _new_row(self, request: Request, state: ClaimState) -> ClaimRow:
        digest = request_digest(request)
        return ClaimRow(state, uuid.uuid4().hex, digest, self._wall_clock())

    def _rejection_end_s(self, request: Request) -> float:
        return min(self._clock() + REJECT_TIMEOUT_S, request.deadline_s)

    def _call_timeout_s(self, end_s: float) -> float:
        return max(MIN_CALL_TIMEOUT_S, (end_s - self._clock()) * CALL_TIME_FRACTION)

    def _rate_limit_error(self, now_s: float) -> OverloadError:
        return OverloadError(
            "too many non-idempotent requests; retry with the same idempotency key",
            step="claim",
            peer="store",
            outcome=Outcome.UNKNOWN,
            retry_after_s=self._write_bucket.wait_s(now_s, WRITES_PER_CLAIM),
        )


def _burst_size(writes_per_s: float) -> float:
    return max(MIN_BURST, writes_per_s * BURST_S)


def _require_key(request: Request) -> None:
    if request.idempotency_key is None:
        raise RequestError(
            f"requests of kind {request.kind.name} require an Idempotency-Key header",
            step="claim",
            peer="caller",
        )


def _request_row_key(request: Request) -> str:
    return row_key(request.member, request.kind.name, request.idempotency_key)


def _claim_end_s(request: Request, now_s: float) -> float:
    return now_s + min(
        CLAIM_TIMEOUT_S, request.time_left_s(now_s) * CLAIM_TIME_FRACTION
    )


def _deadline_error(outcome: Outcome) -> DeadlineError:
    return DeadlineError(
        "the deadline passed before the request was dispatched",
        step="claim",
        peer="store",
        outcome=outcome,
    )


def _rejection_outcome(row: ClaimRow | None) -> Outcome:
    if row is not None and row.state is ClaimState.REFUSED:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
