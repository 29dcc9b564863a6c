"""Readiness of a node and its graceful shutdown."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import Event

from ..errors import OverloadError

# Retry-After of a request that another node can serve at once.
RETRY_OTHER_NODE_S = 0.01


class Gate:
    """Counts the requests in flight and rejects new ones during shutdown.

    While ``shutting_down``, responses carry ``Connection: close``.  ``end_s`` is when
    the node stops, infinite while that is not known.
    """

    def __init__(self):
        self.ready = False
        self.shutting_down = False
        self.inflight = 0
        self.end_s = math.inf
        self._open = True
        self._idle = Event()
        self._idle.set()

    @property
    def is_open(self) -> bool:
        """Return whether new requests are admitted."""
        return self._open

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight; raises ``OverloadError`` when closed."""
        if not self._open:
            raise _shutting_down_error()
        self.inflight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.inflight -= 1
            if self.inflight == 0:
                self._idle.set()

    def check_time_left(self, deadline_s: float) -> None:
        """Raise ``OverloadError`` for a request that may outlast a closed gate.

        Its body may have taken most of the time that the shutdown leaves.
        """
        if not self._open and deadline_s > self.end_s:
            raise _shutting_down_error()

    def close(self) -> None:
        """Reject new requests."""
        self.ready = False
        self._open = False

    def wait_until_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no requests are in flight; return False on timeout."""
        return self._idle.wait(timeout_s)


def _shutting_down_error() -> OverloadError:
    error = OverloadError(
        "node is shutting down",
        step="admit",
        peer="node",
        retry_after_s=RETRY_OTHER_NODE_S,
    )
    error.available_elsewhere = True
    return error
