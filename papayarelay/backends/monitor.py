"""Aborts response streams that exceed their idle timeout or deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from ..background import BackgroundTask, run_step
from .stream import EngineStream

# Upper bound on how late a timeout or deadline is enforced.
CHECK_INTERVAL_S = 0.1


class StreamMonitor(BackgroundTask):
    """Enforces the time limits of all streams of a node from one task.

    A timer per read would cost as much as the read itself.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._streams: set[EngineStream] = set()

    def add(self, stream: EngineStream) -> None:
        """Start checking a stream."""
        self._streams.add(stream)

    def discard(self, stream: EngineStream) -> None:
        """Stop checking a stream."""
        self._streams.discard(stream)

    def check(self, now_s: float) -> None:
        """Abort the streams that exceed a time limit at ``now_s``."""
        for stream in list(self._streams):
            error = stream.find_timeout_error(now_s)
            if error is not None:
                stream.abort(error)
                self._streams.discard(stream)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            run_step(self.check, self._clock())
