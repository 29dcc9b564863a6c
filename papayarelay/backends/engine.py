"""Streaming requests to model engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import gevent

from ..errors import BackendError, Outcome
from ..request import Request
from . import chat  # noqa: F401  (registers the protocol)
from .monitor import StreamMonitor
from .pool import STREAM_IDLE_TIMEOUT_S, BackendPool
from .protocol import (
    Attempt,
    ChatProtocol,
    StreamCounters,
    check,
    encode,
    event_reader,
)
from .stream import EngineStream, StreamLimits

CANCEL_TIMEOUT_S = 1.0
CANCEL_PATH = "/v1/cancel"


@dataclass(frozen=True)
class StreamTimeouts:
    """Idle timeouts of an engine's stream; see ``StreamLimits``."""

    first_event_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    idle_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    slow_idle_timeout_s: float = 0.0


@contextmanager
def open_stream(
    pool: BackendPool,
    request: Request,
    attempt: Attempt,
    timeouts: StreamTimeouts,
    counters: StreamCounters,
    monitor: StreamMonitor,
    clock: Callable[[], float],
) -> Iterator[EngineStream]:
    """Send a request to an engine and yield its response stream.

    Leaving the context before the stream is complete cancels the request at the
    engine.  Raises ``BackendError`` if the exchange fails and ``OverloadError`` if
    the engine is overloaded.
    """
    if request.id in pool.cancels:
        # Wait for the pending cancel: it would abort the resumed stream as well.
        pool.cancels[request.id].join()
    sent_s = clock()
    timeout_s = max(0.001, min(timeouts.first_event_timeout_s, attempt.time_left_s))
    head, body = encode(pool.protocol, request, attempt)
    try:
        response = pool.send(
            head,
            body,
            timeout_s,
            request_id_header=pool.protocol.request_id_header,
            permit=attempt.permit,
        )
    except BackendError as error:
        if error.outcome is Outcome.UNKNOWN:
            # The pooled connection may have been dead; the other idle ones are
            # about as old, so drop them too.
            pool.drop_idle()
        raise
    try:
        check(pool.protocol, request, response, pool.backend_id)
    except BaseException:
        response.connection.close()
        raise
    reader = event_reader(pool.protocol, request, response, attempt.received, counters)
    limits = StreamLimits(
        request.deadline_s,
        sent_s,
        timeouts.first_event_timeout_s,
        timeouts.idle_timeout_s,
        timeouts.slow_idle_timeout_s,
    )
    stream = EngineStream(response, reader, limits, pool.backend_id, clock)
    monitor.add(stream)
    try:
        yield stream
    finally:
        monitor.discard(stream)
        stream.close()
        if not stream.finished and isinstance(pool.protocol, ChatProtocol):
            pool.cancels[request.id] = gevent.spawn(cancel, pool, request.id)


def cancel(pool: BackendPool, request_id: str) -> None:
    """Cancel a request at an engine; on failure it only runs for longer."""
    body = b'{"id":"%s"}' % request_id.encode()
    try:
        response = pool.request(
            "POST",
            CANCEL_PATH,
            body=body,
            headers={"Content-Type": "application/json"},
            read_timeout_s=CANCEL_TIMEOUT_S,
        )
        response.read_all()
    except BackendError:
        return
    finally:
        pool.cancels.pop(request_id, None)
