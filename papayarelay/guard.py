"""Tasks in the background, and steps of theirs that may fail."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from .events import Event
from .logs import log


class BackgroundTask:
    """A part whose work is one task, ``_run``, from ``start`` to ``close``."""

    _task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        raise NotImplementedError


def run_step(step: Callable, *arguments: object) -> None:
    """Run one step of a periodic task; an unexpected error is logged.

    A task that ended would leave its work undone for good, for instance a queue
    that nobody empties.
    """
    try:
        step(*arguments)
    except Exception as error:
        log(Event.TASK_FAILED, task=step.__qualname__, error=error)
