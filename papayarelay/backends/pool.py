"""Connection pool for one backend server."""

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

# Shorter than the 1 s after which TCP retransmits a lost SYN: trying another server
# is faster.
CONNECT_TIMEOUT_S = 0.4
# Engines send a keep-alive comment every second; three missed ones mean that the
# connection is dead.
STREAM_IDLE_LIMIT_S = 3.5
# Limit on idle connections kept; the number of open connections is not limited.
IDLE_CONNECTIONS = 64
# Idle timeout for servers that send no Keep-Alive header.
IDLE_S = 4.0
# Stop reusing a connection this long before the server may close it.
IDLE_MARGIN_S = 0.5
ANSWER_LIMIT_BYTES = 4 << 20


class Answer:
    """A response whose body is read from its connection.

    ``release`` returns the connection to the pool if the response is complete and
    closes it otherwise.
    """

    def __init__(self, pool: BackendPool, connection: Connection, head: AnswerHead):
        self.head = head
        self.connection = connection
        self._pool = pool
        self._released = False

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return self.head.status

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header as text."""
        value = self.head.get(name.lower().encode())
        return default if value is None else value.decode("latin-1")

    def read(self) -> bytes:
        """Return the next part of the body, empty at its end."""
        return self.connection.read()

    def read_all(self, limit_bytes: int = ANSWER_LIMIT_BYTES) -> bytes:
        """Return the whole body and release the connection."""
        try:
            return self.connection.read_all(limit_bytes)
        finally:
            self.release()

    def release(self) -> None:
        """Return the connection to the pool."""
        if not self._released:
            self._released = True
            self._pool.put_back(self.connection, self.head)


class BackendPool:
    """Pools connections to one backend server; ``url`` is its base URL.

    ``protocol`` selects how requests to the server are encoded;
    ``idle_limit`` is the maximum number of idle connections.
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
        # Called with the status signals in the server's response headers.
        self.on_signals: Callable[[Signals], None] = lambda signals: None
        # Cancel requests in flight, by request id.
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
        """Enable the pool; connections are opened on demand."""
        self._closed = False

    def close(self) -> None:
        """Close the idle connections and stop pooling."""
        self._closed = True
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close all idle connections, for instance after one was found dead."""
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
        """Send a request and return its response once the head has arrived.

        ``fresh`` avoids pooled connections: the server may close one just
        as the request is sent, which leaves it unknown whether the request ran.
        ``control`` marks control requests (such as cancels), which are sent even
        while the server accepts no new work.  Raises ``BackendError``.
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
        """Send a control request of the gateway itself; see ``send``."""
        fields: Headers = ((b"Host", self.address.encode()),)
        fields += tuple((k.encode(), v.encode()) for k, v in (headers or {}).items())
        if body or method == "POST":
            fields += ((b"Content-Length", b"%d" % len(body)),)
        head = RequestHead(method.encode(), path.encode(), fields)
        return self.send(head, body, read_timeout_s, fresh=fresh, control=True)

    def put_back(self, connection: Connection, head: AnswerHead) -> None:
        """Keep a connection for reuse, or close it."""
        keep = connection.reusable and not self._closed
        if not keep or len(self._idle) >= self.idle_limit:
            connection.close()
            return
        connection.idle_until_s = self._clock() + _idle_s(head)
        self._idle.append(connection)

    def barred(self) -> BackendError:
        """Return the error for a server that accepts no requests for now."""
        error = BackendError(
            "server is leaving or has paused requests",
            step="connect",
            peer=self.backend_id,
            outcome=Outcome.NOT_RUN,
        )
        error.fault = Fault.BARRED
        return error

    def _hear(self, head: AnswerHead) -> None:
        """Report status signals in the head of a response."""
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
    """Return how long an idle connection may be reused."""
    value = head.get(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN_S)
    return IDLE_S
