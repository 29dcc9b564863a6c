"""Requests to model engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import gevent

from ..errors import BackendError, Outcome
from ..request import Request
from . import chat  # noqa: F401  (registers the protocol)
from .monitor import StreamMonitor
from .pool import STREAM_IDLE_LIMIT_S, BackendPool
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
class Silence:
    """How long an engine may be silent; see ``StreamLimits``."""

    first_s: float = STREAM_IDLE_LIMIT_S
    idle_s: float = STREAM_IDLE_LIMIT_S
    slow_s: float = 0.0


@contextmanager
def open_stream(
    pool: BackendPool,
    request: Request,
    attempt: Attempt,
    silence: Silence,
    counters: StreamCounters,
    monitor: StreamMonitor,
    clock: Callable[[], float],
) -> Iterator[EngineStream]:
    """Send a request to an engine and give its answer stream.

    Leaving the context before the answer is complete cancels it at the engine.
    Raises ``BackendError`` when the exchange fails, ``OverloadError`` when the
    engine refuses it.
    """
    if request.id in pool.cancels:
        # A cancel that arrives late would end the resumed stream as well.
        pool.cancels[request.id].join()
    sent_s = clock()
    limit_s = max(0.001, min(silence.first_s, attempt.time_left_s))
    head, body = encode(pool.protocol, request, attempt)
    try:
        answer = pool.send(head, body, limit_s, answers=pool.protocol.answers)
    except BackendError as error:
        if error.outcome is Outcome.UNKNOWN:
            # A kept connection may have gone silent; the others are as old.
            pool.drop_idle()
        raise
    try:
        check(pool.protocol, request, answer, pool.backend_id)
    except BaseException:
        answer.connection.close()
        raise
    reader = event_reader(pool.protocol, request, answer, attempt.received, counters)
    limits = StreamLimits(
        request.deadline_s, sent_s, silence.first_s, silence.idle_s, silence.slow_s
    )
    stream = EngineStream(answer, reader, limits, pool.backend_id, clock)
    monitor.add(stream)
    try:
        yield stream
    finally:
        monitor.discard(stream)
        stream.close()
        if not stream.finished and isinstance(pool.protocol, ChatProtocol):
            pool.cancels[request.id] = gevent.spawn(cancel, pool, request.id)


def cancel(pool: BackendPool, request_id: str) -> None:
    """Tell an engine to drop a request; a failure only delays its end."""
    body = b'{"id":"%s"}' % request_id.encode()
    try:
        answer = pool.request(
            "POST",
            CANCEL_PATH,
            body=body,
            headers={"Content-Type": "application/json"},
            read_timeout_s=CANCEL_TIMEOUT_S,
        )
        answer.read_all()
    except BackendError:
        return
    finally:
        pool.cancels.pop(request_id, None)
