"""Explicit-state model checker: breadth-first search of the reachable states.

States are hashable values.  Breadth-first order yields a counterexample of minimal
length.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple, Protocol


class Step(NamedTuple):
    """A transition of a specification, with the actor that takes it."""

    name: str
    actor: int | str
    detail: str = ""

    def __str__(self) -> str:
        return " ".join(filter(None, (str(self.actor), self.name, self.detail)))


class Specification(Protocol):
    """Initial state, transitions and safety properties of a protocol."""

    def initial(self) -> Hashable:
        """Return the initial state."""

    def steps(self, state: Hashable) -> Iterator[tuple[Step, Hashable]]:
        """Yield each transition enabled in a state, with the successor state."""

    def violation(self, state: Hashable) -> str | None:
        """Describe the property that a state violates, or return None."""


@dataclass(frozen=True)
class Result:
    """Size of a search and its counterexample, if any.

    ``complete`` is False when the search stopped at the limit on states.
    """

    states: int
    steps: int
    depth: int
    complete: bool
    violation: str | None = None
    counterexample: tuple[Step, ...] = ()


class ForbiddenStepError(Exception):
    """A trace contains a transition that the specification does not enable."""

    def __init__(self, index: int, step: Step, state: Hashable):
        super().__init__(f"step {index} ({step}) is not allowed in {state}")
        self.index = index
        self.step = step


class ViolationError(Exception):
    """A trace reaches a state that violates a safety property."""


def explore(specification: Specification, max_states: int = 10_000_000) -> Result:
    """Visit the reachable states until the first violation or the limit on states."""
    first = specification.initial()
    parents: dict[Hashable, tuple[Hashable, Step] | None] = {first: None}
    frontier = [first]
    steps = depth = 0
    while frontier:
        next_frontier = []
        for state in frontier:
            for step, after in specification.steps(state):
                steps += 1
                if after in parents:
                    continue
                parents[after] = (state, step)
                found = specification.violation(after)
                if found is not None:
                    path = _trace_to(parents, after)
                    return Result(len(parents), steps, depth + 1, True, found, path)
                next_frontier.append(after)
        if len(parents) > max_states:
            return Result(len(parents), steps, depth, False)
        depth += bool(next_frontier)
        frontier = next_frontier
    return Result(len(parents), steps, depth, True)


def replay(specification: Specification, trace: Iterable[Step]) -> Hashable:
    """Replay a recorded trace and return its last state.

    Raises ForbiddenStepError and ViolationError.
    """
    state = specification.initial()
    for index, step in enumerate(trace):
        after = dict(specification.steps(state)).get(step)
        if after is None:
            raise ForbiddenStepError(index, step, state)
        state = after
        found = specification.violation(state)
        if found is not None:
            raise ViolationError(f"step {index} ({step}): {found}")
    return state


def _trace_to(parents: dict, state: Hashable) -> tuple[Step, ...]:
    path = []
    while parents[state] is not None:
        state, step = parents[state]
        path.append(step)
    return tuple(reversed(path))
