"""A test server whose scripts write raw response bytes."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import h11
from gevent.server import StreamServer

RECEIVE_BYTES = 65536


@dataclass
class ReceivedRequest:
    """A received request and its connection."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    sock: socket.socket
    connection: int
    disconnected: gevent.event.Event = field(default_factory=gevent.event.Event)

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


Script = Callable[[ReceivedRequest], bool | None]


class RawServer:
    """Parses requests with h11 and lets ``script`` write the responses.

    A script returns False to close the connection.  ``requests`` records all
    requests.
    """

    def __init__(self, script: Script, port: int = 0):
        self.script = script
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", port), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address) -> None:
        self.connections += 1
        self.sockets.add(sock)
        try:
            self._serve_all(sock, self.connections)
        finally:
            self.sockets.discard(sock)
            sock.close()

    def _serve_all(self, sock, number: int) -> None:
        protocol = h11.Connection(h11.SERVER)
        while (request := self._read(protocol, sock, number)) is not None:
            self.requests.append(request)
            try:
                if self.script(request) is False:
                    break
            except OSError:
                # The node has closed the connection.
                break
            # The response bypassed h11, so the next request needs a new parser.
            protocol = self._next_parser(protocol)

    @staticmethod
    def _next_parser(protocol):
        parser = h11.Connection(h11.SERVER)
        data, _ = protocol.trailing_data
        if data:
            parser.receive_data(data)
        return parser

    @staticmethod
    def _read(protocol, sock, number) -> ReceivedRequest | None:
        head, body = None, b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = sock.recv(RECEIVE_BYTES)
                except OSError:
                    return None
                if not data:
                    return None
                protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return ReceivedRequest(
                    head.method,
                    head.target,
                    list(head.headers.raw_items()),
                    body,
                    sock,
                    number,
                )
            else:
                return None


def reset(sock: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def wait_until_closed(sock: socket.socket, limit_s: float) -> bool:
    """Return whether the peer closes the connection within the time limit."""
    with gevent.Timeout(limit_s, False):
        try:
            return sock.recv(1) == b""
        except OSError:
            return True
    return False
