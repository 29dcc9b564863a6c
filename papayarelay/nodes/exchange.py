"""Exchange of state between nodes: links, membership and disseminated records."""

from __future__ import annotations

import collections
import math
import random
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

import gevent
import gevent.event
import logbook
import msgspec

from ..errors import Outcome, RelayError
from . import overlay, watch
from .codec import (
    Batch,
    Codec,
    ConfigChunk,
    ConfigRequest,
    Frame,
    FrameError,
    Hello,
    OldIncarnationError,
    OversizedFrameError,
)
from .config_state import ConfigChange, ConfigState
from .dissemination import (
    BURST_BYTES,
    CLEARED,
    MAX_CHANGE_BYTES,
    MAX_DEBT_BYTES,
    SEND_BYTES_PER_S,
    URGENT_KINDS,
    WIRE_OVERHEAD_BYTES,
    ByteBucket,
    Disseminator,
    Entry,
    RecordKind,
    is_expired,
    received_entries,
)
from .links import Link, LinkTiming, Listener
from .load_record import LoadRecord, id_hash, pack_value, summary_id, unpack_value
from .transfer import ConfigDownload, ConfigUpload
from .view import Peer, PeerState, PeerView

log = logbook.Logger(__name__)

MAINTAIN_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 9.0
# A longer gap between two maintenance runs means that the process was paused.
PAUSE_THRESHOLD_S = 3.0
# A link that only the peer has selected is kept for this long after its last request.
ACCEPTED_LINK_TTL_S = 8.0
MAX_ACCEPTED_LINKS = 32
# Delay before the retry of a frame that the socket did not accept.
UNSENT_RETRY_S = 0.25
PROBE_INTERVAL_S = 10.0
PROBE_TIMEOUT_S = 8.0
DIGEST_MISMATCH_S = 3.0
# A version that is known to exist is reported when its change has not arrived by then.
CHANGE_OVERDUE_S = 0.5
# Random delay of the report, so that the nodes spread their reads of the store.
REPORT_JITTER_S = 0.5
# Rate of changed load records, shared by all data centres of the load scope: each
# record crosses about 1.5 links per node and the byte budget is fixed.
LOAD_RECORDS_PER_S = 20.0
LOAD_MIN_INTERVAL_S = 1.0
LOAD_REFRESH_S = 5.0
SUMMARY_MIN_INTERVAL_S = 15.0
SUMMARY_REFRESH_S = 30.0
# The second watcher takes over when the first one's record is older than this.
WATCHER_TAKEOVER_S = 8.0


class DrainState(IntEnum):
    """Value of a drain mark; at equal versions the greater value wins."""

    # The state is in the store; the mark no longer has an effect.
    RECORDED = 0
    RETURNED = 1
    DRAINED = 2


class ConfigFetchError(RelayError):
    """No peer has sent the full configuration in time."""

    status = 503
    code = "config_unavailable"


@dataclass(frozen=True)
class ExchangeSettings:
    """Settings of the exchange of one node; times in seconds."""

    name: str
    data_centre: str
    region: str
    key: bytes
    listen: str = "127.0.0.1:0"
    # The address that peers connect to; defaults to the address of the listener.
    address: str = ""
    policy: str = "fixed_overlay"
    bytes_per_s: float = SEND_BYTES_PER_S
    suspect_after_s: float = SUSPECT_AFTER_S
    probe_interval_s: float = PROBE_INTERVAL_S
    # Load records are sent to nodes of the same "data_centre" or "region".
    load_scope: str = "data_centre"
    timing: LinkTiming = field(default_factory=LinkTiming)


def _no_op(*_: object) -> None:
    """Handle nothing."""


@dataclass(frozen=True)
class Handlers:
    """Callbacks for state that arrives from peers.

    ``on_config`` gets the version and the changed sections in full, or None if the
    node has to read them from the store.  Each version is reported once; a node
    whose read fails must retry it.
    """

    on_load: Callable[[LoadRecord], None] = _no_op
    on_summary: Callable[[LoadRecord], None] = _no_op
    on_cold: Callable[[str, bool], None] = _no_op
    on_drain: Callable[[str, DrainState], None] = _no_op
    on_config: Callable[[int, Mapping[str, Any] | None], None] = _no_op
    on_peers: Callable[[], None] = _no_op


class _PeerRecord(msgspec.Struct, array_like=True, frozen=True):
    """Value of a peer record; a byte that is 0 for a live peer precedes it."""

    name: str
    address: str
    data_centre: str
    region: str
    state: str
    incarnation: int
    state_version: int


class Exchange:
    """Manages the links to other nodes, the peer view and the disseminated records."""

    def __init__(
        self,
        settings: ExchangeSettings,
        rng: random.Random,
        handlers: Handlers | None = None,
        clock: Callable[[], float] = time.monotonic,
        *,
        wall_clock: Callable[[], float] = time.time,
        make_link: Callable[..., Link] = Link,
        make_listener: Callable[..., Listener] = Listener,
    ):
        self._settings = settings
        self._rng = rng
        self._handlers = handlers or Handlers()
        self._clock = clock
        self._wall_clock = wall_clock
        self._policy = overlay.POLICIES[settings.policy]()
        incarnation = max(1, int(wall_clock() * 1000))
        self._codec = Codec(settings.key, settings.name, incarnation)
        self._view = PeerView(settings.name)
        self._disseminator = Disseminator()
        self._config = ConfigState()
        self._bucket = ByteBucket(
            settings.bytes_per_s, BURST_BYTES, MAX_DEBT_BYTES, clock()
        )
        self._make_link = make_link
        self._listener = make_listener(settings.listen, self.receive)
        self._links: dict[str, Link] = {}
        self._selected: set[str] = set()
        self._selection_inputs: tuple[int, int] | None = None
        self._accepted_links: dict[str, float] = {}
        self._probe: tuple[str, float] | None = None
        self._next_probe_s = clock()
        self._maintained_s = self._resumed_s = clock()
        self._hello_due: set[str] = set()
        self._hello_sent_on_dial: dict[str, int] = {}
        self._control_queues: dict[str, collections.deque] = {}
        self._in_flight: dict[str, tuple[int, int, list[Entry]]] = {}
        self._digest_mismatches: dict[str, tuple[tuple[int, int], float]] = {}
        self._peer_versions: dict[str, int] = {}
        self._reported_version = 0
        self._report_due_s: float | None = None
        self._ids_by_hash: dict[int, str] = {}
        self._ranks: dict[str, int] = {}
        self._rank_inputs: tuple | None = None
        self._engine_count = 0
        # Number of data centres whose load records this node forwards.
        self._load_data_centres = 1
        self._upload = ConfigUpload()
        self._download: ConfigDownload | None = None
        self._state = PeerState.LIVE
        self._state_version = 0
        self._announced = False
        self._task: gevent.Greenlet | None = None
        self.counters: collections.Counter[str] = collections.Counter()

    @property
    def address(self) -> str:
        """The address that peers connect to."""
        return self._settings.address or self._listener.address

    @property
    def config(self) -> tuple[int, Mapping[str, Any]]:
        """The version and the sections of the active configuration."""
        return self._config.version, self._config.sections

    @property
    def newest_version(self) -> int:
        """The newest configuration version that is known to exist."""
        return self._config.newest

    @property
    def refused(self) -> Mapping[str, int]:
        """The numbers of rejected frames by reason."""
        return self._codec.refused

    def start(self) -> None:
        """Start listening and connecting to peers."""
        self._listener.start()
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Close all links."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for name in list(self._links):
            self._close_link(name)
        self._listener.close()

    def leave(self, now_s: float) -> None:
        """Announce to the peers that this node accepts no new work."""
        self._state = PeerState.LEAVING
        self._state_version += 1
        self._announce(now_s)

    def set_peers(
        self, entries: Iterable[Mapping[str, str]], now_s: float | None = None
    ) -> None:
        """Merge the VM list; entries have name, address, data_centre, region, state."""
        self._view.merge_vm_list(entries, self._clock() if now_s is None else now_s)

    def register_ids(self, ids: Iterable[str]) -> None:
        """Register the ids of engines and summaries whose records are delivered.

        Records carry only a 32-bit hash of the id.  Raises ``ValueError`` on a hash
        collision.
        """
        for record_id in ids:
            known = self._ids_by_hash.setdefault(id_hash(record_id), record_id)
            if known != record_id:
                raise ValueError(f"ids {known!r} and {record_id!r} have the same hash")

    def publish_load(self, record: LoadRecord, now_s: float) -> bool:
        """Publish the load of an engine if it is due; return whether it was."""
        self.register_ids([record.id])
        old = self._disseminator.get(RecordKind.LOAD, id_hash(record.id))
        if old is not None and self._ranks.get(record.id):
            fresh = now_s - old.published_s < WATCHER_TAKEOVER_S
            if fresh and not self._disseminator.is_own(old.id):
                return False
        engines = self._engine_count * self._load_data_centres
        interval_s = max(LOAD_MIN_INTERVAL_S, engines / LOAD_RECORDS_PER_S)
        intervals = (min(interval_s, LOAD_REFRESH_S), LOAD_REFRESH_S)
        return self._publish_packed(RecordKind.LOAD, record, old, intervals, now_s)

    def publish_summary(
        self, data_centre: str, model: str, record: LoadRecord, now_s: float
    ) -> bool:
        """Publish the summary of a model if it is due; return whether it was."""
        record = replace(record, id=summary_id(data_centre, model))
        self.register_ids([record.id])
        old = self._disseminator.get(RecordKind.SUMMARY, id_hash(record.id))
        intervals = (SUMMARY_MIN_INTERVAL_S, SUMMARY_REFRESH_S)
        return self._publish_packed(RecordKind.SUMMARY, record, old, intervals, now_s)

    def publish_cold(self, engine_id: str, cold: bool, now_s: float) -> None:
        """Set or clear the cold-start mark of an engine.

        A watcher republishes a mark that is still set at least every 30 min.
        """
        self._publish_mark(RecordKind.COLD, engine_id, int(cold), now_s)

    def publish_drain(self, target: str, state: DrainState, now_s: float) -> None:
        """Set the drain mark of ``data_centre/<name>`` or ``backend/<id>``."""
        self._publish_mark(RecordKind.DRAIN, target, int(state), now_s)

    def publish_config(
        self, version: int, sections: Mapping[str, Any], now_s: float | None = None
    ) -> bool:
        """Activate sections that were read from the store and publish the change.

        ``sections`` must contain, in full, at least the sections that have changed
        since the active version.  Returns False if ``version`` is not above it.
        """
        now_s = self._clock() if now_s is None else now_s
        if version <= self._config.version:
            return False
        base = self._config.version
        change = self._config.replace(version, sections, now_s)
        self._reported_version = max(self._reported_version, version)
        if base:
            value = msgspec.msgpack.encode(change) if change else b""
            self._add_change(base, version, value, now_s)
        else:
            # The first version has no base for a patch; heartbeats announce it.
            for link in self._links.values():
                self._wake_urgent(link, now_s)
        return True

    def is_cold(self, engine_id: str) -> bool:
        """Return whether an engine has a cold-start mark."""
        entry = self._disseminator.get(RecordKind.COLD, engine_id)
        return entry is not None and bool(entry.value[0])

    def drain_marks(self) -> dict[str, DrainState]:
        """Return the drain marks that are in effect."""
        return {
            entry.key: DrainState(entry.value[0])
            for entry in self._disseminator.entries(RecordKind.DRAIN)
            if entry.value[0]
        }

    def load(self, record_id: str) -> LoadRecord | None:
        """Return the newest load record of an engine or a summary."""
        key = id_hash(record_id)
        for kind in (RecordKind.LOAD, RecordKind.SUMMARY):
            entry = self._disseminator.get(kind, key)
            if entry is not None:
                return unpack_value(record_id, entry.value, entry.published_s)
        return None

    def watched_engines(
        self, engine_ids: Sequence[str], now_s: float
    ) -> dict[str, int]:
        """Return the engines of this data centre that this node watches.

        The value is 0 for the first watcher and 1 for the second.
        """
        inputs = (self._view.generation, self._state, tuple(engine_ids))
        if inputs != self._rank_inputs:
            self.register_ids(engine_ids)
            nodes = [p.name for p in self._view.live(self._settings.data_centre)]
            if self._state is PeerState.LIVE:
                nodes.append(self._settings.name)
            ranks = {e: watch.rank(self._settings.name, e, nodes) for e in engine_ids}
            self._ranks = {e: r for e, r in ranks.items() if r is not None}
            self._rank_inputs = inputs
            self._engine_count = len(engine_ids)
        return dict(self._ranks)

    def publishes_summary(self, model: str) -> bool:
        """Return whether this node publishes a model's summary for its data centre."""
        own = self._settings
        nodes = [p.name for p in self._view.live(own.data_centre)] + [own.name]
        return watch.select_watchers(summary_id(own.data_centre, model), nodes, 1) == [
            own.name
        ]

    def peers(self) -> list[Peer]:
        """Return the peer view."""
        return self._view.peers()

    def fetch_config(self, timeout_s: float = 20.0) -> tuple[int, Mapping[str, Any]]:
        """Fetch the newest configuration from peers, for a node that has none.

        Raises ``ConfigFetchError`` on timeout.
        """
        deadline_s = self._clock() + timeout_s
        self._download = ConfigDownload()
        try:
            while (now_s := self._clock()) < deadline_s:
                self._request_chunks(self._download, now_s)
                self._download.arrived.wait(timeout=min(0.1, deadline_s - now_s))
                self._download.arrived.clear()
                if self._download.complete and self._finish_download(self._download):
                    return self.config
        finally:
            self._download = None
        raise ConfigFetchError(
            f"no configuration from {len(self._links)} peers within {timeout_s} s",
            step="fetch configuration",
            peer="peers",
            outcome=Outcome.NOT_RUN,
        )

    def status(self, now_s: float) -> dict[str, Any]:
        """Return the peers, the links, ages in seconds and counters."""
        return {
            "name": self._settings.name,
            "address": self.address,
            "incarnation": self._codec.incarnation,
            "config_version": self._config.version,
            "config_newest": self.newest_version,
            "bucket_bytes": round(self._bucket.level(now_s)),
            "peers": [
                {
                    "name": peer.name,
                    "state": str(peer.state),
                    "data_centre": peer.data_centre,
                    "region": peer.region,
                    "listed": peer.listed,
                    "heard_age_s": round(now_s - peer.heard_s, 3),
                }
                for peer in self._view.peers()
            ],
            "links": [self._link_status(link, now_s) for link in self._links.values()],
            "drains": {k: v.name.lower() for k, v in self.drain_marks().items()},
            "cold": [
                e.key for e in self._disseminator.entries(RecordKind.COLD) if e.value[0]
            ],
            "records": len(self._disseminator.entries()),
            "refused": dict(self.refused),
            "counters": dict(self.counters),
        }

    def _link_status(self, link: Link, now_s: float) -> dict[str, Any]:
        outbox = self._disseminator.outbox(link.name)
        silent_s = link.silent_s(now_s)
        return {
            "name": link.name,
            "selected": link.name in self._selected,
            # Infinite before the first dial, which JSON cannot represent.
            "silent_s": round(silent_s, 3) if math.isfinite(silent_s) else None,
            "dials": link.dials,
            "waiting": outbox.waiting if outbox else 0,
        }

    # Sending.

    def _publish_packed(
        self,
        kind: RecordKind,
        record: LoadRecord,
        old: Entry | None,
        intervals: tuple[float, float],
        now_s: float,
    ) -> bool:
        value = pack_value(record)
        if old is not None:
            changed = value != old.value
            interval_s = intervals[0] if changed else intervals[1]
            if now_s - old.published_s < interval_s:
                return False
        _, waiting = self._disseminator.publish(kind, id_hash(record.id), value, now_s)
        self._wake(waiting, kind, now_s)
        return True

    def _publish_mark(
        self, kind: RecordKind, key: str, value: int, now_s: float
    ) -> None:
        entry, waiting = self._disseminator.publish(kind, key, bytes((value,)), now_s)
        self._wake(waiting, entry.kind, now_s)

    def _add_change(self, base: int, version: int, value: bytes, now_s: float) -> None:
        if len(value) > MAX_CHANGE_BYTES:
            value = b""
        entry = Entry(RecordKind.CONFIG, f"{base}-{version}", version, value, now_s)
        self._wake(self._disseminator.add(entry), RecordKind.CONFIG, now_s)
        self._keep_change(entry.key)

    def _keep_change(self, key: str) -> None:
        dropped = self._config.track_change(key)
        if dropped is not None:
            self._disseminator.remove((RecordKind.CONFIG, dropped))

    def _announce(self, now_s: float) -> None:
        """Publish this node's own state in its data centre."""
        self._announced = True
        own = self._settings
        record = _PeerRecord(
            own.name,
            self.address,
            own.data_centre,
            own.region,
            str(self._state),
            self._codec.incarnation,
            self._state_version,
        )
        self._publish_peer_record(record, now_s)

    def _publish_peer_record(self, record: _PeerRecord, now_s: float) -> None:
        flag = bytes((record.state != PeerState.LIVE,))
        value = flag + msgspec.msgpack.encode(record)
        _, waiting = self._disseminator.publish(
            RecordKind.PEER, record.name, value, now_s
        )
        # Records of live nodes are batched, because many nodes may start at once.
        live = record.state == PeerState.LIVE
        self._wake(waiting, RecordKind.LOAD if live else RecordKind.PEER, now_s)

    def _wake(self, peers: Iterable[str], kind: RecordKind, now_s: float) -> None:
        for name in peers:
            link = self._links.get(name)
            if link is None:
                continue
            if kind in URGENT_KINDS:
                self._wake_urgent(link, now_s)
            elif kind is RecordKind.LOAD:
                link.wake(link.timing.batch_s)
            # A summary waits for the next heartbeat or batch.

    def _wake_urgent(self, link: Link, now_s: float) -> None:
        link.wake(self._bucket.wait_s(True, now_s))

    def _next_frame(self, link: Link, now_s: float) -> bytes | None:
        name = link.name
        allowed = self._bucket.allows(True, now_s)
        if not allowed and now_s - link.sent_s < link.timing.heartbeat_s:
            # An empty frame would only increase the debt.
            link.wake(self._bucket.wait_s(True, now_s))
            return None
        if self._hello_sent_on_dial.get(name) != link.dials or name in self._hello_due:
            message: Any = self._hello()
            self._hello_sent_on_dial[name] = link.dials
            self._hello_due.discard(name)
            taken: list[Entry] = []
            self._queue_control_first(name, message)
        control = self._control_queues.get(name)
        if control and (allowed or isinstance(control[0], Hello)):
            message, taken = control.popleft(), []
        else:
            message, taken = self._batch(name, now_s, allowed)
        try:
            sequence, data = self._codec.encode(name, message)
        except OversizedFrameError:
            self.counters["unsent_oversized"] += 1
            return None
        self._in_flight[name] = (sequence, len(data), taken)
        return data

    def _queue_control_first(self, name: str, message: Any) -> None:
        self._control_queues.setdefault(name, collections.deque()).appendleft(message)

    def _hello(self) -> Hello:
        own = self._settings
        return Hello(
            self.address,
            own.data_centre,
            own.region,
            str(self._state),
            self._state_version,
        )

    def _batch(
        self, name: str, now_s: float, allowed: bool
    ) -> tuple[Batch, list[Entry]]:
        received = self._codec.received(name)
        outbox = self._disseminator.outbox(name)
        taken, records, loads, summaries = [], [], b"", b""
        if outbox is not None and allowed:
            with_load = self._bucket.allows(False, now_s)
            taken, records, loads, summaries = self._disseminator.batch(
                outbox, with_load, now_s
            )
        wanted = name in self._selected or self._probing(name)
        message = Batch(
            received.incarnation if received else 0,
            received.highest if received else 0,
            list(received.missed) if received else [],
            wanted,
            self._config.version,
            self._disseminator.digest(),
            records,
            loads,
            summaries,
        )
        return message, taken

    def _on_sent(self, link: Link, sent: bool) -> None:
        sequence, size, taken = self._in_flight.pop(link.name)
        outbox = self._disseminator.outbox(link.name)
        now_s = self._clock()
        if sent:
            self._bucket.debit(size + WIRE_OVERHEAD_BYTES, now_s)
            self.counters["sent_frames"] += 1
            self.counters["sent_bytes"] += size
        if outbox is None:
            return
        if not sent:
            self.counters["unsent_frames"] += 1
            for entry in taken:
                outbox.enqueue(entry)
            self._hello_sent_on_dial.pop(link.name, None)
        else:
            outbox.track(sequence, taken)
        if outbox.has_immediate or self._control_queues.get(link.name):
            wait_s = self._bucket.wait_s(True, now_s)
            link.wake(wait_s if sent else max(wait_s, UNSENT_RETRY_S))
        elif outbox.load:
            link.wake(link.timing.batch_s)

    # Receiving.

    def receive(self, data: bytes) -> None:
        """Handle a frame from any peer."""
        now_s = self._clock()
        self.counters["received_frames"] += 1
        self.counters["received_bytes"] += len(data)
        try:
            frame = self._codec.decode(data)
        except OldIncarnationError as error:
            self._answer_old_incarnation(error.sender, now_s)
            return
        except FrameError:
            return
        if frame.sender == self._settings.name:
            return
        if frame.first:
            self._reset_peer(frame, now_s)
        self._view.record_frame(frame.sender, frame.incarnation, now_s)
        message = frame.message
        if isinstance(message, Batch):
            self._on_batch(frame.sender, message, now_s)
        elif isinstance(message, Hello):
            self._on_hello(frame, message, now_s)
        elif isinstance(message, ConfigRequest):
            self._on_config_request(frame.sender, message, now_s)
        else:
            self._on_config_chunk(frame.sender, message)

    def _answer_old_incarnation(self, name: str, now_s: float) -> None:
        """Open a link to a node whose incarnation is lower than the known one.

        The acknowledgement there makes the node raise its incarnation.  While the
        process with the known incarnation is silent, the node's address is the one
        on the VM list: the known one may come from a late frame of that process.
        """
        peer = self._view.get(name)
        if (
            peer is not None
            and now_s - peer.heard_s > self._settings.timing.idle_limit_s
        ):
            self._view.use_listed_address(name, now_s)
        self._accept_link(name, now_s)

    def _reset_peer(self, frame: Frame, now_s: float) -> None:
        """Reset the state kept for a peer that is new or has restarted."""
        self._disseminator.reset(frame.sender, now_s)
        self._peer_versions.pop(frame.sender, None)
        if frame.sender in self._links:
            self._hello_due.add(frame.sender)
            self._wake_urgent(self._links[frame.sender], now_s)

    def _on_hello(self, frame: Frame, hello: Hello, now_s: float) -> None:
        try:
            state = PeerState(hello.state)
        except ValueError:
            self.counters["malformed_records"] += 1
            return
        peer = Peer(
            frame.sender,
            hello.address,
            hello.data_centre,
            hello.region,
            state,
            frame.incarnation,
            hello.state_version,
        )
        self._view.merge_hello(peer, now_s)
        self._accept_link(frame.sender, now_s)

    def _accept_link(self, name: str, now_s: float) -> None:
        """Keep a link to a peer that has selected this node."""
        if (
            name in self._accepted_links
            or len(self._accepted_links) < MAX_ACCEPTED_LINKS
        ):
            self._accepted_links[name] = now_s
            self._open_link(name, now_s)

    def _on_batch(self, sender: str, batch: Batch, now_s: float) -> None:
        if batch.wanted:
            self._accept_link(sender, now_s)
        if batch.ack_incarnation > self._codec.incarnation:
            self._raise_incarnation(batch.ack_incarnation + 1, now_s)
        link = self._links.get(sender)
        outbox = self._disseminator.outbox(sender)
        if link is not None and batch.ack_incarnation == self._codec.incarnation:
            if self._codec.acknowledge(sender, batch.ack):
                link.acknowledged(now_s)
            outbox.acknowledge(batch.ack, batch.missed)
        self._compare_digests(sender, batch, now_s)
        try:
            entries = received_entries(batch, now_s)
        except ValueError:
            self.counters["malformed_records"] += 1
            return
        for entry in entries:
            self._on_entry(sender, entry, now_s)
        if outbox is not None and link is not None and outbox.has_immediate:
            self._wake_urgent(link, now_s)

    def _raise_incarnation(self, incarnation: int, now_s: float) -> None:
        """Switch to an incarnation above the one that peers know."""
        self._codec.raise_incarnation(incarnation)
        self.counters["raised_incarnation"] += 1
        for name in self._links:
            self._disseminator.reset(name, now_s)
            self._hello_due.add(name)
        self._announce(now_s)

    def _compare_digests(self, sender: str, batch: Batch, now_s: float) -> None:
        self._peer_versions[sender] = batch.config_version
        self._config.note_version(batch.config_version, now_s)
        if batch.config_version < self._config.version:
            self._disseminator.enqueue_changes(sender, batch.config_version)
        own = self._disseminator.digest()
        if batch.digest == own:
            self._digest_mismatches.pop(sender, None)
            return
        # While either digest still changes, records are in transit.
        digests = (own, batch.digest)
        noted_digests, since_s = self._digest_mismatches.get(sender, (None, now_s))
        outbox = self._disseminator.outbox(sender)
        if noted_digests != digests or outbox is None or not outbox.is_acknowledged:
            self._digest_mismatches[sender] = (digests, now_s)
        elif now_s - since_s > DIGEST_MISMATCH_S:
            self._digest_mismatches[sender] = (digests, now_s)
            self.counters["resent_marks"] += 1
            self._disseminator.resend_marks(sender)

    def _on_entry(self, sender: str, entry: Entry, now_s: float) -> None:
        if self._is_outdated(entry, now_s):
            self.counters["expired_records"] += 1
            return
        new, waiting = self._disseminator.merge(entry, sender)
        live = entry.kind is RecordKind.PEER and entry.value[0] == CLEARED
        self._wake(waiting, RecordKind.LOAD if live else entry.kind, now_s)
        self.counters["new_records" if new else "known_records"] += 1
        if not new:
            return
        if entry.kind is RecordKind.CONFIG:
            self._on_change(entry, now_s)
        elif entry.kind is RecordKind.PEER:
            self._on_peer_record(entry, now_s)
        elif entry.kind is RecordKind.COLD:
            self._handlers.on_cold(entry.key, bool(entry.value[0]))
        elif entry.kind is RecordKind.DRAIN:
            self._handlers.on_drain(entry.key, DrainState(entry.value[0]))
        elif entry.key in self._ids_by_hash:
            record = unpack_value(
                self._ids_by_hash[entry.key], entry.value, entry.published_s
            )
            is_load = entry.kind is RecordKind.LOAD
            (self._handlers.on_load if is_load else self._handlers.on_summary)(record)

    def _is_outdated(self, entry: Entry, now_s: float) -> bool:
        """Return whether a record has expired and must not be stored or forwarded.

        Nodes expire a record at slightly different times; without this check, those
        that still have it would send it back to those that do not.
        """
        if (
            entry.kind is RecordKind.CONFIG
            and self._disseminator.get(*entry.id) is None
        ):
            return entry.version <= self._config.version
        return is_expired(entry, now_s)

    def _on_change(self, entry: Entry, now_s: float) -> None:
        self._keep_change(entry.key)
        self._config.note_version(entry.version, now_s)
        if not entry.value:
            self._schedule_report(now_s)
            return
        try:
            change = msgspec.msgpack.decode(entry.value, type=ConfigChange)
        except msgspec.DecodeError:
            self.counters["malformed_records"] += 1
            return
        names = self._config.apply(change, now_s)
        if names:
            version, sections = self.config
            self._reported_version = max(self._reported_version, version)
            self._handlers.on_config(version, {n: sections[n] for n in names})

    def _schedule_report(self, now_s: float) -> None:
        """Schedule the report of a version that this node has to read from the store.

        The delay is random, so that not all nodes read the store at once.
        """
        newest = self._config.newest
        if newest <= max(self._config.version, self._reported_version):
            return
        if self._report_due_s is None:
            self._report_due_s = now_s + self._rng.uniform(0, REPORT_JITTER_S)

    def _report_version(self, now_s: float) -> None:
        if self._report_due_s is None or now_s < self._report_due_s:
            return
        self._report_due_s = None
        newest = self._config.newest
        if newest > max(self._config.version, self._reported_version):
            self._reported_version = newest
            self._handlers.on_config(newest, None)

    def _on_peer_record(self, entry: Entry, now_s: float) -> None:
        try:
            record = msgspec.msgpack.decode(entry.value[1:], type=_PeerRecord)
            state = PeerState(record.state)
        except (msgspec.DecodeError, ValueError):
            self.counters["malformed_records"] += 1
            return
        if record.name == self._settings.name:
            self._refute(record, now_s)
            return
        peer = Peer(
            record.name,
            record.address,
            record.data_centre,
            record.region,
            state,
            record.incarnation,
            record.state_version,
        )
        self._view.merge(peer, now_s)

    def _refute(self, record: _PeerRecord, now_s: float) -> None:
        """Refute a record that marks this node suspect or is from another process."""
        if record.incarnation > self._codec.incarnation:
            self._raise_incarnation(record.incarnation + 1, now_s)
            return
        if record.state != self._state and record.state_version >= self._state_version:
            self._state_version = record.state_version + 1
        self._announce(now_s)

    # Configuration from peers.

    def _request_chunks(self, download: ConfigDownload, now_s: float) -> None:
        newest = max(self._peer_versions.values(), default=0)
        for name, version in self._peer_versions.items():
            link = self._links.get(name)
            if version == 0 or version < newest or link is None:
                continue
            request = download.next_request(name, now_s)
            if request is not None:
                self._control_queues.setdefault(name, collections.deque()).append(
                    request
                )
                link.wake()

    def _finish_download(self, download: ConfigDownload) -> bool:
        try:
            sections = download.content()
        except ValueError:
            self.counters["damaged_downloads"] += 1
            self._download = ConfigDownload()
            return False
        self._config.replace(download.version, sections, self._clock())
        self._reported_version = max(self._reported_version, download.version)
        return True

    def _on_config_request(
        self, sender: str, request: ConfigRequest, now_s: float
    ) -> None:
        chunk = self._upload.make_chunk(request, *self.config)
        link = self._links.get(sender)
        if chunk is None or link is None:
            return
        waiting = self._control_queues.setdefault(sender, collections.deque())
        # A peer has one request outstanding; it has given up on any older one.
        for old in [m for m in waiting if isinstance(m, ConfigChunk)]:
            waiting.remove(old)
        waiting.append(chunk)
        self._wake_urgent(link, now_s)

    def _on_config_chunk(self, sender: str, chunk: ConfigChunk) -> None:
        if self._download is not None:
            self._download.add(sender, chunk)

    # Maintenance.

    def _run(self) -> None:
        while True:
            try:
                self.maintain(self._clock())
            except Exception:
                log.exception("link maintenance failed")
            gevent.sleep(MAINTAIN_INTERVAL_S)

    def maintain(self, now_s: float) -> None:
        """Update peer states, links and records; called twice a second."""
        if not self._announced:
            self._announce(now_s)
        if now_s - self._maintained_s > PAUSE_THRESHOLD_S:
            # After a pause, unread frames of the peers are still queued.
            self._resumed_s = now_s
        self._maintained_s = now_s
        self._suspect_silent_peers(now_s)
        self._start_probe(now_s)
        self._select_neighbours(now_s)
        for name, at_s in list(self._accepted_links.items()):
            if now_s - at_s > ACCEPTED_LINK_TTL_S:
                del self._accepted_links[name]
        wanted = self._selected | self._accepted_links.keys()
        for name in list(self._links):
            if name not in wanted and not self._probing(name):
                self._close_link(name)
        for name in sorted(self._selected):
            self._open_link(name, now_s)
        self._disseminator.expire(now_s)
        self._view.forget(now_s)
        overdue_s = now_s - self._config.newest_noted_s
        if overdue_s > CHANGE_OVERDUE_S:
            self._schedule_report(now_s)
        self._report_version(now_s)

    def _select_neighbours(self, now_s: float) -> None:
        epoch = int(self._wall_clock() // self._policy.epoch_s)
        inputs = (self._view.generation, epoch)
        if inputs == self._selection_inputs:
            return
        if self._selection_inputs and self._selection_inputs[0] != inputs[0]:
            self._handlers.on_peers()
        self._selection_inputs = inputs
        own = self._settings
        peer = Peer(own.name, self.address, own.data_centre, own.region)
        load_data_centres = {
            p.data_centre for p in self._view.peers() if self._in_load_scope(p)
        }
        self._load_data_centres = len(load_data_centres | {own.data_centre})
        self._selected = overlay.neighbours(
            self._policy, peer, self._view.live(), epoch, self._rng
        )

    def _suspect_silent_peers(self, now_s: float) -> None:
        for name in sorted(self._selected):
            link = self._links.get(name)
            peer = self._view.get(name)
            if link is None or peer is None:
                continue
            heard_s = max(link.started_s, peer.heard_s, self._resumed_s)
            if now_s - heard_s <= self._settings.suspect_after_s:
                continue
            suspect = self._view.suspect(name, now_s)
            self.counters["suspected"] += 1
            if suspect and suspect.data_centre == self._settings.data_centre:
                self._publish_peer_record(_make_peer_record(suspect), now_s)

    def _start_probe(self, now_s: float) -> None:
        if self._probe is not None and now_s > self._probe[1]:
            self._probe = None
        if now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + self._settings.probe_interval_s
        suspects = [
            peer.name
            for peer in self._view.peers()
            if peer.state is PeerState.SUSPECT and peer.listed
        ]
        if suspects:
            name = self._rng.choice(suspects)
            self._probe = (name, now_s + PROBE_TIMEOUT_S)
            self._open_link(name, now_s)

    def _probing(self, name: str) -> bool:
        return self._probe is not None and self._probe[0] == name

    def _open_link(self, name: str, now_s: float) -> None:
        peer = self._view.get(name)
        if peer is None or not peer.address:
            return
        link = self._links.get(name)
        if link is not None and link.address == peer.address:
            return
        if link is not None:
            self._close_link(name)
        in_load_scope = self._in_load_scope(peer)
        self._disseminator.open(name, in_load_scope, now_s)
        link = self._make_link(
            name,
            peer.address,
            self._settings.timing,
            next_frame=self._next_frame,
            on_sent=self._on_sent,
            clock=self._clock,
            rng=self._rng,
            on_redial=self._on_redial,
        )
        self._links[name] = link
        link.start()

    def _in_load_scope(self, peer: Peer) -> bool:
        if self._settings.load_scope == "region":
            return peer.region == self._settings.region
        return peer.data_centre == self._settings.data_centre

    def _on_redial(self, link: Link) -> None:
        outbox = self._disseminator.outbox(link.name)
        if outbox is not None:
            outbox.requeue_unacknowledged()
        if link.dials > 1:
            self.counters["redials"] += 1

    def _close_link(self, name: str) -> None:
        self._links.pop(name).close()
        self._disseminator.close(name)
        for state in (
            self._hello_sent_on_dial,
            self._control_queues,
            self._in_flight,
            self._digest_mismatches,
            self._peer_versions,
        ):
            state.pop(name, None)
        self._hello_due.discard(name)


def _make_peer_record(peer: Peer) -> _PeerRecord:
    return _PeerRecord(
        peer.name,
        peer.address,
        peer.data_centre,
        peer.region,
        str(peer.state),
        peer.incarnation,
        peer.state_version,
    )


__all__ = [
    "ConfigFetchError",
    "DrainState",
    "Exchange",
    "ExchangeSettings",
    "Handlers",
    "LoadRecord",
]
