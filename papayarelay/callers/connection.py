"""Caller connections of the reverse proxy, implemented with h11."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import h11

from ..config import CallerLimits
from ..errors import (
    BodyTooLargeError,
    CallerGoneError,
    Outcome,
    RequestError,
    RequestTimeoutError,
)
from ..request import Headers

RECEIVE_BYTES = 64 << 10
# Timeout of a send, so that a caller that stops reading can't hold a stream open.
SEND_TIMEOUT_S = 10.0
HEADERS_TOO_LARGE = 431


class HeadersTooLargeError(RequestError):
    """The request line and headers exceed the size limit."""

    status = HEADERS_TOO_LARGE
    code = "headers_too_large"


class CallerConnection:
    """Server side of one HTTP/1.1 connection; serves one request at a time."""

    def __init__(self, sock: socket.socket, limits: CallerLimits):
        self.response_complete = False
        # Whether at least part of a request has been received but not answered.
        self.busy = False
        self.request_id = ""
        self._sock = sock
        self._limits = limits
        self._receive_budget_bytes = 0
        self._protocol = h11.Connection(h11.SERVER, limits.header_bytes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can be reused for another request."""
        return (self._protocol.our_state, self._protocol.their_state) == (
            h11.DONE,
            h11.DONE,
        )

    @property
    def response_started(self) -> bool:
        """Return whether sending the response to the current request has started."""
        return self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def request_complete(self) -> bool:
        """Return whether the request has been read completely."""
        return self._protocol.their_state not in (h11.IDLE, h11.SEND_BODY)

    @property
    def has_pipelined_data(self) -> bool:
        """Return whether bytes of a pipelined request are already buffered."""
        return bool(self._protocol.trailing_data[0])

    def read_request(self) -> h11.Request | None:
        """Read the head of the next request.

        Returns None when the caller disconnects or the idle timeout expires.  Raises
        ``RequestError`` for a malformed head and ``RequestTimeoutError`` for a slow
        one.
        """
        if self.response_complete:
            self._protocol.start_next_cycle()
            self.response_complete = False
            self.busy = False
        self._sock.settimeout(None)
        self._receive_budget_bytes = 2 * self._limits.header_bytes + RECEIVE_BYTES
        if not self.has_pipelined_data and not self._wait_for_bytes():
            return None
        self.busy = True
        try:
            with gevent.Timeout(self._limits.header_timeout_s):
                event = self._next_event()
        except gevent.Timeout:
            raise RequestTimeoutError(
                "timed out reading the request headers", step="read_head", peer="caller"
            ) from None
        if not isinstance(event, h11.Request):
            return None
        self._check_head(event)
        return event

    def read_body(self, on_part: Callable[[bytes], None] = lambda part: None) -> bytes:
        """Return the body of the request; ``on_part`` is called with each part.

        Raises ``BodyTooLargeError``, ``RequestError`` and ``CallerGoneError``.
        """
        # Chunked framing may take as many bytes as the body itself.
        self._receive_budget_bytes = 2 * self._limits.body_bytes + RECEIVE_BYTES
        if self._protocol.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=()))
        parts = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise caller_gone_error("read_body")
            parts.append(bytes(event.data))
            on_part(parts[-1])
            size += len(event.data)
            if size > self._limits.body_bytes:
                raise BodyTooLargeError(
                    f"body exceeds {self._limits.body_bytes} bytes",
                    step="read_body",
                    peer="caller",
                )

    def discard_body(self) -> None:
        """Read and drop the remaining body of a rejected request.

        The body limits apply; raises ``RelayError`` like ``read_body``.
        """
        if (
            not self.request_complete
            and not self._protocol.they_are_waiting_for_100_continue
        ):
            self.read_body()

    @contextmanager
    def watch_disconnect(self) -> Iterator[None]:
        """Raise ``CallerGoneError`` in this greenlet when the caller disconnects."""
        task = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        raw = self._sock._sock

        def check_disconnect() -> None:
            try:
                gone = raw.recv(1, socket.MSG_PEEK) == b""
            except BlockingIOError:
                return
            except OSError:
                gone = True
            # Pipelined bytes hide a later disconnect, so watching ends here too.
            watcher.stop()
            if gone:
                task.throw(caller_gone_error("wait"))

        self._sock.settimeout(SEND_TIMEOUT_S)
        watcher.start(check_disconnect)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        fields = (*headers, (b"Content-Length", b"%d" % len(body)))
        data = self._encode(h11.Response(status_code=status, headers=fields))
        data += self._encode(h11.Data(body))
        data += self._encode(h11.EndOfMessage())
        self._send_bytes(data)
        self.response_complete = True

    def begin_stream(self, status: int, headers: Headers, part: bytes) -> None:
        """Send the head and the first part of a chunked response."""
        fields = (*headers, (b"Transfer-Encoding", b"chunked"))
        data = self._encode(h11.Response(status_code=status, headers=fields))
        self._send_bytes(data + self._encode(h11.Data(part)))

    def send_chunk(self, part: bytes) -> None:
        """Send another part of a chunked response."""
        self._send_bytes(self._encode(h11.Data(part)))

    def end_stream(self) -> None:
        """Send the final chunk of a chunked response."""
        self._send_bytes(self._encode(h11.EndOfMessage()))
        self.response_complete = True

    def stop_reading(self) -> None:
        """Shut down the receiving side; data already received can still be read."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def abort(self) -> None:
        """Shut down both directions; a response in progress stays incomplete."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, discarding data that has not been read."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(OSError):
            self._sock.settimeout(0.0)
            while self._sock.recv(RECEIVE_BYTES):
                pass
        self._sock.close()

    def _check_head(self, head: h11.Request) -> None:
        """Reject a head that is too large or whose body length is ambiguous."""
        headers = head.headers.raw_items()
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if len(head.target) + size > self._limits.header_bytes:
            raise HeadersTooLargeError(
                "request headers exceed the size limit", step="read_head", peer="caller"
            )
        names = {name for name, _ in head.headers}
        if {b"content-length", b"transfer-encoding"} <= names:
            raise RequestError(
                "request has both Content-Length and Transfer-Encoding",
                step="read_head",
                peer="caller",
            )

    def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request; return False on timeout or EOF."""
        with gevent.Timeout(self._limits.idle_timeout_s, False):
            data = self._receive()
            self._protocol.receive_data(data)
            return bool(data)
        return False

    def _receive(self) -> bytes:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return b""
        self._receive_budget_bytes -= len(data)
        if self._receive_budget_bytes < 0:
            raise BodyTooLargeError(
                "request exceeds the limit of received bytes",
                step="read",
                peer="caller",
            )
        return data

    def _next_event(self):
        try:
            while (event := self._protocol.next_event()) is h11.NEED_DATA:
                self._protocol.receive_data(self._receive())
        except h11.RemoteProtocolError as error:
            kind = RequestError
            if error.error_status_hint == HEADERS_TOO_LARGE:
                kind = HeadersTooLargeError
            raise kind(str(error), step="read_head", peer="caller") from error
        return event

    def _encode(self, event) -> bytes:
        return self._protocol.send(event) or b""

    def _send(self, event) -> None:
        self._send_bytes(self._encode(event))

    def _send_bytes(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise caller_gone_error("send") from error


def caller_gone_error(step: str) -> CallerGoneError:
    """Return the error for a caller that has disconnected."""
    return CallerGoneError(
        "caller closed the connection",
        step=step,
        peer="caller",
        outcome=Outcome.UNKNOWN,
    )
