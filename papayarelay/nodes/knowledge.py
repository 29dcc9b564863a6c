"""How far a node knows a table of the store, from its own reads and its peers' word.

A node that reads a table tells the others up to which version it has read, in
which version the table last changed, and how long ago it asked.  Who knows that
change knows the table as well as the reader does, without a read of its own.

The age counts from before the question: a word is answered to a stamp of the
receiver's own clock, so a word that was held up on its way only looks older.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Word:
    """What a node tells of a table; ``age_s`` is as of the sending."""

    version: int
    changed: int
    age_s: float


class Knowledge:
    """What one node knows of one table."""

    def __init__(self):
        self.version: int | None = None
        self.changed = 0
        self._confirmed_s = -math.inf
        self._told_changed = 0

    @property
    def is_behind(self) -> bool:
        """Return whether a peer knows of a change that this node has not read."""
        return self._told_changed > (self.version or 0)

    def age_s(self, now_s: float) -> float:
        """Return for how long the table may have changed unnoticed."""
        return now_s - self._confirmed_s

    def read(self, version: int, changed: int, asked_s: float) -> None:
        """Note a read of one's own that was asked for at a time.

        ``changed`` is the version of the newest change that it showed, 0 for none.
        """
        self.version = max(self.version or 0, version)
        self.changed = max(self.changed, changed)
        if not self.is_behind:
            # A change that peers have told of may have been none to this node.
            self.changed = max(self.changed, self._told_changed)
        self._confirmed_s = max(self._confirmed_s, asked_s)

    def told(self, word: Word, stamp_s: float) -> bool:
        """Note a peer's word to a stamp; return whether a read is needed.

        A word older than what is known changes nothing.
        """
        self._told_changed = max(self._told_changed, word.changed)
        if self.version is None or word.changed > max(self.changed, self.version):
            return True
        if word.version >= self.version:
            self.version = word.version
            self._confirmed_s = max(self._confirmed_s, stamp_s - word.age_s)
        return self.is_behind

    def word(self, now_s: float) -> Word | None:
        """Return what this node tells its peers, None before its first read."""
        if self.version is None:
            return None
        return Word(self.version, self.changed, self.age_s(now_s))
