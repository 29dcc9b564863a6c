"""Digests of what requests have in common: prompt segments, or all that they ask."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8
# Limit on the segments of a request that are told apart.
MAX_SEGMENTS = 64


def digest_segments(segments: Iterable[bytes]) -> tuple[int, ...]:
    """Return the digests of distinct segments, in order."""
    digests = (
        int.from_bytes(hashlib.blake2b(segment, digest_size=DIGEST_BYTES).digest())
        for segment in segments
    )
    return tuple(dict.fromkeys(digests))[:MAX_SEGMENTS]


class RequestDigest:
    """Digest of a request, updated while its body is read.

    Requests with the same target and body of the same caller have the same digest.
    """

    def __init__(self, method: str, target: str, caller: str):
        self._hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for text in (method, target, caller):
            data = text.encode()
            self._hash.update(len(data).to_bytes(8))
            self._hash.update(data)

    def update(self, part: bytes) -> None:
        """Add a part of the body."""
        self._hash.update(part)

    @property
    def value(self) -> int:
        """Return the digest of what was added."""
        return int.from_bytes(self._hash.digest())


def digest_request(method: str, target: str, caller: str, body: bytes) -> int:
    """Return the digest of a request whose body has been read."""
    digest = RequestDigest(method, target, caller)
    digest.update(body)
    return digest.value


def segment_name(segment: int) -> str:
    """Return a digest as text for logs and metrics."""
    return f"{segment:0{2 * DIGEST_BYTES}x}"
