"""Requests to plain services."""

from __future__ import annotations

from dataclasses import dataclass

import gevent
import urllib3

from ..errors import BackendError, DeadlineError, Outcome
from ..request import Request
from .pool import BackendPool

# A recorded or relayed answer of a plain service is held in memory once.
ANSWER_LIMIT_BYTES = 4 << 20


@dataclass(frozen=True)
class ServiceAnswer:
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


def call(pool: BackendPool, request: Request, now_s: float) -> ServiceAnswer:
    """Send a request once and return the answer.

    Raises ``BackendError`` or ``DeadlineError``; the outcome is ``not_run``
    only when no byte was sent.
    """
    limit_s = max(0.001, request.time_left_s(now_s))
    try:
        with gevent.Timeout(limit_s):
            return _exchange(pool, request, limit_s)
    except gevent.Timeout as error:
        raise DeadlineError(
            "no answer within the deadline",
            step="call",
            peer=pool.backend_id,
            outcome=Outcome.UNKNOWN,
        ) from error


def _exchange(pool: BackendPool, request: Request, limit_s: float) -> ServiceAnswer:
    try:
        response = pool.request(
            "POST",
            request.path,
            body=request.body,
            headers=_headers(request),
            read_timeout_s=limit_s,
            stream=True,
        )
        body = response.read(ANSWER_LIMIT_BYTES + 1)
    except urllib3.exceptions.NewConnectionError as error:
        raise _error(pool, "connection refused", Outcome.NOT_RUN) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        message = f"no complete answer: {type(error).__name__}"
        raise _error(pool, message, Outcome.UNKNOWN) from error
    response.close()
    if response.headers.get("X-Request-Id", request.id) != request.id:
        raise _error(pool, "answer belongs to another request", Outcome.UNKNOWN)
    if len(body) > ANSWER_LIMIT_BYTES:
        raise _error(pool, "answer exceeds the limit", Outcome.UNKNOWN)
    content_type = response.headers.get("Content-Type", "application/json")
    return ServiceAnswer(response.status, content_type, body)


def _headers(request: Request) -> dict[str, str]:
    # A kept connection may be closed by the service just as a request is sent,
    # and then nobody knows whether the request ran.
    headers = {
        "Content-Type": "application/json",
        "Connection": "close",
        "X-Request-Id": request.id,
    }
    if request.idempotency_key is not None:
        headers["Idempotency-Key"] = request.idempotency_key
    return headers


def _error(pool: BackendPool, message: str, outcome: Outcome) -> BackendError:
    return BackendError(message, step="call", peer=pool.backend_id, outcome=outcome)
