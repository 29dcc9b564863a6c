"""Periodic maintenance of a node, with log events for changes since the last run."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import gevent

from .backends.backend_entry import BackendEntry
from .backends.table import BackendTable
from .background import BackgroundTask, run_step
from .circuit import CircuitState
from .claim import Claims
from .config_feed import ConfigFeed
from .dispatch import Dispatcher
from .drain import Drains
from .errors import StoreError
from .events import Event
from .logs import log
from .nodes.peering import Peering
from .scheduler import Scheduler

INTERVAL_S = 1.0
# Longer pauses of the process are logged.
MAX_PAUSE_S = 1.0
MAX_LOAD_AGE_S = 15.0
MAX_CONFIG_LAG_S = 3.0
SAVE_INTERVAL_S = 5.0
SWEEP_INTERVAL_S = 30.0
# Cold-start records sent to the peers expire after 30 min.
COLD_RENEWAL_INTERVAL_S = 600.0


class Housekeeping(BackgroundTask):
    """Background task that checks the components of a node every second."""

    def __init__(
        self,
        backends: BackendTable,
        scheduler: Scheduler,
        dispatcher: Dispatcher,
        feed: ConfigFeed,
        peering: Peering,
        claims: Claims,
        drains: Drains,
        clock: Callable[[], float],
    ):
        self._backends = backends
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._feed = feed
        self._peering = peering
        self._claims = claims
        self._drains = drains
        self._clock = clock
        self._circuits: dict[str, CircuitState] = {}
        self._cold_published_s: dict[str, float] = {}
        self._load_unknown: set[str] = set()
        self._live_peers: frozenset[str] = frozenset()
        self._last_counts: dict[Event, int] = {}
        self._store_available = True
        self._drains_loaded = False
        self._lagging_since_s: float | None = None
        self._last_save_s = 0.0
        self._last_sweep_s = 0.0

    def start(self) -> None:
        """Load the drains and start the background task."""
        self._drains_loaded = self._drains.load()
        super().start()

    def check(self, now_s: float) -> None:
        """Run all checks and the periodic work that is due."""
        for entry in self._backends.entries:
            self._check_circuit(entry)
            self._check_cold(entry, now_s)
            self._check_load(entry, now_s)
        self._check_store()
        self._check_peers()
        self._check_config_version(now_s)
        self._check_counters()
        if now_s - self._last_save_s >= SAVE_INTERVAL_S:
            self._last_save_s = now_s
            self._drains.save()
            self._drains_loaded = self._drains_loaded or self._drains.load()
        if now_s - self._last_sweep_s >= SWEEP_INTERVAL_S:
            self._last_sweep_s = now_s
            self._sweep(now_s)

    def _run(self) -> None:
        last_s = self._clock()
        while True:
            gevent.sleep(INTERVAL_S)
            now_s = self._clock()
            pause_s = now_s - last_s - INTERVAL_S
            if pause_s > MAX_PAUSE_S:
                log(Event.CLOCK_JUMPED, pause_s=round(pause_s, 3))
            last_s = now_s
            run_step(self.check, now_s)

    def _check_circuit(self, entry: BackendEntry) -> None:
        state = entry.circuit.state
        before = self._circuits.get(entry.id, CircuitState.CLOSED)
        self._circuits[entry.id] = state
        if state is CircuitState.OPEN and before is CircuitState.CLOSED:
            log(Event.CIRCUIT_OPENED, backend=entry.id)
        if state is CircuitState.CLOSED and before is not CircuitState.CLOSED:
            log(Event.CIRCUIT_CLOSED, backend=entry.id)
            self._scheduler.wake()

    def _check_cold(self, entry: BackendEntry, now_s: float) -> None:
        """Notify the peers when a watched server becomes cold or warm."""
        if not self._backends.is_watched(entry.id):
            self._cold_published_s.pop(entry.id, None)
            return
        cold = entry.warm_up.cold
        published_s = self._cold_published_s.get(entry.id)
        if cold and published_s is None:
            log(Event.BACKEND_COLD, backend=entry.id)
        if cold and (
            published_s is None or now_s - published_s > COLD_RENEWAL_INTERVAL_S
        ):
            self._cold_published_s[entry.id] = now_s
            self._peering.publish_cold(entry.id, True, now_s)
        if not cold and published_s is not None:
            del self._cold_published_s[entry.id]
            log(Event.BACKEND_WARM, backend=entry.id)
            self._peering.publish_cold(entry.id, False, now_s)
            self._scheduler.wake()

    def _check_load(self, entry: BackendEntry, now_s: float) -> None:
        age_s = now_s - entry.reported_s
        if entry.reported_s and age_s <= MAX_LOAD_AGE_S:
            self._load_unknown.discard(entry.id)
        elif entry.reported_s and entry.id not in self._load_unknown:
            self._load_unknown.add(entry.id)
            log(Event.LOAD_UNKNOWN, backend=entry.id, age_s=round(age_s, 1))

    def _check_store(self) -> None:
        available = self._feed.store_responded
        if available is not self._store_available:
            self._store_available = available
            log(Event.STORE_BACK if available else Event.STORE_DOWN)

    def _check_peers(self) -> None:
        live_peers = frozenset(self._peering.live_names)
        for name in sorted(live_peers - self._live_peers):
            log(Event.PEER_FOUND, peer=name)
        for name in sorted(self._live_peers - live_peers):
            log(Event.PEER_LOST, peer=name)
        self._live_peers = live_peers

    def _check_config_version(self, now_s: float) -> None:
        newest = self._peering.newest_version
        if newest <= self._feed.config.version:
            self._lagging_since_s = None
        elif self._lagging_since_s is None:
            self._lagging_since_s = now_s
        elif now_s - self._lagging_since_s > MAX_CONFIG_LAG_S:
            self._lagging_since_s = now_s
            log(Event.CONFIG_LATE, version=newest)

    def _check_counters(self) -> None:
        """Log an event for each counter that has increased."""
        exchange = self._peering.counters
        counters: Mapping[Event, int] = {
            Event.CHUNK_DROPPED: self._dispatcher.counters.other_request,
            Event.MESSAGE_REFUSED: self._peering.refused_count,
            Event.LINK_REOPENED: exchange.get("redials", 0),
        }
        for event, count in counters.items():
            increase = count - self._last_counts.get(event, 0)
            if increase > 0:
                log(event, count=increase)
            self._last_counts[event] = count

    def _sweep(self, now_s: float) -> None:
        """Delete expired claims in this node's partition."""
        try:
            self._claims.sweep(
                now_s, self._peering.node_index, self._peering.node_count
            )
        except StoreError as error:
            log(Event.STORE_DOWN, error=error)
