"""Datagrams between nodes about prompt segments that crash engines."""

from __future__ import annotations

import msgspec


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of ``Crash``, with the incarnation of the engine."""

    server: str
    started: int
    age_ms: int
    isolated: bool
    refuted: bool
    reporter: str


class TrialRecord(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of ``Trial``."""

    number: int
    holder: str
    age_ms: int


class SegmentRecord(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of ``SegmentEvidence``."""

    segment: int
    vouched: bool
    crashes: list[CrashRecord]
    trial: TrialRecord | None = None
    whole: bool = False


class PoisonMessage(msgspec.Struct, array_like=True, frozen=True):
    """Evidence of the node ``sender``.

    ``digest`` is the checksum of all its evidence.  With ``asks``, a receiver that
    knows something else replies with all that it knows.
    """

    sender: str
    digest: int
    records: list[SegmentRecord]
    asks: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PoisonMessage)


def encode(message: PoisonMessage) -> bytes:
    """Return the datagram of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> PoisonMessage:
    """Return the message in a datagram; raises ``msgspec.MsgspecError``."""
    return _DECODER.decode(data)
