"""Connection handler of the WSGI server, with timeouts and strict framing."""

from __future__ import annotations

import contextlib
import http
import socket
import time
from dataclasses import dataclass

import gevent
from gevent import pywsgi

from ..errors import Outcome, RelayError, RequestError, RequestTimeoutError
from .response import error_body

# Timeout of a send, so that a caller that stops reading can't hold a stream open.
SEND_TIMEOUT_S = 30.0
# The rest of a rejected body is read up to these limits, so that the caller can
# still read the response; beyond them the connection is closed.
DISCARD_BYTES = 256 << 10
DISCARD_TIMEOUT_S = 1.0
DISCARD_READ_BYTES = 64 << 10


@dataclass(frozen=True)
class ConnectionLimits:
    """Timeouts of a caller connection, in seconds.

    ``header_timeout_s`` counts from the first byte of a request.
    """

    idle_timeout_s: float
    header_timeout_s: float


class _HeaderTimeout(gevent.Timeout):
    """The request line and the headers did not arrive in time."""


class _BodyInput(pywsgi.Input):
    """Request body; ``incomplete`` tells that its rest could not be discarded."""

    __slots__ = ("incomplete",)

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.incomplete = False

    def _discard(self) -> None:
        """Read the rest of the body within the limits; called by pywsgi."""
        self.send_100_continue_enabled = False
        try:
            with gevent.Timeout(DISCARD_TIMEOUT_S):
                self.incomplete = not self._read_rest()
        except (gevent.Timeout, OSError):
            self.incomplete = True

    def _read_rest(self) -> bool:
        """Return whether the end of the body was reached."""
        if self._chunked_input_error:
            return False
        size = 0
        while data := self.read(DISCARD_READ_BYTES):
            size += len(data)
            if size > DISCARD_BYTES:
                return False
        return True


class CallerHandler(pywsgi.WSGIHandler):
    """Serves one connection with timeouts and strict checks of the body length."""

    _header_deadline_s = 0.0

    def handle(self) -> None:
        """Serve the requests of one connection until it ends."""
        # With Nagle's algorithm, a token would wait up to 40 ms for the delayed ACK
        # of the previous one.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The caller may disconnect while an error response is being sent.
        with contextlib.suppress(OSError):
            super().handle()

    def handle_one_request(self):
        """Serve one request; see ``pywsgi.WSGIHandler.handle_one_request``."""
        if not self._wait_for_request():
            return None
        self._header_deadline_s = time.monotonic() + self.server.limits.header_timeout_s
        try:
            result = super().handle_one_request()
        except _HeaderTimeout:
            error = RequestTimeoutError(
                "timed out reading the request headers",
                step="read_headers",
                peer="caller",
                outcome=Outcome.UNKNOWN,
            )
            return _error_response(error)
        if isinstance(result, tuple) and result[0] == "414":
            return _error_response(_malformed_error("request line is too long"))
        return result

    def read_requestline(self) -> str:
        """Read the request line within the header timeout."""
        with self._header_timeout():
            return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers within the header timeout and check the body length."""
        with self._header_timeout():
            super().read_request(raw_requestline)
        self._check_body_length()
        return True

    def get_environ(self) -> dict:
        """Return the WSGI environment with the connection's socket."""
        environ = super().get_environ()
        environ["papayarelay.socket"] = self.socket
        chunked = self.wsgi_input.chunked_input
        waiting = self.socket if self.wsgi_input.socket is not None else None
        self.wsgi_input = _BodyInput(
            self.rfile, self.content_length, socket=waiting, chunked_input=chunked
        )
        # For upgrade requests pywsgi would set the raw connection instead.
        environ["wsgi.input"] = self.wsgi_input
        return environ

    def handle_one_response(self) -> None:
        """Run the application; close the connection if the body was not consumed."""
        super().handle_one_response()
        if self.wsgi_input.incomplete:
            self.close_connection = True

    def handle_error(self, kind, error, traceback) -> None:
        """Close the connection after a socket error such as a send timeout."""
        if isinstance(error, OSError):
            self.close_connection = True
            return
        super().handle_error(kind, error, traceback)

    def log_request(self) -> None:
        """Do nothing; the application logs requests."""

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False on timeout or EOF."""
        # The socket timeout applies only to sending.
        self.socket.settimeout(None)
        try:
            with gevent.Timeout(self.server.limits.idle_timeout_s, False):
                return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self.socket.settimeout(SEND_TIMEOUT_S)
        return False

    def _header_timeout(self) -> _HeaderTimeout:
        return _HeaderTimeout(max(0.001, self._header_deadline_s - time.monotonic()))

    def _check_body_length(self) -> None:
        """Reject ambiguous body lengths, which allow request smuggling."""
        lengths = self.headers.get_all("Content-Length", [])
        if len(lengths) > 1 or not all(_is_number(text) for text in lengths):
            raise ValueError("Content-Length is repeated or not a number")
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if encodings and [text.lower() for text in encodings] != ["chunked"]:
            raise ValueError("transfer encoding is not supported")

    def _handle_client_error(self, error: Exception):
        """Return the error response to a request that is not valid HTTP."""
        if isinstance(error, OSError):
            # The connection ended before the end of the headers.
            return None
        return _error_response(_malformed_error("request is not valid HTTP"))

    def _send_error_response_if_possible(self, status: int) -> None:
        """Send an error object unless the response has started."""
        self.close_connection = True
        if self.headers_sent:
            return
        error = _malformed_error("request is not valid HTTP")
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            error = RelayError(
                "internal error", step="serve", peer="node", outcome=Outcome.UNKNOWN
            )
        self.headers_sent = True
        self._sendall(_error_response(error)[1])


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _malformed_error(message: str) -> RequestError:
    # The unparsed headers may hold the idempotency key of a request that has run.
    return RequestError(
        message, step="read_headers", peer="caller", outcome=Outcome.UNKNOWN
    )


def _error_response(error: RelayError) -> tuple[str, bytes]:
    """Return the status and a complete response that closes the connection."""
    body = error_body(error)
    status = http.HTTPStatus(error.status)
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return str(status.value), head.encode() + body
