"""Broadcasts the in-flight work of this node to its group over UDP.

Each datagram carries the node's complete status: its in-flight work per engine, its
use of the retry budget and the table versions it has read from the store.  It is
sent shortly after a change and at least once per heartbeat interval.  A lost
datagram is superseded by the next one, and there are no connections to stall.
"""

from __future__ import annotations

import math
import random
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import gevent
import gevent.event
import msgspec

from ..backends.restriction import Incarnation
from ..background import run_step
from ..decoding import DECODE_ERRORS
from ..events import Event
from ..logs import log
from ..retry import RetryUsage
from ..routing import EngineWork
from ..store.revision import Revision
from .freshness import TableReport
from .groups import Group, divide_into_groups
from .permit_messages import LimitRecord

# Changes within this time are coalesced into one datagram.
BATCH_S = 0.02
HEARTBEAT_INTERVAL_S = 0.25
# Unchanged work is sent again after this time.
WORK_RESEND_S = 1.0
# The work of a node that has been silent for this long is discarded.
WORK_TIMEOUT_S = 2.0
# A node that has been silent for this long does not count in the rank.
LIVE_TIMEOUT_S = 1.0
# A node that has been silent for this long is absent: the shared retry budget does not
# wait for its usage, and until it leaves the node list it is sent to only every
# ABSENT_SEND_INTERVAL_S.
ABSENT_TIMEOUT_S = 10.0
ABSENT_SEND_INTERVAL_S = 2.0
MAX_DATAGRAM_BYTES = 60_000
# Limits on the leaving servers and on the rate limits in one datagram.
MAX_LEAVING_SERVERS = 100
MAX_LIMITS = 200


class _WorkRecord(msgspec.Struct, array_like=True):
    """Wire form of ``EngineWork``; ``pause_ms`` is ``max_gap_s``, 0 if unlimited."""

    backend: str
    decodes: int
    prefills: int
    reading_ms: int
    tokens: int
    pause_ms: int = 0

    @classmethod
    def from_work(cls, backend: str, work: EngineWork) -> _WorkRecord:
        """Return the wire form of ``work``."""
        pause_ms = 0 if math.isinf(work.max_gap_s) else int(work.max_gap_s * 1000)
        reading_ms = int(work.reading_s * 1000)
        return cls(
            backend, work.decodes, work.prefills, reading_ms, work.tokens, pause_ms
        )

    def work(self) -> EngineWork:
        """Return the decoded ``EngineWork``."""
        return EngineWork(
            self.decodes,
            self.prefills,
            self.reading_ms / 1000,
            self.tokens,
            self.pause_ms / 1000 if self.pause_ms else math.inf,
        )


class _RetryRecord(msgspec.Struct, array_like=True):
    """Wire form of ``RetryUsage`` for one service."""

    service: str
    requests: int
    retries: int


class _TableRecord(msgspec.Struct, array_like=True):
    """Wire form of ``TableReport`` for one table."""

    table: str
    version: int
    digest: int
    age_ms: int
    era: int = 0


class _StatusMessage(msgspec.Struct, array_like=True):
    """Status of the sender.

    ``instance_id`` is a random id of the process instance and ``sequence`` the sequence
    number of the message.  ``work`` is None if it is unchanged since the previous one.
    """

    sender: str
    data_centre: str
    instance_id: int
    sequence: int
    leaving: bool
    sent_ms: int
    work: list[_WorkRecord] | None
    retries: list[_RetryRecord]
    table_reports: list[_TableRecord]
    notifications: list[bytes] = []
    # Incarnations of servers that have announced to the sender that they are leaving.
    leaving_servers: list[tuple[str, int]] = []
    limits: list[LimitRecord] = []


class _Envelope(msgspec.Struct, array_like=True):
    """A message that echoes the receiver's last instance id and timestamp."""

    echo_instance_id: int
    echo_ms: int
    message: msgspec.Raw


@dataclass(frozen=True)
class NodeStatus:
    """Status that a node broadcasts.

    ``work`` is keyed by server id and None if unchanged, ``retries`` by service
    and ``table_reports`` by table.  ``leaving`` lists the servers that have
    announced to the node that they are leaving, ``limits`` the rate limits that
    servers name.
    """

    work: Mapping[str, EngineWork] | None = field(default_factory=dict)
    retries: Mapping[str, RetryUsage] = field(default_factory=dict)
    table_reports: Mapping[str, TableReport] = field(default_factory=dict)
    leaving: tuple[Incarnation, ...] = ()
    limits: tuple[LimitRecord, ...] = ()


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_MESSAGE_DECODER = msgspec.msgpack.Decoder(_StatusMessage)
_ENCODER = msgspec.msgpack.Encoder()


@dataclass(frozen=True)
class NodeAddress:
    """Address at which a node receives datagrams, and its data centre."""

    address: tuple[str, int]
    data_centre: str


class _Peer:
    """State of another node, which was added at ``added_s``."""

    def __init__(self, address: tuple[str, int], data_centre: str, added_s: float):
        self.address = address
        self.data_centre = data_centre
        self.added_s = added_s
        self.sent_s = 0.0
        self.instance_id = 0
        self.sequence = -1
        self.sent_ms = 0
        self.heard_s: float | None = None

    def is_absent(self, now_s: float) -> bool:
        """Return whether the node counts as absent, after ``ABSENT_TIMEOUT_S``."""
        heard_s = self.added_s if self.heard_s is None else self.heard_s
        return now_s - heard_s > ABSENT_TIMEOUT_S


class BroadcastListener:
    """Callbacks for the status of other nodes; by default they do nothing."""

    def on_status(self, peer: str, status: NodeStatus, echoed_s: float | None) -> None:
        """Handle the status of a peer.

        ``echoed_s`` is the time on this node's age clock when it sent the last
        message that the peer had received; None if that is not known.
        """

    def on_notification(self, notification: bytes) -> None:
        """Handle a change notification that a peer has published."""

    def on_peer_started(self, peer: str) -> None:
        """Handle the first message of a peer's process."""

    def on_peer_gone(self, peer: str) -> None:
        """Discard the work of a peer that has left or gone silent."""

    def on_groups(self, groups: tuple[Group, ...]) -> None:
        """Handle a new division of the nodes into groups."""

    def on_present_count(self, nodes: int) -> None:
        """Handle a new number of present nodes in the group, including this one."""


class WorkBroadcaster:
    """Broadcasts the status of this node to its group and receives that of its peers.

    ``read_status`` returns the status to send; ``age_clock`` also runs while the VM is
    suspended.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        address: tuple[str, int],
        read_status: Callable[[], NodeStatus],
        listener: BroadcastListener,
        rng: random.Random,
        clock: Callable[[], float],
        age_clock: Callable[[], float],
    ):
        self.malformed = 0
        self._name = name
        self._data_centre = data_centre
        self._address = address
        self._read_status = read_status
        self._listener = listener
        self._clock = clock
        self._age_clock = age_clock
        self._instance_id = rng.getrandbits(62)
        self._sequence = 0
        self._leaving = False
        self._peers: dict[str, _Peer] = {}
        self._group = divide_into_groups({name: data_centre})[0]
        self._notifications: list[bytes] = []
        self._work_sent_s = -math.inf
        self._present = 1
        self._sock: socket.socket | None = None
        self._send_due = gevent.event.Event()
        self._send_now = gevent.event.Event()
        self._tasks: list[gevent.Greenlet] = []

    @property
    def rank(self) -> int:
        """Return the position of this node among the live nodes of its group.

        The node with rank 0 is the leader of the group.
        """
        now_s = self._clock()
        rank = 0
        for name in self._group.nodes:
            if name == self._name:
                return rank
            heard_s = self._peers[name].heard_s if name in self._peers else None
            rank += heard_s is not None and now_s - heard_s < LIVE_TIMEOUT_S
        return rank

    @property
    def presence_ratio(self) -> float:
        """Return the part of the group's present nodes that are heard from.

        This node counts as heard from.
        """
        now_s = self._clock()
        members = [self._peers[n] for n in self._group.nodes if n in self._peers]
        present = [peer for peer in members if not peer.is_absent(now_s)]
        heard = sum(
            peer.heard_s is not None and now_s - peer.heard_s < LIVE_TIMEOUT_S
            for peer in present
        )
        return (1 + heard) / (1 + len(present))

    def find_address(self, name: str) -> tuple[str, int] | None:
        """Return the address of a node, None if it is unknown."""
        peer = self._peers.get(name)
        return None if peer is None else peer.address

    def start(self) -> None:
        """Start sending and receiving."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self._tasks = [gevent.spawn(self._receive), gevent.spawn(self._send)]

    def close(self) -> None:
        """Announce that this node is leaving and stop."""
        self._leaving = True
        if self._sock is not None:
            run_step(self._send_all)
        gevent.killall(self._tasks)
        if self._sock is not None:
            self._sock.close()

    def add_peer(self, name: str, address: tuple[str, int], data_centre: str) -> None:
        """Add a node and divide the nodes into groups again."""
        self.set_node_list({name: NodeAddress(address, data_centre)}, False)

    def set_node_list(
        self, listed: Mapping[str, NodeAddress], complete: bool = True
    ) -> None:
        """Add the listed nodes and divide the nodes into groups again.

        If the list is ``complete``, absent nodes that are not on it are removed.
        """
        now_s = self._clock()
        previous_names = set(self._peers)
        for name, node in listed.items():
            if name != self._name and name not in previous_names:
                peer = _Peer(node.address, node.data_centre, now_s)
                self._peers[name] = peer
        gone = [
            name
            for name in previous_names - set(listed)
            if complete and self._peers[name].is_absent(now_s)
        ]
        for name in gone:
            del self._peers[name]
            self._listener.on_peer_gone(name)
        if set(self._peers) != previous_names:
            self._update_groups()

    def notify_change(self, urgent: bool = False) -> None:
        """Schedule sending of the changed work, immediately if ``urgent``."""
        self._work_sent_s = -math.inf
        self._send_due.set()
        if urgent:
            self._send_now.set()

    def publish(self, notification: bytes) -> None:
        """Send a notification to the group immediately and once, without a resend."""
        self._notifications.append(notification)
        self._send_due.set()
        self._send_now.set()

    def _update_groups(self) -> None:
        data_centres = {name: peer.data_centre for name, peer in self._peers.items()}
        groups = divide_into_groups({**data_centres, self._name: self._data_centre})
        self._group = next(group for group in groups if self._name in group.nodes)
        self._present = len(self._group.nodes)
        self._listener.on_groups(groups)
        self._send_due.set()

    def _send(self) -> None:
        while True:
            self._send_due.wait(HEARTBEAT_INTERVAL_S)
            self._send_now.wait(BATCH_S)
            self._send_due.clear()
            self._send_now.clear()
            run_step(self._send_all)
            run_step(self._check_peers)

    def _send_all(self) -> None:
        members = [self._peers[n] for n in self._group.nodes if n in self._peers]
        if not members:
            return
        data = _ENCODER.encode(self._make_message())
        now_s = self._clock()
        for peer in members:
            if peer.is_absent(now_s) and now_s - peer.sent_s < ABSENT_SEND_INTERVAL_S:
                continue
            peer.sent_s = now_s
            envelope = _Envelope(peer.instance_id, peer.sent_ms, msgspec.Raw(data))
            self._send_to(_ENCODER.encode(envelope), peer.address)

    def _make_message(self) -> _StatusMessage:
        status = self._read_status()
        now_s = self._clock()
        work = None
        if now_s - self._work_sent_s >= WORK_RESEND_S:
            self._work_sent_s = now_s
            work = [
                _WorkRecord.from_work(name, each) for name, each in status.work.items()
            ]
        self._sequence += 1
        notifications, self._notifications = self._notifications, []
        return _StatusMessage(
            self._name,
            self._data_centre,
            self._instance_id,
            self._sequence,
            self._leaving,
            int(self._age_clock() * 1000),
            work,
            [_RetryRecord(n, u.requests, u.retries) for n, u in status.retries.items()],
            [
                _TableRecord(
                    name,
                    report.revision.number,
                    report.digest,
                    math.ceil(report.age_s * 1000),
                    report.revision.era,
                )
                for name, report in status.table_reports.items()
            ],
            notifications,
            list(status.leaving[:MAX_LEAVING_SERVERS]),
            list(status.limits[:MAX_LIMITS]),
        )

    def _send_to(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._sock.sendto(data, address)
        except OSError:
            # The next datagram tries an unreachable address again.
            return

    def _receive(self) -> None:
        while True:
            try:
                data, address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log(Event.TASK_FAILED, task="board", error=error)
                gevent.sleep(BATCH_S)
                continue
            try:
                envelope = _ENVELOPE_DECODER.decode(data)
                message = _MESSAGE_DECODER.decode(envelope.message)
            except DECODE_ERRORS:
                self.malformed += 1
                continue
            echoed_s = None
            if envelope.echo_instance_id == self._instance_id:
                # A timestamp of an earlier instance may be from another clock.
                echoed_s = envelope.echo_ms / 1000
            run_step(self._on_message, message, address, echoed_s)

    def _on_message(
        self, message: _StatusMessage, address: tuple[str, int], echoed_s: float | None
    ) -> None:
        if message.sender == self._name:
            return
        peer = self._peers.get(message.sender)
        if peer is None:
            if message.leaving:
                return
            peer = _Peer(address, message.data_centre, self._clock())
            self._peers[message.sender] = peer
            self._update_groups()
        if (
            message.instance_id == peer.instance_id
            and message.sequence <= peer.sequence
        ):
            return
        peer.address = address
        if message.instance_id != peer.instance_id:
            self._listener.on_peer_started(message.sender)
        peer.instance_id, peer.sequence = message.instance_id, message.sequence
        peer.sent_ms = message.sent_ms
        peer.heard_s = self._clock()
        if message.leaving:
            del self._peers[message.sender]
            self._listener.on_peer_gone(message.sender)
            self._update_groups()
            return
        self._deliver(message, echoed_s)

    def _deliver(self, message: _StatusMessage, echoed_s: float | None) -> None:
        for notification in message.notifications:
            self._listener.on_notification(notification)
        work = None
        if message.work is not None:
            work = {each.backend: each.work() for each in message.work}
        status = NodeStatus(
            work,
            {r.service: RetryUsage(r.requests, r.retries) for r in message.retries},
            {
                w.table: TableReport(
                    Revision(w.era, w.version), w.digest, w.age_ms / 1000
                )
                for w in message.table_reports
            },
            tuple(Incarnation(*each) for each in message.leaving_servers),
            tuple(message.limits),
        )
        self._listener.on_status(message.sender, status, echoed_s)

    def _check_peers(self) -> None:
        now_s = self._clock()
        for name, peer in self._peers.items():
            if peer.heard_s is not None and now_s - peer.heard_s > WORK_TIMEOUT_S:
                self._listener.on_peer_gone(name)
        members = (self._peers.get(name) for name in self._group.nodes)
        present = 1 + sum(
            peer is not None and not peer.is_absent(now_s) for peer in members
        )
        if present != self._present:
            self._present = present
            self._listener.on_present_count(present)
