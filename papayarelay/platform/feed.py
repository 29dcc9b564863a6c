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
from ..nodes.freshness import TableFreshness, TableReport
from ..store.revision import Revision
from .config import to_config
from .config_rows import ConfigRows, KeptConfig
from .server_list import ServerList
from .settings import Bounds
from .store import HistoryGoneError, Row, Rows, StoreClient

CONFIG_TABLE = "op"
SERVER_TABLE = "servers"
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
# Interval of the checks for rows that are due for a change.
DUE_CHECK_S = 0.2
# Interval at which a group is told of a configuration that the store has lost.
KEPT_CONFIG_INTERVAL_S = 0.25


class _ChangedRow(msgspec.Struct, array_like=True):
    key: str
    value: bytes | None
    version: int
    removed: bool


class _ChangeNotification(msgspec.Struct, array_like=True):
    """Server rows that changed after version ``after`` and up to ``version``.

    ``digest`` covers the whole server list after these changes.  ``kept_config`` is the
    configuration in force if the store has lost it.
    """

    after: int
    version: int
    digest: int
    rows: list[_ChangedRow]
    era: int = 0
    kept_config: KeptConfig | None = None


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
        self._data_centres = tuple(data_centres)
        self._clock = clock
        self._age_clock = age_clock
        self._config_rows = ConfigRows()
        self._servers = ServerList(on_cold_start)
        self._contents = {CONFIG_TABLE: self._config_rows, SERVER_TABLE: self._servers}
        self._kept_config_due_s = 0.0
        self._tables = {CONFIG_TABLE: TableFreshness(), SERVER_TABLE: TableFreshness()}
        self._read_due = {name: gevent.event.Event() for name in self._tables}
        self._rank = rank
        self._send_notification = publish
        self._store_answers_here = True
        self._tasks: list[gevent.Greenlet] = []

    @property
    def is_loaded(self) -> bool:
        """Return whether the configuration and the server list have been read."""
        listed = self._tables[SERVER_TABLE].revision is not None
        return self._config_rows.document is not None and listed

    @property
    def held_rows_count(self) -> int:
        """Return the number of rows that are kept as known before a restore."""
        return sum(each.held_count for each in self._contents.values())

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
                self._servers.record_store_up(True, self._clock())

    def apply_notification(self, notification: bytes) -> None:
        """Apply server rows from a peer's change notification, which may be empty."""
        if not notification:
            return
        decoded = NOTIFICATION_DECODER.decode(notification)
        if decoded.kept_config is not None:
            self._apply_kept_config(decoded.kept_config)
            return
        known = self._tables[SERVER_TABLE]
        revision = Revision(decoded.era, decoded.version)
        if known.revision is not None and revision <= known.revision:
            return
        after = Revision(decoded.era, decoded.after)
        is_known = known.revision is not None and known.revision.era == decoded.era
        if is_known and after <= known.revision:
            rows = [Row(r.key, r.value, r.version, r.removed) for r in decoded.rows]
            self._apply_rows(SERVER_TABLE, Rows(tuple(rows), revision), False)
            known.read(known.revision, self._servers.digest, -math.inf)
        # If earlier changes are missing here, the digests differ: read the table.
        if known.apply_report(TableReport(revision, decoded.digest, math.inf), 0.0):
            self._read_due[SERVER_TABLE].set()

    def announce_kept_config(self) -> None:
        """Tell a new node soon which configuration is in force.

        It can read only what a restored store has.
        """
        self._kept_config_due_s = 0.0

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
            if self._contents[table].awaits_check:
                run_step(self._check_due, table)
                wait_s = min(wait_s, DUE_CHECK_S)
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
        urgent = known.revision is None or known.is_stale
        if not urgent and self._rank() >= FAST_RETRY_RANKS:
            self._read_due[table].clear()
            self._read_due[table].wait(SLOW_RETRY_S)

    def _time_until_read_s(self, table: str) -> float:
        """Return the time until the next read of a table is due."""
        known = self._tables[table]
        if known.revision is None or known.is_stale:
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
        return due_s - known.read_age_s(self._age_clock())

    def _read_config(self) -> None:
        self._read(CONFIG_TABLE, CONFIG_LONG_POLL_S if self._rank() == 0 else 0.0)

    def _read_servers(self) -> None:
        self._read(SERVER_TABLE, 0.0)

    def _read(self, table: str, wait_s: float) -> None:
        """Read the changes of a table and notify peers of them."""
        known = self._tables[table]
        before = known.revision
        asked_s = self._age_clock()
        rows, is_full = self._read_table(table, wait_s)
        if rows is None:
            return
        self._record_success()
        changed = self._apply_rows(table, rows, is_full)
        content = self._contents[table]
        is_current = content.is_current(self._clock())
        known.read(rows.revision, content.digest, asked_s, is_current)
        if changed:
            self._notify_peers(table, before, rows.revision, changed)

    def _notify_peers(
        self,
        table: str,
        after: Revision | None,
        revision: Revision,
        changed: list[Row],
    ) -> None:
        """Notify peers of a change; a notification without rows makes them read it."""
        notification = b""
        same_era = after is not None and after.era == revision.era
        if table == SERVER_TABLE and same_era and len(changed) <= MAX_NOTIFICATION_ROWS:
            rows = [_ChangedRow(r.key, r.value, r.version, r.removed) for r in changed]
            notification = msgspec.msgpack.encode(
                _ChangeNotification(
                    after.number,
                    revision.number,
                    self._servers.digest,
                    rows,
                    revision.era,
                )
            )
        self._send_notification(notification)

    def _read_table(self, table: str, wait_s: float) -> tuple[Rows | None, bool]:
        """Return the changed rows of a table, or all rows and True.

        Returns None in place of rows if the response is older than a previous one.
        """
        known = self._tables[table].revision
        try:
            if known is not None:
                return self._store.read_changes(table, known, wait_s), False
        except HistoryGoneError:
            log(
                Event.STORE_HISTORY_GONE,
                section=table,
                version=known.number,
                era=known.era,
            )
        rows = self._store.read(table)
        if known is not None and rows.revision < known:
            log(
                Event.STORE_READ_OLD,
                section=table,
                version=rows.revision.number,
                era=rows.revision.era,
            )
            gevent.sleep(RETRY_S)
            return None, True
        return rows, True

    def _apply_rows(self, table: str, rows: Rows, is_full: bool) -> list[Row]:
        """Apply rows of a table; return those that changed the local state."""
        known = self._tables[table].revision
        is_restored = is_full and known is not None and rows.revision.era > known.era
        changed, must_publish = self._contents[table].apply(
            rows, is_full, is_restored, self._clock()
        )
        if must_publish:
            self._publish()
        return changed

    def _check_due(self, table: str) -> None:
        """Apply changes that are due without a read."""
        now_s = self._clock()
        if self._contents[table].check(now_s):
            self._publish()
        if table == CONFIG_TABLE:
            self._send_kept_config(now_s)

    def _send_kept_config(self, now_s: float) -> None:
        """Tell the group the configuration in force if the store has lost it."""
        if now_s < self._kept_config_due_s:
            return
        kept = self._config_rows.kept_config(now_s)
        if kept is None:
            return
        self._kept_config_due_s = now_s + KEPT_CONFIG_INTERVAL_S
        notification = _ChangeNotification(0, 0, 0, [], 0, kept)
        self._send_notification(msgspec.msgpack.encode(notification))

    def _apply_kept_config(self, kept: KeptConfig) -> None:
        now_s = self._clock()
        # One sender in the group is enough.
        self._kept_config_due_s = now_s + KEPT_CONFIG_INTERVAL_S
        if self._config_rows.apply_kept(kept, now_s):
            self._publish()

    def _publish(self) -> None:
        document = self._config_rows.document
        if document is None:
            return
        self.config = to_config(
            document,
            self._servers.entries,
            self._data_centres,
            self._config_rows.evacuated,
        )
        self._apply(self.config)

    def _record_failure(self, error: StoreError) -> None:
        if self._store_answers_here:
            self._store_answers_here = False
            log(Event.STORE_DOWN, error=error, age_s=round(self.config_age_s(), 3))
        self._servers.record_store_up(False, self._clock())

    def _record_success(self) -> None:
        if not self._store_answers_here:
            self._store_answers_here = True
            log(Event.STORE_BACK)
        self._servers.record_store_up(True, self._clock())
