"""A node's registry of backend servers: their state and routing eligibility."""

from __future__ import annotations

import functools
import math
import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

import msgspec

from ..circuit import Circuit
from ..config import Backend, Config
from ..cost import Cost
from ..events import Event
from ..logs import log
from ..nodes.groups import Group, group_engines
from ..nodes.permits import Permits
from ..routing import BackendView, EngineWork, assign_homes
from ..warmup import WarmUp
from .backend_entry import BackendEntry
from .in_flight_work import InFlightWork, PeerWork
from .load_report import LoadReport
from .pool import MAX_IDLE_CONNECTIONS, BackendPool
from .protocol import CHAT, Protocol, ServerSignals
from .reachability import Reachability, ReachabilityProbe
from .restriction import Incarnation, Permit, Restrictions

# An engine counts as warm once the tokens of its completed responses reach this
# multiple of its cold-start bound.
WARM_TOKENS_FACTOR = 16
# Expiry of load reports: without it, the last report of a full engine would block it
# for ever if no further report arrives.  Reports relayed by other nodes are up to 8 s
# old in normal operation.
LOAD_REPORT_TTL_S = 20.0
# Fraction of a server's connection limit that all nodes together may keep idle.
IDLE_CONNECTIONS_FRACTION = 0.5
# With less than this fraction of its own engines available, a group uses all engines.
MIN_SCOPE_FRACTION = 0.5
# Fraction of a cold server's request rate limit that all nodes together use.
COLD_RATE_FRACTION = 0.8


class BackendTable:
    """Registry of the backend servers of the current configuration.

    ``protocol`` is the wire protocol of all servers.  ``on_leaving`` is called when a
    response signals that its server is leaving.  ``permits`` are those of this node
    for servers with a rate limit; by default, it issues them alone.
    """

    def __init__(
        self,
        rng: random.Random,
        protocol: Protocol = CHAT,
        on_leaving: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
        permits: Permits | None = None,
    ):
        self._rng = rng
        self._on_leaving = on_leaving
        self._clock = clock
        self._permits = permits or Permits("", "", Restrictions(), random.Random(0))
        self._restrictions = self._permits.restrictions
        self._reachability = Reachability()
        self.reachability_probe = ReachabilityProbe(
            self._reachability, self._addresses_in, self._record_reachable, rng
        )
        self._paused_until_s = 0.0
        self._protocol = protocol
        self._own_node = ""
        self._group = Group("all", "", ("",))
        self._groups: tuple[Group, ...] = (self._group,)
        self._scope: frozenset[str] | None = None
        self._peers = PeerWork()
        self._entries: dict[str, BackendEntry] = {}
        self._config = Config()
        self._drain_overrides: dict[str, bool] = {}
        self._cold: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._homes: frozenset[str] = frozenset()

    @property
    def entries(self) -> list[BackendEntry]:
        """Return all backend servers, including those that take no new work."""
        return list(self._entries.values())

    @property
    def limited_count(self) -> int:
        """Return the number of servers that name a rate limit."""
        return sum(
            entry.pool.restriction.limit.is_limited for entry in self._entries.values()
        )

    @property
    def drained(self) -> list[str]:
        """Return the data centres and backend servers that are out of service."""
        items = {f"data_centre/{n}": d for n, d in self._config.data_centres.items()}
        items |= {f"backend/{n}": b for n, b in self._config.backends.items()}
        return sorted(
            target
            for target, item in items.items()
            if self._is_out_of_service(target, item.state)
        )

    def get(self, backend_id: str) -> BackendEntry | None:
        """Return the backend server with an id, or None."""
        return self._entries.get(backend_id)

    def find(self, name: str) -> BackendEntry | None:
        """Return the backend server with an id or ``host:port`` address, or None."""
        found = self._entries.get(name)
        if found is not None or ":" not in name:
            return found
        entries = self._entries.values()
        return next((each for each in entries if each.pool.address == name), None)

    def apply(self, config: Config) -> None:
        """Apply a new configuration; requests in flight keep their connections."""
        self._config = config
        for backend_id in set(self._entries) - set(config.backends):
            self._entries.pop(backend_id).pool.close()
        for backend_id, backend in config.backends.items():
            entry = self._entries.get(backend_id)
            if entry is not None and _is_same_incarnation(entry.config, backend):
                entry.config = backend
            else:
                if entry is not None:
                    entry.pool.close()
                entry = self._create(backend_id, backend)
                self._entries[backend_id] = entry
            entry.service = config.services.get(backend.service)
        self._update_shares()

    def set_groups(self, own: str, groups: tuple[Group, ...]) -> None:
        """Set the node groups, which share engines and connection and rate limits."""
        self._own_node = own
        self._groups = groups
        self._group = next(group for group in groups if own in group.nodes)
        self._update_shares()

    def set_peer_work(
        self, peer: str, work: Mapping[str, EngineWork], now_s: float
    ) -> None:
        """Replace the in-flight work that a peer reports, by server id."""
        self._peers.set(peer, work, now_s)

    def forget_peer(self, peer: str) -> None:
        """Drop the in-flight work of a peer that is gone."""
        self._peers.forget(peer)

    def own_work(self, now_s: float) -> dict[str, EngineWork]:
        """Return the work of this node's requests in flight, by server id."""
        return {
            entry.id: entry.own_work(now_s)
            for entry in self._entries.values()
            if entry.work
        }

    def leaving_to_announce(self, now_s: float) -> tuple[Incarnation, ...]:
        """Return the leaving servers of which peers must be notified."""
        return self._restrictions.leaving_to_announce(now_s)

    def record_peer_leaving(self, incarnations: Iterable[Incarnation]) -> None:
        """Record servers that a peer reports as leaving."""
        for incarnation in incarnations:
            self._restrictions.get_or_create(incarnation).record_peer_leaving()

    def any_restricted(self, now_s: float) -> bool:
        """Return whether any server may have paused or limited requests now."""
        return now_s < self._paused_until_s or self.any_limited

    @property
    def any_limited(self) -> bool:
        """Return whether any server names a rate limit."""
        return self._permits.any_limited

    def lacking_permits(
        self, backend_ids: Iterable[str], now_s: float
    ) -> tuple[BackendEntry, ...]:
        """Return the servers to which no request may be sent without a permit."""
        entries = (self._entries[backend_id] for backend_id in backend_ids)
        return tuple(
            entry for entry in entries if not self._has_permit(entry, now_s, None)
        )

    def ask_permits(
        self,
        entries: Iterable[BackendEntry],
        request_id: str,
        max_wait_s: float,
        now_s: float,
    ) -> bool:
        """Ask for permits for a request; return whether replies are about to come."""
        awaits = False
        for entry in entries:
            self._permits.ask(entry.incarnation, request_id, max_wait_s, now_s)
            awaits |= self._permits.awaits_reply(entry.incarnation, now_s)
        return awaits

    def permits_start_s(
        self, entries: Iterable[BackendEntry], request_id: str, now_s: float
    ) -> float:
        """Return the time until the permits for a request start, or infinity."""
        return max(
            self._permits.start_s(entry.incarnation, request_id, now_s)
            for entry in entries
        )

    def take_permit(
        self, backend_id: str, request_id: str, now_s: float
    ) -> Permit | None:
        """Return a permit for a request to be sent now, or None."""
        return self._permits.take(
            self._entries[backend_id].incarnation, request_id, now_s
        )

    def withdraw_demand(self, request_id: str) -> None:
        """Ask for no more permits for a request."""
        self._permits.forget(request_id)

    def shortest_pause_s(
        self, target: str, name: str, request_id: str, now_s: float
    ) -> float:
        """Return the time until a server may take a request, 0 if one may now.

        Only pauses and rate limits count.
        """
        first_s = 0.0
        for entry in self._in_service(target, name, now_s):
            left_s = max(
                entry.pool.restriction.remaining_pause_s(now_s),
                self._permits.wait_s(entry.incarnation, request_id, now_s),
            )
            if not left_s:
                return 0.0
            first_s = min(first_s or left_s, left_s)
        return first_s

    def total_work(self, backend_id: str, now_s: float) -> tuple[EngineWork, float]:
        """Return the work of all nodes on a server, and the oldest report's age.

        The age is 0 if no peer has work there.
        """
        work = self._peers.total_on(backend_id, now_s)
        entry = self._entries.get(backend_id)
        if entry is not None:
            work += entry.own_work(now_s)
        return work, self._peers.age_s(backend_id, now_s)

    def record_cold_start(self, backend_id: str, left_s: float, now_s: float) -> None:
        """Record the remaining cold-start time that a server reports."""
        entry = self._entries.get(backend_id)
        if entry is None or (left_s <= 0 and not entry.is_cold(now_s)):
            return
        per_s = entry.service.cold_per_s if entry.service else 0.0
        limit_per_s = COLD_RATE_FRACTION * per_s if per_s else math.inf
        entry.pool.restriction.record_cold_start(limit_per_s, left_s, now_s)
        self._permits.apply_rate(entry.incarnation, now_s)

    def _update_shares(self) -> None:
        """Compute this node's share of the engines and of fleet-wide limits."""
        engines = {
            entry.id: entry.config.data_centre
            for entry in self._entries.values()
            if entry.service is not None
            and entry.service.timing
            and not self._is_drained(entry.config)
        }
        self._scope = group_engines(self._group, self._groups, engines)
        for entry in self._entries.values():
            if entry.service is not None:
                self._share_connections(entry)

    def _senders(self, entry: BackendEntry) -> tuple[str, ...]:
        """Return the nodes that send requests to a server."""
        if entry.service.timing:
            return self._group.nodes
        return tuple(name for group in self._groups for name in group.nodes)

    def _share_connections(self, entry: BackendEntry) -> None:
        most = entry.service.max_connections
        if most:
            share = int(most * IDLE_CONNECTIONS_FRACTION / len(self._senders(entry)))
            entry.pool.max_idle_connections = min(MAX_IDLE_CONNECTIONS, share)

    def override_drain(self, target: str, drained: bool) -> None:
        """Override the drain state of a target.

        ``target`` is ``data_centre/<name>`` or ``backend/<id>``.  ``False`` only
        ends an earlier override: a target drained by configuration stays drained.
        """
        self._drain_overrides[target] = drained

    def drain_unless_overridden(self, target: str) -> None:
        """Drain a target unless an override for it exists already."""
        self._drain_overrides.setdefault(target, True)

    def is_watched(self, backend_id: str) -> bool:
        """Return whether this node polls the load of a server."""
        return backend_id in self._watched

    def mark_cold(self, backend_id: str, cold: bool, now_s: float) -> None:
        """Record a watcher's report that an engine is cold or warm.

        If this node watches the engine too, it starts its own ramp.
        """
        (self._cold.add if cold else self._cold.discard)(backend_id)
        if cold and backend_id in self._watched:
            self._turn_cold(backend_id, now_s)

    def set_watched(self, backend_ids: Iterable[str], now_s: float) -> None:
        """Set the servers that this node watches.

        Only its watchers send work to a cold engine.  A new watcher starts a ramp of
        its own; otherwise the engine would get unlimited work and never be
        reported as warm.
        """
        watched = frozenset(backend_ids)
        for backend_id in (watched - self._watched) & self._cold:
            self._turn_cold(backend_id, now_s)
        self._watched = watched

    def set_homes(self, node: str, nodes: Collection[str]) -> None:
        """Assign home nodes to the engines in service; keep the engines of ``node``."""
        engines = [
            entry.id
            for entry in self._entries.values()
            if entry.config.target == "engine" and not self._is_drained(entry.config)
        ]
        homes = assign_homes(engines, nodes)
        self._homes = frozenset(e for e, names in homes.items() if node in names)

    def record_load(self, backend_id: str, load: LoadReport, now_s: float) -> bool:
        """Store a load report; return whether the server has just turned cold.

        A changed boot id (a restart) counts as turning cold.
        """
        entry = self._entries.get(backend_id)
        if entry is None:
            return False
        restarted = entry.load.boot_id not in ("", load.boot_id)
        turned_cold = load.state == "cold" and entry.load.state != "cold"
        if restarted or turned_cold:
            entry.warm_up.turn_cold(now_s)
        entry.load = load
        entry.reported_s = now_s
        entry.invalidate_totals()
        return restarted or turned_cold

    def record_rate(
        self, backend_id: str, prefill_tokens_per_s: float, now_s: float
    ) -> None:
        """Record a watched engine's prefill rate; a drop indicates a cold engine."""
        entry = self._entries.get(backend_id)
        if entry is not None and entry.config.target == "engine":
            entry.warm_up.record_rate(prefill_tokens_per_s, now_s)

    def _turn_cold(self, backend_id: str, now_s: float) -> None:
        entry = self._entries.get(backend_id)
        if entry is not None and not entry.warm_up.cold:
            entry.warm_up.turn_cold(now_s)

    def serves(self, target: str, name: str, now_s: float) -> bool:
        """Return whether any server may take new work, now or shortly.

        Unlike in ``views``, servers that are ejected or paused count.
        """
        return any(self._in_service(target, name, now_s))

    def views(
        self,
        target: str,
        name: str,
        now_s: float,
        permit_wait_s: float | None = None,
    ) -> list[BackendView]:
        """Return routing views of the servers that may take new work.

        ``name`` is the model if ``target`` is ``engine`` and the kind if it is
        ``service``.  Of the servers with a rate limit, only those with a permit
        count, or with ``permit_wait_s`` those with one that may start in this time.
        """
        available = self._available(target, name, now_s, permit_wait_s)
        return [self._view(entry, now_s) for entry in available]

    def hold(
        self,
        entry: BackendEntry,
        cost: Cost,
        now_s: float,
        *,
        prefill_s: float = 0.0,
        part: bool = False,
        tokens: int | None = None,
    ) -> InFlightWork:
        """Count a request as in flight on a server until it is released."""
        queue_s = 0.0
        if prefill_s:
            queue_s = self.total_work(entry.id, now_s)[0].reading_s
        work = InFlightWork(cost, now_s, prefill_s, part, tokens, queue_s)
        entry.work.add(work)
        entry.invalidate_totals()
        return work

    def record_timeout(self, entry: BackendEntry, now_s: float) -> None:
        """Record a timeout of a server, for partition detection."""
        data_centre = entry.config.data_centre
        if self._reachability.record_timeout(data_centre, entry.id, now_s):
            log(Event.DATA_CENTRE_SILENT, target=f"data_centre/{data_centre}")

    def record_reachable(self, entry: BackendEntry) -> None:
        """Record that a server is reachable."""
        self._record_reachable(entry.config.data_centre)

    def mark_prefilled(self, entry: BackendEntry, work: InFlightWork) -> None:
        """Record that a server has completed the prefill of a request."""
        if not work.prefilled:
            work.prefilled = True
            entry.invalidate_totals()

    def release(self, entry: BackendEntry, work: InFlightWork) -> None:
        """Stop counting a request as in flight."""
        entry.work.discard(work)
        entry.invalidate_totals()

    def close(self) -> None:
        """Close all connections."""
        for entry in self._entries.values():
            entry.pool.close()
        self._entries.clear()

    def _create(self, backend_id: str, backend: Backend) -> BackendEntry:
        pool = BackendPool(backend_id, backend.url, self._protocol)
        pool.start()
        incarnation = Incarnation(backend_id, backend.started)
        pool.restriction = self._restrictions.get_or_create(incarnation)
        on_signals = functools.partial(self._apply_signals, pool, incarnation)
        pool.on_signals = on_signals
        now_s = self._clock()
        limit_per_s = self._restrictions.take_successor_limit(pool.address, now_s)
        if limit_per_s is not None:
            on_signals(ServerSignals(limit_per_s=limit_per_s), None)
        warm_up = WarmUp(
            backend.cold_bound_tokens, backend.cold_bound_tokens * WARM_TOKENS_FACTOR
        )
        circuit = Circuit(random.Random(self._rng.random()))
        return BackendEntry(backend_id, backend, pool, warm_up, circuit)

    def _apply_signals(
        self,
        pool: BackendPool,
        incarnation: Incarnation,
        signals: ServerSignals,
        sent_s: float | None,
    ) -> None:
        """Apply the status signals in a server's response."""
        now_s = self._clock()
        limit = pool.restriction.limit
        per_s = signals.limit_per_s
        if per_s is not None and limit.record_response(per_s, sent_s, now_s):
            self._permits.spread(incarnation, now_s)
        if signals.successor_limit_per_s is not None:
            self._restrictions.record_successor_limit(
                pool.address, signals.successor_limit_per_s, now_s
            )
        if signals.pause_s:
            pool.restriction.record_pause(signals.pause_s, now_s)
            self._paused_until_s = max(self._paused_until_s, now_s + signals.pause_s)
            log(Event.BACKEND_PAUSED, backend=pool.backend_id, pause_s=signals.pause_s)
        if signals.leaving and pool.restriction.record_leaving(now_s):
            log(Event.BACKEND_LEAVING, backend=pool.backend_id)
            self._restrictions.start_announcing(now_s)
            self._on_leaving()

    def _available(
        self, target: str, name: str, now_s: float, permit_wait_s: float | None
    ) -> list[BackendEntry]:
        found = [
            entry
            for entry in self._in_service(target, name, now_s)
            if not entry.ejection.is_ejected(now_s)
            and not entry.pool.restriction.blocks_requests(now_s)
            and self._has_permit(entry, now_s, permit_wait_s)
        ]
        found = self._without_unreachable(found)
        if self._scope is None:
            return found
        # The work of other groups on their engines is unknown here, so use those
        # engines only if too few of the own ones are available.
        own = [entry for entry in found if entry.id in self._scope]
        listed = sum(
            each.config.service == name and each.id in self._scope
            for each in self._entries.values()
        )
        return own if listed and len(own) >= MIN_SCOPE_FRACTION * listed else found

    def _record_reachable(self, data_centre: str) -> None:
        if self._reachability.record_response(data_centre):
            log(Event.DATA_CENTRE_BACK, target=f"data_centre/{data_centre}")

    def _addresses_in(self, data_centre: str) -> list[tuple[str, int]]:
        return [
            entry.pool.socket_address
            for entry in self._entries.values()
            if entry.config.data_centre == data_centre
        ]

    def _without_unreachable(self, found: list[BackendEntry]) -> list[BackendEntry]:
        """Exclude servers in unreachable data centres, unless none would be left."""
        is_unreachable = self._reachability.is_unreachable
        reached = [e for e in found if not is_unreachable(e.config.data_centre)]
        return reached or found

    def _in_service(
        self, target: str, name: str, now_s: float
    ) -> Iterator[BackendEntry]:
        return (
            entry
            for entry in self._entries.values()
            if self._serves(entry.config, target, name)
            and not entry.pool.restriction.leaving
            and entry.circuit.is_ready(now_s)
        )

    def _has_permit(
        self, entry: BackendEntry, now_s: float, permit_wait_s: float | None
    ) -> bool:
        """Return whether a limited server may take a request, or within a time."""
        if math.isinf(entry.pool.restriction.rate_per_s(now_s)):
            return True
        if self._permits.has_permit(entry.incarnation, now_s):
            return True
        if permit_wait_s is None:
            return False
        return self._permits.may_ask(entry.incarnation, permit_wait_s, now_s)

    def _serves(self, backend: Backend, target: str, name: str) -> bool:
        if self._is_drained(backend):
            return False
        if backend.service:
            return name == backend.service
        if backend.target != target:
            return False
        return name in (backend.models if target == "engine" else backend.kinds)

    def _is_drained(self, backend: Backend) -> bool:
        data_centre = self._config.data_centres[backend.data_centre]
        return self._is_out_of_service(
            f"data_centre/{data_centre.name}", data_centre.state
        ) or self._is_out_of_service(f"backend/{backend.id}", backend.state)

    def _is_out_of_service(self, target: str, state: str) -> bool:
        return self._drain_overrides.get(target, False) or state != "active"

    def _token_limit(self, entry: BackendEntry) -> int | None:
        """Return this node's limit on tokens in flight on a server, or None."""
        if entry.id in self._watched:
            return entry.warm_up.bound_tokens
        cold = entry.id in self._cold or entry.load.state == "cold"
        return 0 if cold else None

    def _view(self, entry: BackendEntry, now_s: float) -> BackendView:
        load = entry.load
        if now_s - entry.reported_s > LOAD_REPORT_TTL_S:
            load = _without_utilisation(load)
        totals = entry.totals
        return BackendView(
            id=entry.id,
            data_centre=entry.config.data_centre,
            target=entry.config.target,
            models=entry.config.models,
            state=load.state,
            kv_capacity_tokens=load.kv_capacity_tokens,
            kv_used_tokens=load.kv_used_tokens,
            queued_prefill_tokens=load.queued_prefill_tokens,
            running=load.running,
            prefill_tokens_per_s=load.prefill_tokens_per_s,
            reported_s=entry.reported_s,
            own_inflight=totals.inflight,
            own_prefill_tokens=totals.prefill_tokens,
            own_tokens_limit=self._token_limit(entry),
            own_tokens=totals.tokens,
            sent_prefill_tokens=totals.unreported_prefill_tokens,
            sent_kv_tokens=totals.unreported_tokens,
            own_prefill_by_size=totals.prefill_by_size,
            home=entry.id in self._homes,
            work=entry.own_work(now_s) + self._peers.total_on(entry.id, now_s),
            slots=entry.config.slots,
            timing=entry.service.timing if entry.service else None,
            cold=entry.is_cold(now_s),
            slow=entry.slowdown_detector.is_slow(now_s),
        )


def _is_same_incarnation(old: Backend, new: Backend) -> bool:
    """Return whether two entries of an id describe the same server incarnation."""
    return (old.url, old.started) == (new.url, new.started)


def _without_utilisation(load: LoadReport) -> LoadReport:
    """Return an expired load report without its queue, KV cache use and batch size."""
    return msgspec.structs.replace(
        load, kv_used_tokens=0, queued_prefill_tokens=0, running=0
    )
