"""Client of the platform's table store."""

from __future__ import annotations

import base64
import json
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode

import gevent
import msgspec

from ..backends.pool import BackendPool
from ..decoding import DECODE_ERRORS
from ..errors import BackendError, Outcome, StoreError, StoreUnavailableError
from ..events import Event
from ..logs import log
from ..store.revision import Revision

BASE_PATH = "/papayarelay"
# Longer than a slow store takes, but shorter than the propagation limit of changes.
TIMEOUT_S = 0.8
CONNECT_S = 0.4
PAGE_ROWS = 500
IDLE_CONNECTIONS = 4
HISTORY_GONE = 410
# Number of times that the store has been restored from a backup.
ERA_HEADER = "Store-Era"
ERA_PATTERN = re.compile("[0-9]{1,15}")
PEER = "store"


class HistoryGoneError(StoreError):
    """The store no longer retains the requested changes."""

    code = "history_gone"


@dataclass(frozen=True)
class Row:
    """A row; ``value`` is None if it cannot be decoded or the row was removed.

    ``version`` is the store-wide transaction number of its last change, in the era of
    the read.
    """

    key: str
    value: bytes | None
    version: int
    removed: bool = False


@dataclass(frozen=True)
class Rows:
    """Rows as of a store revision; ``now_ms`` is the store's time of the read."""

    rows: tuple[Row, ...]
    revision: Revision
    now_ms: int = 0


class _EncodedRow(msgspec.Struct):
    key: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class _Response(msgspec.Struct):
    rows: list[_EncodedRow] = []
    ver: int = 0
    now_ms: int = 0
    truncated: bool = False


_DECODER = msgspec.json.Decoder(_Response)


class StoreClient:
    """Client of the table store; ``calls`` counts the requests.

    ``on_restored`` is called when the store names a higher era than before.
    """

    def __init__(self, address: str):
        self.calls = 0
        self.on_restored: Callable[[], None] = lambda: None
        self._era: int | None = None
        self._pool = _make_pool(address)

    @property
    def era(self) -> int:
        """Return the highest era that the store has named, 0 if none."""
        return self._era or 0

    def start(self) -> None:
        """Start the connection pool; connections are opened on demand."""
        self._pool.start()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def set_address(self, address: str) -> None:
        """Switch to a store at another address."""
        self.close()
        self._pool = _make_pool(address)
        self.start()

    def read(self, table: str, timeout_s: float = TIMEOUT_S) -> Rows:
        """Return all rows of a table; raises ``StoreError``.

        With several pages, the revision is that of the first page.
        """
        rows: list[Row] = []
        revision = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            answer, era = self._call("GET", "/rows-get", query, timeout_s)
            rows += [_read_row(each) for each in answer.rows]
            if revision is None:
                revision = Revision(era, answer.ver)
            if era != revision.era:
                raise _error("restored between two pages", "rows-get")
            if not answer.truncated or not answer.rows:
                return Rows(tuple(rows), revision, answer.now_ms)
            start = answer.rows[-1].key + "\x00"

    def read_changes(
        self, table: str, after: Revision, wait_s: float, timeout_s: float = TIMEOUT_S
    ) -> Rows:
        """Return the rows that changed after a revision, by long polling.

        Raises ``HistoryGoneError``, also if the store was restored since the revision,
        and ``StoreError``.
        """
        query = {
            "table": table,
            "after": str(after.number),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer, era = self._call("GET", "/rows-feed", query, timeout_s + wait_s)
        if era != after.era:
            # The number stands for another transaction now.
            raise _history_gone("/rows-feed")
        rows = tuple(_read_row(each) for each in answer.rows)
        return Rows(rows, max(after, Revision(era, answer.ver)))

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row; raises ``StoreError``."""
        encoded = base64.b64encode(value).decode()
        row = {"table": table, "part": "", "key": key, "value": encoded}
        self._transact({"expected_rev": [], "upserts": [row], "remove": []})

    def remove(self, table: str, keys: Sequence[str]) -> None:
        """Remove rows; raises ``StoreError``."""
        rows = [{"table": table, "part": "", "key": key} for key in keys]
        self._transact({"expected_rev": [], "upserts": [], "remove": rows})

    def remove_unchanged(self, table: str, rows: Sequence[Row]) -> None:
        """Remove rows if none of them has changed since they were read.

        Raises ``StoreError``, also if one has changed.
        """
        keys = [{"table": table, "part": "", "key": row.key} for row in rows]
        checks = [{**k, "ver": r.version} for k, r in zip(keys, rows, strict=True)]
        self._transact({"expected_rev": checks, "upserts": [], "remove": keys})

    def _transact(self, transaction: dict) -> None:
        body = json.dumps(transaction).encode()
        self._call("POST", "/rows-tx", None, TIMEOUT_S, body)

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        timeout_s: float,
        body: bytes = b"",
    ) -> tuple[_Response, int]:
        """Return the response to a call and its era; raises ``StoreError``."""
        self.calls += 1
        headers = {"Content-Type": "application/json"} if body else {}
        target = f"{BASE_PATH}{path}?{urlencode(query)}" if query else BASE_PATH + path
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                answer = self._pool.request(
                    method, target, body=body, headers=headers, read_timeout_s=timeout_s
                )
                data = answer.read_all()
        except (BackendError, OSError) as error:
            # The other pooled connections may be dead as well.
            self._pool.drop_idle()
            raise _error(f"no response: {error}", path) from error
        era = self._read_era(answer.header(ERA_HEADER).strip(), path)
        if answer.status == HISTORY_GONE:
            raise _history_gone(path)
        if answer.status != 200:
            raise _error(f"status {answer.status}", path)
        try:
            return _DECODER.decode(data), era
        except DECODE_ERRORS as error:
            raise _error(f"malformed response: {error}", path) from error

    def _read_era(self, text: str, path: str) -> int:
        """Return the era of an answer; one without a valid era is of the known one.

        Raises ``StoreUnavailableError`` for a late answer of an earlier era, as what it
        says no longer holds.
        """
        if not ERA_PATTERN.fullmatch(text):
            if text or self._era is not None:
                log(Event.STORE_ERA_UNKNOWN, era=self.era)
            return self.era
        era = int(text)
        if era < self.era:
            raise _error(f"answer of era {era}, before {self.era}", path)
        if self._era is not None and era > self._era:
            log(Event.STORE_RESTORED, era=era, number=self._era)
            self._era = era
            self.on_restored()
        self._era = era
        return era


def _make_pool(address: str) -> BackendPool:
    pool = BackendPool(PEER, f"http://{address}")
    pool.connect_timeout_s = CONNECT_S
    pool.max_idle_connections = IDLE_CONNECTIONS
    return pool


def _read_row(row: _EncodedRow) -> Row:
    try:
        value = None if row.tombstone else base64.b64decode(row.value)
    except ValueError:
        # Not ASCII or not valid base64.
        value = None
    return Row(row.key, value, row.ver, row.tombstone)


def _history_gone(step: str) -> HistoryGoneError:
    return HistoryGoneError(
        "change history no longer available",
        step=step,
        peer=PEER,
        outcome=Outcome.UNKNOWN,
    )


def _error(message: str, step: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        message, step=step.strip("/"), peer=PEER, outcome=Outcome.UNKNOWN
    )
