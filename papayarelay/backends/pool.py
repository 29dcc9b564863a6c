"""Connection pool for one backend server."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from urllib.parse import urlsplit

import gevent

from ..errors import BackendError, Fault, Outcome
from ..request import Headers
from .connection import Connection, RequestHead, ResponseHead, connect
from .protocol import CHAT, Protocol, ServerSignals, read_signals
from .restriction import Permit, Restriction

# Shorter than the 1 s after which TCP retransmits a lost SYN: trying another server
# is faster.
CONNECT_TIMEOUT_S = 0.4
# Engines send a keep-alive comment every second; three missed ones mean that the
# connection is dead.
STREAM_IDLE_TIMEOUT_S = 3.5
# Limit on idle connections kept; the number of open connections is not limited.
MAX_IDLE_CONNECTIONS = 64
# Idle timeout for servers that send no Keep-Alive header.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Stop reusing a connection this long before the server may close it.
IDLE_MARGIN_S = 0.5
MAX_RESPONSE_BYTES = 4 << 20


class Response:
    """A response whose body is read from its connection.

    ``release`` returns the connection to the pool if the response is complete and
    closes it otherwise.
    """

    def __init__(self, pool: BackendPool, connection: Connection, head: ResponseHead):
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

    def read_all(self, limit_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
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
    ``max_idle_connections`` is the maximum number of idle connections.
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
        self.max_idle_connections = MAX_IDLE_CONNECTIONS
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.restriction = Restriction()
        # Called with the status signals in the server's response headers, and with
        # the time at which the request was sent, None if that is not known.
        self.on_signals: Callable[[ServerSignals, float | None], None] = (
            lambda signals, sent_s: None
        )
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
        timeout_s: float,
        *,
        new_connection: bool = False,
        request_id_header: bytes = b"",
        control: bool = False,
        permit: Permit | None = None,
    ) -> Response:
        """Send a request and return its response once the head has arrived.

        ``new_connection`` avoids pooled connections: the server may close one just
        as the request is sent, which leaves it unknown whether the request ran.
        ``control`` marks control requests (such as cancels), which are sent even
        while the server accepts no new work.  ``permit`` allows a request to a server
        with a rate limit.  Raises ``BackendError``.
        """
        if not control:
            self.check_allowed(permit)
        connection = (
            self._open(timeout_s) if new_connection else self._acquire(timeout_s)
        )
        sent_s = self._clock()
        self.restriction.record_sent(permit, sent_s)
        try:
            response = connection.exchange(
                head, body, timeout_s, request_id_header, self._report_signals
            )
        except BaseException:
            connection.close()
            raise
        if request_id_header:
            self._report_limit(response, sent_s)
        return Response(self, connection, response)

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float = STREAM_IDLE_TIMEOUT_S,
        new_connection: bool = False,
    ) -> Response:
        """Send a control request of the gateway itself; see ``send``."""
        fields: Headers = ((b"Host", self.address.encode()),)
        fields += tuple((k.encode(), v.encode()) for k, v in (headers or {}).items())
        if body or method == "POST":
            fields += ((b"Content-Length", b"%d" % len(body)),)
        head = RequestHead(method.encode(), path.encode(), fields)
        return self.send(
            head, body, read_timeout_s, new_connection=new_connection, control=True
        )

    def put_back(self, connection: Connection, head: ResponseHead) -> None:
        """Keep a connection for reuse, or close it."""
        keep = connection.reusable and not self._closed
        if not keep or len(self._idle) >= self.max_idle_connections:
            connection.close()
            return
        connection.reusable_until_s = self._clock() + _idle_timeout_s(head)
        self._idle.append(connection)

    def check_allowed(self, permit: Permit | None) -> None:
        """Raise ``BackendError`` if the server accepts no request now."""
        if not self.restriction.allows_request(permit, self._clock()):
            raise self.unavailable_error()

    def unavailable_error(self) -> BackendError:
        """Return the error for a server that accepts no requests for now."""
        error = BackendError(
            "server is leaving, or has paused or limited requests",
            step="connect",
            peer=self.backend_id,
            outcome=Outcome.NOT_RUN,
        )
        error.fault = Fault.BARRED
        return error

    def _report_signals(self, head: ResponseHead) -> None:
        """Report status signals in the head of a response to any request."""
        self.on_signals(read_signals(self.protocol, head), None)

    def _report_limit(self, head: ResponseHead, sent_s: float) -> None:
        """Report the limit in the response to a request sent at ``sent_s``."""
        limit_per_s = read_signals(self.protocol, head).limit_per_s
        self.on_signals(ServerSignals(limit_per_s=limit_per_s), sent_s)

    def _acquire(self, timeout_s: float) -> Connection:
        now_s = self._clock()
        while self._idle:
            connection = self._idle.pop()
            if now_s < connection.reusable_until_s and connection.is_healthy():
                return connection
            connection.close()
        return self._open(timeout_s)

    def _open(self, timeout_s: float) -> Connection:
        try:
            connect_timeout_s = min(timeout_s, self.connect_timeout_s)
            sock = connect(self._host, self._port, connect_timeout_s)
        except OSError as error:
            failure = BackendError(
                f"connection failed: {type(error).__name__}",
                step="connect",
                peer=self.backend_id,
                outcome=Outcome.NOT_RUN,
            )
            failure.fault = Fault.UNREACHABLE
            failure.no_response = isinstance(error, TimeoutError)
            raise failure from error
        return Connection(sock, self.backend_id, self._clock)


def _idle_timeout_s(head: ResponseHead) -> float:
    """Return how long an idle connection may be reused."""
    value = head.get(b"keep-alive") or b""
    for item in value.split(b","):
        name, _, seconds = item.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, int(seconds) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
