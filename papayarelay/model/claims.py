"""Specification of the claim of one key (design section 3.1, ``claim.py``).

Several attempts, each a call of ``Claims`` on some node, share the row of the key.
Every transition may be delayed without bound, so pauses of a node need no transition
of their own.  A sent write may be applied at any later time while its version check
holds, whether or not its response was lost.  A crash is modelled by the answer
``unknown``: both end an attempt and leave its messages in flight.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import NamedTuple

from .checker import Step

CLAIMED = "claimed"
COMPLETED = "completed"
REFUSED = "refused"
NOT_RUN = "not_run"
UNKNOWN = "unknown"

INSERT = "insert"
REFUSE = "refuse"
REFUSE_OWN = "refuse own"
RECORD = "record"
TAKE_OVER = "take over"


class AttemptPhase(enum.IntEnum):
    """Control state of an attempt."""

    IDLE = 0
    INSERTING = 1
    POLLING = 2
    TAKING_OVER = 3
    OWNER = 4
    DISPATCHING = 5
    SENT = 6
    RECORDING = 7
    REFUSING = 8
    REFUSING_OWN = 9
    ENDED = 10


class ClaimFault(enum.Enum):
    """Seeded faults: mistakes that the protocol excludes and the checker must find."""

    DISPATCH_UNCONFIRMED = "dispatch before the claim is confirmed"
    NOT_RUN_UNCONFIRMED = "not_run without a confirmed row"
    TAKEOVER = "takeover of a claim"
    RESEND = "retry after an unknown outcome"
    RESTORED = "claims lost in a restore of the store"


class Row(NamedTuple):
    """The row of the key; version 0 means that the row does not exist."""

    state: str = ""
    owner: int = -1
    version: int = 0


class Write(NamedTuple):
    """A compare-and-set write that an attempt has sent."""

    name: str
    check: int
    state: str
    applied: bool = False


class Attempt(NamedTuple):
    """One attempt; ``version`` is the version of the row that it owns.

    ``in_flight`` counts dispatched requests that the server has not yet executed.
    """

    phase: AttemptPhase = AttemptPhase.IDLE
    version: int = 0
    writes: tuple[Write, ...] = ()
    in_flight: int = 0
    executions: int = 0
    answer: str = ""


class State(NamedTuple):
    """Global state: the row and the attempts."""

    row: Row
    attempts: tuple[Attempt, ...]


class ClaimSpecification:
    """Claims of one key by a number of attempts."""

    def __init__(self, attempts: int, fault: ClaimFault | None = None):
        self._attempts = attempts
        self._fault = fault

    def initial(self) -> State:
        """Return the initial state, without a row."""
        return State(Row(), (Attempt(),) * self._attempts)

    def steps(self, state: State) -> Iterator[tuple[Step, State]]:
        """Yield the enabled transitions and their successor states."""
        for index, attempt in enumerate(state.attempts):
            for write in attempt.writes:
                if not write.applied and write.check == state.row.version:
                    yield Step("apply", index, write.name), _apply(state, index, write)
            if attempt.in_flight:
                executed = attempt._replace(
                    in_flight=attempt.in_flight - 1, executions=attempt.executions + 1
                )
                yield Step("execute", index), _with_attempt(state, index, executed)
            yield from self._attempt_steps(state, index, attempt)
        if self._fault is ClaimFault.RESTORED and state.row.version:
            yield Step("restore", "store"), state._replace(row=Row())

    def violation(self, state: State) -> str | None:
        """Describe the property that a state violates, or return None."""
        executions = sum(attempt.executions for attempt in state.attempts)
        in_flight = sum(attempt.in_flight for attempt in state.attempts)
        if executions > 1:
            return f"the request of the key was executed {executions} times"
        for attempt in state.attempts:
            if attempt.answer == NOT_RUN and executions + in_flight:
                return "not_run was answered and the request was dispatched"
            if attempt.answer == COMPLETED and not executions:
                return "completed was answered and the request was not executed"
        if state.row.state == REFUSED and executions + in_flight:
            return "the row is refused and the request was dispatched"
        return None

    def _attempt_steps(
        self, state: State, index: int, attempt: Attempt
    ) -> Iterator[tuple[Step, State]]:
        # The answer ``unknown`` is allowed at any time, also instead of another one.
        ended = attempt._replace(phase=AttemptPhase.ENDED)
        yield Step("answer", index, UNKNOWN), _with_attempt(state, index, ended)
        if attempt.answer:
            yield (
                Step("answer", index, attempt.answer),
                _with_attempt(state, index, ended),
            )
        if attempt.phase is AttemptPhase.ENDED:
            return
        for step, after in _TRANSITIONS[attempt.phase](self, state.row, index, attempt):
            yield step, _with_attempt(state, index, after)

    def _idle(self, row: Row, index: int, attempt: Attempt):
        yield _send(index, attempt, AttemptPhase.INSERTING, INSERT, 0, CLAIMED)
        yield _send(index, attempt, AttemptPhase.REFUSING, REFUSE, 0, REFUSED)

    def _inserting(self, row: Row, index: int, attempt: Attempt):
        owner = attempt._replace(phase=AttemptPhase.OWNER, version=row.version)
        yield from _responses(row, index, attempt, INSERT, owner)
        yield _send(index, attempt, AttemptPhase.INSERTING, INSERT, 0, CLAIMED)
        yield _send(index, attempt, AttemptPhase.REFUSING, REFUSE, 0, REFUSED)
        if row.state == CLAIMED and row.owner == index:
            yield _read_step(row, index), owner
        elif row.state == CLAIMED:
            yield _read_step(row, index), attempt._replace(phase=AttemptPhase.POLLING)
        elif row.version:
            yield _read_step(row, index), _with_recorded_answer(row, attempt)
        if self._fault is ClaimFault.DISPATCH_UNCONFIRMED:
            yield Step("assume the claim", index), owner

    def _polling(self, row: Row, index: int, attempt: Attempt):
        polling = row.state == CLAIMED
        yield (
            _read_step(row, index),
            attempt if polling else _with_recorded_answer(row, attempt),
        )
        yield Step("no answer", index), attempt
        if self._fault is ClaimFault.TAKEOVER and polling:
            taking = attempt._replace(version=row.version)
            yield _send(
                index, taking, AttemptPhase.TAKING_OVER, TAKE_OVER, row.version, CLAIMED
            )

    def _taking_over(self, row: Row, index: int, attempt: Attempt):
        owner = attempt._replace(phase=AttemptPhase.OWNER, version=row.version)
        yield from _responses(row, index, attempt, TAKE_OVER, owner)

    def _owner(self, row: Row, index: int, attempt: Attempt):
        yield Step("begin", index), attempt._replace(phase=AttemptPhase.DISPATCHING)
        yield _send_refuse_own(index, attempt)

    def _dispatching(self, row: Row, index: int, attempt: Attempt):
        sent = attempt._replace(
            phase=AttemptPhase.SENT, in_flight=attempt.in_flight + 1
        )
        yield Step("dispatch", index), sent
        yield (
            Step("connection refused", index),
            attempt._replace(phase=AttemptPhase.OWNER),
        )

    def _sent(self, row: Row, index: int, attempt: Attempt):
        if attempt.executions:
            answered = attempt._replace(answer=COMPLETED)
            yield _send_record(index, answered)
        if (
            self._fault is ClaimFault.RESEND
            and attempt.executions + attempt.in_flight < 2
        ):
            again = attempt._replace(in_flight=attempt.in_flight + 1)
            yield Step("dispatch again", index), again

    def _recording(self, row: Row, index: int, attempt: Attempt):
        yield from _responses(row, index, attempt, RECORD, attempt)
        yield _read_step(row, index), attempt
        yield _send_record(index, attempt)

    def _refusing(self, row: Row, index: int, attempt: Attempt):
        refused = attempt._replace(phase=AttemptPhase.ENDED, answer=NOT_RUN)
        yield from _responses(row, index, attempt, REFUSE, refused)
        yield _send(index, attempt, AttemptPhase.REFUSING, REFUSE, 0, REFUSED)
        if row.state == REFUSED:
            yield _read_step(row, index), refused
        elif row.state == CLAIMED and row.owner == index:
            own = attempt._replace(phase=AttemptPhase.REFUSING_OWN, version=row.version)
            yield _read_step(row, index), own
        elif row.version:
            yield _read_step(row, index), attempt._replace(phase=AttemptPhase.ENDED)
        if self._fault is ClaimFault.NOT_RUN_UNCONFIRMED:
            yield Step("assume the refusal", index), refused

    def _refusing_own(self, row: Row, index: int, attempt: Attempt):
        refused = attempt._replace(phase=AttemptPhase.ENDED, answer=NOT_RUN)
        yield from _responses(row, index, attempt, REFUSE_OWN, refused)
        yield _send_refuse_own(index, attempt)
        if row.version != attempt.version:
            ended = attempt._replace(phase=AttemptPhase.ENDED)
            yield _read_step(row, index), refused if row.state == REFUSED else ended


_TRANSITIONS = {
    AttemptPhase.IDLE: ClaimSpecification._idle,
    AttemptPhase.INSERTING: ClaimSpecification._inserting,
    AttemptPhase.POLLING: ClaimSpecification._polling,
    AttemptPhase.TAKING_OVER: ClaimSpecification._taking_over,
    AttemptPhase.OWNER: ClaimSpecification._owner,
    AttemptPhase.DISPATCHING: ClaimSpecification._dispatching,
    AttemptPhase.SENT: ClaimSpecification._sent,
    AttemptPhase.RECORDING: ClaimSpecification._recording,
    AttemptPhase.REFUSING: ClaimSpecification._refusing,
    AttemptPhase.REFUSING_OWN: ClaimSpecification._refusing_own,
}


class TwoKeySpecification:
    """Interleaving of the specifications of two keys."""

    def __init__(self, first: ClaimSpecification, second: ClaimSpecification):
        self._parts = (first, second)

    def initial(self) -> tuple[State, State]:
        """Return the initial state, without rows."""
        first, second = self._parts
        return first.initial(), second.initial()

    def steps(self, state: tuple[State, State]) -> Iterator[tuple[Step, tuple]]:
        """Yield the enabled transitions of both keys and their successor states."""
        for step, after in self._parts[0].steps(state[0]):
            yield step._replace(actor=f"key 0, {step.actor}"), (after, state[1])
        for step, after in self._parts[1].steps(state[1]):
            yield step._replace(actor=f"key 1, {step.actor}"), (state[0], after)

    def violation(self, state: tuple[State, State]) -> str | None:
        """Describe the property that one of the keys violates, or return None."""
        first, second = self._parts
        return first.violation(state[0]) or second.violation(state[1])


def _with_attempt(state: State, index: int, attempt: Attempt) -> State:
    attempts = state.attempts
    return State(state.row, (*attempts[:index], attempt, *attempts[index + 1 :]))


def _apply(state: State, index: int, write: Write) -> State:
    attempt = state.attempts[index]
    # Only a takeover changes the owner; other writes keep the owner or insert the row.
    row = Row(write.state, index, write.check + 1)
    writes = tuple(
        w._replace(applied=True) if w == write else w for w in attempt.writes
    )
    return _with_attempt(
        state._replace(row=row), index, attempt._replace(writes=writes)
    )


def _send(
    index: int, attempt: Attempt, phase: AttemptPhase, name: str, check: int, value: str
) -> tuple[Step, Attempt]:
    """Send a write; a retry resends the same message."""
    writes = attempt.writes
    if all(write.name != name for write in writes):
        writes = (*writes, Write(name, check, value))
    return Step("send", index, name), attempt._replace(phase=phase, writes=writes)


def _send_refuse_own(index: int, attempt: Attempt) -> tuple[Step, Attempt]:
    version = attempt.version
    phase = AttemptPhase.REFUSING_OWN
    return _send(index, attempt, phase, REFUSE_OWN, version, REFUSED)


def _send_record(index: int, attempt: Attempt) -> tuple[Step, Attempt]:
    version = attempt.version
    return _send(index, attempt, AttemptPhase.RECORDING, RECORD, version, COMPLETED)


def _responses(
    row: Row, index: int, attempt: Attempt, name: str, confirmed: Attempt
) -> Iterator[tuple[Step, Attempt]]:
    """Yield the possible responses to a sent write.

    A failed check stays failed, because row versions never recur.
    """
    write = next((w for w in attempt.writes if w.name == name), None)
    if write is None:
        return
    yield Step("no answer", index), attempt
    if write.applied:
        yield Step("confirmed", index, name), confirmed
    if row.version != write.check:
        yield Step("check failed", index, name), attempt


def _read_step(row: Row, index: int) -> Step:
    return Step("read", index, f"{row.state} {row.owner}")


def _with_recorded_answer(row: Row, attempt: Attempt) -> Attempt:
    answer = {REFUSED: NOT_RUN, COMPLETED: COMPLETED}.get(row.state, "")
    return attempt._replace(phase=AttemptPhase.ENDED, answer=answer)
