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
class ServiceResponse:
    """A buffered response of a plain service.

    ``headers`` are the upstream headers, for protocols that relay them unchanged.
    """

    status: int
    content_type: str
    body: bytes
    headers: Headers = ()


def call(pool: BackendPool, request: Request, attempt: Attempt) -> ServiceResponse:
    """Send a request once and return the response.

    Raises ``BackendError`` or ``DeadlineError``; the outcome is ``not_run`` only if
    no byte was sent or the server reports that it did not execute the request.
    """
    timeout_s = max(0.001, attempt.time_left_s)
    try:
        with gevent.Timeout(timeout_s):
            return _exchange(pool, request, attempt, timeout_s)
    except gevent.Timeout as error:
        raise DeadlineError(
            "deadline exceeded while waiting for the response",
            step="call",
            peer=pool.backend_id,
            outcome=Outcome.UNKNOWN,
        ) from error


def _exchange(
    pool: BackendPool, request: Request, attempt: Attempt, timeout_s: float
) -> ServiceResponse:
    head, body = encode(pool.protocol, request, attempt)
    response = pool.send(
        head,
        body,
        timeout_s,
        new_connection=not request.kind.idempotent,
        request_id_header=pool.protocol.request_id_header,
        permit=attempt.permit,
    )
    try:
        check(pool.protocol, request, response, pool.backend_id)
        body = response.read_all()
    except BaseException:
        response.connection.close()
        raise
    content_type = response.header("Content-Type", "application/json")
    return ServiceResponse(response.status, content_type, body, response.head.headers)
