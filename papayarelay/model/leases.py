"""Specification of leases and engine commands (``lease.py``, ``backends/commands.py``).

The row holds the owner, the fencing token, the expiry of the lease and the deadline
of the pending command.  Each command gets a new fencing token.  Time is a small
integer; the clock of each holder has a fixed skew of at most ``MAX_CLOCK_SKEW``.  A
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

MAX_CLOCK_SKEW = 1
LEASE_DURATION = 1
COMMAND_TIMEOUT = 1
NONE = -1
WRITES_PER_ERA = 100


class HolderPhase(enum.IntEnum):
    """Control state of a holder."""

    IDLE = 0
    FREE_SEEN = 1
    ACQUIRING = 2
    HOLDING = 3
    ANNOUNCING = 4
    READY = 5
    SENT = 6
    CONFIRMING = 7


class LeaseFault(enum.Enum):
    """Seeded faults: mistakes that the protocol excludes and the checker must find."""

    NO_FENCING = "lease without fencing"
    NO_MARGIN = "lease without a margin for clock skew"
    SHARED_NUMBER = "one fencing token for several commands"
    NUMBER_LOST = "engine that loses its highest fencing token on a restart"
    UNBOUNDED_EFFECT = "command without a deadline at an engine that ignores tokens"
    RESTORED = "fencing tokens issued again after a restore of the store"
    NO_END_CHECK = "command sent without a check of its deadline"


class Row(NamedTuple):
    """The lease row; version 0 means that it does not exist, owner -1 that it is free.

    ``end`` is the expiry of the lease, ``command_deadline`` the deadline of the pending
    command, or -1.  ``era`` counts the restores before the row was written.
    """

    version: int = 0
    owner: int = NONE
    token: int = 0
    end: int = 0
    command_deadline: int = NONE
    era: int = 0

    @property
    def sequence(self) -> int:
        """Return a number that is higher for rows that were written later."""
        return self.era * WRITES_PER_ERA + self.version


class Command(NamedTuple):
    """A command in flight; ``end`` is its deadline.

    Commands issued later have a higher ``sequence``.
    """

    token: int
    sequence: int
    sender: int
    end: int


class Holder(NamedTuple):
    """A holder and its last known row.

    ``pending`` is a write without a response yet.  ``abandoned`` is one that was given
    up and may still be applied; only the last is kept, since older ones never apply.
    """

    phase: HolderPhase = HolderPhase.IDLE
    row: Row = Row()
    pending: Row | None = None
    applied: bool = False
    abandoned: Row | None = None


class State(NamedTuple):
    """Global state: time, row, holders, commands in flight and state of the engine."""

    now: int
    row: Row
    holders: tuple[Holder, ...]
    commands: frozenset[Command]
    highest_token: int = 0
    last_sequence: int = 0
    fault: str = ""


@dataclass(frozen=True)
class Bounds:
    """Bounds of a search: last point in time, writes to the row, clock skews."""

    horizon: int = 4
    writes: int = 6
    offsets: tuple[int, ...] = (0, MAX_CLOCK_SKEW)


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
        self._margin = 0 if fault is LeaseFault.NO_MARGIN else MAX_CLOCK_SKEW
        # With NO_FENCING the engine ignores fencing tokens and a new holder does not
        # wait for pending commands of the previous one.
        self._awaits_pending = not checks_fencing and fault is not LeaseFault.NO_FENCING

    def initial(self) -> State:
        """Return the initial state, without a lease."""
        return State(0, Row(), (Holder(),) * len(self._bounds.offsets), frozenset())

    def steps(self, state: State) -> Iterator[tuple[Step, State]]:
        """Yield the enabled transitions and their successor states."""
        if state.now < self._bounds.horizon:
            later = state._replace(now=state.now + 1)
            yield Step("passes", "time"), self._without_dead_commands(later)
        for index, holder in enumerate(state.holders):
            version = state.row.version
            for row in {holder.pending, holder.abandoned}:
                if row is not None and row.version == version + 1:
                    yield Step("apply", index), _apply(state, row)
            for name, after in self._holder_steps(state, index, holder):
                yield Step(name, index), after
        if self._fault is LeaseFault.NUMBER_LOST and state.highest_token:
            yield Step("restarts", "engine"), state._replace(highest_token=0)
        if self._fault is LeaseFault.RESTORED and not state.row.era:
            restored = Row(era=1)
            yield Step("is restored", "store"), state._replace(row=restored)
        for command in state.commands:
            yield from self._engine_steps(state, command)

    def violation(self, state: State) -> str | None:
        """Describe the property that a state violates, or return None."""
        return state.fault or None

    def _holder_steps(
        self, state: State, index: int, holder: Holder
    ) -> Iterator[tuple[str, State]]:
        clock = state.now + self._bounds.offsets[index]
        if holder.phase is not HolderPhase.IDLE:
            # A crash, or the abandonment of a write without a response.
            yield "give up", _with_holder(state, index, _after_abandoning(holder))
        for name, after in _TRANSITIONS[holder.phase](
            self, state, index, holder, clock
        ):
            yield name, _with_holder(state, index, after)
        if holder.phase is HolderPhase.READY:
            yield from self._send(state, index, holder, clock)

    def _idle(self, state: State, index: int, holder: Holder, clock: int):
        if self._is_free(state.row, index, clock):
            known = Row(state.row.version, token=state.row.token, era=state.row.era)
            seen = holder._replace(phase=HolderPhase.FREE_SEEN, row=known)
            yield "find the lease free", seen

    def _free_seen(self, state: State, index: int, holder: Holder, clock: int):
        seen = holder.row
        if seen.version < self._bounds.writes:
            end = clock + LEASE_DURATION
            row = Row(seen.version + 1, index, seen.token + 1, end, era=seen.era)
            yield (
                "send the acquisition",
                _send_write(holder, HolderPhase.ACQUIRING, row),
            )

    def _acquiring(self, state: State, index: int, holder: Holder, clock: int):
        yield from _responses(state, holder, HolderPhase.HOLDING, "acquired")

    def _holding(self, state: State, index: int, holder: Holder, clock: int):
        row = holder.row
        if clock >= row.end or row.version >= self._bounds.writes:
            return
        next_row = row._replace(version=row.version + 1)
        free = next_row._replace(owner=NONE)
        yield "send the release", _send_release(holder, free)
        later = next_row._replace(end=clock + LEASE_DURATION)
        yield "send the renewal", _send_write(holder, HolderPhase.ACQUIRING, later)
        needs_wait = not self._checks_fencing
        blocked = (
            needs_wait and row.command_deadline > NONE and clock <= row.command_deadline
        )
        if not blocked:
            shared = self._fault is LeaseFault.SHARED_NUMBER
            announced = next_row._replace(
                token=row.token + (not shared), command_deadline=clock + COMMAND_TIMEOUT
            )
            yield (
                "send the announcement",
                _send_write(holder, HolderPhase.ANNOUNCING, announced),
            )

    def _announcing(self, state: State, index: int, holder: Holder, clock: int):
        yield from _responses(
            state, holder, HolderPhase.READY, "announcement confirmed"
        )

    def _ready(self, state: State, index: int, holder: Holder, clock: int):
        # Sending the command changes more than the holder; see _send.
        yield from ()

    def _sent(self, state: State, index: int, holder: Holder, clock: int):
        row = holder.row
        if state.last_sequence == row.sequence:
            done = row._replace(version=row.version + 1, command_deadline=NONE)
            yield (
                "confirm the command",
                _send_write(holder, HolderPhase.CONFIRMING, done),
            )
        yield "get no response", holder._replace(phase=HolderPhase.HOLDING)

    def _confirming(self, state: State, index: int, holder: Holder, clock: int):
        yield from _responses(state, holder, HolderPhase.HOLDING, "confirmed")

    def _send(
        self, state: State, index: int, holder: Holder, clock: int
    ) -> Iterator[tuple[str, State]]:
        row = holder.row
        if clock < row.command_deadline or self._fault is LeaseFault.NO_END_CHECK:
            command = Command(row.token, row.sequence, index, row.command_deadline)
            after = _with_holder(state, index, holder._replace(phase=HolderPhase.SENT))
            after = after._replace(commands=state.commands | {command})
            yield "send the command", self._without_dead_commands(after)

    def _engine_steps(
        self, state: State, command: Command
    ) -> Iterator[tuple[Step, State]]:
        if self._checks_fencing and command.token < state.highest_token:
            return
        fault = ""
        if command.sequence < state.last_sequence:
            fault = f"an older command took effect after command {state.last_sequence}"
        after = state._replace(
            commands=state.commands - {command},
            highest_token=max(state.highest_token, command.token),
            last_sequence=command.sequence,
            fault=fault,
        )
        step = Step("accept the command", "engine", f"with token {command.token}")
        yield step, self._without_dead_commands(after)

    def _without_dead_commands(self, state: State) -> State:
        """Drop the commands that can no longer take effect.

        This is sound because the highest accepted token and time never decrease.
        """
        commands = frozenset(
            o for o in state.commands if self._may_take_effect(state, o)
        )
        return state._replace(commands=commands)

    def _may_take_effect(self, state: State, command: Command) -> bool:
        if self._fault is LeaseFault.NUMBER_LOST:
            return True
        if self._checks_fencing:
            return command.token >= state.highest_token
        unbounded = (LeaseFault.UNBOUNDED_EFFECT, LeaseFault.NO_END_CHECK)
        if not self._awaits_pending or self._fault in unbounded:
            return True
        clock = state.now + self._bounds.offsets[command.sender]
        return clock <= command.end

    def _is_free(self, row: Row, index: int, clock: int) -> bool:
        if (
            self._awaits_pending
            and row.command_deadline > NONE
            and clock <= self._end_with_margin(row.command_deadline)
        ):
            return False
        # With NO_FENCING a holder does not reacquire its own lease.
        reacquires = self._fault is not LeaseFault.NO_FENCING and row.owner == index
        return reacquires or row.owner == NONE or clock > self._end_with_margin(row.end)

    def _end_with_margin(self, end: int) -> int:
        """Return the local time by which ``end`` has passed on the clock that set it.

        The skew between the two clocks is at most ``MAX_CLOCK_SKEW``.
        """
        return end + self._margin


_TRANSITIONS = {
    HolderPhase.IDLE: LeaseSpecification._idle,
    HolderPhase.FREE_SEEN: LeaseSpecification._free_seen,
    HolderPhase.ACQUIRING: LeaseSpecification._acquiring,
    HolderPhase.HOLDING: LeaseSpecification._holding,
    HolderPhase.ANNOUNCING: LeaseSpecification._announcing,
    HolderPhase.READY: LeaseSpecification._ready,
    HolderPhase.SENT: LeaseSpecification._sent,
    HolderPhase.CONFIRMING: LeaseSpecification._confirming,
}


def _responses(
    state: State, holder: Holder, phase: HolderPhase, name: str
) -> Iterator[tuple[str, Holder]]:
    if holder.applied:
        yield name, Holder(phase, holder.pending, abandoned=holder.abandoned)


def _send_write(holder: Holder, phase: HolderPhase, row: Row) -> Holder:
    return Holder(phase, pending=row, abandoned=holder.abandoned)


def _send_release(holder: Holder, row: Row) -> Holder:
    return Holder(abandoned=row)


def _after_abandoning(holder: Holder) -> Holder:
    unknown = holder.pending is not None and not holder.applied
    return Holder(abandoned=holder.pending if unknown else holder.abandoned)


def _apply(state: State, row: Row) -> State:
    holders = tuple(_after_write(holder, row) for holder in state.holders)
    return state._replace(row=row, holders=holders)


def _after_write(holder: Holder, row: Row) -> Holder:
    """Return the state of a holder after a write to the row was applied.

    Writes that check an older version never apply.  A holder that could only send
    such writes, or learn that its write failed, becomes idle, unless it may still
    send a command.
    """
    abandoned = holder.abandoned
    if abandoned is not None and abandoned.version <= row.version:
        abandoned = None
    holder = holder._replace(abandoned=abandoned)
    if holder.pending == row:
        return holder._replace(applied=True)
    if holder.phase is HolderPhase.READY:
        return holder
    if holder.phase is HolderPhase.ANNOUNCING and holder.applied:
        return holder
    return Holder(abandoned=abandoned)


def _with_holder(state: State, index: int, holder: Holder) -> State:
    holders = state.holders
    return state._replace(holders=(*holders[:index], holder, *holders[index + 1 :]))
