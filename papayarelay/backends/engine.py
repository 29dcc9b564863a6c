"""Requests to model engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import urllib3

from ..errors import BackendError, Outcome, OverloadError, RequestError
from ..request import Request
from ..routing import engine_priority
from .monitor import StreamMonitor
from .pool import STREAM_IDLE_LIMIT_S, BackendPool
from .stream import EngineStream, StreamCounters

CANCEL_TIMEOUT_S = 1.0
CANCEL_PATH = "/v1/cancel"


def _headers(request: Request, offset: int, now_s: float) -> dict[str, str]:
    priority = engine_priority(request.kind.priority, request.prompt_tokens)
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request.id,
        "X-Priority": str(priority),
        "X-Deadline-Ms": str(int(request.time_left_s(now_s) * 1000)),
    }
    if offset:
        headers["X-Resume-From"] = str(offset)
    return headers


@contextmanager
def open_stream(
    pool: BackendPool,
    request: Request,
    offset: int,
    counters: StreamCounters,
    monitor: StreamMonitor,
    clock: Callable[[], float],
) -> Iterator[EngineStream]:
    """Send a request to an engine and give its answer stream.

    ``offset`` is the number of tokens already received from another stream of
    the same request.  Leaving the context before the answer is complete
    cancels it at the engine.  Raises ``BackendError`` when the exchange fails,
    ``OverloadError`` when the engine refuses it.
    """
    stream = EngineStream(
        _send(pool, request, offset, clock()),
        request.id,
        pool.backend_id,
        offset,
        request.deadline_s,
        counters,
        clock,
    )
    monitor.add(stream)
    try:
        yield stream
    finally:
        monitor.discard(stream)
        stream.close()
        if not stream.finished:
            pool.cancels[request.id] = gevent.spawn(cancel, pool, request.id)


def cancel(pool: BackendPool, request_id: str) -> None:
    """Tell an engine to drop a request; a failure only delays its end."""
    body = b'{"id":"%s"}' % request_id.encode()
    try:
        pool.request(
            "POST",
            CANCEL_PATH,
            body=body,
            headers={"Content-Type": "application/json"},
            read_timeout_s=CANCEL_TIMEOUT_S,
        )
    except (urllib3.exceptions.HTTPError, OSError):
        return
    finally:
        pool.cancels.pop(request_id, None)


def _send(
    pool: BackendPool, request: Request, offset: int, now_s: float
) -> urllib3.BaseHTTPResponse:
    if request.id in pool.cancels:
        # A cancel that arrives late would end the resumed stream as well.
        pool.cancels[request.id].join()
    limit_s = max(0.001, min(STREAM_IDLE_LIMIT_S, request.time_left_s(now_s)))
    try:
        response = pool.request(
            "POST",
            request.path,
            body=request.body,
            headers=_headers(request, offset, now_s),
            read_timeout_s=limit_s,
            stream=True,
        )
    except urllib3.exceptions.NewConnectionError as error:
        raise _error(pool, "connection refused", Outcome.NOT_RUN) from error
    except urllib3.exceptions.ReadTimeoutError as error:
        # A pooled connection may have gone silent; the others are as old.
        pool.drop_idle()
        raise _error(pool, "no answer to the request", Outcome.UNKNOWN) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        message = f"request failed: {type(error).__name__}"
        raise _error(pool, message, Outcome.UNKNOWN) from error
    if response.status == 200:
        return response
    raise _refusal(pool, response)


def _refusal(pool: BackendPool, response: urllib3.BaseHTTPResponse) -> Exception:
    status = response.status
    response.close()
    if status in (429, 503):
        return OverloadError(
            f"engine refused the request with {status}",
            step="send",
            peer=pool.backend_id,
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
        )
    if 400 <= status < 500:
        return RequestError(
            f"engine rejected the request with {status}",
            step="send",
            peer=pool.backend_id,
        )
    return _error(pool, f"engine answered {status}", Outcome.UNKNOWN)


def _error(pool: BackendPool, message: str, outcome: Outcome) -> BackendError:
    return BackendError(message, step="send", peer=pool.backend_id, outcome=outcome)
