"""Freshness of a node's copy of a store table, from its own and its peers' reads.

A node that has read a table sends the others the revision it has read, a digest of the
table's content and the time since the read was issued.  A peer that knows content with
the same digest is as up to date as the reader, without a read of its own.  The revision
of the last change would not do: a row that was changed back, or removed before
a reader read the whole table, is no change to that reader.

Ages are upper bounds: they count from before the read was issued, relative to a
timestamp of the receiver's own clock that the sender echoes, so a delayed report only
appears older.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

from ..store.revision import Revision

DIGEST_BYTES = 7
NO_CONFLICT = Revision(-1, 0)


@dataclass(frozen=True)
class TableReport:
    """A node's report on a table; ``age_s`` is as of the time of sending."""

    revision: Revision
    digest: int
    age_s: float


def content_digest(content: object) -> int:
    """Return the digest of a table's content.

    It is the same in all processes for equal numbers, strings and tuples.
    """
    data = repr(content).encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )


class TableFreshness:
    """Revision and age of a node's copy of one table."""

    def __init__(self):
        self.revision: Revision | None = None
        self._digest = 0
        self._confirmed_s = -math.inf
        self._read_s = -math.inf
        self._conflicting = NO_CONFLICT

    @property
    def is_stale(self) -> bool:
        """Return whether a peer has reported other content at a later revision."""
        return self.revision is not None and self._conflicting > self.revision

    def age_s(self, now_s: float) -> float:
        """Return for how long the table may have changed without being noticed."""
        return now_s - self._confirmed_s

    def read_age_s(self, now_s: float) -> float:
        """Return the time since the last read, or the last peer's read of the same."""
        return now_s - max(self._read_s, self._confirmed_s)

    def read(
        self, revision: Revision, digest: int, issued_s: float, is_current: bool = True
    ) -> None:
        """Record a read by this node that was issued at ``issued_s``.

        A read that is not current leaves the age as it is.
        """
        self.revision = max(self.revision or revision, revision)
        self._digest = digest
        self._read_s = max(self._read_s, issued_s)
        if is_current:
            self._confirmed_s = max(self._confirmed_s, issued_s)

    def apply_report(self, report: TableReport, echoed_s: float) -> bool:
        """Apply a peer's report that echoes ``echoed_s``; return whether to read.

        A report older than the known state changes nothing.
        """
        if self.revision is None:
            return True
        if report.revision >= self.revision and report.digest == self._digest:
            self.revision = report.revision
            self._confirmed_s = max(self._confirmed_s, echoed_s - report.age_s)
        elif report.revision > self.revision:
            self._conflicting = max(self._conflicting, report.revision)
        return self.is_stale

    def report(self, now_s: float) -> TableReport | None:
        """Return the report for the peers, or None before the first read."""
        if self.revision is None:
            return None
        return TableReport(self.revision, self._digest, self.age_s(now_s))
