"""The HTTP server for the caller API."""

from __future__ import annotations

from collections.abc import Callable

from gevent import pywsgi
from gevent.pool import Pool

from .handler import CallerHandler, ConnectionLimits

BACKLOG = 1024


class _Server(pywsgi.WSGIServer):
    """WSGI server that carries the timeouts its connection handlers apply."""

    def __init__(self, *arguments, limits: ConnectionLimits, **options):
        super().__init__(*arguments, **options)
        self.limits = limits


class CallerServer:
    """Serves a WSGI application on one address with a limit on connections."""

    def __init__(
        self,
        address: str,
        app: Callable,
        connection_limit: int,
        limits: ConnectionLimits,
    ):
        host, _, port = address.rpartition(":")
        self._server = _Server(
            (host, int(port)),
            app,
            handler_class=CallerHandler,
            backlog=BACKLOG,
            spawn=Pool(connection_limit),
            log=None,
            error_log=None,
            limits=limits,
        )

    @property
    def address(self) -> str:
        """Return the address in use as ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def start(self) -> None:
        """Begin to listen; raises ``OSError`` when the address is taken."""
        self._server.start()

    def stop_listening(self) -> None:
        """Close the listening socket; open connections continue."""
        self._server.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)
