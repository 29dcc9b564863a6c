"""Reads request bodies within limits on size, memory and time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import gevent

from ..errors import BodyTooLargeError, OverloadError, RequestError, RequestTimeoutError

READ_BYTES = 64 << 10
# Added to the time that each part of a body may take at the minimum rate.
RATE_GRACE_S = 5.0
MEMORY_RETRY_S = 1.0
YIELD_MIN_BYTES = 512 << 10
# gevent.sleep(0) may return up to ten times before the event loop polls for I/O;
# any longer sleep returns only after the next poll.
YIELD_SLEEP_S = 1e-6


@dataclass(frozen=True)
class BodyLimits:
    """Limits on one request body.

    It may have ``size_bytes`` and take ``timeout_s`` in total.  Each part of
    ``READ_BYTES`` may take ``RATE_GRACE_S`` plus its transfer time at the minimum
    rate, ``min_bytes_per_s``.
    """

    size_bytes: int
    timeout_s: float
    min_bytes_per_s: float

    def part_timeout_s(self, size: int) -> float:
        """Return the time limit in seconds for a part of ``size`` bytes."""
        return RATE_GRACE_S + size / self.min_bytes_per_s


class BodyMemory:
    """Limits the total memory of the request bodies held by a node."""

    def __init__(self, limit_bytes: int):
        self.reserved_bytes = 0
        self._limit_bytes = limit_bytes

    @contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Reserve ``size`` bytes; raises ``OverloadError`` if they exceed the limit."""
        if self.reserved_bytes + size > self._limit_bytes:
            raise OverloadError(
                "memory limit for request bodies reached",
                step="read_body",
                peer="caller",
                retry_after_s=MEMORY_RETRY_S,
            )
        self.reserved_bytes += size
        try:
            yield
        finally:
            self.reserved_bytes -= size


def body_size(environ: dict, limit_bytes: int) -> int:
    """Return the Content-Length, or the limit for a chunked body."""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return limit_bytes
    try:
        size = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        raise RequestError(
            "Content-Length is not a number", step="read_body", peer="caller"
        ) from None
    if size > limit_bytes:
        raise _too_large(limit_bytes)
    return size


def read_body(environ: dict, limits: BodyLimits) -> bytes:
    """Read a body within its limits.

    Raises ``RequestTimeoutError`` when it arrives too slowly, ``RequestError``
    when the connection ends before the body does, and ``BodyTooLargeError``.
    """
    try:
        with gevent.Timeout(limits.timeout_s):
            return _read_all(environ["wsgi.input"], limits)
    except gevent.Timeout:
        raise RequestTimeoutError(
            "timed out reading the request body", step="read_body", peer="caller"
        ) from None
    except OSError as error:
        raise RequestError(
            f"request body ended prematurely: {type(error).__name__}",
            step="read_body",
            peer="caller",
        ) from error


def _read_all(stream, limits: BodyLimits) -> bytes:
    parts: list[bytes] = []
    size = 0
    part_timeout_s = limits.part_timeout_s(READ_BYTES)
    while True:
        with gevent.Timeout(part_timeout_s):
            data = stream.read(READ_BYTES)
        if not data:
            break
        size += len(data)
        if size > limits.size_bytes:
            raise _too_large(limits.size_bytes)
        parts.append(data)
        if len(data) == READ_BYTES:
            # While data is available, reads never block, so other greenlets starve.
            gevent.sleep(YIELD_SLEEP_S)
    body = b"".join(parts)
    yield_to_event_loop(body)
    return body


def yield_to_event_loop(body: bytes) -> None:
    """Yield to other greenlets between two passes over a long body.

    One pass over 8 MB takes up to 10 ms; several in a row would block the event
    loop for more than the 20 ms allowed.
    """
    if len(body) >= YIELD_MIN_BYTES:
        gevent.sleep(YIELD_SLEEP_S)


def _too_large(limit_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"body exceeds {limit_bytes} bytes", step="read_body", peer="caller"
    )
