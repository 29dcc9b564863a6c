"""Connects the exchange with a node's configuration and backend servers."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path

import gevent
import msgspec
import pyjson5

from ..backends.load_report import LoadReport
from ..backends.table import BackendTable
from ..background import run_step
from ..config import Config
from ..config_feed import ConfigFeed
from ..events import Event
from ..logs import log
from ..settings import Settings
from ..vms.client import VmListClient, VmListError
from . import watch
from .exchange import (
    ConfigFetchError,
    DrainState,
    Exchange,
    ExchangeSettings,
    Handlers,
    LoadRecord,
)
from .view import PeerState

FETCH_TIMEOUT_S = 2.0


class Peering:
    """Owns the exchange with other nodes and the polling of the VM list.

    ``on_change`` is called when the live nodes or the servers in service change, so
    that shares of the nodes can be recomputed.
    """

    def __init__(
        self,
        settings: Settings,
        backends: BackendTable,
        feed: ConfigFeed,
        on_change: Callable[[], None],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._settings = settings
        self._backends = backends
        self._feed = feed
        self._on_change = on_change
        self._rng = rng
        self._clock = clock
        self._vms = VmListClient(settings.vms_url)
        self._tasks: list[gevent.Greenlet] = []
        handlers = Handlers(
            on_load=self._apply_load,
            on_cold=self._apply_cold,
            on_drain=self._apply_drain,
            on_config=self._apply_config,
            on_peers=on_change,
        )
        self._exchange = Exchange(
            ExchangeSettings(
                name=settings.name,
                data_centre=settings.data_centre,
                region=settings.region,
                key=Path(settings.cluster_key_file).read_bytes().strip(),
                listen=settings.node_address,
                bytes_per_s=settings.link_send_bytes_per_s,
                load_scope=settings.load_scope,
            ),
            rng,
            handlers,
            clock,
        )

    @property
    def address(self) -> str:
        """Return the address that other nodes connect to, as ``host:port``."""
        return self._exchange.address

    @property
    def node_count(self) -> int:
        """Return the number of live nodes, including this one."""
        return 1 + len(self.live_names)

    @property
    def node_index(self) -> int:
        """Return the position of this node in the sorted names of the live nodes."""
        return sum(name < self._settings.name for name in self.live_names)

    @property
    def live_names(self) -> list[str]:
        """Return the names of the other live nodes."""
        return [p.name for p in self._exchange.peers() if p.state is PeerState.LIVE]

    @property
    def listed_count(self) -> int:
        """Return the number of other nodes in the VM list."""
        return sum(peer.listed for peer in self._exchange.peers())

    @property
    def newest_version(self) -> int:
        """Return the newest configuration version that is known to exist."""
        return self._exchange.newest_version

    @property
    def counters(self) -> Mapping[str, int]:
        """Return the counters of the exchange."""
        return self._exchange.counters

    @property
    def refused_count(self) -> int:
        """Return the number of rejected frames."""
        return sum(self._exchange.refused.values())

    def start(self) -> None:
        """Start connecting to the other nodes and polling the VM list."""
        self._vms.start()
        self._exchange.start()
        self._poll_vms()
        self._tasks.append(gevent.spawn(self._run))

    def close(self) -> None:
        """Stop polling and close all links."""
        gevent.killall(self._tasks)
        self._exchange.close()
        self._vms.close()

    def leave(self) -> None:
        """Announce to the other nodes that this one is stopping."""
        self._exchange.leave(self._clock())

    def status(self) -> dict:
        """Return the peers, links and counters for the operator API."""
        return self._exchange.status(self._clock())

    def fetch_config(self) -> bool:
        """Load the configuration from peers while the store is down."""
        if not self._exchange.peers():
            return False
        try:
            version, sections = self._exchange.fetch_config(FETCH_TIMEOUT_S)
        except ConfigFetchError:
            return False
        return self._feed.apply_if_newer(version, _encode_sections(sections))

    def publish_config(self, version: int, sections: Mapping[str, str]) -> None:
        """Publish a configuration that was read from the store."""
        values = {name: pyjson5.decode(text) for name, text in sections.items()}
        self._exchange.publish_config(version, values)

    def publish_drain(self, target: str, drained: bool) -> None:
        """Drain or return ``data_centre/<name>`` or ``backend/<id>`` on all nodes."""
        state = DrainState.DRAINED if drained else DrainState.RETURNED
        self._exchange.publish_drain(target, state, self._clock())
        self._apply_drain(target, state)

    def publish_load(self, backend_id: str, load: LoadReport, now_s: float) -> None:
        """Publish the load report of a watched backend server."""
        self._exchange.publish_load(_to_load_record(backend_id, load, now_s), now_s)

    def publish_cold(self, backend_id: str, cold: bool, now_s: float) -> None:
        """Publish that a watched engine is cold, or warm again."""
        self._exchange.publish_cold(backend_id, cold, now_s)

    def watched_backends(self, config: Config) -> set[str]:
        """Return the backend servers that this node watches.

        A server is watched by nodes of its data centre or, if none of these is
        live, by two of all live nodes.
        """
        now_s = self._clock()
        live = [p for p in self._exchange.peers() if p.state is PeerState.LIVE]
        ids_by_data_centre: dict[str, list[str]] = {}
        for backend in config.backends.values():
            ids_by_data_centre.setdefault(backend.data_centre, []).append(backend.id)
        live_data_centres = {peer.data_centre for peer in live} | {
            self._settings.data_centre
        }
        own = self._settings.name
        names = [peer.name for peer in live] + [own]
        found = set(
            self._exchange.watched_engines(
                ids_by_data_centre.get(self._settings.data_centre, []), now_s
            )
        )
        for data_centre, backend_ids in ids_by_data_centre.items():
            if data_centre not in live_data_centres:
                found |= _watched_among(own, backend_ids, names)
        self._exchange.register_ids(config.backends)
        return found

    def _apply_load(self, record: LoadRecord) -> None:
        entry = self._backends.get(record.id)
        if entry is None or entry.reported_s >= record.reported_s:
            return
        load = LoadReport(
            boot_id=entry.load.boot_id,
            state=record.state,
            kv_capacity_tokens=record.kv_capacity_tokens,
            kv_used_tokens=record.kv_used_tokens,
            queued_prefill_tokens=record.queued_prefill_tokens,
            running=record.running,
            prefill_tokens_per_s=record.prefill_tokens_per_s,
        )
        self._backends.record_load(record.id, load, record.reported_s)

    def _apply_cold(self, backend_id: str, cold: bool) -> None:
        self._backends.mark_cold(backend_id, cold, self._clock())

    def _apply_drain(self, target: str, state: DrainState) -> None:
        drained = state is DrainState.DRAINED
        self._backends.override_drain(target, drained)
        event = Event.DRAIN_APPLIED if drained else Event.RETURN_APPLIED
        log(event, target=target)
        self._on_change()

    def _apply_config(
        self, version: int, sections: Mapping[str, object] | None
    ) -> None:
        if sections is None:
            self._feed.poll()
            return
        self._feed.apply_if_newer(
            version, {**self._feed.sections, **_encode_sections(sections)}
        )

    def _run(self) -> None:
        while True:
            gevent.sleep(self._settings.vms_poll_interval_s * self._rng.uniform(0.7, 1))
            run_step(self._poll_vms)

    def _poll_vms(self) -> None:
        try:
            vms = self._vms.read()
        except VmListError as error:
            log(Event.VMS_UNKNOWN, error=error)
            return
        peers = [
            {
                "name": vm.name,
                "address": vm.address,
                "data_centre": vm.data_centre,
                "region": vm.region,
                "state": vm.state,
            }
            for vm in vms
            if vm.name != self._settings.name
        ]
        self._exchange.set_peers(peers)


def _encode_sections(sections: Mapping[str, object]) -> dict[str, str]:
    return {
        name: msgspec.json.encode(value).decode() for name, value in sections.items()
    }


def _to_load_record(backend_id: str, load: LoadReport, now_s: float) -> LoadRecord:
    return LoadRecord(
        id=backend_id,
        state=load.state,
        kv_capacity_tokens=load.kv_capacity_tokens,
        kv_used_tokens=load.kv_used_tokens,
        queued_prefill_tokens=load.queued_prefill_tokens,
        running=load.running,
        prefill_tokens_per_s=load.prefill_tokens_per_s,
        reported_s=now_s,
    )


def _watched_among(own: str, backend_ids: Iterable[str], names: list[str]) -> set[str]:
    return {b for b in backend_ids if watch.rank(own, b, names) is not None}
