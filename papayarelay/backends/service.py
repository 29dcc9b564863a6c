"""Calls to plain HTTP services."""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from ..errors import DeadlineError, Outcome
from ..request import Headers, Request
from . import chat  # noqa: F401  (registers the protocol)
from .pool import BackendPool
from .protocol import Attempt, check, encode


@dataclass(frozen=True)
class ServiceAnswer:
    """A buffered response of a plain service.

    ``headers`` are the upstream headers, for protocols that relay them unchanged.
    """

    status: int
    content_type: str
    body: bytes
    headers: Headers = ()


def call(pool: BackendPool, request: Request, attempt: Attempt) -> ServiceAnswer:
    """Send a request once and return the response.

    Raises ``BackendError`` or ``DeadlineError``; the outcome is ``not_run`` only if
    no byte was sent or the server reports that it did not execute the request.
    """
    limit_s = max(0.001, attempt.time_left_s)
    try:
        with gevent.Timeout(limit_s):
            return _exchange(pool, request, attempt, limit_s)
    except gevent.Timeout as error:
        raise DeadlineError(
            "deadline exceeded while waiting for the response",
            step="call",
            peer=pool.backend_id,
            outcome=Outcome.UNKNOWN,
        ) from error


def _exchange(
    pool: BackendPool, request: Request, attempt: Attempt, limit_s: float
) -> ServiceAnswer:
    head, body = encode(pool.protocol, request, attempt)
    answer = pool.send(
        head,
        body,
        limit_s,
        fresh=not request.kind.idempotent,
        answers=pool.protocol.answers,
    )
    try:
        check(pool.protocol, request, answer, pool.backend_id)
        body = answer.read_all()
    except BaseException:
        answer.connection.close()
        raise
    content_type = answer.header("Content-Type", "application/json")
    return ServiceAnswer(answer.status, content_type, body, answer.head.headers)
