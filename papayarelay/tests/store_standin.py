"""An in-process stand-in for the platform's table store."""

from __future__ import annotations

import base64
import copy
import errno
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import gevent
import gevent.event
from gevent import pywsgi

READ_ONLY = frozenset({"op", "servers"})
ROWS_LIMIT = 500


@dataclass
class StoreFaults:
    """Faults to inject; they stay active until they are replaced.

    ``mode`` is ``""`` (none), ``busy`` (503), ``many`` (429), ``silent`` (no response),
    ``reset`` or ``lost`` (the call takes effect, but its response is lost).
    ``nodes`` limits the faults to callers with these addresses; empty means all.
    """

    mode: str = ""
    delay_s: float = 0.0
    nodes: frozenset[str] = frozenset()


@dataclass
class StoredRow:
    """A row, or the tombstone of a removed one."""

    value: bytes
    version: int
    removed: bool = False


@dataclass
class Rows:
    """The rows of the store by table and key; only the empty part is supported."""

    version: int = 1
    history_from: int = 0
    # Number of restores from a backup.
    era: int = 0
    tables: dict[str, dict[str, StoredRow]] = field(default_factory=dict)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = StoredRow(value, self.version)
        return self.version

    def remove(self, table: str, key: str) -> int:
        """Remove a row; return the version of its tombstone."""
        self.version += 1
        row = StoredRow(b"", self.version, removed=True)
        self.tables.setdefault(table, {})[key] = row
        return self.version


class StoreStandIn:
    """Serves the store calls of nodes on a loopback port."""

    def __init__(self):
        # Offset of the store's clock from this machine's.
        self.clock_offset_s = 0.0
        # Value of the era header; without a value, the header is missing.
        self.era_header = "{era}"
        self.rows = Rows()
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._changed = gevent.event.Event()
        self._server = pywsgi.WSGIServer(
            ("127.0.0.1", 0), self._serve, log=None, error_log=None
        )
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def put(self, table: str, key: str, fields: dict) -> None:
        """Write a row as the operator or a backend server does."""
        self.rows.put(table, key, json.dumps(fields).encode())
        self._notify_watchers()

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator or a backend server does."""
        self.rows.remove(table, key)
        self._notify_watchers()

    def back_up(self) -> Rows:
        """Return a copy of all rows."""
        return copy.deepcopy(self.rows)

    def restore(self, backup: Rows) -> None:
        """Replace all rows by those of a backup, and begin a new era."""
        era = self.rows.era + 1
        self.rows = copy.deepcopy(backup)
        self.rows.era = era
        self._notify_watchers()

    def drop_history(self) -> None:
        """Drop the change history up to the current version."""
        self.rows.history_from = self.rows.version + 1
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = gevent.event.Event()

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"].removeprefix("/papayarelay/")
        self.calls.append(path)
        faults = self.faults
        applies = not faults.nodes or environ["REMOTE_ADDR"] in faults.nodes
        if applies and faults.delay_s:
            gevent.sleep(faults.delay_s)
        if applies and faults.mode in ("busy", "many"):
            status = "503 Busy" if faults.mode == "busy" else "429 Many"
            return self._answer(start_response, status, {"error": faults.mode})
        if applies and faults.mode == "silent":
            gevent.sleep(3600)
        if applies and faults.mode == "reset":
            raise ConnectionResetError(errno.ECONNRESET, "reset by a fault")
        query = {k: v[-1] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        body = environ["wsgi.input"].read()
        status, answer = getattr(self, "_" + path.replace("-", "_"))(query, body)
        if applies and faults.mode == "lost":
            gevent.sleep(3600)
        return self._answer(start_response, status, answer)

    def _answer(self, start_response, status: str, fields: dict):
        now_ms = int((time.monotonic() + self.clock_offset_s) * 1000)
        fields |= {"ver": self.rows.version, "now_ms": now_ms}
        headers = [("Content-Type", "application/json")]
        if self.era_header:
            headers.append(("Store-Era", self.era_header.format(era=self.rows.era)))
        start_response(status, headers)
        return [json.dumps(fields).encode()]

    def _rows_get(self, query: dict, body: bytes):
        rows = self.rows.tables.get(query["table"], {})
        names = sorted(
            key
            for key, row in rows.items()
            if not row.removed and key >= query.get("from", "")
        )
        limit = min(ROWS_LIMIT, int(query.get("limit", ROWS_LIMIT)))
        found = [self._row(query["table"], name) for name in names[:limit]]
        return "200 OK", {"rows": found, "truncated": len(names) > limit}

    def _rows_feed(self, query: dict, body: bytes):
        after = int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if not self.rows.history_from - 1 <= after <= self.rows.version:
                return "410 Gone", {"error": "history"}
            rows = self.rows.tables.get(query["table"], {})
            names = [key for key, row in rows.items() if row.version > after]
            names.sort(key=lambda name: rows[name].version)
            left_s = end_s - time.monotonic()
            if names or left_s <= 0:
                found = [self._row(query["table"], name) for name in names]
                return "200 OK", {"rows": found}
            self._changed.wait(left_s)

    def _rows_tx(self, query: dict, body: bytes):
        transaction = json.loads(body)
        for row in (*transaction["upserts"], *transaction["remove"]):
            if row["table"] in READ_ONLY:
                return "403 Forbidden", {"error": "read only"}
        for check in transaction["expected_rev"]:
            row = self.rows.tables.get(check["table"], {}).get(check["key"])
            if check["ver"] != (0 if row is None or row.removed else row.version):
                return "412 Precondition Failed", {"rows": []}
        for row in transaction["upserts"]:
            self.rows.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in transaction["remove"]:
            self.rows.remove(row["table"], row["key"])
        self._notify_watchers()
        return "200 OK", {}

    def _row(self, table: str, key: str) -> dict:
        row = self.rows.tables[table][key]
        fields = {"table": table, "part": "", "key": key, "ver": row.version}
        if row.removed:
            return {**fields, "tombstone": True}
        return {**fields, "value": base64.b64encode(row.value).decode()}
