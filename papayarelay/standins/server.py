"""HTTP server base of the simulated backends, with fault injection."""

from __future__ import annotations

import errno
import socket
import uuid
from collections.abc import Callable

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

SOCKET_KEY = "papayarelay.socket"
ALL_REQUESTS = -1
CLOSE_POLL_INTERVAL_S = 0.02
# tcpi_state of an open connection, the first byte of the kernel's tcp_info.
TCP_ESTABLISHED = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that every simulated server supports.

    A counted fault hits that many further requests; ALL_REQUESTS (-1) hits all of them.
    ``delay_s`` delays each request before it is executed.  ``refuse`` responds with
    503 and ``hang`` never responds; neither executes the request.  One-shot faults:
    ``refuse_s`` closes the listening socket for that many seconds; ``freeze``
    permanently stalls the open connections, except the one that sets it, while new
    ones work.
    """

    delay_s: float = 0.0
    refuse: int = 0
    hang: int = 0
    refuse_s: float = 0.0
    freeze: bool = False

    def consume(self, fault: str) -> bool:
        """Return whether a counted fault hits this request, and decrement its count."""
        left = getattr(self, fault)
        if left > 0:
            setattr(self, fault, left - 1)
        return left != 0


class BrokenConnectionError(ConnectionError):
    """Aborts a request whose connection is broken; the server does not log it."""

    def __init__(self):
        super().__init__(errno.ECONNRESET, "connection broken by an injected fault")


class _Server(WSGIServer):
    """WSGI server that tracks its open and its frozen connections."""

    def __init__(self, *arguments, connections: set, frozen: set, **options):
        super().__init__(*arguments, **options)
        self.connections = connections
        self.frozen = frozen


class _Handler(WSGIHandler):
    """Exposes the connection's socket in the WSGI environment for fault injection."""

    def handle(self):
        self.server.connections.add(self.socket)
        connection = self.socket
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            super().handle()
        finally:
            self.server.connections.discard(connection)
            self.server.frozen.discard(connection)

    def get_environ(self):
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class StandIn:
    """Base of the simulated servers: routes, faults and a listening socket.

    Subclasses extend ``routes``, which maps method and path to a handler taking the
    WSGI environment and start_response, and may override ``serve_unrouted``.
    """

    def __init__(self, listen: str = "127.0.0.1:0", faults: Faults | None = None):
        host, _, port = listen.rpartition(":")
        self.boot_id = uuid.uuid4().hex
        self.faults = faults or Faults()
        self.routes: dict[tuple[str, str], Callable] = {
            ("POST", "/faults"): self._serve_faults,
            ("GET", "/faults"): self._serve_faults,
        }
        self._listen = (host, int(port))
        self._tasks = Pool()
        self._connections: set = set()
        self._frozen: set = set()
        self._server: _Server | None = None
        self._relisten_timer: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; the port is final once the server has started."""
        return f"{self._listen[0]}:{self._listen[1]}"

    def start(self) -> None:
        """Listen and serve in the background; each start gets a new boot id."""
        self.boot_id = uuid.uuid4().hex
        self._start_listening()

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self._relisten_timer is not None:
            self._relisten_timer.kill()
            self._relisten_timer = None
        if self._server is not None:
            self._server.close()
            self._server = None
        self._tasks.kill()
        self._frozen.clear()

    def application(self, environ, start_response):
        """Handle one request (WSGI application)."""
        self.block_if_frozen(environ)
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        serve = self.routes.get(route, self.serve_unrouted)
        try:
            return serve(environ, start_response)
        except (msgspec.MsgspecError, ValueError, KeyError) as error:
            return error_response(start_response, "400 Bad Request", repr(error))

    def serve_unrouted(self, environ, start_response):
        """Handle a request that matches no route."""
        return error_response(start_response, "404 Not Found", "no such path")

    def set_faults(self, **fields) -> None:
        """Update the named faults; raises msgspec.ValidationError for unknown names."""
        known = msgspec.to_builtins(self.faults)
        self.faults = msgspec.convert({**known, **fields}, type(self.faults))
        self.apply_faults()

    def apply_faults(self) -> None:
        """Run the one-shot faults and clear them."""
        if self.faults.freeze:
            self.faults.freeze = False
            self.freeze_connections()
        if self.faults.refuse_s:
            duration_s, self.faults.refuse_s = self.faults.refuse_s, 0.0
            self.refuse_connections(duration_s)

    def refuse_connections(self, duration_s: float) -> None:
        """Close the listening socket for that long; open connections continue."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._relisten_timer = gevent.spawn_later(duration_s, self._start_listening)

    def freeze_connections(self) -> None:
        """Stall the open connections without closing them."""
        self._frozen |= self._connections

    def block_if_frozen(self, environ) -> None:
        """Block until the peer closes if the connection is frozen."""
        if environ[SOCKET_KEY] in self._frozen:
            wait_until_closed(environ)

    def cut_connections(self) -> None:
        """Shut down all open connections, as a process crash does."""
        for connection in list(self._connections):
            _shut_down(connection)

    def inject_faults(self, environ, start_response):
        """Apply the common faults to a request; return a rejection or None."""
        if self.faults.consume("hang"):
            wait_until_closed(environ)
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.faults.consume("refuse"):
            return error_response(start_response, "503 Service Unavailable", "refused")
        return None

    def _start_listening(self) -> None:
        self._server = _Server(
            self._listen,
            self.application,
            spawn=self._tasks,
            log=None,
            error_log=None,
            handler_class=_Handler,
            connections=self._connections,
            frozen=self._frozen,
        )
        self._server.start()
        # Keeps the chosen port for when the server listens again.
        self._listen = (self._server.server_host, self._server.server_port)

    def _serve_faults(self, environ, start_response):
        if environ["REQUEST_METHOD"] == "POST":
            self.set_faults(**read_json(environ))
            # The connection that sets the faults stays usable.
            self._frozen.discard(environ[SOCKET_KEY])
        return json_response(start_response, "200 OK", self.faults)


def _shut_down(connection) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def cut_connection(environ) -> None:
    """Shut down the connection of the request.  Raises BrokenConnectionError."""
    _shut_down(environ[SOCKET_KEY])
    raise BrokenConnectionError


def is_closed(connection) -> bool:
    """Return whether the peer closed a connection that is readable."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def wait_until_closed(environ) -> None:
    """Block until the peer closes.  Raises BrokenConnectionError."""
    connection = environ[SOCKET_KEY]
    # Polls the TCP state instead of reading: reading would drain the receive buffer,
    # which must fill up to block the sender on a frozen connection.
    while _is_established(connection):
        gevent.sleep(CLOSE_POLL_INTERVAL_S)
    raise BrokenConnectionError


def _is_established(connection) -> bool:
    """Return whether neither side has closed the TCP connection."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == TCP_ESTABLISHED


def read_json(environ):
    """Return the decoded JSON body; an empty body is an empty object."""
    body = environ["wsgi.input"].read()
    return msgspec.json.decode(body) if body else {}


def json_response(start_response, status: str, body, fields=()) -> list[bytes]:
    """Send a JSON response; ``fields`` are additional header fields."""
    data = msgspec.json.encode(body)
    length = str(len(data))
    headers = [("Content-Type", "application/json"), ("Content-Length", length)]
    start_response(status, [*headers, *fields])
    return [data]


def error_response(start_response, status: str, message: str, code: str = "error"):
    """Send an error response in the format of the OpenAI API."""
    error = {"error": {"message": message, "type": "backend", "code": code}}
    return json_response(start_response, status, error)
