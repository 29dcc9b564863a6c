"""Datagrams between nodes about permits to send requests to limited servers."""

from __future__ import annotations

import msgspec

from ..backends.restriction import Incarnation
from ..backends.server_limit import ServerLimit


class LimitRecord(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of a ``ServerLimit`` and the server incarnation that names it."""

    server: str
    started: int
    per_s: float
    version: int

    @classmethod
    def create(cls, incarnation: Incarnation, limit: ServerLimit) -> LimitRecord:
        """Return the wire form of a limit."""
        return cls(incarnation.id, incarnation.started, limit.per_s, limit.version)

    @property
    def incarnation(self) -> Incarnation:
        """Return the server incarnation."""
        return Incarnation(self.server, self.started)

    @property
    def limit(self) -> ServerLimit:
        """Return the limit."""
        return ServerLimit(self.per_s, self.version)


class _Message(msgspec.Struct, array_like=True, tag=True, frozen=True):
    """A message of the node ``sender``."""

    sender: str


class PermitRequest(_Message):
    """Asks for ``count`` permits that start within ``max_wait_ms``.

    ``instance_id`` and ``number`` identify the request; a repeat gets the same reply.
    A node that does not issue the server's permits forwards the request unchanged.
    ``rate_per_s`` is the rate limit that the sender applies, which a cold start may
    lower.  ``sent`` counts the requests that it sent without a permit, ``unused`` its
    expired permits, both since its last request that was replied to.  ``unreachable``
    are nodes that did not reply to it.
    """

    instance_id: int
    number: int
    limit: LimitRecord
    rate_per_s: float
    count: int
    max_wait_ms: int
    sent: int
    unused: int
    unreachable: list[str]


class PermitReply(_Message):
    """Reply to a ``PermitRequest``; each permit starts after one of ``delays_ms``.

    ``next_free_ms`` is the time until another permit can start, ``rate_per_s`` the
    rate at which the sender issues permits.  With ``retry_ms``, the sender does not
    know yet whether it issues them.
    """

    number: int
    limit: LimitRecord
    delays_ms: list[int] = []
    next_free_ms: int = 0
    rate_per_s: float = 0.0
    retry_ms: int = 0


class HandoverRequest(_Message):
    """Tells a node that the sender issues the permits of a server from now on."""

    limit: LimitRecord
    data_centre: str


class HandoverReply(_Message):
    """Reply to a ``HandoverRequest``.

    ``backlog_ms`` is the time that the permits issued so far take up at the limit, or
    None if the node issued none.
    """

    limit: LimitRecord
    backlog_ms: int | None


class LivenessRequest(_Message):
    """Asks a node whether it is reachable."""


class LivenessReply(_Message):
    """Reply to a ``LivenessRequest``."""


class LimitNews(_Message):
    """Limits that have changed, for one node of each other group."""

    limits: list[LimitRecord]


Message = (
    PermitRequest
    | PermitReply
    | HandoverRequest
    | HandoverReply
    | LivenessRequest
    | LivenessReply
    | LimitNews
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in a datagram; raises ``msgspec.MsgspecError``."""
    return _DECODER.decode(data)
