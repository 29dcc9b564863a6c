"""Exchanges datagrams about permits with other nodes."""

from __future__ import annotations

import socket
from collections.abc import Callable

import gevent
import gevent.event

from ..background import run_step
from ..decoding import DECODE_ERRORS
from ..events import Event
from ..logs import log
from .permit_messages import Message, decode, encode
from .permits import Permits

MAX_DATAGRAM_BYTES = 60_000
RECEIVE_RETRY_S = 0.02
# Interval of ``Permits.poll`` while this node waits for something, and while a server
# is limited.
POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.25


class PermitExchange:
    """Sends and receives the datagrams of a node's permits.

    ``find_address`` returns the address of a node for datagrams, None if the node is
    unknown.
    """

    def __init__(
        self,
        address: tuple[str, int],
        find_address: Callable[[str], tuple[str, int] | None],
        clock: Callable[[], float],
    ):
        self.malformed = 0
        self.sent = 0
        self._address = address
        self._find_address = find_address
        self._clock = clock
        self._permits: Permits | None = None
        # Address of the node whose message is handled, which may not be listed yet.
        self._source: tuple[str, int] = ("", 0)
        self._sender = ""
        self._sock: socket.socket | None = None
        self._due = gevent.event.Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def source(self) -> tuple[str, int]:
        """Return the address that the message being handled came from."""
        return self._source

    def start(self, permits: Permits) -> None:
        """Start sending and receiving for a node's permits."""
        self._permits = permits
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._poll)]

    def close(self) -> None:
        """Stop sending and receiving."""
        gevent.killall(self._tasks)
        if self._sock is not None:
            self._sock.close()

    def wake(self) -> None:
        """Poll the permits at the short interval from now on."""
        self._due.set()

    def send(self, node: str, message: Message) -> None:
        """Send a message to a node; a message to an unknown node is dropped."""
        address = self._find_address(node)
        if address is None and node == self._sender:
            address = self._source
        if address is None or self._sock is None:
            return
        self._due.set()
        self.sent += 1
        try:
            self._sock.sendto(encode(message), address)
        except OSError:
            # A message without a reply is sent again.
            return

    def _poll(self) -> None:
        while True:
            if self._permits.is_active:
                interval_s = POLL_INTERVAL_S
            elif self._permits.any_limited:
                interval_s = IDLE_POLL_INTERVAL_S
            else:
                interval_s = None
            self._due.wait(interval_s)
            self._due.clear()
            run_step(self._permits.poll, self._clock())
            gevent.sleep(POLL_INTERVAL_S)

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log(Event.TASK_FAILED, task="permits", error=error)
                gevent.sleep(RECEIVE_RETRY_S)
                continue
            try:
                message = decode(data)
            except DECODE_ERRORS:
                self.malformed += 1
                continue
            self._source, self._sender = address, message.sender
            run_step(self._permits.receive, message, self._clock())
            self._sender = ""
