"""HTTP/1.1 client connections to backend servers.

Uses h11 for full control over the bytes on the wire: urllib3 normalises paths and
hides bytes that follow a response (docs/decisions.md).
"""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent.select
import h11

from ..errors import BackendError, Outcome
from ..request import Headers

RECEIVE_BYTES = 64 << 10
HEADER_LIMIT_BYTES = 64 << 10
# TCP_USER_TIMEOUT: a connection with data unacknowledged for this long is dropped.
TCP_USER_TIMEOUT_MS = 1000
# Limit on bytes received before the expected response: informational (1xx)
# responses and stale responses to earlier requests.
MAX_BYTES_BEFORE_RESPONSE = 1 << 20
# Maximum number of responses read while waiting for the one that matches the request.
MAX_RESPONSES_READ = 4


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header; ``name`` must be lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def connect(host: str, port: int, timeout_s: float) -> socket.socket:
    """Open a TCP connection that detects a dead peer (keep-alive, user timeout).

    Raises ``OSError``.
    """
    sock = socket.create_connection((host, port), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    option = socket.TCP_USER_TIMEOUT
    sock.setsockopt(socket.IPPROTO_TCP, option, TCP_USER_TIMEOUT_MS)
    return sock


class Connection:
    """A client connection that carries one request at a time.

    Every exchange is limited in time and in bytes, whatever the peer sends: all
    data is received through ``_receive``.  The deadline covers the whole response
    unless a stream replaces it; ``allow_bytes`` resets the byte limit.

    ``exchange`` and ``read`` raise ``BackendError``; its outcome is ``not_run``
    only if no byte of the request was sent.
    """

    def __init__(
        self,
        sock: socket.socket,
        peer: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.peer = peer
        self.received_bytes = 0
        self.reusable_until_s = 0.0
        self.request_count = 0
        self._sock = sock
        self._protocol = h11.Connection(h11.CLIENT, HEADER_LIMIT_BYTES)
        self._closing = False
        # Whether the server has closed its side.
        self._ended = False
        self._complete = True
        self._clock = clock
        self._deadline_s: float | None = None
        self._byte_limit = 0

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        protocol = self._protocol
        done = self._complete and not self._closing
        if not done or protocol.trailing_data[0]:
            return False
        return (protocol.our_state, protocol.their_state) == (h11.DONE, h11.DONE)

    def is_healthy(self) -> bool:
        """Return whether an idle connection is still open with no unread data."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def set_deadline(self, deadline_s: float | None) -> None:
        """Set the deadline of the current exchange; None disables it."""
        self._deadline_s = deadline_s

    def allow_bytes(self, size: int) -> None:
        """Reset the byte limit: accept ``size`` more bytes from now on."""
        self._byte_limit = self.received_bytes + size

    def abort(self) -> None:
        """Shut the socket down so that a task blocked in ``read`` fails at once."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def exchange(
        self,
        head: RequestHead,
        body: bytes,
        timeout_s: float,
        request_id_header: bytes = b"",
        on_head: Callable[[ResponseHead], None] = lambda response: None,
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        ``request_id_header`` is the lower-case name of the header with the
        request id; responses with another id are skipped.  ``on_head`` is called
        with the head of every response, including skipped ones.
        """
        self.set_deadline(self._clock() + timeout_s)
        self.allow_bytes(MAX_BYTES_BEFORE_RESPONSE)
        if self.request_count:
            self._protocol.start_next_cycle()
        self.request_count += 1
        self._complete = False
        data = self._encode(head, body)
        self._send(data)
        request_id = None
        if request_id_header:
            request_id = next(
                (v for k, v in head.headers if k.lower() == request_id_header), None
            )
        for _ in range(MAX_RESPONSES_READ):
            response = self._read_head()
            on_head(response)
            if self._matches_request(response, request_id_header, request_id):
                return response
            self._skip_response(head, body)
        raise self._error("received only responses to other requests")

    def read(self) -> bytes:
        """Return the next part of the body, empty at its end."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._complete = True
                return b""
            if isinstance(event, h11.ConnectionClosed):
                raise self._lost("connection closed before the response was complete")

    def read_all(self, limit_bytes: int) -> bytes:
        """Return the whole body; raise ``BackendError`` if it exceeds the limit.

        Chunked framing may take up as many bytes again as the body.
        """
        self.allow_bytes(2 * limit_bytes + HEADER_LIMIT_BYTES)
        parts = []
        size = 0
        for part in self:
            parts.append(part)
            size += len(part)
            if size > limit_bytes:
                raise self._error("response body exceeds the size limit")
        return b"".join(parts)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the body."""
        while part := self.read():
            yield part

    def _matches_request(
        self, response: ResponseHead, name: bytes, request_id: bytes | None
    ) -> bool:
        """Return whether a response belongs to the current request.

        On a reused connection, a response without a request id is an error: it
        may be a duplicate of an earlier response.
        """
        if request_id is None:
            return True
        found = response.get(name)
        if found is None and self.request_count > 1:
            raise self._error("response without a request id on a reused connection")
        return found is None or found == request_id

    def _encode(self, head: RequestHead, body: bytes) -> bytes:
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        try:
            data = self._protocol.send(request)
            if body:
                data += self._protocol.send(h11.Data(body))
            return data + self._protocol.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise self._error(f"invalid request: {error}", False) from error

    def _send(self, data: bytes) -> None:
        """Send a request; stop early if the server responds before the end."""
        view = memoryview(data)
        sent = 0
        self._sock.settimeout(0.0)
        try:
            while sent < len(view):
                try:
                    sent += self._sock.send(view[sent:])
                    continue
                except BlockingIOError:
                    pass
                ready, _, _ = gevent.select.select([self._sock], [self._sock], [], 0)
                if not ready:
                    ready, writable, _ = gevent.select.select(
                        [self._sock], [self._sock], [], self._remaining_s()
                    )
                    if not ready and not writable:
                        raise TimeoutError
                if ready:
                    # The body is incomplete, so the server would parse the next
                    # request as the rest of it: don't reuse the connection.
                    self._closing = True
                    return
        except OSError as error:
            text = f"sending the request failed: {type(error).__name__}"
            failure = self._error(text, sent > 0)
            failure.connection_lost = not isinstance(error, TimeoutError)
            raise failure from error

    def _read_head(self) -> ResponseHead:
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                self._record_close(event)
                return ResponseHead(event.status_code, tuple(event.headers.raw_items()))
            if isinstance(event, h11.ConnectionClosed):
                raise self._lost("connection closed before the response")

    def _record_close(self, event: h11.Response) -> None:
        for name, value in event.headers:
            if name == b"connection" and b"close" in value.lower():
                self._closing = True

    def _skip_response(self, head: RequestHead, body: bytes) -> None:
        """Discard a response to another request and expect the next response.

        A new h11 state machine that has the same request encoded takes over the
        bytes that were already received.
        """
        while self.read():
            pass
        data, closed = self._protocol.trailing_data
        self._complete = False
        self._protocol = h11.Connection(h11.CLIENT, HEADER_LIMIT_BYTES)
        self._encode(head, body)
        if data:
            self._protocol.receive_data(data)
        if closed:
            self._protocol.receive_data(b"")

    def _next_event(self):
        try:
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                self._protocol.receive_data(self._receive())
        except h11.RemoteProtocolError as error:
            failure = self._error(f"invalid HTTP response: {error}")
            failure.connection_lost = self._ended
            raise failure from error
        except OSError as error:
            text = f"connection failed: {type(error).__name__}"
            failure = self._error(text)
            failure.no_response = error.errno == errno.ETIMEDOUT
            timed_out = isinstance(error, TimeoutError) and not failure.no_response
            failure.connection_lost = not timed_out
            raise failure from error
        if event is h11.PAUSED:
            raise self._error("unexpected bytes after the response")
        return event

    def _receive(self) -> bytes:
        """Receive data within the limits of the exchange; raises ``OSError``."""
        self._sock.settimeout(self._remaining_s())
        data = self._sock.recv(RECEIVE_BYTES)
        self._ended = not data
        self.received_bytes += len(data)
        if self.received_bytes > self._byte_limit:
            raise self._error("response exceeds the byte limit of the exchange")
        return data

    def _remaining_s(self) -> float | None:
        """Return the time until the deadline; raises ``TimeoutError`` past it."""
        if self._deadline_s is None:
            return None
        remaining_s = self._deadline_s - self._clock()
        if remaining_s <= 0:
            raise TimeoutError
        return remaining_s

    def _lost(self, message: str) -> BackendError:
        error = self._error(message)
        error.connection_lost = True
        return error

    def _error(self, message: str, sent: bool = True) -> BackendError:
        self._closing = True
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        return BackendError(message, step="exchange", peer=self.peer, outcome=outcome)
