"""Keeps periodic tasks running when one of their steps fails."""

from __future__ import annotations

from collections.abc import Callable

from .events import Event
from .logs import log


def run_step(step: Callable, *arguments: object) -> None:
    """Run one step of a periodic task; an unexpected error is logged.

    A task that ended would leave its work undone for good, for instance a queue
    that nobody empties.
    """
    try:
        step(*arguments)
    except Exception as error:
        log(Event.TASK_FAILED, task=step.__qualname__, error=error)
