"""The shared configuration in the table service (section 2.4 of the design document).

``config/<section>`` holds the text of a section and ``config/version`` the
version.  An edit is one transaction that checks both rows and adds a row
``config_history/<number>``.  The number is derived from the version, so the edit id
in the history row identifies the edit that created the version.
"""

from __future__ import annotations

import difflib
import random
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent
import msgspec

from ..config import SECTIONS, parse_sections
from ..errors import (
    CheckFailedError,
    ConflictError,
    Outcome,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from .client import Check, Row, TableClient, Write

SECTION_PREFIX = "config/"
VERSION_KEY = "config/version"
HISTORY_PREFIX = "config_history/"
SCAN_LIMIT_ROWS = 100
# History keys count down so that a scan returns the newest edits first.
HISTORY_KEY_START = 10**12

# An edit whose base version is further behind is rejected as a conflict.
MAX_EDITS_SINCE_BASE = 500

MAX_READ_ATTEMPTS = 10
MAX_APPLY_ATTEMPTS = 20
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
# Maximum length of the diff in an error message.
CONFLICT_DIFF_LINES = 200


class SectionConflictError(ConflictError):
    """The section has changed since the base version of the edit.

    ``version`` is the current version and ``difference`` the unified diff from
    the stored text to the rejected one.
    """

    def __init__(self, section: str, base_version: int, version: int, difference: str):
        super().__init__(
            f"section {section} has changed since version {base_version}; the "
            f"current version is {version}; diff from the stored text to this one:\n"
            f"{difference}",
            step="write",
            peer="store",
        )
        self.version = version
        self.difference = difference


@dataclass(frozen=True)
class Edit:
    """An accepted edit; ``difference`` is a unified diff of the section's text."""

    version: int
    time_s: float
    editor: str
    section: str
    edit_id: str
    difference: str


@dataclass(frozen=True)
class Snapshot:
    """All configuration rows at one version, by row key."""

    version: int
    rows: Mapping[str, Row]

    def row_version(self, key: str) -> int:
        """Return the commit version of a row, 0 if it is absent."""
        return self.rows[key].version if key in self.rows else 0

    def text(self, section: str) -> str:
        """Return the text of a section, empty if it is absent."""
        row = self.rows.get(SECTION_PREFIX + section)
        return "" if row is None else row.value.decode()

    def sections(self) -> dict[str, str]:
        """Return the texts of all sections that are present."""
        present = (name for name in SECTIONS if SECTION_PREFIX + name in self.rows)
        return {name: self.text(name) for name in present}


def read_sections(client: TableClient) -> tuple[dict[str, str], int]:
    """Return the texts of all sections and the version they belong to.

    Raises StoreUnavailableError.
    """
    snapshot = _read_snapshot(client)
    return snapshot.sections(), snapshot.version


def read_history(client: TableClient, limit: int) -> list[Edit]:
    """Return the last edits, the newest first; raises StoreUnavailableError."""
    rows = client.scan(HISTORY_PREFIX, limit)
    return [msgspec.json.decode(row.value, type=Edit) for row in rows]


def apply_section(
    client: TableClient,
    section: str,
    text: str,
    base_version: int,
    editor: str,
    now_s: float,
    *,
    wait: Callable[[float], None] = gevent.sleep,
    rng: random.Random | None = None,
) -> int:
    """Replace the text of a section; return the new version.

    ``base_version`` is the version that the editor has read and ``now_s`` the
    wall clock time.  If the text is stored already, no new version is created.  A
    concurrent edit of another section is no conflict: the edit is retried on top
    of it.

    Raises an exception group of SettingsError if the whole configuration would
    not be valid, SectionConflictError if the section has changed since
    ``base_version``, StoreUnavailableError if nothing was changed and
    StoreOutcomeUnknownError if the edit may still take effect.
    """
    edit = _PendingEdit(client, section, text, base_version, editor, now_s)
    rng = rng or random.Random()
    delay_s = RETRY_DELAY_S
    for _ in range(MAX_APPLY_ATTEMPTS):
        try:
            version = edit.run()
        except StoreError as error:
            edit.failure = error
            version = None
        if version is not None:
            return version
        wait(delay_s * rng.uniform(0.5, 1.0))
        delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
    raise edit.final_error()


class _PendingEdit:
    """One edit and the state of the transactions sent for it.

    At most one transaction can still take effect: each checks the commit version
    of the version row, which every edit changes.
    """

    def __init__(
        self,
        client: TableClient,
        section: str,
        text: str,
        base_version: int,
        editor: str,
        now_s: float,
    ):
        self.failure: StoreError | None = None
        self._client = client
        self._section = section
        self._text = text
        self._base_version = base_version
        self._editor = editor
        self._now_s = now_s
        self._edit_id = uuid.uuid4().hex
        # Version of the transaction whose outcome is unknown.
        self._unconfirmed_version: int | None = None

    def run(self) -> int | None:
        """Try once; return the version, or None if another edit was committed first."""
        if self._unconfirmed_version is not None and self._is_applied(
            self._unconfirmed_version
        ):
            return self._unconfirmed_version
        snapshot = _read_snapshot(self._client)
        if (
            self._unconfirmed_version is not None
            and snapshot.version < self._unconfirmed_version
        ):
            return self._send(snapshot)
        if self._unconfirmed_version is not None and self._is_applied(
            self._unconfirmed_version
        ):
            return self._unconfirmed_version
        self._unconfirmed_version = None
        if snapshot.sections().get(self._section) == self._text:
            return snapshot.version
        self._check_base(snapshot)
        sections = snapshot.sections() | {self._section: self._text}
        parse_sections(sections, snapshot.version + 1)
        return self._send(snapshot)

    def final_error(self) -> StoreError:
        """Return the error to raise when the retries are exhausted."""
        if self._unconfirmed_version is None:
            if isinstance(self.failure, StoreUnavailableError):
                return self.failure
            return _unavailable("concurrent edits were committed first on each try")
        return StoreOutcomeUnknownError(
            f"the edit may still take effect as version {self._unconfirmed_version}",
            step="write",
            peer="store",
            outcome=Outcome.UNKNOWN,
        )

    def _check_base(self, snapshot: Snapshot) -> None:
        if self._is_unchanged(snapshot):
            return
        raise SectionConflictError(
            self._section,
            self._base_version,
            snapshot.version,
            unified_diff(snapshot.text(self._section), self._text, CONFLICT_DIFF_LINES),
        )

    def _is_unchanged(self, snapshot: Snapshot) -> bool:
        """Return whether the section is unchanged since the base version.

        Every version since then needs a history row: a version without one was not
        created by an edit and may have changed any section.
        """
        since = snapshot.version - self._base_version
        if not 0 <= since <= MAX_EDITS_SINCE_BASE:
            return False
        edits = read_history(self._client, since) if since else []
        edited = {edit.version for edit in edits if edit.section != self._section}
        return edited == set(range(self._base_version + 1, snapshot.version + 1))

    def _send(self, snapshot: Snapshot) -> int | None:
        version = snapshot.version + 1
        key = SECTION_PREFIX + self._section
        checks = [
            Check(key, snapshot.row_version(key)),
            Check(VERSION_KEY, snapshot.row_version(VERSION_KEY)),
        ]
        try:
            self._client.transact(checks, self._writes(snapshot, version))
        except CheckFailedError:
            return None
        except StoreOutcomeUnknownError:
            self._unconfirmed_version = version
            raise
        return version

    def _writes(self, snapshot: Snapshot, version: int) -> list[Write]:
        edit = Edit(
            version,
            self._now_s,
            self._editor,
            self._section,
            self._edit_id,
            unified_diff(snapshot.text(self._section), self._text),
        )
        return [
            Write(SECTION_PREFIX + self._section, self._text.encode()),
            Write(VERSION_KEY, str(version).encode()),
            Write(history_key(version), msgspec.json.encode(edit)),
        ]

    def _is_applied(self, version: int) -> bool:
        row = self._client.get(history_key(version))
        if row is None:
            return False
        return msgspec.json.decode(row.value, type=Edit).edit_id == self._edit_id


def history_key(version: int) -> str:
    """Return the key of the history row of a version."""
    return f"{HISTORY_PREFIX}{HISTORY_KEY_START - version:012d}"


def _read_snapshot(client: TableClient) -> Snapshot:
    """Read all rows as of one version.

    Scans are not assumed to be atomic, so the version row is also read before the
    scan and the read is repeated if the version has changed.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        before = client.get(VERSION_KEY)
        rows = {row.key: row for row in client.scan(SECTION_PREFIX, SCAN_LIMIT_ROWS)}
        after = rows.get(VERSION_KEY)
        if before == after:
            return Snapshot(int(after.value) if after else 0, rows)
    raise _unavailable("the configuration changed during every read")


def unified_diff(old: str, new: str, limit: int | None = None) -> str:
    """Return a unified diff of two texts, truncated to ``limit`` lines."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "stored", "new", lineterm=""
    )
    return "\n".join(list(lines)[:limit])


def _unavailable(message: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        message, step="write", peer="store", outcome=Outcome.UNKNOWN
    )
