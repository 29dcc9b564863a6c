"""Follows the configuration and the list of backend servers in the store."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

import gevent
import msgspec

from ..config import Config
from ..errors import StoreError
from ..events import Event
from ..guard import run_step
from ..logs import log
from .config import DOCUMENTS, Document, ServerEntry, read_entry, to_config
from .settings import PlatformSettings
from .store import HistoryGoneError, Row, Rows, StoreClient

CONFIG_TABLE = "op"
SERVER_TABLE = "servers"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
# A read of the configuration waits this long for a change.
CONFIG_WAIT_S = 1.0
# Part of the time in which a leaving server must be known.
SERVER_INTERVAL_PART = 0.4
RETRY_S = 0.1
MOST_RETRY_S = 0.4
# Entries that lapsed while the store was away come back within this time.
RETURN_S = 2.0
# An outage may be noticed this long after entries began to lapse.
OUTAGE_MEMORY_S = 1.0


def suspended_clock() -> float:
    """Return seconds on a clock that counts the time of a suspended VM."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Feed:
    """Keeps the newest configuration; ``apply`` is called with each change.

    ``cold`` is called with the id of a server and the seconds for which it is
    still in cold start.
    """

    def __init__(
        self,
        store: StoreClient,
        settings: PlatformSettings,
        apply: Callable[[Config], None],
        cold: Callable[[str, float], None],
        data_centres: Iterable[str] = (),
        clock: Callable[[], float] = time.monotonic,
        age_clock: Callable[[], float] = suspended_clock,
    ):
        self.config = Config()
        self._store = store
        self._settings = settings
        self._apply = apply
        self._cold = cold
        self._data_centres = tuple(data_centres)
        self._clock = clock
        self._age_clock = age_clock
        self._document: Document | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._entries: dict[str, ServerEntry] = {}
        self._lapsed: dict[str, float] = {}
        self._confirmed_s: float | None = None
        self._versions: dict[str, int] = {}
        self._failed_s: float | None = None
        self._returned_s = 0.0
        self._up = True
        self._tasks: list[gevent.Greenlet] = []

    @property
    def known(self) -> bool:
        """Return whether there are a configuration and a list of servers."""
        return self._document is not None and SERVER_TABLE in self._versions

    def config_age_s(self) -> float:
        """Return how old the newest confirmed reading of the configuration is.

        The age counts from before the reading was asked for.
        """
        if self._confirmed_s is None:
            return float("inf")
        return self._age_clock() - self._confirmed_s

    def start(self) -> None:
        """Begin to read."""
        self._tasks = [
            gevent.spawn(self._run, self._read_config, 0.0),
            gevent.spawn(self._run, self._read_servers, self._server_interval_s),
        ]

    def close(self) -> None:
        """Stop reading."""
        gevent.killall(self._tasks)

    @property
    def _server_interval_s(self) -> float:
        return SERVER_INTERVAL_PART * self._settings.bounds.drain_s

    def _run(self, read: Callable[[], None], interval_s: float) -> None:
        failures = 0
        while True:
            try:
                read()
                failures = 0
                pause_s = interval_s
            except StoreError as error:
                failures += 1
                pause_s = min(MOST_RETRY_S, RETRY_S * failures)
                self._note_failure(error)
            if pause_s:
                gevent.sleep(pause_s)

    def _read_config(self) -> None:
        sent_s = self._age_clock()
        rows, whole = self._read_table(CONFIG_TABLE, CONFIG_WAIT_S)
        if rows is None:
            return
        run_step(self._take_config, rows, whole)
        self._confirmed_s = sent_s
        self._note_success()

    def _read_servers(self) -> None:
        rows, whole = self._read_table(SERVER_TABLE, 0.0)
        if rows is None:
            return
        self._note_success()
        run_step(self._take_servers, rows, whole)

    def _read_table(self, table: str, wait_s: float) -> tuple[Rows | None, bool]:
        """Return new rows of a table and whether these are all rows.

        Returns no rows for an answer that is older than one before.
        """
        known = self._versions.get(table)
        try:
            if known is not None and known >= 0:
                rows = self._store.changes(table, known, wait_s)
                self._versions[table] = rows.version
                return rows, False
        except HistoryGoneError:
            log(Event.STORE_HISTORY_GONE, section=table, version=known)
        rows = self._store.read(table)
        if known is not None and rows.version < abs(known):
            log(Event.STORE_READ_OLD, section=table, version=rows.version)
            gevent.sleep(RETRY_S)
            return None, True
        self._versions[table] = rows.version
        return rows, True

    def _take_config(self, rows: Rows, whole: bool) -> None:
        changed = False
        evacuated = set() if whole else set(self._evacuated)
        for row in rows.rows:
            if row.key == CONFIG_KEY:
                changed |= self._take_document(row)
            elif row.key.startswith(EVACUATE_PREFIX):
                name = row.key.removeprefix(EVACUATE_PREFIX)
                (evacuated.discard if row.removed else evacuated.add)(name)
        if evacuated != self._evacuated:
            for name in sorted(evacuated ^ self._evacuated):
                gone = name in evacuated
                event = Event.DRAIN_APPLIED if gone else Event.RETURN_APPLIED
                log(event, target=f"data_centre/{name}", version=rows.version)
            self._evacuated = frozenset(evacuated)
            changed = True
        if changed:
            self._publish()

    def _take_document(self, row: Row) -> bool:
        """Take over a configuration that is newer than the one in force."""
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

    def _take_servers(self, rows: Rows, whole: bool) -> None:
        now_s = self._clock()
        before = dict(self._entries)
        named = set()
        for row in rows.rows:
            named.add(row.key)
            self._take_server(row, now_s)
        if whole:
            for server_id in set(self._entries) - named:
                self._lose_server(server_id, now_s)
        for server_id, gone_s in list(self._lapsed.items()):
            if now_s >= gone_s:
                del self._lapsed[server_id]
                self._entries.pop(server_id, None)
                log(Event.BACKEND_REMOVED, backend=server_id)
        if _material(before) != _material(self._entries):
            self._publish()
        for row in rows.rows:
            entry = self._entries.get(row.key)
            if entry is not None:
                self._cold(row.key, entry.cold_remaining_ms / 1000)

    def _take_server(self, row: Row, now_s: float) -> None:
        if row.removed:
            self._lose_server(row.key, now_s)
            return
        entry = read_entry(row.value) if row.value is not None else None
        if entry is None:
            # Another writer's entry names no server; the last own one holds.
            log(Event.BACKEND_ENTRY_UNREADABLE, version=row.version)
            return
        before = self._entries.get(row.key)
        self._lapsed.pop(row.key, None)
        self._entries[row.key] = entry
        if before is None or before.state != entry.state:
            log(
                Event.BACKEND_STATE,
                backend=row.key,
                state=entry.state,
                version=row.version,
                address=entry.address,
            )

    def _lose_server(self, server_id: str, now_s: float) -> None:
        """Drop an entry, at once unless it may have lapsed in an outage."""
        entry = self._entries.get(server_id)
        if entry is None or server_id in self._lapsed:
            return
        gone_s = now_s
        if entry.state == "ready" and now_s < self._returned_s + RETURN_S:
            gone_s = self._returned_s + RETURN_S
        self._lapsed[server_id] = gone_s

    def _publish(self) -> None:
        if self._document is None:
            return
        self.config = to_config(
            self._document, self._entries, self._data_centres, self._evacuated
        )
        self._apply(self.config)

    def _note_failure(self, error: StoreError) -> None:
        self._failed_s = self._clock()
        if self._up:
            self._up = False
            log(Event.STORE_DOWN, error=error, age_s=round(self.config_age_s(), 3))

    def _note_success(self) -> None:
        if not self._up:
            self._up = True
            self._returned_s = self._clock()
            log(Event.STORE_BACK)


def _material(entries: dict[str, ServerEntry]) -> dict[str, tuple]:
    """Return what of the entries decides where requests may go."""
    return {
        server_id: (entry.address, entry.state, entry.service, entry.zone, entry.born)
        for server_id, entry in entries.items()
    }
