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

from ..background import run_step
from ..config import Config
from ..errors import StoreError
from ..events import Event
from ..logs import log
from ..nodes.freshness import TableFreshness, TableReport, content_digest
from .config import DOCUMENT_DECODER, Document, ServerEntry, decode_entry, to_config
from .settings import Bounds
from .store import HistoryGoneError, Row, Rows, StoreClient

CONFIG_TABLE = "op"
SERVER_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
# Long-poll duration of a configuration read.
CONFIG_LONG_POLL_S = 0.5
# A table is read again at these fractions of its propagation limit: by the first
# node of a group, and by the others, staggered by rank, if the first has not.
FIRST_READ_FRACTION = 0.4
OTHERS_READ_FRACTION = 0.6
RANK_DELAY_FRACTION = 0.05
# A table confirmed this recently shows that the store answers some node.
STORE_UP_AGE_S = 0.6
MAX_DELAY_RANK = 4
# Maximum number of server rows in one change notification.
MAX_NOTIFICATION_ROWS = 10
RETRY_S = 0.1
MAX_RETRY_S = 0.4
# While the store fails, only the first nodes of a group retry at the short interval.
# The others wait this much longer, unless a peer announces an unknown change.
FAST_RETRY_RANKS = 3
SLOW_RETRY_S = 3.0
# Grace period for servers to renew entries that expired during a store outage.
OUTAGE_GRACE_S = 2.0
REMOVAL_CHECK_S = 0.2


class _ChangedRow(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    version: int
    removed: bool


class _ChangeNotification(msgspec.Struct, array_like=True):
    """Server rows that changed after version ``after`` and up to ``version``.

    ``digest`` covers the sender's whole server list after these changes.
    """

    after: int
    version: int
    digest: int
    rows: list[_ChangedRow]


NOTIFICATION_DECODER = msgspec.msgpack.Decoder(_ChangeNotification)


def boottime_clock() -> float:
    """Return monotonic seconds, including the time while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformFeed:
    """Keeps the newest configuration and calls ``apply`` with each change.

    ``on_cold_start`` is called with a server id and the remaining seconds of its
    cold start.  ``rank`` returns the rank of this node among the nodes of its
    group, and ``publish`` sends these nodes a change notification.
    """

    def __init__(
        self,
        store: StoreClient,
        bounds: Bounds,
        apply: Callable[[Config], None],
        on_cold_start: Callable[[str, float], None],
        data_centres: Iterable[str] = (),
        clock: Callable[[], float] = time.monotonic,
        age_clock: Callable[[], float] = boottime_clock,
        rank: Callable[[], int] = lambda: 0,
        publish: Callable[[bytes], None] = lambda notification: None,
    ):
        self.config = Config()
        self._store = store
        self._bounds = bounds
        self._apply = apply
        self._on_cold_start = on_cold_start
        self._data_centres = tuple(data_centres)
        self._clock = clock
        self._age_clock = age_clock
        self._document: Document | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._entries: dict[str, ServerEntry] = {}
        self._removal_due_s: dict[str, float] = {}
        self._tables = {CONFIG_TABLE: TableFreshness(), SERVER_TABLE: TableFreshness()}
        self._read_due = {name: gevent.event.Event() for name in self._tables}
        self._rank = rank
        self._send_notification = publish
        self._store_up_since_s = 0.0
        # Whether the store answers this node, and whether it answers any node.
        self._store_answers_here = True
        self._store_up = True
        self._tasks: list[gevent.Greenlet] = []

    @property
    def is_loaded(self) -> bool:
        """Return whether the configuration and the server list have been read."""
        listed = self._tables[SERVER_TABLE].version is not None
        return self._document is not None and listed

    def config_age_s(self) -> float:
        """Return the age of the newest confirmed read of the configuration.

        The age counts from the sending of the read request, not from its response.
        """
        return self._tables[CONFIG_TABLE].age_s(self._age_clock())

    def table_reports(self) -> dict[str, TableReport]:
        """Return the table reports for the peers, by table."""
        now_s = self._age_clock()
        table_reports = {
            name: each.report(now_s) for name, each in self._tables.items()
        }
        return {
            name: report for name, report in table_reports.items() if report is not None
        }

    def apply_table_reports(
        self, table_reports: Mapping[str, TableReport], echoed_s: float
    ) -> None:
        """Apply a peer's table reports, which echo this node's time ``echoed_s``."""
        for name, report in table_reports.items():
            known = self._tables.get(name)
            if known is None:
                continue
            if known.apply_report(report, echoed_s):
                self._read_due[name].set()
            elif known.age_s(self._age_clock()) < STORE_UP_AGE_S:
                self._record_store_up()

    def apply_notification(self, notification: bytes) -> None:
        """Apply server rows from a peer's change notification, which may be empty."""
        if not notification:
            return
        decoded = NOTIFICATION_DECODER.decode(notification)
        known = self._tables[SERVER_TABLE]
        if known.version is not None and decoded.version <= known.version:
            return
        if known.version is not None and decoded.after <= known.version:
            rows = [Row(r.key, r.value, r.version, r.removed) for r in decoded.rows]
            self._apply_server_rows(Rows(tuple(rows), decoded.version), False)
            known.read(known.version, self._digest(SERVER_TABLE), -math.inf)
        # If earlier changes are missing here, the digests differ: read the table.
        if known.apply_report(
            TableReport(decoded.version, decoded.digest, math.inf), 0.0
        ):
            self._read_due[SERVER_TABLE].set()

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
            wait_s = self._time_until_read_s(table)
            if table == SERVER_TABLE and self._removal_due_s:
                run_step(self._check_removals)
                wait_s = min(wait_s, REMOVAL_CHECK_S)
            if wait_s > 0:
                self._read_due[table].wait(wait_s)
                self._read_due[table].clear()
                continue
            try:
                read()
                failures = 0
            except StoreError as error:
                failures += 1
                self._record_failure(error)
                self._back_off(table, failures)
            except Exception as error:
                # The next rows may be valid, so keep watching the table.
                failures += 1
                log(Event.TASK_FAILED, task=f"feed:{table}", error=error)
                self._back_off(table, failures)

    def _back_off(self, table: str, failures: int) -> None:
        """Back off after a failed read of a table."""
        gevent.sleep(min(MAX_RETRY_S, RETRY_S * failures))
        known = self._tables[table]
        urgent = known.version is None or known.is_stale
        if not urgent and self._rank() >= FAST_RETRY_RANKS:
            self._read_due[table].clear()
            self._read_due[table].wait(SLOW_RETRY_S)

    def _time_until_read_s(self, table: str) -> float:
        """Return the time until the next read of a table is due."""
        known = self._tables[table]
        if known.version is None or known.is_stale:
            return 0.0
        rank = min(MAX_DELAY_RANK, self._rank())
        if table == CONFIG_TABLE:
            # The first node of a group long-polls the store continuously.
            limit_s = self._bounds.config_s
            fraction = 0.0 if rank == 0 else OTHERS_READ_FRACTION
        else:
            limit_s = self._bounds.drain_s
            fraction = FIRST_READ_FRACTION if rank == 0 else OTHERS_READ_FRACTION
        due_s = (fraction + RANK_DELAY_FRACTION * rank) * limit_s
        return due_s - known.age_s(self._age_clock())

    def _read_config(self) -> None:
        wait_s = CONFIG_LONG_POLL_S if self._rank() == 0 else 0.0
        self._read(CONFIG_TABLE, wait_s, self._apply_config_rows)

    def _read_servers(self) -> None:
        self._read(SERVER_TABLE, 0.0, self._apply_server_rows)

    def _read(
        self, table: str, wait_s: float, apply_rows: Callable[[Rows, bool], int]
    ) -> None:
        """Read the changes of a table and notify peers of them."""
        known = self._tables[table]
        before = known.version
        asked_s = self._age_clock()
        rows, is_full = self._read_table(table, wait_s)
        if rows is None:
            return
        self._record_success()
        changed = apply_rows(rows, is_full)
        known.read(rows.version, self._digest(table), asked_s)
        if changed:
            self._notify_peers(table, before, rows.version, changed)

    def _notify_peers(
        self, table: str, after: int | None, version: int, changed: list[Row]
    ) -> None:
        """Notify peers of a change; a notification without rows makes them read it."""
        notification = b""
        if table == SERVER_TABLE and after and len(changed) <= MAX_NOTIFICATION_ROWS:
            rows = [_ChangedRow(r.key, r.value, r.version, r.removed) for r in changed]
            digest = self._digest(SERVER_TABLE)
            notification = msgspec.msgpack.encode(
                _ChangeNotification(after, version, digest, rows)
            )
        self._send_notification(notification)

    def _digest(self, table: str) -> int:
        """Return the digest of this node's view of a table."""
        if table == CONFIG_TABLE:
            version = self._document.version if self._document else None
            return content_digest((version, sorted(self._evacuated)))
        listed = self._entries.items()
        return content_digest(
            sorted(
                (k, _routing_fields(e))
                for k, e in listed
                if k not in self._removal_due_s
            )
        )

    def _read_table(self, table: str, wait_s: float) -> tuple[Rows | None, bool]:
        """Return the changed rows of a table, or all rows and True.

        Returns None in place of rows if the response is older than a previous one.
        """
        known = self._tables[table].version
        try:
            if known is not None:
                return self._store.read_changes(table, known, wait_s), False
        except HistoryGoneError:
            log(Event.STORE_HISTORY_GONE, section=table, version=known)
        rows = self._store.read(table)
        if known is not None and rows.version < known:
            log(
                Event.STORE_READ_OLD,
                section=table,
                version=rows.version,
                era=self._store.era,
            )
            gevent.sleep(RETRY_S)
            return None, True
        return rows, True

    def _apply_config_rows(self, rows: Rows, is_full: bool) -> list[Row]:
        """Apply configuration rows; return those that changed the local state."""
        changed = []
        evacuated = set() if is_full else set(self._evacuated)
        for row in rows.rows:
            if row.key == CONFIG_KEY:
                changed += [row] if self._apply_document(row) else []
            elif row.key.startswith(EVACUATE_PREFIX):
                name = row.key.removeprefix(EVACUATE_PREFIX)
                (evacuated.discard if row.removed else evacuated.add)(name)
                changed += [row] if row.removed is (name in self._evacuated) else []
        for name in sorted(evacuated ^ self._evacuated):
            is_evacuated = name in evacuated
            event = Event.DRAIN_APPLIED if is_evacuated else Event.RETURN_APPLIED
            log(event, target=f"data_centre/{name}", version=rows.version)
        evacuation_changed = evacuated != self._evacuated
        self._evacuated = frozenset(evacuated)
        if changed or evacuation_changed:
            self._publish()
        return changed

    def _apply_document(self, row: Row) -> bool:
        """Adopt a configuration document if it is newer than the current one."""
        if row.value is None:
            return False
        try:
            document = DOCUMENT_DECODER.decode(row.value)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log(Event.CONFIG_REJECTED, error=error, version=row.version)
            return False
        if self._document is not None and document.version <= self._document.version:
            return False
        self._document = document
        log(
            Event.CONFIG_APPLIED,
            version=document.version,
            number=row.version,
            era=self._store.era,
        )
        return True

    def _apply_server_rows(self, rows: Rows, is_full: bool) -> list[Row]:
        """Apply server rows; return those that changed the local state."""
        now_s = self._clock()
        changed = [row for row in rows.rows if self._apply_server_row(row, now_s)]
        if is_full:
            for server_id in set(self._entries) - {row.key for row in rows.rows}:
                self._schedule_removal(server_id, now_s)
        if self._remove_due(now_s) or changed:
            self._publish()
        for row in rows.rows:
            entry = self._entries.get(row.key)
            if entry is not None:
                self._on_cold_start(row.key, entry.cold_remaining_ms / 1000)
        return changed

    def _apply_server_row(self, row: Row, now_s: float) -> bool:
        """Apply the row of a server; return whether it changed the local state."""
        before = self._entries.get(row.key)
        if row.removed:
            self._schedule_removal(row.key, now_s)
            return before is not None
        entry = decode_entry(row.value) if row.value is not None else None
        if entry is None:
            # The row is not a valid server entry; keep the last valid one.
            log(Event.BACKEND_ENTRY_UNREADABLE, version=row.version)
            return False
        was_due = self._removal_due_s.pop(row.key, None) is not None
        self._entries[row.key] = entry
        if before is not None and _routing_fields(before) == _routing_fields(entry):
            return was_due
        log(
            Event.BACKEND_STATE,
            backend=row.key,
            state=entry.state,
            version=row.version,
            address=entry.address,
            left_s=entry.cold_remaining_ms / 1000,
        )
        return True

    def _schedule_removal(self, server_id: str, now_s: float) -> None:
        """Schedule the removal of an entry.

        A ready server gets a grace period after a store outage, during which it
        could not renew its entry.
        """
        entry = self._entries.get(server_id)
        if entry is None or server_id in self._removal_due_s:
            return
        removal_s = now_s
        if entry.state == "ready":
            up_since_s = self._store_up_since_s if self._store_up else now_s
            removal_s = max(now_s, up_since_s + OUTAGE_GRACE_S)
        self._removal_due_s[server_id] = removal_s

    def _remove_due(self, now_s: float) -> bool:
        """Remove entries whose removal is due; return whether there were any."""
        due = [
            name
            for name, removal_s in self._removal_due_s.items()
            if now_s >= removal_s
        ]
        for server_id in due:
            del self._removal_due_s[server_id]
            self._entries.pop(server_id, None)
            log(Event.BACKEND_REMOVED, backend=server_id)
        return bool(due)

    def _check_removals(self) -> None:
        """Remove entries whose grace period is over."""
        if self._remove_due(self._clock()):
            self._publish()

    def _publish(self) -> None:
        if self._document is None:
            return
        self.config = to_config(
            self._document, self._entries, self._data_centres, self._evacuated
        )
        self._apply(self.config)

    def _record_failure(self, error: StoreError) -> None:
        if self._store_answers_here:
            self._store_answers_here = False
            log(Event.STORE_DOWN, error=error, age_s=round(self.config_age_s(), 3))
        self._store_up = False

    def _record_success(self) -> None:
        if not self._store_answers_here:
            self._store_answers_here = True
            log(Event.STORE_BACK)
        self._record_store_up()

    def _record_store_up(self) -> None:
        """Record that the store answers this node or a peer."""
        if not self._store_up:
            self._store_up = True
            self._store_up_since_s = self._clock()


def _routing_fields(entry: ServerEntry) -> tuple:
    """Return the fields of an entry that affect routing."""
    return (
        entry.address,
        entry.state,
        entry.service,
        entry.zone,
        entry.born,
        entry.cold_remaining_ms > 0,
    )
