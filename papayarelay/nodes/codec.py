"""Frames and messages on the links between nodes.

A frame is a header (protocol version, sender, incarnation, sequence number), a
msgpack body and an HMAC-SHA256 tag.  The receiver's name is part of what the
tag covers, so a frame recorded on one link is rejected by every other node.
"""

from __future__ import annotations

import collections
import hmac
import struct
from dataclasses import dataclass, field

import msgspec

PROTOCOL_VERSION = 1
# One TCP segment on an Ethernet path, so that a frame is one packet.
MAX_FRAME_BYTES = 1_400
# RFC 2104 section 5 allows truncation to half of the hash length.
TAG_BYTES = 16
# Lost frames are reported to the sender within this many sequence numbers.
MISSED_WINDOW = 16
MAX_KNOWN_SENDERS = 4_096

_HEADER = struct.Struct(">BQIB")


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Identity of the sender; the first message on a new connection.

    ``state_version`` orders what the sender has announced about itself (see ``view``).
    """

    address: str
    data_centre: str
    region: str
    state: str
    state_version: int


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One disseminated value; ``age_ms`` is the time since its publication."""

    kind: int
    key: str
    version: int
    age_ms: int
    value: bytes


class Batch(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Acknowledgement, heartbeat and records.

    ``ack`` is the highest sequence number received from the addressee in its
    incarnation ``ack_incarnation``; ``missed`` are the lower ones that did not
    arrive.  ``wanted`` is set if the sender has selected the addressee as a
    neighbour.  ``digest`` is a checksum of the sender's active marks.  ``loads`` and
    ``summaries`` are packed records (see ``dissemination``).
    """

    ack_incarnation: int
    ack: int
    missed: list[int]
    wanted: bool
    config_version: int
    digest: int
    records: list[Record] = []
    loads: bytes = b""
    summaries: bytes = b""


class ConfigRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Requests a chunk of the full configuration; version 0 means the newest."""

    version: int
    offset: int


class ConfigChunk(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A chunk of the compressed configuration, which has ``size`` bytes in all."""

    version: int
    offset: int
    size: int
    data: bytes


Message = Hello | Batch | ConfigRequest | ConfigChunk


class FrameError(Exception):
    """A frame was rejected; ``reason`` is the name of its counter."""

    reason = "refused"


class OversizedFrameError(FrameError):
    """The frame is longer than MAX_FRAME_BYTES."""

    reason = "oversized"


class UnsupportedVersionError(FrameError):
    """The frame has an unsupported protocol version."""

    reason = "other_version"


class ForgedFrameError(FrameError):
    """The authentication tag does not match."""

    reason = "forged"


class ReplayedFrameError(FrameError):
    """The sequence number is not above the highest accepted one."""

    reason = "replayed"


class OldIncarnationError(FrameError):
    """The sender has been seen with a higher incarnation."""

    reason = "old_incarnation"

    def __init__(self, message: str, sender: str):
        super().__init__(message)
        self.sender = sender


class MalformedFrameError(FrameError):
    """The frame is authentic or short but cannot be decoded."""

    reason = "malformed"


@dataclass(frozen=True)
class Frame:
    """A decoded frame that has passed all checks."""

    sender: str
    incarnation: int
    sequence: int
    message: Message
    # Whether it is the first frame of the sender or of a new incarnation of it.
    first: bool = False


@dataclass
class ReceivedSequences:
    """Sequence numbers received from one sender."""

    incarnation: int
    highest: int
    missed: list[int] = field(default_factory=list)

    def accept(self, sequence: int) -> None:
        """Record a sequence number above the highest one."""
        start = max(self.highest + 1, sequence - MISSED_WINDOW)
        self.missed.extend(range(start, sequence))
        self.highest = sequence
        floor = sequence - MISSED_WINDOW
        self.missed = [number for number in self.missed if number >= floor]


class Codec:
    """Encodes and decodes the frames of one node; counts rejected frames."""

    def __init__(self, key: bytes, name: str, incarnation: int):
        self._key = key
        self._name = name
        self.incarnation = incarnation
        self.refused: collections.Counter[str] = collections.Counter()
        self._sequences: collections.Counter[str] = collections.Counter()
        self._acknowledged: collections.Counter[str] = collections.Counter()
        self._received: dict[str, ReceivedSequences] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    def received(self, sender: str) -> ReceivedSequences | None:
        """Return the sequence numbers received from a sender."""
        return self._received.get(sender)

    def acknowledge(self, receiver: str, sequence: int) -> bool:
        """Record an acknowledgement; return whether it covers a new frame."""
        if sequence > self._sequences[receiver]:
            return False
        new = sequence > self._acknowledged[receiver]
        self._acknowledged[receiver] = max(sequence, self._acknowledged[receiver])
        return new

    def raise_incarnation(self, incarnation: int) -> None:
        """Switch to a higher incarnation and restart the sequence numbers."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self._sequences.clear()
            self._acknowledged.clear()

    def encode(self, receiver: str, message: Message) -> tuple[int, bytes]:
        """Return the sequence number and the frame for a receiver.

        Raises ``OversizedFrameError``.
        """
        sequence = self._sequences[receiver] + 1
        sender = self._name.encode()
        header = _HEADER.pack(PROTOCOL_VERSION, self.incarnation, sequence, len(sender))
        signed = header + sender + self._encoder.encode(message)
        data = signed + self._tag(receiver, signed)
        if len(data) > MAX_FRAME_BYTES:
            raise OversizedFrameError(
                f"frame of {len(data)} bytes for {receiver} is too long"
            )
        self._sequences[receiver] = sequence
        return sequence, data

    def decode(self, data: bytes) -> Frame:
        """Check and decode a frame.  Raises a subclass of ``FrameError``."""
        try:
            return self._decode(data)
        except FrameError as error:
            self.refused[error.reason] += 1
            raise

    def _decode(self, data: bytes) -> Frame:
        if len(data) > MAX_FRAME_BYTES:
            raise OversizedFrameError(f"frame of {len(data)} bytes is too long")
        if len(data) < _HEADER.size + TAG_BYTES:
            raise MalformedFrameError(f"frame of {len(data)} bytes is too short")
        version, incarnation, sequence, length = _HEADER.unpack_from(data)
        if version != PROTOCOL_VERSION:
            raise UnsupportedVersionError(f"unsupported protocol version {version}")
        signed = data[:-TAG_BYTES]
        if not hmac.compare_digest(data[-TAG_BYTES:], self._tag(self._name, signed)):
            raise ForgedFrameError("authentication tag does not match")
        try:
            body = _HEADER.size + length
            sender = signed[_HEADER.size : body].decode()
            message = self._decoder.decode(signed[body:])
        except (UnicodeDecodeError, msgspec.DecodeError) as error:
            raise MalformedFrameError(str(error)) from error
        first = self._check_sequence(sender, incarnation, sequence)
        return Frame(sender, incarnation, sequence, message, first)

    def _check_sequence(self, sender: str, incarnation: int, sequence: int) -> bool:
        received = self._received.get(sender)
        if received is None or incarnation > received.incarnation:
            if received is None and len(self._received) >= MAX_KNOWN_SENDERS:
                del self._received[next(iter(self._received))]
            self._received[sender] = ReceivedSequences(incarnation, sequence)
            return True
        if incarnation < received.incarnation:
            raise OldIncarnationError(
                f"frame of old incarnation {incarnation} of {sender}", sender
            )
        if sequence <= received.highest:
            raise ReplayedFrameError(
                f"sequence number {sequence} of {sender} was already received"
            )
        received.accept(sequence)
        return False

    def _tag(self, receiver: str, signed: bytes) -> bytes:
        name = receiver.encode()
        covered = bytes((len(name),)) + name + signed
        return hmac.digest(self._key, covered, "sha256")[:TAG_BYTES]
