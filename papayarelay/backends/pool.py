"""Connections to one backend server."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from urllib.parse import urlsplit

import gevent

from ..errors import BackendError, Fault, Outcome
from ..request import Headers
from .connection import AnswerHead, Connection, RequestHead, connect
from .protocol import CHAT, Protocol, Signals, read_signals
from .restriction import Restriction

# A lost packet of a new connection is sent again after 1 s only; another server is
# reached sooner than that.
CONNECT_TIMEOUT_S = 0.4
# An engine sends a keep-alive comment every second, so three missed ones mean
# that the connection has gone silent.
STREAM_IDLE_LIMIT_S = 3.5
# More connections may be open; these many are kept when they are idle.
IDLE_CONNECTIONS = 64
# A server that does not say for how long it keeps an idle connection.
IDLE_S = 4.0
# A connection is not used again this long before the server may close it.
IDLE_MARGIN_S = 0.5
ANSWER_LIMIT_BYTES = 4 << 20


class Answer:
    """An answer whose body is read from its connection.

    ``release`` keeps the connection for another request when the answer is
    complete, and closes it otherwise.
    """

    def __init__(self, pool: BackendPool, connection: Connection, head: AnswerHead):
        self.head = head
        self.connection = connection
        self._pool = pool
        self._released = False

    @property
    def status(self) -> int:
        """Return the status of the answer."""
        return self.head.status

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header as text."""
        value = self.head.get(name.lower().encode())
        return default if value is None else value.decode("latin-1")

    def read(self) -> bytes:
        """Return the next part of the body, nothing at its end."""
        return self.connection.read()

    def read_all(self, limit_bytes: int = ANSWER_LIMIT_BYTES) -> bytes:
        """Return the whole body and release the connection."""
        try:
            return self.connection.read_all(limit_bytes)
        finally:
            self.release()

    def release(self) -> None:
        """Give the connection back."""
        if not self._released:
            self._released = True
            self._pool.put_back(self.connection, self.head)


class BackendPool:
    """Keeps connections to one backend server; ``url`` is its base URL.

    ``protocol`` says how requests are put for this server.  ``idle_limit`` is
    the number of idle connections that are kept.
    """

    def __init__(
        self,
        backend_id: str,
        url: str,
        protocol: Protocol = CHAT,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.backend_id = backend_id
        self.url = url
        self.protocol = protocol
        self.idle_limit = IDLE_CONNECTIONS
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.restriction = Restriction()
        # Called with what the answers of the server say of it.
        self.on_signals: Callable[[Signals], None] = lambda signals: None
        # Cancels on their way to the server, by request id.
        self.cancels: dict[str, gevent.Greenlet] = {}
        self._clock = clock
        parts = urlsplit(url)
        self._host, self._port = parts.hostname or "", parts.port or 80
        self._idle: list[Connection] = []
        self._closed = False

    @property
    def address(self) -> str:
        """Return the address of the server as ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def socket_address(self) -> tuple[str, int]:
        """Return the host and the port of the server."""
        return self._host, self._port

    def start(self) -> None:
        """Allow connections; they are opened when they are needed."""
        self._closed = False

    def close(self) -> None:
        """Close the idle connections, and keep none from now on."""
        self._closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close all idle connections, after one of them has gone silent."""
        while self._idle:
            self._idle.pop().close()

    def send(
        self,
        head: RequestHead,
        body: bytes,
        limit_s: float,
        *,
        fresh: bool = False,
        answers: bytes = b"",
        control: bool = False,
    ) -> Answer:
        """Send a request and return its answer once the head has arrived.

        ``fresh`` asks for a new connection: a kept one may be closed just as a
        request is sent, and then nobody knows whether it ran.  ``control`` marks
        what belongs to work that the server has already, and which it gets also
        after it has asked for no requests.  Raises ``BackendError``.
        """
        if not control and self.restriction.bars(self._clock()):
            raise self.barred()
        connection = self._open(limit_s) if fresh else self._take(limit_s)
        try:
            answer = connection.exchange(head, body, limit_s, answers, self._hear)
        except BaseException:
            connection.close()
            raise
        return Answer(self, connection, answer)

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float = STREAM_IDLE_LIMIT_S,
        fresh: bool = False,
    ) -> Answer:
        """Send a request that is made here; see ``send``."""
        fields: Headers = ((b"Host", self.address.encode()),)
        fields += tuple((k.encode(), v.encode()) for k, v in (headers or {}).items())
        if body or method == "POST":
            fields += ((b"Content-Length", b"%d" % len(body)),)
        head = RequestHead(method.encode(), path.encode(), fields)
        return self.send(head, body, read_timeout_s, fresh=fresh, control=True)

    def put_back(self, connection: Connection, head: AnswerHead) -> None:
        """Keep a connection for another request, or close it."""
        keep = connection.reusable and not self._closed
        if not keep or len(self._idle) >= self.idle_limit:
            connection.close()
            return
        connection.idle_until_s = self._clock() + _idle_s(head)
        self._idle.append(connection)

    def barred(self) -> BackendError:
        """Return the error of a request that the server does not want."""
        error = BackendError(
            "the server has asked for no requests",
            step="connect",
            peer=self.backend_id,
            outcome=Outcome.NOT_RUN,
        )
        error.fault = Fault.BARRED
        return error

    def _hear(self, head: AnswerHead) -> None:
        """Note what the head of an answer says of the server."""
        signals = read_signals(self.protocol, head)
        if signals.leaving or signals.pause_s:
            self.on_signals(signals)

    def _take(self, limit_s: float) -> Connection:
        now_s = self._clock()
        while self._idle:
            connection = self._idle.pop()
            if now_s < connection.idle_until_s and connection.is_quiet():
                return connection
            connection.close()
        return self._open(limit_s)

    def _open(self, limit_s: float) -> Connection:
        try:
            timeout_s = min(limit_s, self.connect_timeout_s)
            sock = connect(self._host, self._port, timeout_s)
        except OSError as error:
            failure = BackendError(
                f"connection failed: {type(error).__name__}",
                step="connect",
                peer=self.backend_id,
                outcome=Outcome.NOT_RUN,
            )
            failure.fault = Fault.UNREACHABLE
            failure.silent = isinstance(error, TimeoutError)
            raise failure from error
        return Connection(sock, self.backend_id, self._clock)


def _idle_s(head: AnswerHead) -> float:
    """Return for how long an idle connection may be used again."""
    value = head.get(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN_S)
    return IDLE_S
