"""Leases for orders to engines (docs/model.md).

The row ``lease/<engine>`` holds the owner, the fencing number, the end of the lease
and the order that is not confirmed.  Each order takes a new fencing number in the
write that announces it, so of two orders the later one has the higher number, also
when both come from one holder.  Times in the row are wall-clock times of the node
that wrote them; ``now_s`` is the wall clock of the node that decides.
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

LEASE_S = 15.0
# Largest offset between the wall clocks of two nodes.
CLOCK_MARGIN_S = 10.0
# Time from the announcement of an order to its end.
ORDER_S = 30.0
WRITE_TRIES = 3
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

    ``owner`` is empty when the lease was released.  ``order_end_s`` is the end time
    of an order that is not confirmed, or None.  ``write_id`` tells whose write made
    the row.
    """

    owner: str
    number: int
    end_s: float
    order_end_s: float | None
    write_id: str


@dataclass(frozen=True)
class Lease:
    """A lease as its holder knows it, with the version of its row."""

    engine: str
    checks_fencing: bool
    version: int
    row: LeaseRow

    @property
    def number(self) -> int:
        """The fencing number of the last order announced or of the lease."""
        return self.row.number


def lease_key(engine: str) -> str:
    """Return the key of the lease row of an engine."""
    return f"lease/{quote(engine, safe='')}"


def wait_s(row: LeaseRow | None, owner: str, now_s: float, waits: bool) -> float:
    """Return after how many seconds ``owner`` may acquire a lease, 0 for now.

    Another node's end time has passed only when it lies ``CLOCK_MARGIN_S`` back.
    With ``waits``, for engines that ignore fencing numbers, the order that is not
    confirmed must have ended as well, whoever sent it.
    """
    if row is None:
        return 0.0
    ends_s = [now_s]
    if row.owner not in ("", owner):
        ends_s.append(row.end_s + CLOCK_MARGIN_S)
    if waits and row.order_end_s is not None:
        ends_s.append(row.order_end_s + CLOCK_MARGIN_S)
    return max(ends_s) - now_s


def may_write(lease: Lease, now_s: float) -> bool:
    """Return whether the holder may renew the lease or announce an order."""
    return now_s < lease.row.end_s


def may_send(lease: Lease, now_s: float) -> bool:
    """Return whether the announced order may be sent."""
    return lease.row.order_end_s is not None and now_s < lease.row.order_end_s


class Leases:
    """Leases of one holder.

    ``owner`` must differ between processes and between operators: the owner may
    acquire its own lease again before it ends.
    """

    def __init__(self, table: Table, owner: str, *, lease_s: float = LEASE_S):
        self._table = table
        self._owner = owner
        self._lease_s = lease_s

    def acquire(self, engine: str, checks_fencing: bool, now_s: float) -> Lease:
        """Acquire the lease of an engine with a new fencing number.

        Raises ConflictError with the time to wait when another holder has it or an
        order may still take effect, and StoreError.
        """
        found = self._table.get(lease_key(engine))
        row = None if found is None else _decode(found)
        left_s = wait_s(row, self._owner, now_s, waits=not checks_fencing)
        if left_s > 0:
            raise _conflict(engine, "the lease is held or an order is open", left_s)
        fresh = LeaseRow(
            self._owner,
            1 if row is None else row.number + 1,
            now_s + self._lease_s,
            # An open order has ended, or the engine refuses it once it has seen a
            # higher number.
            None,
            uuid.uuid4().hex,
        )
        version = 0 if found is None else found.version
        return Lease(engine, checks_fencing, *self._write(engine, version, fresh))

    def renew(self, lease: Lease, now_s: float) -> Lease:
        """Extend the lease; raises DeadlineError after its end."""
        self._require_held(lease, now_s)
        return self._update(lease, end_s=now_s + self._lease_s)

    def release(self, lease: Lease, now_s: float) -> None:
        """Give the lease up; an open order stays in the row until its end."""
        self._require_held(lease, now_s)
        self._update(lease, owner="")

    def announce(self, lease: Lease, now_s: float) -> Lease:
        """Announce an order: take a new fencing number and record the end time.

        For an engine that ignores the numbers, raises ConflictError while an
        earlier order of this holder may still take effect.
        """
        self._require_held(lease, now_s)
        end_s = lease.row.order_end_s
        if not lease.checks_fencing and end_s is not None and now_s <= end_s:
            message = "an order without an answer may still take effect"
            raise _conflict(lease.engine, message, end_s - now_s)
        return self._update(
            lease, number=lease.row.number + 1, order_end_s=now_s + ORDER_S
        )

    def confirm(self, lease: Lease) -> Lease:
        """Record that the announced order was answered and has no further effect.

        This needs no time limit: the version of the row proves that nobody has
        taken the lease since.
        """
        return self._update(lease, order_end_s=None)

    def _require_held(self, lease: Lease, now_s: float) -> None:
        if not may_write(lease, now_s):
            raise DeadlineError(
                f"the lease of {lease.engine} has ended",
                step="lease",
                peer="store",
                retry_after_s=0.0,
            )

    def _update(self, lease: Lease, **changes) -> Lease:
        row = replace(lease.row, write_id=uuid.uuid4().hex, **changes)
        version, row = self._write(lease.engine, lease.version, row)
        return replace(lease, version=version, row=row)

    def _write(self, engine: str, version: int, row: LeaseRow) -> tuple[int, LeaseRow]:
        """Write a row on the condition of its version; repeat after a lost answer.

        A repetition cannot apply twice, because both check the same version.
        """
        unknown = False
        for _ in range(WRITE_TRIES):
            try:
                return self._try_write(engine, version, row)
            except StoreOutcomeUnknownError:
                unknown = True
            except StoreUnavailableError as error:
                failure = error
        if unknown:
            raise StoreOutcomeUnknownError(
                f"a write of the lease of {engine} may take effect",
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
            message = "another holder changed the lease"
            raise _conflict(engine, message, RETRY_AFTER_S) from error
        return written, row


def _decode(row: Row) -> LeaseRow:
    return msgspec.json.decode(row.value, type=LeaseRow)


def _conflict(engine: str, message: str, retry_after_s: float) -> ConflictError:
    return ConflictError(
        f"{engine}: {message}",
        step="lease",
        peer="store",
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )
