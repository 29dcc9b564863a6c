"""Watches the configuration and the backend server list in the store.

The nodes of a group share their reads: a node that has read a table announces its
version and digest to its peers, which then need not read it themselves.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable, Mapping

import gevent
import gevent.event
import msgspec

from ..config import Config
from ..errors import StoreError
from ..events import Event
from ..guard import run_step
from ..logs import log
from ..nodes.freshness import TableFreshness, TableReport, content_digest
from .config import DOCUMENTS, Document, ServerEntry, read_entry, to_config
from .settings import Bounds
from .store import HistoryGoneError, Row, Rows, StoreClient

CONFIG_TABLE = "op"
SERVER_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
# Long-poll duration of a configuration read.
CONFIG_WAIT_S = 0.5
# A table is read again at these fractions of its propagation limit: by the first
# node of a group, and by the others, staggered by rank, if the first has not.
FIRST_PART = 0.4
OTHERS_PART = 0.6
RANK_PART = 0.05
# A table confirmed this recently shows that the store answers some node.
REGAINED_S = 0.6
MOST_RANKS = 4
# Maximum number of server rows in one change notification.
NOTICE_ROWS = 10
RETRY_S = 0.1
MOST_RETRY_S = 0.4
# While the store fails, only the first nodes of a group retry at the short interval.
# The others wait this much longer, unless a peer announces an unknown change.
QUICK_RANKS = 3
SLOW_RETRY_S = 3.0
# Grace period for servers to renew entries that expired during a store outage.
RETURN_S = 2.0
LAPSED_CHECK_S = 0.2


class _NoticeRow(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    version: int
    removed: bool


class _Notice(msgspec.Struct, array_like=True):
    """Server rows that changed after version ``after`` and up to ``version``.

    ``digest`` covers the sender's whole server list after these changes.
    """

    after: int
    version: int
    digest: int
    rows: list[_NoticeRow]


NOTICES = msgspec.msgpack.Decoder(_Notice)


def suspended_clock() -> float:
    """Return monotonic seconds, including the time while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Feed:
    """Keeps the newest configuration and calls ``apply`` with each change.

    ``cold`` is called with a server id and the remaining seconds of its
    cold start.  ``rank`` returns the rank of this node among the nodes of its
    group, and ``publish`` sends these nodes a change notification.
    """

    def __init__(
        self,
        store: StoreClient,
        bounds: Bounds,
        apply: Callable[[Config], None],
        cold: Callable[[str, float], None],
        data_centres: Iterable[str] = (),
        clock: Callable[[], float] = time.monotonic,
        age_clock: Callable[[], float] = suspended_clock,
        rank: Callable[[], int] = lambda: 0,
        publish: Callable[[bytes], None] = lambda notice: None,
    ):
        self.config = Config()
        self._store = store
        self._bounds = bounds
        self._apply = apply
        self._cold = cold
        self._data_centres = tuple(data_centres)
        self._clock = clock
        self._age_clock = age_clock
        self._document: Document | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._entries: dict[str, ServerEntry] = {}
        self._lapsed: dict[str, float] = {}
        self._known = {CONFIG_TABLE: TableFreshness(), SERVER_TABLE: TableFreshness()}
        self._due = {name: gevent.event.Event() for name in self._known}
        self._rank = rank
        self._publish_notice = publish
        self._returned_s = 0.0
        # Whether the store answers this node, and whether it answers any node.
        self._reachable = True
        self._up = True
        self._tasks: list[gevent.Greenlet] = []

    @property
    def known(self) -> bool:
        """Return whether the configuration and the server list have been read."""
        listed = self._known[SERVER_TABLE].version is not None
        return self._document is not None and listed

    def config_age_s(self) -> float:
        """Return the age of the newest confirmed read of the configuration.

        The age counts from the sending of the read request, not from its response.
        """
        return self._known[CONFIG_TABLE].age_s(self._age_clock())

    def table_reports(self) -> dict[str, TableReport]:
        """Return the table states to announce to peers, by table."""
        now_s = self._age_clock()
        table_reports = {name: each.report(now_s) for name, each in self._known.items()}
        return {name: word for name, word in table_reports.items() if word is not None}

    def take_words(
        self, table_reports: Mapping[str, TableReport], stamp_s: float
    ) -> None:
        """Apply a peer's table states, sent in reply to a message of ``stamp_s``."""
        for name, word in table_reports.items():
            known = self._known.get(name)
            if known is None:
                continue
            if known.apply_report(word, stamp_s):
                self._due[name].set()
            elif known.age_s(self._age_clock()) < REGAINED_S:
                self._note_up()

    def take_notice(self, notice: bytes) -> None:
        """Apply server rows from a peer's change notification, which may be empty."""
        if not notice:
            return
        decoded = NOTICES.decode(notice)
        known = self._known[SERVER_TABLE]
        if known.version is not None and decoded.version <= known.version:
            return
        if known.version is not None and decoded.after <= known.version:
            rows = [Row(r.key, r.value, r.version, r.removed) for r in decoded.rows]
            self._take_servers(Rows(tuple(rows), decoded.version), False)
            known.read(known.version, self._digest(SERVER_TABLE), -math.inf)
        # If earlier changes are missing here, the digests differ: read the table.
        if known.apply_report(
            TableReport(decoded.version, decoded.digest, math.inf), 0.0
        ):
            self._due[SERVER_TABLE].set()

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the propagation limits of changes."""
        self._bounds = bounds

    def start(self) -> None:
        """Start watching the tables."""
        self._tasks = [
            gevent.spawn(self._run, CONFIG_TABLE, self._read_config),
            gevent.spawn(self._run, SERVER_TABLE, self._read_servers),
        ]

    def close(self) -> None:
        """Stop watching the tables."""
        gevent.killall(self._tasks)

    def _run(self, table: str, read: Callable[[], None]) -> None:
        failures = 0
        while True:
            wait_s = self._wait_s(table)
            if table == SERVER_TABLE and self._lapsed:
                run_step(self._check_lapsed)
                wait_s = min(wait_s, LAPSED_CHECK_S)
            if wait_s > 0:
                self._due[table].wait(wait_s)
                self._due[table].clear()
                continue
            try:
                read()
                failures = 0
            except StoreError as error:
                failures += 1
                self._note_failure(error)
                self._wait_to_retry(table, failures)
            except Exception as error:
                # The next rows may be valid, so keep watching the table.
                failures += 1
                log(Event.TASK_FAILED, task=f"feed:{table}", error=error)
                self._wait_to_retry(table, failures)

    def _wait_to_retry(self, table: str, failures: int) -> None:
        """Back off after a failed read of a table."""
        gevent.sleep(min(MOST_RETRY_S, RETRY_S * failures))
        known = self._known[table]
        urgent = known.version is None or known.is_stale
        if not urgent and self._rank() >= QUICK_RANKS:
            self._due[table].clear()
            self._due[table].wait(SLOW_RETRY_S)

    def _wait_s(self, table: str) -> float:
        """Return the time until the next read of a table is due."""
        known = self._known[table]
        if known.version is None or known.is_stale:
            return 0.0
        rank = min(MOST_RANKS, self._rank())
        if table == CONFIG_TABLE:
            # The first node of a group long-polls the store continuously.
            limit_s = self._bounds.config_s
            part = 0.0 if rank == 0 else OTHERS_PART
        else:
            limit_s = self._bounds.drain_s
            part = FIRST_PART if rank == 0 else OTHERS_PART
        due_s = (part + RANK_PART * rank) * limit_s
        return due_s - known.age_s(self._age_clock())

    def _read_config(self) -> None:
        wait_s = CONFIG_WAIT_S if self._rank() == 0 else 0.0
        self._read(CONFIG_TABLE, wait_s, self._take_config)

    def _read_servers(self) -> None:
        self._read(SERVER_TABLE, 0.0, self._take_servers)

    def _read(
        self, table: str, wait_s: float, take: Callable[[Rows, bool], int]
    ) -> None:
        """Read the changes of a table and notify peers of them."""
        known = self._known[table]
        before = known.version
        asked_s = self._age_clock()
        rows, whole = self._read_table(table, wait_s)
        if rows is None:
            return
        self._note_success()
        changed = take(rows, whole)
        known.read(rows.version, self._digest(table), asked_s)
        if changed:
            self._tell(table, before, rows.version, changed)

    def _tell(
        self, table: str, after: int | None, version: int, changed: list[Row]
    ) -> None:
        """Notify peers of a change; a notification without rows makes them read it."""
        notice = b""
        if table == SERVER_TABLE and after and len(changed) <= NOTICE_ROWS:
            rows = [_NoticeRow(r.key, r.value, r.version, r.removed) for r in changed]
            digest = self._digest(SERVER_TABLE)
            notice = msgspec.msgpack.encode(_Notice(after, version, digest, rows))
        self._publish_notice(notice)

    def _digest(self, table: str) -> int:
        """Return the digest of this node's view of a table."""
        if table == CONFIG_TABLE:
            version = self._document.version if self._document else None
            return content_digest((version, sorted(self._evacuated)))
        listed = self._entries.items()
        return content_digest(
            sorted((k, _figures(e)) for k, e in listed if k not in self._lapsed)
        )

    def _read_table(self, table: str, wait_s: float) -> tuple[Rows | None, bool]:
        """Return the changed rows of a table, or all rows and True.

        Returns None in place of rows if the response is older than a previous one.
        """
        known = self._known[table].version
        try:
            if known is not None:
                return self._store.changes(table, known, wait_s), False
        except HistoryGoneError:
            log(Event.STORE_HISTORY_GONE, section=table, version=known)
        rows = self._store.read(table)
        if known is not None and rows.version < known:
            log(Event.STORE_READ_OLD, section=table, version=rows.version)
            gevent.sleep(RETRY_S)
            return None, True
        return rows, True

    def _take_config(self, rows: Rows, whole: bool) -> list[Row]:
        """Apply configuration rows; return those that changed the local state."""
        changed = []
        evacuated = set() if whole else set(self._evacuated)
        for row in rows.rows:
            if row.key == CONFIG_KEY:
                changed += [row] if self._take_document(row) else []
            elif row.key.startswith(EVACUATE_PREFIX):
                name = row.key.removeprefix(EVACUATE_PREFIX)
                (evacuated.discard if row.removed else evacuated.add)(name)
                changed += [row] if row.removed is (name in self._evacuated) else []
        for name in sorted(evacuated ^ self._evacuated):
            gone = name in evacuated
            event = Event.DRAIN_APPLIED if gone else Event.RETURN_APPLIED
            log(event, target=f"data_centre/{name}", version=rows.version)
        moved = evacuated != self._evacuated
        self._evacuated = frozenset(evacuated)
        if changed or moved:
            self._publish()
        return changed

    def _take_document(self, row: Row) -> bool:
        """Adopt a configuration document if it is newer than the current one."""
        if row.value is None:
            return False
        try:
            document = DOCUMENTS.decode(row.value)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log(Event.CONFIG_REJECTED, error=error, version=row.version)
            return False
        if self._document is not None and document.version <= self._document.version:
            return False
        self._document = document
        log(Event.CONFIG_APPLIED, version=document.version)
        return True

    def _take_servers(self, rows: Rows, whole: bool) -> list[Row]:
        """Apply server rows; return those that changed the local state."""
        now_s = self._clock()
        changed = [row for row in rows.rows if self._take_server(row, now_s)]
        if whole:
            for server_id in set(self._entries) - {row.key for row in rows.rows}:
                self._lose_server(server_id, now_s)
        if self._drop_lapsed(now_s) or changed:
            self._publish()
        for row in rows.rows:
            entry = self._entries.get(row.key)
            if entry is not None:
                self._cold(row.key, entry.cold_remaining_ms / 1000)
        return changed

    def _take_server(self, row: Row, now_s: float) -> bool:
        """Apply the row of a server; return whether it changed the local state."""
        before = self._entries.get(row.key)
        if row.removed:
            self._lose_server(row.key, now_s)
            return before is not None
        entry = read_entry(row.value) if row.value is not None else None
        if entry is None:
            # The row is not a valid server entry; keep the last valid one.
            log(Event.BACKEND_ENTRY_UNREADABLE, version=row.version)
            return False
        lapsed = self._lapsed.pop(row.key, None) is not None
        self._entries[row.key] = entry
        if before is not None and _figures(before) == _figures(entry):
            return lapsed
        log(
            Event.BACKEND_STATE,
            backend=row.key,
            state=entry.state,
            version=row.version,
            address=entry.address,
            left_s=entry.cold_remaining_ms / 1000,
        )
        return True

    def _lose_server(self, server_id: str, now_s: float) -> None:
        """Schedule the removal of an entry.

        A ready server gets a grace period after a store outage, during which it
        could not renew its entry.
        """
        entry = self._entries.get(server_id)
        if entry is None or server_id in self._lapsed:
            return
        gone_s = now_s
        if entry.state == "ready":
            returned_s = self._returned_s if self._up else now_s
            gone_s = max(now_s, returned_s + RETURN_S)
        self._lapsed[server_id] = gone_s

    def _drop_lapsed(self, now_s: float) -> bool:
        """Remove entries whose removal is due; return whether there were any."""
        due = [name for name, gone_s in self._lapsed.items() if now_s >= gone_s]
        for server_id in due:
            del self._lapsed[server_id]
            self._entries.pop(server_id, None)
            log(Event.BACKEND_REMOVED, backend=server_id)
        return bool(due)

    def _check_lapsed(self) -> None:
        """Remove entries whose grace period is over."""
        if self._drop_lapsed(self._clock()):
            self._publish()

    def _publish(self) -> None:
        if self._document is None:
            return
        self.config = to_config(
            self._document, self._entries, self._data_centres, self._evacuated
        )
        self._apply(self.config)

    def _note_failure(self, error: StoreError) -> None:
        if self._reachable:
            self._reachable = False
            log(Event.STORE_DOWN, error=error, age_s=round(self.config_age_s(), 3))
        self._up = False

    def _note_success(self) -> None:
        if not self._reachable:
            self._reachable = True
            log(Event.STORE_BACK)
        self._note_up()

    def _note_up(self) -> None:
        """Record that the store answers this node or a peer."""
        if not self._up:
            self._up = True
            self._returned_s = self._clock()


def _figures(entry: ServerEntry) -> tuple:
    """Return the fields of an entry that affect routing."""
    return (
        entry.address,
        entry.state,
        entry.service,
        entry.zone,
        entry.born,
        entry.cold_remaining_ms > 0,
    )
