"""Disseminated records and the outbox of each link.

Every record has a key and a version.  A node forwards a record on a link if the
version is new to the node and the peer of the link does not have it yet.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from .codec import Batch, Record

# For a change that encodes to more than this only the version is sent; nodes
# then read the section from the store or from a peer.
MAX_CHANGE_BYTES = 900
MAX_VALUE_BYTES = 1_000
# Limit on the records in one frame, which leaves space for header, tag and acks.
MAX_RECORDS_BYTES = 1_100
RECORD_OVERHEAD_BYTES = 17
# TCP and IP headers with timestamps, the length prefix of nng and the pure
# acknowledgement that the peer returns for a frame.
WIRE_OVERHEAD_BYTES = 52 + 8 + 52
# Sending rate, counting a frame with its TCP acknowledgement.  Each frame is sent by
# one node and received by another, so sending gets half of the budget of 3 KB/s.
SEND_BYTES_PER_S = 1_400.0
BURST_BYTES = 2_800.0
# Urgent records may overdraw the budget by this much.
MAX_DEBT_BYTES = 9_000.0
# Older changes are offered only to a peer that reports a lower version.
RECENT_CHANGE_S = 10.0
# Time to live of records since their publication.  Every node uses the age of the
# record, so all expire it at about the same time.
LOAD_TTL_S = 60.0
LIVE_PEER_TTL_S = 60.0
# The peer view keeps the state; the record need only live until all nodes have it.
OTHER_PEER_TTL_S = 600.0
CLEARED_MARK_TTL_S = 600.0
COLD_MARK_TTL_S = 3_600.0
# A node republishes its own value above a conflicting one with a higher version that
# was published earlier by more than this.
CONFLICT_MARGIN_S = 1.0


class RecordKind(enum.IntEnum):
    """Kinds of records, highest priority first."""

    CONFIG = 0
    DRAIN = 1
    COLD = 2
    PEER = 3
    SUMMARY = 4
    LOAD = 5


URGENT_KINDS = (RecordKind.CONFIG, RecordKind.DRAIN, RecordKind.COLD, RecordKind.PEER)
# Kinds that are sent immediately.
IMMEDIATE_KINDS = (RecordKind.CONFIG, RecordKind.DRAIN, RecordKind.COLD)
# Kinds that are disseminated only within one data centre.
LOCAL_KINDS = (RecordKind.PEER, RecordKind.LOAD)
MARK_KINDS = (RecordKind.DRAIN, RecordKind.COLD)
# First byte of the value of a mark that is no longer in effect.
CLEARED = 0

_PACKED = struct.Struct(">IIBBBBBB")
PACKED_BYTES = _PACKED.size
_AGE_STEP_S = 0.1


@dataclass(frozen=True)
class Entry:
    """One record; ``published_s`` is its publication time on the local clock."""

    kind: RecordKind
    key: str | int
    version: int
    value: bytes
    published_s: float

    @property
    def id(self) -> tuple[RecordKind, str | int]:
        """Key that is unique among all kinds."""
        return (self.kind, self.key)

    @property
    def order(self) -> tuple[int, bytes]:
        """Sort key of the records of one key, of which the greatest wins."""
        return (self.version, self.value)

    @property
    def size_bytes(self) -> int:
        """Encoded size in a frame."""
        if self.kind in URGENT_KINDS:
            return RECORD_OVERHEAD_BYTES + len(self.key) + len(self.value)
        return PACKED_BYTES


class ByteBucket:
    """Token bucket over bytes that urgent traffic may overdraw."""

    def __init__(self, bytes_per_s: float, burst: float, debt: float, now_s: float):
        self._bytes_per_s = bytes_per_s
        self._burst = burst
        self._debt = debt
        self._level = burst
        self._filled_s = now_s

    def level(self, now_s: float) -> float:
        """Return the available bytes; negative when overdrawn."""
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._level = min(self._burst, self._level + elapsed_s * self._bytes_per_s)
        self._filled_s = now_s
        return self._level

    def allows(self, urgent: bool, now_s: float) -> bool:
        """Return whether a frame may be sent."""
        return self.level(now_s) > (-self._debt if urgent else 0.0)

    def wait_s(self, urgent: bool, now_s: float) -> float:
        """Return the time until a frame may be sent."""
        floor = -self._debt if urgent else 0.0
        deficit = floor - self.level(now_s)
        # One byte more, because the level must be above the floor.
        return (deficit + 1) / self._bytes_per_s if deficit >= 0 else 0.0

    def debit(self, size: int, now_s: float) -> None:
        """Debit a frame that was sent."""
        self.level(now_s)
        self._level -= size


class Outbox:
    """The records that are queued or unacknowledged on one link."""

    def __init__(self, peer: str, same_data_centre: bool):
        self.peer = peer
        self.same_data_centre = same_data_centre
        self._pending: dict[RecordKind, dict[tuple, None]] = {
            kind: {} for kind in RecordKind
        }
        self._known: dict[tuple, tuple[int, bytes]] = {}
        self._unacknowledged: dict[int, list[Entry]] = {}

    @property
    def has_immediate(self) -> bool:
        """Whether a record that is sent immediately is queued."""
        return any(self._pending[kind] for kind in IMMEDIATE_KINDS)

    @property
    def is_acknowledged(self) -> bool:
        """Whether no immediate record is queued and all frames are acknowledged."""
        return not self._unacknowledged and not self.has_immediate

    @property
    def load(self) -> bool:
        """Whether a load or peer record is queued, which are sent in batches."""
        return bool(self._pending[RecordKind.LOAD] or self._pending[RecordKind.PEER])

    @property
    def waiting(self) -> int:
        """Number of queued records."""
        return sum(len(pending) for pending in self._pending.values())

    def enqueue(self, entry: Entry) -> bool:
        """Queue a record unless the peer has it; return whether it was queued."""
        if entry.kind in LOCAL_KINDS and not self.same_data_centre:
            return False
        if self._knows(entry):
            return False
        self._pending[entry.kind][entry.id] = None
        return True

    def mark_known(self, entry: Entry) -> None:
        """Mark a record as known to the peer."""
        if not self._knows(entry):
            self._known[entry.id] = entry.order

    def reset(self, entries: Iterable[Entry]) -> None:
        """Assume that the peer has no records, and queue the given ones."""
        self._known.clear()
        self._unacknowledged.clear()
        for entry in entries:
            self.enqueue(entry)

    def forget(self, entry_id: tuple) -> None:
        """Remove all state of a record."""
        self._known.pop(entry_id, None)
        self._pending[entry_id[0]].pop(entry_id, None)

    def dequeue(
        self, entries: Mapping[tuple, Entry], with_load: bool, limit: int
    ) -> list[Entry]:
        """Dequeue and return the next records, of at most ``limit`` bytes."""
        taken: list[Entry] = []
        free_bytes = limit
        for kind in RecordKind:
            if kind not in URGENT_KINDS and not with_load:
                break
            pending = self._pending[kind]
            for entry_id in list(pending):
                entry = entries.get(entry_id)
                if entry is None or self._knows(entry):
                    del pending[entry_id]
                    continue
                if entry.size_bytes > free_bytes:
                    return taken
                free_bytes -= entry.size_bytes
                del pending[entry_id]
                taken.append(entry)
        return taken

    def track(self, sequence: int, taken: Iterable[Entry]) -> None:
        """Keep the records of a sent frame until it is acknowledged."""
        sent_entries = list(taken)
        for entry in sent_entries:
            self.mark_known(entry)
        if sent_entries:
            self._unacknowledged[sequence] = sent_entries

    def acknowledge(self, highest: int, missed: Iterable[int]) -> None:
        """Acknowledge frames up to ``highest``; requeue records of ``missed`` ones."""
        lost = set(missed)
        for sequence in [s for s in self._unacknowledged if s <= highest]:
            sent_entries = self._unacknowledged.pop(sequence)
            if sequence in lost:
                self._requeue(sent_entries)

    def requeue_unacknowledged(self) -> None:
        """Requeue the records of all unacknowledged frames."""
        for sent_entries in self._unacknowledged.values():
            self._requeue(sent_entries)
        self._unacknowledged.clear()

    def _knows(self, entry: Entry) -> bool:
        known = self._known.get(entry.id)
        return known is not None and known >= entry.order

    def _requeue(self, sent_entries: Iterable[Entry]) -> None:
        for entry in sent_entries:
            if self._known.get(entry.id) == entry.order:
                del self._known[entry.id]
                self._pending[entry.kind][entry.id] = None


class Disseminator:
    """The records that a node has, with one outbox per link."""

    def __init__(self):
        self._entries: dict[tuple, Entry] = {}
        self._published: dict[tuple, Entry] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._digest: int | None = None

    def get(self, kind: RecordKind, key: str | int) -> Entry | None:
        """Return a record."""
        return self._entries.get((kind, key))

    def entries(self, *kinds: RecordKind) -> list[Entry]:
        """Return the records of the given kinds, by default all."""
        return [
            entry
            for entry in self._entries.values()
            if not kinds or entry.kind in kinds
        ]

    def outbox(self, peer: str) -> Outbox | None:
        """Return the outbox of a link."""
        return self._outboxes.get(peer)

    def open(self, peer: str, same_data_centre: bool, now_s: float) -> Outbox:
        """Add a link and queue marks, peer records and recent changes on it.

        Load records are not queued, because each is republished within seconds.
        """
        outbox = Outbox(peer, same_data_centre)
        self._outboxes[peer] = outbox
        self.reset(peer, now_s)
        return outbox

    def reset(self, peer: str, now_s: float) -> None:
        """Assume that the peer has no records, and queue those it needs."""
        outbox = self._outboxes.get(peer)
        if outbox is not None:
            marks = self.entries(*MARK_KINDS, RecordKind.PEER)
            changes = self.entries(RecordKind.CONFIG)
            fresh = [e for e in changes if now_s - e.published_s < RECENT_CHANGE_S]
            outbox.reset([*marks, *fresh])

    def close(self, peer: str) -> None:
        """Remove a link."""
        self._outboxes.pop(peer, None)

    def enqueue_changes(self, peer: str, version: int) -> None:
        """Queue the kept changes above the active version of a peer."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            return
        for entry in self.entries(RecordKind.CONFIG):
            if entry.version > version:
                outbox.enqueue(entry)

    def expire(self, now_s: float) -> None:
        """Remove expired records."""
        for entry in list(self._entries.values()):
            if is_expired(entry, now_s):
                self.remove(entry.id)

    def publish(
        self, kind: RecordKind, key: str | int, value: bytes, now_s: float
    ) -> tuple[Entry, list[str]]:
        """Publish a record of this node with a version above any known one.

        Returns it with the peers it is queued for.  Raises ``ValueError`` if the value
        is too long for a message.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(value)} bytes for {key} is too long")
        old = self._entries.get((kind, key))
        version = old.version + 1 if old else 1
        entry = Entry(kind, key, version, value, now_s)
        self._published[entry.id] = entry
        return entry, self._store(entry, source=None)

    def add(self, entry: Entry) -> list[str]:
        """Add a record that has a version already, unless its key is known."""
        if entry.id in self._entries:
            return []
        return self._store(entry, source=None)

    def is_own(self, entry_id: tuple) -> bool:
        """Return whether this node has published the current record."""
        return self._published.get(entry_id) == self._entries.get(entry_id)

    def remove(self, entry_id: tuple) -> None:
        """Remove a record locally."""
        self._entries.pop(entry_id, None)
        self._published.pop(entry_id, None)
        self._digest = None
        for outbox in self._outboxes.values():
            outbox.forget(entry_id)

    def merge(self, entry: Entry, source: str) -> tuple[bool, list[str]]:
        """Merge a record from a peer.

        Returns whether it was new, and the peers for which a record is queued.  Of two
        values with the same version, the greater byte string wins.
        """
        old = self._entries.get(entry.id)
        outbox = self._outboxes.get(source)
        if outbox is not None:
            outbox.mark_known(entry)
        if old is not None and old.order >= entry.order:
            if outbox is not None and outbox.enqueue(old):
                return False, [source]
            return False, []
        own = self._published.pop(entry.id, None)
        if own is not None and self._overrides(own, entry):
            self._entries[entry.id] = entry
            _, waiting = self.publish(own.kind, own.key, own.value, own.published_s)
            return False, waiting
        return True, self._store(entry, source)

    def digest(self) -> int:
        """Return a checksum of the drain and cold-start marks in effect."""
        if self._digest is None:
            marks = sorted(
                (entry.kind, entry.key, entry.version, entry.value)
                for entry in self._entries.values()
                if entry.kind in MARK_KINDS and entry.value[0] != CLEARED
            )
            self._digest = zlib.crc32(msgspec.msgpack.encode(marks))
        return self._digest

    def resend_marks(self, peer: str) -> None:
        """Queue all marks for a peer whose digest differs."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            return
        for entry in self.entries(*MARK_KINDS):
            outbox.forget(entry.id)
            outbox.enqueue(entry)

    def batch(
        self, outbox: Outbox, with_load: bool, now_s: float
    ) -> tuple[list[Entry], list[Record], bytes, bytes]:
        """Dequeue the next records of a link and encode them for a message."""
        taken = outbox.dequeue(self._entries, with_load, MAX_RECORDS_BYTES)
        records = [
            Record(
                entry.kind,
                entry.key,
                entry.version,
                max(0, round((now_s - entry.published_s) * 1000)),
                entry.value,
            )
            for entry in taken
            if entry.kind in URGENT_KINDS
        ]
        loads = b"".join(_pack(e, now_s) for e in taken if e.kind is RecordKind.LOAD)
        summaries = b"".join(
            _pack(e, now_s) for e in taken if e.kind is RecordKind.SUMMARY
        )
        return taken, records, loads, summaries

    def _overrides(self, own: Entry, other: Entry) -> bool:
        later = own.published_s > other.published_s + CONFLICT_MARGIN_S
        return own.kind in MARK_KINDS and later and own.value != other.value

    def _store(self, entry: Entry, source: str | None) -> list[str]:
        self._entries[entry.id] = entry
        if entry.kind in MARK_KINDS:
            self._digest = None
        return [
            peer
            for peer, outbox in self._outboxes.items()
            if peer != source and outbox.enqueue(entry)
        ]


def is_expired(entry: Entry, now_s: float) -> bool:
    """Return whether a record has exceeded its time to live."""
    ttl_s = _ttl_s(entry)
    return ttl_s is not None and now_s - entry.published_s > ttl_s


def _ttl_s(entry: Entry) -> float | None:
    cleared = entry.kind in (*MARK_KINDS, RecordKind.PEER) and entry.value[0] == CLEARED
    if entry.kind in (RecordKind.LOAD, RecordKind.SUMMARY):
        return LOAD_TTL_S
    if entry.kind is RecordKind.PEER:
        return LIVE_PEER_TTL_S if cleared else OTHER_PEER_TTL_S
    if cleared:
        return CLEARED_MARK_TTL_S
    return COLD_MARK_TTL_S if entry.kind is RecordKind.COLD else None


def _pack(entry: Entry, now_s: float) -> bytes:
    age = min(255, max(0, round((now_s - entry.published_s) / _AGE_STEP_S)))
    return _PACKED.pack(entry.key, entry.version & 0xFFFFFFFF, *entry.value, age)


def received_entries(batch: Batch, now_s: float) -> list[Entry]:
    """Decode the records of a message and convert their ages to local times.

    Raises ``ValueError`` for an invalid record.
    """
    entries = []
    for record in batch.records:
        kind = RecordKind(record.kind)
        if kind not in URGENT_KINDS or record.age_ms < 0:
            raise ValueError(
                f"invalid record of kind {kind.name} with age {record.age_ms} ms"
            )
        if kind is not RecordKind.CONFIG and not record.value:
            raise ValueError(f"empty value in the record of {record.key!r}")
        published_s = now_s - record.age_ms / 1000
        entries.append(
            Entry(kind, record.key, record.version, record.value, published_s)
        )
    for kind, packed in (
        (RecordKind.LOAD, batch.loads),
        (RecordKind.SUMMARY, batch.summaries),
    ):
        if len(packed) % PACKED_BYTES:
            raise ValueError(f"incomplete record in {len(packed)} packed bytes")
        for key, version, *value, age in _PACKED.iter_unpack(packed):
            published_s = now_s - age * _AGE_STEP_S
            entries.append(Entry(kind, key, version, bytes(value), published_s))
    return entries
