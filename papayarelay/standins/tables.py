"""In-memory table service: versioned rows with optimistic transactions.

It implements the protocol of design section 2.5.  ``POST /faults`` replaces the
active faults by the ``Faults`` in its body and ``GET /counters`` returns
``Counters``; no fault affects either.
"""

from __future__ import annotations

import base64
import binascii
import contextlib
import copy
from collections.abc import Callable, Iterable, Sequence
from typing import Literal
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

BODY_LIMIT_BYTES = 4 * 1024 * 1024
SCAN_LIMIT_ROWS = 1000
BACKLOG = 256
SOCKET_KEY = "papayarelay.socket"
CONTROL_PATHS = ("/faults", "/counters")


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject.

    ``outage`` is ``refuse`` (the port is closed for ``outage_s``, then the outage
    ends), ``hang`` (requests get no response and have no effect until the faults are
    next set) or ``reject`` (status 503, stating that nothing was applied).  The next
    ``lost_answers`` transactions are committed without a response.  The next
    ``delayed_effects`` ones after these get no response and are checked and
    committed after ``effect_delay_s``.
    """

    latency_s: float = 0.0
    outage: Literal["", "refuse", "hang", "reject"] = ""
    outage_s: float = 0.0
    lost_answers: int = 0
    delayed_effects: int = 0
    effect_delay_s: float = 0.0


class Counters(msgspec.Struct):
    """Requests served since the start; ``writes`` counts transactions.

    The mappings count reads and transactions by the first part of the row key
    (``claim``, ``config``); a transaction counts under its first write.
    """

    reads: int = 0
    rows_read: int = 0
    writes: int = 0
    rows_written: int = 0
    failed_checks: int = 0
    lost_answers: int = 0
    delayed_effects: int = 0
    rejected: int = 0
    reads_by_prefix: dict[str, int] = {}
    writes_by_prefix: dict[str, int] = {}


class TableCheck(msgspec.Struct):
    """A precondition on a row version; version 0 means that the row is absent."""

    key: str
    version: int


class TableWrite(msgspec.Struct):
    """A row write; a value of None deletes the row."""

    key: str
    value: str | None


class Transaction(msgspec.Struct):
    """Body of ``POST /transact``."""

    checks: list[TableCheck] = []
    writes: list[TableWrite] = []


class TableRow(msgspec.Struct):
    """A row; the value is a base64 string."""

    key: str
    value: str
    version: int


class Tables:
    """In-memory rows with optimistic transactions on row versions."""

    def __init__(self):
        self._rows: dict[str, TableRow] = {}
        self._version = 0

    def back_up(self) -> Tables:
        """Return a copy of all rows and of the version."""
        return copy.deepcopy(self)

    def restore(self, backup: Tables) -> None:
        """Replace all rows and the version by those of a backup."""
        self._rows = copy.deepcopy(backup._rows)
        self._version = backup._version

    def get(self, key: str) -> TableRow | None:
        """Return a row or None."""
        return self._rows.get(key)

    def scan(self, prefix: str, limit: int) -> list[TableRow]:
        """Return up to ``limit`` rows under ``prefix`` in key order."""
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return [self._rows[key] for key in keys[:limit]]

    def failed_checks(self, checks: Sequence[TableCheck]) -> list[TableCheck]:
        """Return the checks that fail, with the current row versions."""
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


class ErrorResponseError(Exception):
    """The request gets a response with an error status."""

    def __init__(self, status: str, body: object):
        super().__init__(status)
        self.status = status
        self.body = body


class LostResponseError(Exception):
    """The connection is closed without a response."""


class _Handler(WSGIHandler):
    """Registers the connections with the server for fault injection."""

    def handle(self):
        connection = self.socket
        self.server.connections.add(connection)
        try:
            super().handle()
        finally:
            self.server.connections.discard(connection)

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class _Server(WSGIServer):
    """WSGI server that tracks its open connections."""

    handler_class = _Handler

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.connections: set[socket.socket] = set()


class TablesStandIn:
    """HTTP server of the table service; ``listen`` is ``host:port``."""

    def __init__(self, listen: str = "127.0.0.1:0"):
        host, _, port = listen.rpartition(":")
        self._host = host
        self._port = int(port)
        self._server: _Server | None = None
        self._reserved_port: socket.socket | None = None
        self._reopening: gevent.Greenlet | None = None
        self._faults_changed = Event()
        self._remaining_lost = 0
        self._remaining_delayed = 0
        self.faults = Faults()
        self.counters = Counters()
        self.tables = Tables()
        self._routes: dict[tuple[str, str], Callable[[dict], object]] = {
            ("GET", "/rows"): self._get_row,
            ("GET", "/scan"): self._scan,
            ("POST", "/transact"): self._transact,
            ("POST", "/faults"): self._post_faults,
            ("GET", "/counters"): lambda environ: self.counters,
        }

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listening socket."""
        return f"{self._host}:{self._port}"

    def start(self) -> None:
        """Listen and serve."""
        self._listen(self._bind())

    def close(self) -> None:
        """Stop serving and close all connections."""
        if self._reopening is not None:
            self._reopening.kill()
            self._reopening = None
            self._reserved_port.close()
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def set_faults(self, faults: Faults, keep: socket.socket | None = None) -> None:
        """Replace the active faults; ``refuse`` closes all connections but ``keep``.

        A port closed by an earlier ``refuse`` stays closed for its ``outage_s``.
        """
        self.faults = faults
        self._remaining_lost = faults.lost_answers
        self._remaining_delayed = faults.delayed_effects
        self._faults_changed.set()
        self._faults_changed = Event()
        if faults.outage == "refuse" and self._server is not None:
            self._refuse(faults.outage_s, keep)

    def _bind(self) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._host, self._port))
        self._port = listener.getsockname()[1]
        return listener

    def _listen(self, listener: socket.socket) -> None:
        listener.listen(BACKLOG)
        self._server = _Server(listener, self._serve, log=None)
        self._server.start()

    def _refuse(self, outage_s: float, keep: socket.socket | None) -> None:
        connections = self._server.connections
        self._server.close()
        self._server = None
        for connection in connections - {keep}:
            _shut_down(connection)
        # A bound socket that does not listen keeps the port and refuses connections.
        self._reserved_port = self._bind()
        self._reopening = gevent.spawn_later(outage_s, self._reopen)

    def _reopen(self) -> None:
        self._reopening = None
        self.faults = Faults()
        self._listen(self._reserved_port)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        connection = environ[SOCKET_KEY]
        try:
            status, body = "200 OK", self._dispatch(environ)
        except ErrorResponseError as error:
            status, body = error.status, error.body
        except LostResponseError:
            _shut_down(connection)
            return []
        data = msgspec.json.encode(body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        if self._server is None:
            headers.append(("Connection", "close"))
        start_response(status, headers)
        return [data]

    def _dispatch(self, environ: dict) -> object:
        route = self._routes.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        if route is None:
            raise ErrorResponseError("404 Not Found", {"error": "no such path"})
        if environ["PATH_INFO"] not in CONTROL_PATHS:
            self._apply_faults()
        return route(environ)

    def _apply_faults(self) -> None:
        if self.faults.latency_s:
            gevent.sleep(self.faults.latency_s)
        if self.faults.outage == "hang":
            self._faults_changed.wait()
            raise LostResponseError
        if self.faults.outage == "reject":
            self.counters.rejected += 1
            raise ErrorResponseError("503 Service Unavailable", {"applied": False})

    def _post_faults(self, environ: dict) -> object:
        try:
            faults = msgspec.json.decode(_read_body(environ), type=Faults)
        except msgspec.MsgspecError as error:
            raise ErrorResponseError(
                "400 Bad Request", {"error": str(error)}
            ) from error
        self.set_faults(faults, keep=environ[SOCKET_KEY])
        return faults

    def _get_row(self, environ: dict) -> object:
        key = _query(environ, "key")
        self.counters.reads += 1
        _count_prefix(self.counters.reads_by_prefix, key)
        row = self.tables.get(key)
        if row is None:
            raise ErrorResponseError("404 Not Found", {"error": "no such row"})
        self.counters.rows_read += 1
        return row

    def _scan(self, environ: dict) -> object:
        prefix = _query(environ, "prefix")
        self.counters.reads += 1
        _count_prefix(self.counters.reads_by_prefix, prefix)
        limit_text = _query(environ, "limit")
        if not limit_text.isdecimal():
            raise ErrorResponseError(
                "400 Bad Request", {"error": "limit is not a number"}
            )
        limit = min(int(limit_text), SCAN_LIMIT_ROWS)
        rows = self.tables.scan(prefix, limit)
        self.counters.rows_read += len(rows)
        return {"rows": rows}

    def _transact(self, environ: dict) -> object:
        transaction = _read_transaction(environ)
        self.counters.writes += 1
        if transaction.writes:
            _count_prefix(self.counters.writes_by_prefix, transaction.writes[0].key)
        if self._remaining_lost > 0:
            self._remaining_lost -= 1
            self.counters.lost_answers += 1
            self._commit(transaction)
            raise LostResponseError
        if self._remaining_delayed > 0:
            self._remaining_delayed -= 1
            self.counters.delayed_effects += 1
            # A separate greenlet commits even if the client disconnects meanwhile.
            gevent.spawn_later(
                self.faults.effect_delay_s, self._commit, transaction
            ).join()
            raise LostResponseError
        failed, version = self._commit(transaction)
        if failed:
            raise ErrorResponseError("409 Conflict", {"failed": failed})
        return {"version": version}

    def _commit(self, transaction: Transaction) -> tuple[list[TableCheck], int]:
        failed = self.tables.failed_checks(transaction.checks)
        if failed:
            self.counters.failed_checks += 1
            return failed, 0
        self.counters.rows_written += len(transaction.writes)
        return [], self.tables.apply(transaction.writes)


def _count_prefix(counts: dict[str, int], key: str) -> None:
    prefix = key.partition("/")[0]
    counts[prefix] = counts.get(prefix, 0) + 1


def _shut_down(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def _query(environ: dict, name: str) -> str:
    values = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    if name not in values:
        raise ErrorResponseError("400 Bad Request", {"error": f"{name} is missing"})
    return values[name][0]


def _read_body(environ: dict) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > BODY_LIMIT_BYTES:
        raise ErrorResponseError("413 Content Too Large", {"error": "body too large"})
    return environ["wsgi.input"].read(length)


def _read_transaction(environ: dict) -> Transaction:
    try:
        transaction = msgspec.json.decode(_read_body(environ), type=Transaction)
        for write in transaction.writes:
            base64.b64decode(write.value or "", validate=True)
    except (msgspec.MsgspecError, binascii.Error) as error:
        raise ErrorResponseError("400 Bad Request", {"error": str(error)}) from error
    return transaction
