"""HTTP server that the stand-ins share."""

from __future__ import annotations

import socket
import uuid

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

SOCKET_KEY = "papayarelay.socket"


class _Handler(WSGIHandler):
    """Adds the connection's socket to the environment, so faults can cut it."""

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class StandIn:
    """Base of the stand-ins: serves ``application`` on a loopback address."""

    def __init__(self, listen: str = "127.0.0.1:0"):
        host, _, port = listen.rpartition(":")
        self._listen = (host, int(port))
        self._connections = Pool()
        self._server: WSGIServer | None = None
        self._relisten: gevent.Greenlet | None = None
        self.boot_id = uuid.uuid4().hex

    @property
    def address(self) -> str:
        """Return ``host:port``, known once the stand-in was started."""
        return f"{self._listen[0]}:{self._listen[1]}"

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server = WSGIServer(
            self._listen,
            self.application,
            spawn=self._connections,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )
        self._server.start()
        # A restart listens on the same port.
        self._listen = (self._server.server_host, self._server.server_port)

    def close(self) -> None:
        """Stop listening and cut the open connections."""
        if self._relisten is not None:
            self._relisten.kill()
            self._relisten = None
        if self._server is not None:
            self._server.close()
            self._server = None
        self._connections.kill()

    def refuse_connections(self, duration_s: float) -> None:
        """Close the listening socket for that long; open connections go on."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._relisten = gevent.spawn_later(duration_s, StandIn.start, self)

    def application(self, environ, start_response):
        """Answer one request (WSGI)."""
        raise NotImplementedError


def cut_connection(environ) -> None:
    """Shut the connection of the request down in both directions."""
    try:
        environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def read_json(environ):
    """Return the decoded JSON body; an empty body is an empty object."""
    body = environ["wsgi.input"].read()
    return msgspec.json.decode(body) if body else {}


def answer_json(start_response, status: str, body, headers=()) -> list[bytes]:
    """Send a JSON answer."""
    data = msgspec.json.encode(body)
    fields = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    start_response(status, [*fields, *headers])
    return [data]
