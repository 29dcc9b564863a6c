"""HTTP connection handling with time limits, on gevent's pywsgi."""

from __future__ import annotations

import socket

import gevent
from gevent import pywsgi

KEEP_ALIVE_IDLE_S = 75.0
HEADER_LIMIT_S = 10.0
# A caller that stops reading must not hold an engine's stream for ever.
SEND_LIMIT_S = 30.0

_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    b"Content-Type: application/json\r\nContent-Length: 166\r\n\r\n"
    b'{"error":{"message":"request headers arrived too slowly","type":'
    b'"request_timeout","code":"request_timeout","step":"read_headers","peer":'
    b'"caller","outcome":"not_run"}}'
)


class CallerHandler(pywsgi.WSGIHandler):
    """Serves one connection; adds time limits for idle and slow callers."""

    def handle(self) -> None:
        """Serve the requests of one connection."""
        self.socket.settimeout(SEND_LIMIT_S)
        # Without this, a token waits up to 40 ms for the caller's delayed
        # acknowledgement of the one before.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Wait for the next request; an idle connection is closed."""
        with gevent.Timeout(KEEP_ALIVE_IDLE_S, False):
            return super().read_requestline()
        return ""

    def handle_one_request(self):
        """Serve one request; see ``pywsgi.WSGIHandler.handle_one_request``."""
        try:
            return super().handle_one_request()
        except gevent.Timeout:
            return ("408", _TIMEOUT_RESPONSE)

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers within their time limit."""
        with gevent.Timeout(HEADER_LIMIT_S):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict:
        """Return the WSGI environment with the connection's socket."""
        environ = super().get_environ()
        environ["papayarelay.socket"] = self.socket
        return environ

    def log_request(self) -> None:
        """Leave request logging to the application."""
