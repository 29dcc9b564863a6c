"""The backend servers of the store's server list that a node may use."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..events import Event
from ..logs import log
from ..nodes.freshness import content_digest
from ..store.restore import RestoreGuard
from .config import ServerEntry, decode_entry
from .store import Row, Rows

# Grace period for servers to renew entries that expired during a store outage.
OUTAGE_GRACE_S = 2.0
# After a restore, a live server has renewed its entry within this time, and the entry
# of one that is gone has expired.
RENEW_S = 4.0
STATE_ORDER = ("ready", "draining")


class ServerList:
    """Keeps the entries of the backend servers, as of the store and as in use.

    ``on_cold_start`` is called with a server id and the remaining seconds of its cold
    start.
    """

    def __init__(self, on_cold_start: Callable[[str, float], None]):
        self._on_cold_start = on_cold_start
        # Valid entries in the store; None stands for an invalid one.
        self._stored: dict[str, ServerEntry | None] = {}
        self._entries: dict[str, ServerEntry] = {}
        self._removal_due_s: dict[str, float] = {}
        self._guard = RestoreGuard[ServerEntry](_incarnation, _precedes, RENEW_S)
        self._store_up = True
        self._store_up_since_s = 0.0

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """Return the entries in use by server id."""
        return self._entries

    @property
    def digest(self) -> int:
        """Return the digest of the list in the store."""
        return content_digest(
            sorted(
                (key, entry and _routing_fields(entry))
                for key, entry in self._stored.items()
            )
        )

    @property
    def held_count(self) -> int:
        """Return the number of entries that are kept as known before a restore."""
        return len(self._guard.held)

    @property
    def awaits_check(self) -> bool:
        """Return whether ``check`` has something to do soon."""
        return bool(self._removal_due_s or self._guard.held)

    def is_current(self, now_s: float) -> bool:
        """Return True: each server tells by itself what it has lost in a restore."""
        return True

    def record_store_up(self, up: bool, now_s: float) -> None:
        """Record whether the store answers any node."""
        if up and not self._store_up:
            self._store_up_since_s = now_s
        self._store_up = up

    def apply(
        self, rows: Rows, is_full: bool, is_restored: bool, now_s: float
    ) -> tuple[list[Row], bool]:
        """Apply rows; return those that changed the list, and whether its use did.

        ``is_full`` tells that these are all rows, ``is_restored`` that they are the
        first ones that are read after a restore.
        """
        decoded = {row.key: _decode(row) for row in rows.rows}
        if is_full:
            self._stored = {}
        held = self._hold_restored(decoded, now_s) if is_restored else ()
        changed = [
            row
            for row in rows.rows
            if self._apply_row(row, decoded[row.key], row.key in held, now_s)
        ]
        if is_full:
            for server_id in set(self._entries) - decoded.keys():
                self._schedule_removal(server_id, now_s)
        used = self._remove_due(now_s) or bool(changed)
        for key in decoded:
            if key in self._entries:
                left_s = self._entries[key].cold_remaining_ms / 1000
                self._on_cold_start(key, left_s)
        return changed, used

    def check(self, now_s: float) -> bool:
        """Apply what is due; return whether the use of the list has changed."""
        restored = self._guard.take_due(now_s)
        for server_id, entry in restored.items():
            self._entries[server_id] = entry
            _log_state(server_id, entry)
        return self._remove_due(now_s) or bool(restored)

    def _hold_restored(
        self, decoded: Mapping[str, ServerEntry | None], now_s: float
    ) -> frozenset[str]:
        """Return the servers whose restored entries are older than the known ones."""
        # Servers have been unable to renew their entries until now.
        self._store_up_since_s = now_s
        stored = {key: entry for key, entry in decoded.items() if entry is not None}
        known = {key: e for key, e in self._entries.items() if key in stored}
        held = frozenset(self._guard.hold_restored(stored, known, now_s))
        for server_id in sorted(held):
            log(
                Event.RESTORED_ROW_HELD,
                backend=server_id,
                state=stored[server_id].state,
                from_state=known[server_id].state if server_id in known else "gone",
            )
        return held

    def _apply_row(
        self, row: Row, entry: ServerEntry | None, is_held: bool, now_s: float
    ) -> bool:
        """Apply the row of a server; return whether it changed the list."""
        before = self._entries.get(row.key)
        if row.removed:
            self._stored.pop(row.key, None)
            self._guard.settle(row.key)
            self._schedule_removal(row.key, now_s)
            return before is not None
        self._stored[row.key] = entry
        if entry is None:
            # The row is not a valid server entry; keep the last valid one.
            log(Event.BACKEND_ENTRY_UNREADABLE, version=row.version)
            return False
        if is_held:
            return False
        self._guard.settle(row.key)
        was_due = self._removal_due_s.pop(row.key, None) is not None
        if before is not None and before.born != entry.born:
            self._guard.record_replaced(row.key, before)
        self._entries[row.key] = entry
        if before is not None and _routing_fields(before) == _routing_fields(entry):
            return was_due
        _log_state(row.key, entry, row.version)
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
            entry = self._entries.pop(server_id, None)
            if entry is not None:
                self._guard.record_replaced(server_id, entry)
            log(Event.BACKEND_REMOVED, backend=server_id)
        return bool(due)


def _decode(row: Row) -> ServerEntry | None:
    return decode_entry(row.value) if row.value is not None else None


def _incarnation(entry: ServerEntry) -> int:
    return entry.born


def _precedes(entry: ServerEntry, other: ServerEntry) -> bool:
    """Return whether an entry is from before another one of the same server."""
    order = (entry.born, STATE_ORDER.index(entry.state))
    return order < (other.born, STATE_ORDER.index(other.state))


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


def _log_state(server_id: str, entry: ServerEntry, version: int | None = None) -> None:
    log(
        Event.BACKEND_STATE,
        backend=server_id,
        state=entry.state,
        version=version,
        address=entry.address,
        left_s=entry.cold_remaining_ms / 1000,
    )
