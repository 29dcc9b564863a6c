"""Reading of request bodies with limits on size, memory and time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import gevent

from ..errors import BodyTooLargeError, OverloadError, RequestError, RequestTimeoutError

READ_BYTES = 64 << 10
# Each part of a body may take this long plus its size at the lowest rate.
RATE_GRACE_S = 5.0
MEMORY_RETRY_S = 1.0
LONG_BYTES = 512 << 10
# A sleep of 0 returns up to ten times before gevent polls for events again; any
# longer one returns after the next poll.
POLL_S = 1e-6


@dataclass(frozen=True)
class BodyLimits:
    """Limits on one body.

    It is at most ``size_bytes`` long, arrives within ``timeout_s``, and each part
    of ``READ_BYTES`` within ``RATE_GRACE_S`` and its time at the lowest rate.
    """

    size_bytes: int
    timeout_s: float
    lowest_bytes_per_s: float

    def part_s(self, size: int) -> float:
        """Return the time for a part of that many bytes."""
        return RATE_GRACE_S + size / self.lowest_bytes_per_s


class BodyMemory:
    """Bounds the memory of all request bodies that a node holds, in bytes."""

    def __init__(self, limit_bytes: int):
        self.held_bytes = 0
        self._limit_bytes = limit_bytes

    @contextmanager
    def reserve(self, size: int) -> Iterator[None]:
        """Hold ``size`` bytes; raises ``OverloadError`` when they do not fit."""
        if self.held_bytes + size > self._limit_bytes:
            raise OverloadError(
                "no memory for another request body",
                step="read_body",
                peer="caller",
                retry_after_s=MEMORY_RETRY_S,
            )
        self.held_bytes += size
        try:
            yield
        finally:
            self.held_bytes -= size


def body_size(environ: dict, limit_bytes: int) -> int:
    """Return the announced size; the limit when the body is sent in chunks."""
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
    when the caller closes its side early and ``BodyTooLargeError``.
    """
    try:
        with gevent.Timeout(limits.timeout_s):
            return _read_all(environ["wsgi.input"], limits)
    except gevent.Timeout:
        raise RequestTimeoutError(
            "body arrived too slowly", step="read_body", peer="caller"
        ) from None
    except OSError as error:
        raise RequestError(
            f"body ended early: {type(error).__name__}", step="read_body", peer="caller"
        ) from error


def _read_all(stream, limits: BodyLimits) -> bytes:
    parts: list[bytes] = []
    size = 0
    part_s = limits.part_s(READ_BYTES)
    while True:
        with gevent.Timeout(part_s):
            data = stream.read(READ_BYTES)
        if not data:
            break
        size += len(data)
        if size > limits.size_bytes:
            raise _too_large(limits.size_bytes)
        parts.append(data)
        if len(data) == READ_BYTES:
            # While data keep arriving, a read does not wait and nothing else runs.
            gevent.sleep(POLL_S)
    body = b"".join(parts)
    let_others_run(body)
    return body


def let_others_run(body: bytes) -> None:
    """Let other tasks run between two passes over a long body.

    One pass over 8 MB takes up to 10 ms, and all passes together would exceed
    the 20 ms for which the event loop may stall.
    """
    if len(body) >= LONG_BYTES:
        gevent.sleep(POLL_S)


def _too_large(limit_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"body exceeds {limit_bytes} bytes", step="read_body", peer="caller"
    )
