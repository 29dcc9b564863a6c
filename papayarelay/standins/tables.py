"""Stand-in of the table service: the protocol of design section 2.5 in memory."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterable, Sequence
from urllib.parse import parse_qs

import msgspec
from gevent.pywsgi import WSGIServer

BODY_LIMIT_BYTES = 4 * 1024 * 1024
SCAN_LIMIT_ROWS = 1000


class TableCheck(msgspec.Struct):
    """A check as sent; version 0 means that the row is absent."""

    key: str
    version: int


class TableWrite(msgspec.Struct):
    """A write as sent; a value of None deletes the row."""

    key: str
    value: str | None


class Transaction(msgspec.Struct):
    """Body of ``POST /transact``."""

    checks: list[TableCheck] = []
    writes: list[TableWrite] = []


class TableRow(msgspec.Struct):
    """A row as sent; the value is a base64 string."""

    key: str
    value: str
    version: int


class Tables:
    """Rows in memory with transactions that check row versions."""

    def __init__(self):
        self._rows: dict[str, TableRow] = {}
        self._version = 0

    def get(self, key: str) -> TableRow | None:
        """Return a row or None."""
        return self._rows.get(key)

    def scan(self, prefix: str, limit: int) -> list[TableRow]:
        """Return up to ``limit`` rows under ``prefix`` in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys[:limit]]

    def failed_checks(self, checks: Sequence[TableCheck]) -> list[TableCheck]:
        """Return the checks that do not hold, with the present versions."""
        present = [TableCheck(check.key, self._row_version(check)) for check in checks]
        return [
            actual
            for actual, check in zip(present, checks, strict=True)
            if actual.version != check.version
        ]

    def apply(self, writes: Iterable[TableWrite]) -> int:
        """Apply writes as one commit; return its version."""
        self._version += 1
        for write in writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = TableRow(write.key, write.value, self._version)
        return self._version

    def _row_version(self, check: TableCheck) -> int:
        row = self._rows.get(check.key)
        return row.version if row else 0


class RefusedError(Exception):
    """The stand-in answers with an error status."""

    def __init__(self, status: str, body: object):
        super().__init__(status)
        self.status = status
        self.body = body


class TablesStandIn:
    """Table service on a loopback port; ``listen`` is ``host:port``."""

    def __init__(self, listen: str = "127.0.0.1:0"):
        host, _, port = listen.rpartition(":")
        self._host = host
        self._port = int(port)
        self._server: WSGIServer | None = None
        self.tables = Tables()
        self._routes: dict[tuple[str, str], Callable[[dict], object]] = {
            ("GET", "/rows"): self._get_row,
            ("GET", "/scan"): self._scan,
            ("POST", "/transact"): self._transact,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listening socket."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Listen and serve."""
        self._server = WSGIServer((self._host, self._port), self._serve, log=None)
        self._server.start()
        self._port = self._server.server_port

    def close(self) -> None:
        """Stop serving and close all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        try:
            status, body = "200 OK", self._answer(environ)
        except RefusedError as error:
            status, body = error.status, error.body
        data = msgspec.json.encode(body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(status, headers)
        return [data]

    def _answer(self, environ: dict) -> object:
        route = self._routes.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if route is None:
            raise RefusedError("404 Not Found", {"error": "no such path"})
        return route(environ)

    def _get_row(self, environ: dict) -> object:
        row = self.tables.get(_query(environ, "key"))
        if row is None:
            raise RefusedError("404 Not Found", {"error": "no such row"})
        return row

    def _scan(self, environ: dict) -> object:
        limit_text = _query(environ, "limit")
        if not limit_text.isdecimal():
            raise RefusedError("400 Bad Request", {"error": "limit is not a number"})
        limit = min(int(limit_text), SCAN_LIMIT_ROWS)
        return {"rows": self.tables.scan(_query(environ, "prefix"), limit)}

    def _transact(self, environ: dict) -> object:
        transaction = _read_transaction(environ)
        failed = self.tables.failed_checks(transaction.checks)
        if failed:
            raise RefusedError("409 Conflict", {"failed": failed})
        return {"version": self.tables.apply(transaction.writes)}


def _query(environ: dict, name: str) -> str:
    values = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    if name not in values:
        raise RefusedError("400 Bad Request", {"error": f"{name} is missing"})
    return values[name][0]


def _read_body(environ: dict) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > BODY_LIMIT_BYTES:
        raise RefusedError("413 Content Too Large", {"error": "body too large"})
    return environ["wsgi.input"].read(length)


def _read_transaction(environ: dict) -> Transaction:
    try:
        transaction = msgspec.json.decode(_read_body(environ), type=Transaction)
        for write in transaction.writes:
            base64.b64decode(write.value or "", validate=True)
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise RefusedError("400 Bad Request", {"error": str(error)}) from error
    return transaction
