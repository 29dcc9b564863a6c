"""Digests of the prompt segments that a request shares with other requests."""

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


def segment_name(segment: int) -> str:
    """Return the digest of a segment as text for logs and metrics."""
    return f"{segment:0{2 * DIGEST_BYTES}x}"
