"""Leases that serialize commands to engines (docs/model.md).

The row ``lease/<engine>`` holds the owner, the fencing token, the expiry of the lease
and the deadline of the pending command.  Each command gets a new fencing token in the
write that announces it, so a later command always has a higher token, also when both
come from the same owner.  Times in the row are wall-clock times of the node that
wrote them; ``now_s`` is the wall clock of the calling node.
"""

from __future__ import annotations

import uuid
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol
from urllib.parse import quote

import msgspec

from .errors import (
    CheckFailedError,
    ConflictError,
    DeadlineError,
    Outcome,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .store.client import Check, Row, Write

LEASE_DURATION_S = 15.0
# Largest tolerated clock skew between two nodes.
CLOCK_SKEW_MARGIN_S = 10.0
# Time from the announcement of a command to its deadline.
COMMAND_TIMEOUT_S = 30.0
# Fencing tokens rise with time as well, so that a store that was restored from a backup
# does not lead to the same ones again.
TOKENS_PER_S = 1000
MAX_WRITE_TRIES = 3
RETRY_AFTER_S = 1.0


class Table(Protocol):
    """The operations of the table service that leases need."""

    def get(self, key: str) -> Row | None:
        """Return a row or None."""

    def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Apply writes if all checks hold; return the commit version."""


@dataclass(frozen=True)
class LeaseRow:
    """Value of a lease row.

    ``owner`` is empty after a release.  ``order_end_s`` is the deadline of the pending
    command, or None.  ``write_id`` is unique per write, so that a writer recognizes
    its own row after a lost response.
    """

    owner: str
    number: int
    end_s: float
    order_end_s: float | None
    write_id: str


@dataclass(frozen=True)
class Lease:
    """A lease as last written by its owner, with the version of its row."""

    engine: str
    checks_fencing: bool
    version: int
    row: LeaseRow

    @property
    def fencing_token(self) -> int:
        """Fencing token of the last announced command, or else of the acquisition."""
        return self.row.number


def lease_key(engine: str) -> str:
    """Return the key of the lease row of an engine."""
    return f"lease/{quote(engine, safe='')}"


def acquire_delay_s(
    row: LeaseRow | None, owner: str, now_s: float, await_pending: bool
) -> float:
    """Return the delay in seconds until ``owner`` may acquire a lease; 0 for now.

    The lease of another node counts as expired only ``CLOCK_SKEW_MARGIN_S`` after its
    expiry.  With ``await_pending``, for engines that ignore fencing tokens, the
    deadline of a pending command must have passed by that margin as well, whoever
    sent it.
    """
    if row is None:
        return 0.0
    ends_s = [now_s]
    if row.owner not in ("", owner):
        ends_s.append(row.end_s + CLOCK_SKEW_MARGIN_S)
    if await_pending and row.order_end_s is not None:
        ends_s.append(row.order_end_s + CLOCK_SKEW_MARGIN_S)
    return max(ends_s) - now_s


def next_token(last: int, now_s: float) -> int:
    """Return the fencing token that follows the last one in the store."""
    return max(last + 1, int(now_s * TOKENS_PER_S))


def may_write(lease: Lease, now_s: float) -> bool:
    """Return whether the owner may renew the lease or announce a command."""
    return now_s < lease.row.end_s


def may_send(lease: Lease, now_s: float) -> bool:
    """Return whether the announced command may still be sent."""
    return lease.row.order_end_s is not None and now_s < lease.row.order_end_s


class Leases:
    """Acquires and updates leases for one owner.

    ``owner`` must be unique per process and per operator, because an owner may
    reacquire its own lease before the lease expires.
    """

    def __init__(self, table: Table, owner: str, *, lease_s: float = LEASE_DURATION_S):
        self._table = table
        self._owner = owner
        self._lease_s = lease_s

    def acquire(self, engine: str, checks_fencing: bool, now_s: float) -> Lease:
        """Acquire the lease of an engine with a new fencing token.

        Raises ConflictError with a retry delay when another owner holds the lease or
        a pending command may still take effect, and StoreError.
        """
        found = self._table.get(lease_key(engine))
        row = None if found is None else _decode(found)
        delay_s = acquire_delay_s(
            row, self._owner, now_s, await_pending=not checks_fencing
        )
        if delay_s > 0:
            raise _conflict_error(
                engine, "lease is held or command is pending", delay_s
            )
        new_row = LeaseRow(
            self._owner,
            next_token(0 if row is None else row.number, now_s),
            now_s + self._lease_s,
            # The deadline of a pending command has passed, or the engine rejects the
            # command once it has seen a higher fencing token.
            None,
            uuid.uuid4().hex,
        )
        version = 0 if found is None else found.version
        return Lease(engine, checks_fencing, *self._write(engine, version, new_row))

    def renew(self, lease: Lease, now_s: float) -> Lease:
        """Extend the lease; raises DeadlineError after its expiry."""
        self._require_held(lease, now_s)
        return self._update(lease, end_s=now_s + self._lease_s)

    def release(self, lease: Lease, now_s: float) -> None:
        """Release the lease; the row keeps the deadline of a pending command."""
        self._require_held(lease, now_s)
        self._update(lease, owner="")

    def announce(self, lease: Lease, now_s: float) -> Lease:
        """Record a new fencing token and deadline for the next command.

        For an engine that ignores fencing tokens, raises ConflictError while an
        earlier command of this owner may still take effect.
        """
        self._require_held(lease, now_s)
        end_s = lease.row.order_end_s
        if not lease.checks_fencing and end_s is not None and now_s <= end_s:
            message = "a command without a response may still take effect"
            raise _conflict_error(lease.engine, message, end_s - now_s)
        return self._update(
            lease,
            number=next_token(lease.row.number, now_s),
            order_end_s=now_s + COMMAND_TIMEOUT_S,
        )

    def confirm(self, lease: Lease) -> Lease:
        """Record that the announced command got its response and is complete.

        This is safe after the lease has expired: the version check fails if another
        owner has acquired the lease since.
        """
        return self._update(lease, order_end_s=None)

    def _require_held(self, lease: Lease, now_s: float) -> None:
        if not may_write(lease, now_s):
            raise DeadlineError(
                f"the lease of engine {lease.engine} has expired",
                step="lease",
                peer="store",
                retry_after_s=0.0,
            )

    def _update(self, lease: Lease, **changes) -> Lease:
        row = replace(lease.row, write_id=uuid.uuid4().hex, **changes)
        version, row = self._write(lease.engine, lease.version, row)
        return replace(lease, version=version, row=row)

    def _write(self, engine: str, version: int, row: LeaseRow) -> tuple[int, LeaseRow]:
        """Compare-and-set a row, with retries after a lost response.

        A retry cannot apply twice, because all tries check the same version.
        """
        unknown = False
        for _ in range(MAX_WRITE_TRIES):
            try:
                return self._try_write(engine, version, row)
            except StoreOutcomeUnknownError:
                unknown = True
            except StoreUnavailableError as error:
                failure = error
        if unknown:
            raise StoreOutcomeUnknownError(
                f"unknown outcome of a write to the lease of engine {engine}",
                step="lease",
                peer="store",
                outcome=Outcome.UNKNOWN,
            )
        raise failure

    def _try_write(
        self, engine: str, version: int, row: LeaseRow
    ) -> tuple[int, LeaseRow]:
        key = lease_key(engine)
        value = msgspec.json.encode(row)
        try:
            written = self._table.transact([Check(key, version)], [Write(key, value)])
        except CheckFailedError as error:
            found = self._table.get(key)
            if found is not None and found.value == value:
                return found.version, row
            message = "another owner changed the lease"
            raise _conflict_error(engine, message, RETRY_AFTER_S) from error
        return written, row


def _decode(row: Row) -> LeaseRow:
    return msgspec.json.decode(row.value, type=LeaseRow)


def _conflict_error(engine: str, message: str, retry_after_s: float) -> ConflictError:
    return ConflictError(
        f"{engine}: {message}",
        step="lease",
        peer="store",
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )
