"""Reading of request bodies with limits on size, memory and time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from ..errors import BodyTooLargeError, OverloadError, RequestError, RequestTimeoutError

READ_BYTES = 256 << 10
# A body may take this long plus its size at the minimum rate.
BODY_BASE_S = 5.0
MINIMUM_RATE_BYTES_PER_S = 64 << 10
MEMORY_RETRY_S = 1.0


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


def read_body(environ: dict, size: int, limit_bytes: int) -> bytes:
    """Read a body of at most ``limit_bytes``.

    Raises ``RequestTimeoutError`` when it arrives below the minimum rate and
    ``RequestError`` when the caller closes its side early.
    """
    limit_s = BODY_BASE_S + size / MINIMUM_RATE_BYTES_PER_S
    try:
        with gevent.Timeout(limit_s):
            return _read_all(environ["wsgi.input"], limit_bytes)
    except gevent.Timeout:
        raise RequestTimeoutError(
            f"body did not arrive within {limit_s:.0f} s",
            step="read_body",
            peer="caller",
        ) from None
    except OSError as error:
        raise RequestError(
            f"body ended early: {type(error).__name__}", step="read_body", peer="caller"
        ) from error


def _read_all(stream, limit_bytes: int) -> bytes:
    parts: list[bytes] = []
    size = 0
    while data := stream.read(READ_BYTES):
        size += len(data)
        if size > limit_bytes:
            raise _too_large(limit_bytes)
        parts.append(data)
    return b"".join(parts)


def _too_large(limit_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(
        f"body exceeds {limit_bytes} bytes", step="read_body", peer="caller"
    )
