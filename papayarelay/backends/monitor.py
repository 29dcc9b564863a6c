"""Ends answer streams that are silent or past their deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from ..guard import BackgroundTask, run_step
from .stream import EngineStream

# A deadline is exceeded by at most this much.
CHECK_INTERVAL_S = 0.1


class StreamMonitor(BackgroundTask):
    """Checks all streams of a node from one task.

    A timer for each read would cost as much as the read itself.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        self._clock = clock
        self._streams: set[EngineStream] = set()

    def add(self, stream: EngineStream) -> None:
        """Check a stream from now on."""
        self._streams.add(stream)

    def discard(self, stream: EngineStream) -> None:
        """Stop checking a stream."""
        self._streams.discard(stream)

    def check(self, now_s: float) -> None:
        """End the streams that are silent or late at a time."""
        for stream in list(self._streams):
            error = stream.find_fault(now_s)
            if error is not None:
                stream.abort(error)
                self._streams.discard(stream)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            run_step(self.check, self._clock())
