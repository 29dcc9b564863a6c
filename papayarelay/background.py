"""Background tasks and error handling of their periodic steps."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from .events import Event
from .logs import log


class BackgroundTask:
    """A component that runs ``_run`` in a greenlet from ``start`` to ``close``."""

    _task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Kill the greenlet."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        raise NotImplementedError


def run_step(step: Callable, *arguments: object) -> None:
    """Run one step of a periodic task and log an unexpected exception.

    A task that ended would leave its work undone for good; a queue, for
    instance, would never be drained again.
    """
    try:
        step(*arguments)
    except Exception as error:
        log(Event.TASK_FAILED, task=step.__qualname__, error=error)
