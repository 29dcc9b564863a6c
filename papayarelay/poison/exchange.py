"""Spreads evidence about harmful requests to all nodes by datagrams.

Changes go to all nodes of the sender's group and to a few of each other group, which
pass them on in theirs.  While there is any evidence, each node also compares it with
a random other one from time to time, so that lost datagrams, pauses, partitions and
restarts leave no node behind (A. Demers et al., Epidemic Algorithms for Replicated
Database Maintenance, 1987).
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Iterable

import gevent
import gevent.event

from ..background import run_step
from ..decoding import DECODE_ERRORS
from ..events import Event
from ..logs import log
from ..nodes.groups import Group
from .guard import PoisonGuard
from .messages import PoisonMessage, SegmentRecord, decode, encode

MAX_DATAGRAM_BYTES = 60_000
# Limit on the segments in one datagram of changes.
MAX_RECORDS = 50
RECEIVE_RETRY_S = 0.02
# Interval of ``EvidenceSpread.poll`` while a message is due soon.
POLL_INTERVAL_S = 0.02
COMPARE_INTERVAL_S = 0.5
# A change is sent to this many nodes of each other group.
OTHER_GROUP_NODES = 2


class EvidenceSpread:
    """Decides which node gets which evidence; ``send`` sends a message to a node."""

    def __init__(
        self,
        own: str,
        guard: PoisonGuard,
        rng: random.Random,
        send: Callable[[str, PoisonMessage], None],
    ):
        self._own = own
        self._guard = guard
        self._rng = rng
        self._send = send
        self._group: tuple[str, ...] = ()
        self._other_groups: tuple[Group, ...] = ()
        self._compare_due_s = 0.0

    @property
    def poll_interval_s(self) -> float | None:
        """Return when to poll next, in seconds; None if there is no evidence."""
        if not self._guard.is_active:
            return None
        return POLL_INTERVAL_S if self._guard.awaits_poll else COMPARE_INTERVAL_S

    def set_groups(self, own: Group, groups: Iterable[Group]) -> None:
        """Set the groups of nodes."""
        self._group = tuple(name for name in own.nodes if name != self._own)
        self._other_groups = tuple(group for group in groups if group != own)

    def publish(self, records: list[SegmentRecord]) -> None:
        """Send changed evidence to all nodes."""
        nodes = list(self._group)
        for group in self._other_groups:
            count = min(OTHER_GROUP_NODES, len(group.nodes))
            nodes += self._rng.sample(group.nodes, count)
        self._send_records(nodes, records)

    def greet(self, node: str, now_s: float) -> None:
        """Send all evidence to a new process."""
        if self._guard.is_active:
            self._send(node, self._guard.message(now_s, asks=True, with_records=True))

    def receive(self, message: PoisonMessage, now_s: float) -> None:
        """Handle a message of another node."""
        guard = self._guard
        changed = guard.learn(message.records, now_s)
        if changed and message.sender not in self._group:
            records = guard.evidence.records(now_s, changed)
            self._send_records(self._group, records)
        if message.asks and guard.evidence.digest != message.digest:
            # Without records, the reply asks for those of the sender.
            reply = guard.message(now_s, asks=not message.records, with_records=True)
            self._send(message.sender, reply)

    def poll(self, now_s: float) -> None:
        """Publish what is due, and compare the evidence with another node's."""
        guard = self._guard
        guard.poll(now_s)
        if not guard.is_active or now_s < self._compare_due_s:
            return
        self._compare_due_s = now_s + COMPARE_INTERVAL_S
        nodes = [n for group in self._other_groups for n in group.nodes]
        nodes += self._group
        if nodes:
            node = self._rng.choice(nodes)
            self._send(node, guard.message(now_s, asks=True, with_records=False))

    def _send_records(self, nodes: Iterable[str], records: list[SegmentRecord]) -> None:
        for first in range(0, len(records), MAX_RECORDS):
            part = records[first : first + MAX_RECORDS]
            message = PoisonMessage(self._own, self._guard.evidence.digest, part)
            for node in nodes:
                self._send(node, message)


class EvidenceExchange:
    """Sends and receives the datagrams of a node's evidence.

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
        self._spread: EvidenceSpread | None = None
        # Node whose message is handled; it may not be listed yet.
        self._sender = ""
        self._source: tuple[str, int] = ("", 0)
        self._sock: socket.socket | None = None
        self._due = gevent.event.Event()
        self._tasks: list[gevent.Greenlet] = []

    def start(self, spread: EvidenceSpread) -> None:
        """Start sending and receiving."""
        self._spread = spread
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._poll)]

    def close(self) -> None:
        """Stop sending and receiving."""
        gevent.killall(self._tasks)
        if self._sock is not None:
            self._sock.close()

    def send(self, node: str, message: PoisonMessage) -> None:
        """Send a message to a node; a message to an unknown node is dropped."""
        address = self._source if node == self._sender else self._find_address(node)
        if address is None or self._sock is None:
            return
        self.sent += 1
        try:
            self._sock.sendto(encode(message), address)
        except OSError:
            # Another comparison follows.
            return

    def wake(self) -> None:
        """Poll now, and from now on while there is any evidence."""
        self._due.set()

    def _poll(self) -> None:
        while True:
            self._due.wait(self._spread.poll_interval_s)
            self._due.clear()
            run_step(self._spread.poll, self._clock())

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log(Event.TASK_FAILED, task="evidence", error=error)
                gevent.sleep(RECEIVE_RETRY_S)
                continue
            try:
                message = decode(data)
            except DECODE_ERRORS:
                self.malformed += 1
                continue
            self._source, self._sender = address, message.sender
            run_step(self._spread.receive, message, self._clock())
            self._sender = ""
