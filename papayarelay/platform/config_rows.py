"""The configuration document and evacuations in the store, and those in force."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event
from ..logs import log
from ..nodes.freshness import content_digest
from ..store.restore import RestoreGuard
from .config import DOCUMENT_DECODER, Document
from .store import Row, Rows

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
MAX_DOCUMENT_BYTES = 1 << 20
# Time in which operators write again what a restore has lost.
REWRITE_S = 10.0
# A node that has missed the end of an evacuation leaves the data centre idle so long.
REWRITE_EVACUATION_S = 4.0
# The rows of a restored store may lack changes that this node has not seen.  They count
# as current once the document is written again, or after this time.
CONFIRM_S = 1.0


class KeptConfig(msgspec.Struct, array_like=True):
    """A configuration in force that the store has lost in a restore.

    ``digest`` covers the configuration rows in the store, ``document`` is compressed.
    The sender keeps the configuration for ``left_ms`` more.
    """

    digest: int
    document: bytes
    evacuated: list[str]
    left_ms: int


@dataclass(frozen=True)
class _Stored:
    """A configuration document with its text and a digest of that."""

    document: Document
    text: bytes
    digest: int

    @classmethod
    def decode(cls, text: bytes) -> _Stored:
        """Decode a document; raises one of ``DECODE_ERRORS``."""
        return cls(DOCUMENT_DECODER.decode(text), text, content_digest(text))


class ConfigRows:
    """Keeps the document and the evacuations in force."""

    def __init__(self):
        self.evacuated: frozenset[str] = frozenset()
        self._current: _Stored | None = None
        # Era in which the store had the current document, None if it never had it.
        self._era: int | None = None
        # Era of the last rows.
        self._stored_era = 0
        self._current_from_s = 0.0
        # Digests of the rows in the store.
        self._stored: dict[str, int] = {}
        self._documents = RestoreGuard[_Stored](_digest, _precedes, REWRITE_S)
        # The content of an evacuation is the version of its row.
        self._evacuations = RestoreGuard[int](
            lambda version: version,
            lambda version, other: False,
            REWRITE_EVACUATION_S,
        )
        self._evacuation_versions: dict[str, int] = {}

    @property
    def document(self) -> Document | None:
        """Return the document in force."""
        return None if self._current is None else self._current.document

    @property
    def digest(self) -> int:
        """Return the digest of the rows in the store and of what is in force."""
        document = self._current and self._current.digest
        in_force = (document, sorted(self.evacuated))
        return content_digest((self._stored_digest, in_force))

    @property
    def _stored_digest(self) -> int:
        return content_digest(sorted(self._stored.items()))

    @property
    def held_count(self) -> int:
        """Return the number of rows that are kept as known before a restore."""
        return len(self._documents.held) + len(self._evacuations.held)

    @property
    def awaits_check(self) -> bool:
        """Return whether ``check`` has something to do soon."""
        return self.held_count > 0

    def is_current(self, now_s: float) -> bool:
        """Return whether the rows in the store have all changes up to now."""
        return now_s >= self._current_from_s

    def apply(
        self, rows: Rows, is_full: bool, is_restored: bool, now_s: float
    ) -> tuple[list[Row], bool]:
        """Apply rows; return those that changed something, and whether any did.

        ``is_full`` tells that these are all rows, ``is_restored`` that they are the
        first ones that are read after a restore.
        """
        self._stored_era = rows.revision.era
        if is_full:
            self._stored = {}
        if is_restored:
            self._current_from_s = now_s + CONFIRM_S
        elif not is_full and any(row.key == CONFIG_KEY for row in rows.rows):
            self._current_from_s = now_s
        for row in rows.rows:
            if row.removed:
                self._stored.pop(row.key, None)
            else:
                self._stored[row.key] = content_digest(row.value)
        changed = [
            row
            for row in rows.rows
            if row.key == CONFIG_KEY and self._apply_document(row, is_restored, now_s)
        ]
        evacuations = [row for row in rows.rows if row.key.startswith(EVACUATE_PREFIX)]
        before = self.evacuated
        if is_full:
            self._apply_all_evacuations(evacuations, is_restored, now_s)
        else:
            for row in evacuations:
                self._apply_evacuation(row)
        _log_evacuations(before, self.evacuated, rows.revision.number)
        toggled = before ^ self.evacuated
        changed += [row for row in evacuations if _data_centre(row) in toggled]
        return changed, bool(changed or toggled)

    def check(self, now_s: float) -> bool:
        """Take over from the store what is due; return whether there was anything."""
        due = self._documents.take_due(now_s)
        found = due.get(CONFIG_KEY)
        if found is not None:
            self._adopt(found, self._stored_era)
        before = self.evacuated
        for name, version in self._evacuations.take_due(now_s).items():
            self._set_evacuated(name, version)
        _log_evacuations(before, self.evacuated, None)
        return found is not None or before != self.evacuated

    def kept_config(self, now_s: float) -> KeptConfig | None:
        """Return the configuration in force if the store has lost some of it."""
        held = [*self._documents.held.values(), *self._evacuations.held.values()]
        if not held or self._current is None:
            return None
        left_s = max(each.due_s for each in held) - now_s
        return KeptConfig(
            self._stored_digest,
            zlib.compress(self._current.text),
            sorted(self.evacuated),
            max(0, round(1000 * left_s)),
        )

    def apply_kept(self, kept: KeptConfig, now_s: float) -> bool:
        """Take over a configuration that a peer has kept; return whether it is new.

        It is used only while the store's content is the same for both nodes.
        """
        if self._current is None or kept.digest != self._stored_digest:
            return False
        due_s = now_s + kept.left_ms / 1000
        # The sender may have missed the end of an evacuation that this node has seen.
        missing = {
            name
            for name in set(kept.evacuated) - self.evacuated
            if not self._evacuations.knows_replaced(name)
        }
        for name in missing:
            self._evacuations.hold(name, None, due_s)
        before = self.evacuated
        self.evacuated |= missing
        _log_evacuations(before, self.evacuated, None)
        return self._apply_kept_document(kept.document, due_s) or bool(missing)

    def _apply_kept_document(self, compressed: bytes, due_s: float) -> bool:
        text = zlib.decompressobj().decompress(compressed, MAX_DOCUMENT_BYTES)
        found = _Stored.decode(text)
        current = self._current
        if not _precedes(current, found):
            return False
        if not self._documents.held:
            self._documents.hold(CONFIG_KEY, current, due_s)
        self._adopt(found, None)
        return True

    def _apply_document(self, row: Row, is_restored: bool, now_s: float) -> bool:
        """Adopt a document if it is newer than the current one."""
        found = _decode(row)
        if found is None:
            return False
        current = self._current
        if current is not None and found.digest == current.digest:
            self._documents.settle(CONFIG_KEY)
            self._era = self._stored_era
            return False
        if current is not None and self._keeps_current(found, is_restored, now_s):
            return False
        return self._adopt(found, self._stored_era, row.version)

    def _keeps_current(self, found: _Stored, is_restored: bool, now_s: float) -> bool:
        """Return whether the current document stays in force for now."""
        if self._stored_era == self._era:
            return not _precedes(self._current, found)
        if not self._holds(found, is_restored, now_s):
            return False
        log(
            Event.RESTORED_ROW_HELD,
            target=CONFIG_KEY,
            version=found.document.version,
            config_version=self._current.document.version,
            era=self._stored_era,
        )
        return True

    def _holds(self, found: _Stored, is_restored: bool, now_s: float) -> bool:
        """Return whether a document in a later era is to be held back."""
        if not is_restored:
            return self._documents.hold_replayed(
                CONFIG_KEY, found, self._current, now_s
            )
        stored, known = {CONFIG_KEY: found}, {CONFIG_KEY: self._current}
        return bool(self._documents.hold_restored(stored, known, now_s))

    def _adopt(
        self, found: _Stored, era: int | None, row_version: int | None = None
    ) -> bool:
        if self._current is not None:
            self._documents.record_replaced(CONFIG_KEY, self._current)
        self._current = found
        self._era = era
        log(
            Event.CONFIG_APPLIED,
            version=found.document.version,
            number=row_version,
            era=era,
        )
        return True

    def _apply_all_evacuations(
        self, rows: Iterable[Row], is_restored: bool, now_s: float
    ) -> None:
        stored = {_data_centre(row): row.version for row in rows}
        held = ()
        if is_restored:
            held = self._evacuations.hold_restored(
                stored, self._evacuation_versions, now_s
            )
        for name in (stored.keys() | self.evacuated) - set(held):
            self._set_evacuated(name, stored.get(name))

    def _apply_evacuation(self, row: Row) -> None:
        name = _data_centre(row)
        self._evacuations.settle(name)
        self._set_evacuated(name, None if row.removed else row.version)

    def _set_evacuated(self, name: str, version: int | None) -> None:
        """Evacuate a data centre by a version of its row, or end its evacuation."""
        before = self._evacuation_versions.pop(name, None)
        if version is None:
            self.evacuated -= {name}
            if before is not None:
                self._evacuations.record_replaced(name, before)
            return
        self.evacuated |= {name}
        self._evacuation_versions[name] = version


def _decode(row: Row) -> _Stored | None:
    """Decode the document in a row; return None if it is not valid."""
    if row.value is None:
        return None
    try:
        return _Stored.decode(row.value)
    except DECODE_ERRORS as error:
        log(Event.CONFIG_REJECTED, error=error, version=row.version)
        return None


def _digest(stored: _Stored) -> int:
    return stored.digest


def _precedes(stored: _Stored, other: _Stored) -> bool:
    return stored.document.version < other.document.version


def _data_centre(row: Row) -> str:
    return row.key.removeprefix(EVACUATE_PREFIX)


def _log_evacuations(
    before: frozenset[str], after: frozenset[str], version: int | None
) -> None:
    for name in sorted(before ^ after):
        event = Event.DRAIN_APPLIED if name in after else Event.RETURN_APPLIED
        log(event, target=f"data_centre/{name}", version=version)
