"""Specification of leases and engine commands (``lease.py``, ``backends/orders.py``).

The row holds the owner, the fencing token, the expiry of the lease and the deadline
of the pending command.  Each command gets a new fencing token.  Time is a small
integer; the clock of each holder has a fixed skew of at most ``MARGIN``.  A
pause is time that passes between two transitions of a holder.

An engine that checks fencing tokens requires no timing assumption, but must persist
the highest token across restarts.  For an engine that ignores them, the assumption is
that a command takes effect before its deadline by the sender's clock or never.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from .checker import Step

MARGIN = 1
LEASE = 1
ORDER = 1
NONE = -1


class HolderPlace(enum.IntEnum):
    """Control state of a holder."""

    IDLE = 0
    FREE_SEEN = 1
    ACQUIRING = 2
    HOLDING = 3
    ORDERING = 4
    READY = 5
    SENT = 6
    CONFIRMING = 7


class LeaseFault(enum.Enum):
    """Seeded faults: mistakes that the protocol excludes and the checker must find."""

    NO_FENCING = "lease without fencing"
    NO_MARGIN = "lease without a margin for clock offsets"
    SHARED_NUMBER = "one fencing number for several orders"
    NUMBER_LOST = "engine that loses its highest fencing number on a restart"
    UNBOUNDED_EFFECT = "order without an end time at an engine that ignores numbers"
    NO_END_CHECK = "order sent without a check of its end time"


class Row(NamedTuple):
    """The lease row; version 0 means that it does not exist, owner -1 that it is free.

    ``order_end`` is the deadline of the pending command, or -1.
    """

    version: int = 0
    owner: int = NONE
    number: int = 0
    end: int = 0
    order_end: int = NONE


class Order(NamedTuple):
    """A command in flight; commands issued later have a higher ``rank``."""

    number: int
    rank: int
    sender: int
    end: int


class Holder(NamedTuple):
    """A holder and its last known row.

    ``awaited`` is a write without a response yet.  ``late`` is one that was given
    up and may still be applied; only the last is kept, since older ones never apply.
    """

    place: HolderPlace = HolderPlace.IDLE
    row: Row = Row()
    awaited: Row | None = None
    applied: bool = False
    late: Row | None = None


class State(NamedTuple):
    """Global state: time, row, holders, commands in flight and state of the engine."""

    now: int
    row: Row
    holders: tuple[Holder, ...]
    orders: frozenset[Order]
    highest_number: int = 0
    last_rank: int = 0
    fault: str = ""


@dataclass(frozen=True)
class Bounds:
    """Bounds of a search: last point in time, writes to the row, clock skews."""

    horizon: int = 4
    writes: int = 6
    offsets: tuple[int, ...] = (0, MARGIN)


class LeaseSpecification:
    """Holders of the lease of one engine that checks or ignores fencing tokens."""

    def __init__(
        self,
        checks_fencing: bool,
        bounds: Bounds | None = None,
        fault: LeaseFault | None = None,
    ):
        self._checks_fencing = checks_fencing
        self._bounds = bounds or Bounds()
        self._fault = fault
        self._margin = 0 if fault is LeaseFault.NO_MARGIN else MARGIN
        # With NO_FENCING the engine ignores fencing tokens and a new holder does not
        # wait for pending commands of the previous one.
        self._waits = not checks_fencing and fault is not LeaseFault.NO_FENCING

    def initial(self) -> State:
        """Return the initial state, without a lease."""
        return State(0, Row(), (Holder(),) * len(self._bounds.offsets), frozenset())

    def steps(self, state: State) -> Iterator[tuple[Step, State]]:
        """Yield the enabled transitions and their successor states."""
        if state.now < self._bounds.horizon:
            later = state._replace(now=state.now + 1)
            yield Step("passes", "time"), self._without_lost_orders(later)
        for index, holder in enumerate(state.holders):
            version = state.row.version
            for row in {holder.awaited, holder.late}:
                if row is not None and row.version == version + 1:
                    yield Step("apply", index), _apply(state, row)
            for name, after in self._holder_steps(state, index, holder):
                yield Step(name, index), after
        if self._fault is LeaseFault.NUMBER_LOST and state.highest_number:
            yield Step("restarts", "engine"), state._replace(highest_number=0)
        for order in state.orders:
            yield from self._engine_steps(state, order)

    def violation(self, state: State) -> str | None:
        """Describe the property that a state violates, or return None."""
        return state.fault or None

    def _holder_steps(
        self, state: State, index: int, holder: Holder
    ) -> Iterator[tuple[str, State]]:
        clock = state.now + self._bounds.offsets[index]
        if holder.place is not HolderPlace.IDLE:
            # A crash, or the abandonment of a write without a response.
            yield "give up", _with(state, index, _stopped(holder))
        for name, after in _PLACES[holder.place](self, state, index, holder, clock):
            yield name, _with(state, index, after)
        if holder.place is HolderPlace.READY:
            yield from self._send(state, index, holder, clock)

    def _idle(self, state: State, index: int, holder: Holder, clock: int):
        if self._is_free(state.row, index, clock):
            known = Row(state.row.version, number=state.row.number)
            seen = holder._replace(place=HolderPlace.FREE_SEEN, row=known)
            yield "find the lease free", seen

    def _free_seen(self, state: State, index: int, holder: Holder, clock: int):
        seen = holder.row
        if seen.version < self._bounds.writes:
            row = Row(seen.version + 1, index, seen.number + 1, clock + LEASE)
            yield "send the acquisition", _write(holder, HolderPlace.ACQUIRING, row)

    def _acquiring(self, state: State, index: int, holder: Holder, clock: int):
        yield from _results(state, holder, HolderPlace.HOLDING, "acquired")

    def _holding(self, state: State, index: int, holder: Holder, clock: int):
        row = holder.row
        if clock >= row.end or row.version >= self._bounds.writes:
            return
        following = row._replace(version=row.version + 1)
        free = following._replace(owner=NONE)
        yield "send the release", _release(holder, free)
        later = following._replace(end=clock + LEASE)
        yield "send the renewal", _write(holder, HolderPlace.ACQUIRING, later)
        own_waits = not self._checks_fencing
        blocked = own_waits and row.order_end > NONE and clock <= row.order_end
        if not blocked:
            shared = self._fault is LeaseFault.SHARED_NUMBER
            ordering = following._replace(
                number=row.number + (not shared), order_end=clock + ORDER
            )
            yield "send the intent", _write(holder, HolderPlace.ORDERING, ordering)

    def _ordering(self, state: State, index: int, holder: Holder, clock: int):
        yield from _results(state, holder, HolderPlace.READY, "intent confirmed")

    def _ready(self, state: State, index: int, holder: Holder, clock: int):
        # Sending the command changes more than the holder; see _send.
        yield from ()

    def _sent(self, state: State, index: int, holder: Holder, clock: int):
        row = holder.row
        if state.last_rank == row.version:
            done = row._replace(version=row.version + 1, order_end=NONE)
            yield "confirm the order", _write(holder, HolderPlace.CONFIRMING, done)
        yield "get no answer", holder._replace(place=HolderPlace.HOLDING)

    def _confirming(self, state: State, index: int, holder: Holder, clock: int):
        yield from _results(state, holder, HolderPlace.HOLDING, "confirmed")

    def _send(
        self, state: State, index: int, holder: Holder, clock: int
    ) -> Iterator[tuple[str, State]]:
        row = holder.row
        if clock < row.order_end or self._fault is LeaseFault.NO_END_CHECK:
            order = Order(row.number, row.version, index, row.order_end)
            after = _with(state, index, holder._replace(place=HolderPlace.SENT))
            after = after._replace(orders=state.orders | {order})
            yield "send the order", self._without_lost_orders(after)

    def _engine_steps(self, state: State, order: Order) -> Iterator[tuple[Step, State]]:
        if self._checks_fencing and order.number < state.highest_number:
            return
        fault = ""
        if order.rank < state.last_rank:
            fault = f"an older command took effect after command {state.last_rank}"
        after = state._replace(
            orders=state.orders - {order},
            highest_number=max(state.highest_number, order.number),
            last_rank=order.rank,
            fault=fault,
        )
        step = Step("accept the order", "engine", f"with number {order.number}")
        yield step, self._without_lost_orders(after)

    def _without_lost_orders(self, state: State) -> State:
        """Drop the commands that can no longer take effect.

        This is sound because the highest accepted token and time never decrease.
        """
        orders = frozenset(o for o in state.orders if self._may_take_effect(state, o))
        return state._replace(orders=orders)

    def _may_take_effect(self, state: State, order: Order) -> bool:
        if self._fault is LeaseFault.NUMBER_LOST:
            return True
        if self._checks_fencing:
            return order.number >= state.highest_number
        unbounded = (LeaseFault.UNBOUNDED_EFFECT, LeaseFault.NO_END_CHECK)
        if not self._waits or self._fault in unbounded:
            return True
        clock = state.now + self._bounds.offsets[order.sender]
        return clock <= order.end

    def _is_free(self, row: Row, index: int, clock: int) -> bool:
        if self._waits and row.order_end > NONE and clock <= self._late(row.order_end):
            return False
        # With NO_FENCING a holder does not reacquire its own lease.
        again = self._fault is not LeaseFault.NO_FENCING and row.owner == index
        return again or row.owner == NONE or clock > self._late(row.end)

    def _late(self, end: int) -> int:
        """Return the local time by which ``end`` has passed on the clock that set it.

        The skew between the two clocks is at most ``MARGIN``.
        """
        return end + self._margin


_PLACES = {
    HolderPlace.IDLE: LeaseSpecification._idle,
    HolderPlace.FREE_SEEN: LeaseSpecification._free_seen,
    HolderPlace.ACQUIRING: LeaseSpecification._acquiring,
    HolderPlace.HOLDING: LeaseSpecification._holding,
    HolderPlace.ORDERING: LeaseSpecification._ordering,
    HolderPlace.READY: LeaseSpecification._ready,
    HolderPlace.SENT: LeaseSpecification._sent,
    HolderPlace.CONFIRMING: LeaseSpecification._confirming,
}


def _results(
    state: State, holder: Holder, place: HolderPlace, name: str
) -> Iterator[tuple[str, Holder]]:
    if holder.applied:
        yield name, Holder(place, holder.awaited, late=holder.late)


def _write(holder: Holder, place: HolderPlace, row: Row) -> Holder:
    return Holder(place, awaited=row, late=holder.late)


def _release(holder: Holder, row: Row) -> Holder:
    return Holder(late=row)


def _stopped(holder: Holder) -> Holder:
    unknown = holder.awaited is not None and not holder.applied
    return Holder(late=holder.awaited if unknown else holder.late)


def _apply(state: State, row: Row) -> State:
    holders = tuple(_settled(holder, row) for holder in state.holders)
    return state._replace(row=row, holders=holders)


def _settled(holder: Holder, row: Row) -> Holder:
    """Return the state of a holder after a write to the row was applied.

    Writes that check an older version never apply.  A holder that could only send
    such writes, or learn that its write failed, becomes idle, unless it may still
    send a command.
    """
    late = holder.late
    if late is not None and late.version <= row.version:
        late = None
    holder = holder._replace(late=late)
    if holder.awaited == row:
        return holder._replace(applied=True)
    if holder.place is HolderPlace.READY:
        return holder
    if holder.place is HolderPlace.ORDERING and holder.applied:
        return holder
    return Holder(late=late)


def _with(state: State, index: int, holder: Holder) -> State:
    holders = state.holders
    return state._replace(holders=(*holders[:index], holder, *holders[index + 1 :]))
