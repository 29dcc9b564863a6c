"""How far a node knows a table of the store, from its own reads and its peers' word.

A node that reads a table tells the others up to which version it has read, a digest
of what it made of the table, and how long ago it asked.  Who made the same of it
knows the table as well as the reader does, without a read of its own.  To tell the
version of the last change instead would not do: a row that was changed back, or
removed before a reader read the whole table, is no change to that reader.

The age counts from before the question: a word is answered to a stamp of the
receiver's own clock, so a word that was held up on its way only looks older.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

DIGEST_BYTES = 7


@dataclass(frozen=True)
class Word:
    """What a node tells of a table; ``age_s`` is as of the sending."""

    version: int
    digest: int
    age_s: float


def digest_of(content: object) -> int:
    """Return the digest of what a node made of a table.

    It is the same in all processes for the same numbers, texts and tuples.
    """
    data = repr(content).encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )


class Knowledge:
    """What one node knows of one table."""

    def __init__(self):
        self.version: int | None = None
        self._digest = 0
        self._confirmed_s = -math.inf
        self._differs_at = 0

    @property
    def is_behind(self) -> bool:
        """Return whether a peer knows something else as of a later version."""
        return self._differs_at > (self.version or 0)

    def age_s(self, now_s: float) -> float:
        """Return for how long the table may have changed unnoticed."""
        return now_s - self._confirmed_s

    def read(self, version: int, digest: int, asked_s: float) -> None:
        """Note a read of one's own that was asked for at a time."""
        self.version = max(self.version or 0, version)
        self._digest = digest
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def told(self, word: Word, stamp_s: float) -> bool:
        """Note a peer's word to a stamp; return whether a read is needed.

        A word older than what is known changes nothing.
        """
        if self.version is None:
            return True
        if word.version >= self.version and word.digest == self._digest:
            self.version = word.version
            self._confirmed_s = max(self._confirmed_s, stamp_s - word.age_s)
        elif word.version > self.version:
            self._differs_at = max(self._differs_at, word.version)
        return self.is_behind

    def word(self, now_s: float) -> Word | None:
        """Return what this node tells its peers, None before its first read."""
        if self.version is None:
            return None
        return Word(self.version, self._digest, self.age_s(now_s))
