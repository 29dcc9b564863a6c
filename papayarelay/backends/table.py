"""What a node knows about the backend servers."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ..circuit import Circuit
from ..config import Backend, Config
from ..cost import Cost
from ..routing import BackendView, assign_homes, size_class
from ..warmup import WarmUp
from .load import LoadReport
from .pool import BackendPool

# An engine counts as warm once it has answered this many times its cold bound.
FULL_COLD_BOUNDS = 16


class Work:
    """A request of this node that runs on a backend server."""

    def __init__(self, cost: Cost, sent_s: float):
        self.cost = cost
        self.sent_s = sent_s
        self.prefilled = False

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens that the server may still have to compute."""
        return 0 if self.prefilled else self.cost.prefill_tokens


@dataclass
class BackendEntry:
    """One backend server: its configuration, connections, load and own work."""

    id: str
    config: Backend
    pool: BackendPool
    warm_up: WarmUp
    circuit: Circuit
    load: LoadReport = LoadReport()
    reported_s: float = 0.0
    work: set[Work] = field(default_factory=set)

    def report_age_s(self, now_s: float) -> float | None:
        """Return the age of the load report, None before the first one."""
        return round(now_s - self.reported_s, 1) if self.reported_s else None


class BackendTable:
    """The backend servers of the configuration in force."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._entries: dict[str, BackendEntry] = {}
        self._config = Config()
        self._marks: dict[str, bool] = {}
        self._cold: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._homes: frozenset[str] = frozenset()

    @property
    def entries(self) -> list[BackendEntry]:
        """Return all backend servers, also those that take no new work."""
        return list(self._entries.values())

    @property
    def drained(self) -> list[str]:
        """Return the data centres and backend servers that get no new work."""
        states = {f"data_centre/{n}": d for n, d in self._config.data_centres.items()}
        states |= {f"backend/{n}": b for n, b in self._config.backends.items()}
        return sorted(
            target
            for target, item in states.items()
            if self._marks.get(target) or item.state != "active"
        )

    def get(self, backend_id: str) -> BackendEntry | None:
        """Return one backend server, or None."""
        return self._entries.get(backend_id)

    def apply(self, config: Config) -> None:
        """Follow a new configuration; running requests keep their connections."""
        self._config = config
        for backend_id in set(self._entries) - set(config.backends):
            self._entries.pop(backend_id).pool.close()
        for backend_id, backend in config.backends.items():
            entry = self._entries.get(backend_id)
            if entry is not None and entry.config.url == backend.url:
                entry.config = backend
                continue
            if entry is not None:
                entry.pool.close()
            self._entries[backend_id] = self._create(backend_id, backend)

    def mark_drained(self, target: str, drained: bool) -> None:
        """Drain a target besides those that the configuration drains.

        ``target`` is ``data_centre/<name>`` or ``backend/<id>``.  A return ends
        the mark only: a target that the configuration drains stays drained.
        """
        self._marks[target] = drained

    def adopt_drain(self, target: str) -> None:
        """Drain a target unless a mark has said otherwise since."""
        self._marks.setdefault(target, True)

    def is_watched(self, backend_id: str) -> bool:
        """Return whether this node watches a server."""
        return backend_id in self._watched

    def mark_cold(self, backend_id: str, cold: bool) -> None:
        """Note what a watcher says of an engine."""
        (self._cold.add if cold else self._cold.discard)(backend_id)

    def set_watched(self, backend_ids: Iterable[str]) -> None:
        """Set the servers that this node watches; a cold engine serves no other."""
        self._watched = frozenset(backend_ids)

    def set_homes(self, node: str, nodes: Collection[str]) -> None:
        """Divide the engines in service among the nodes that prefer them."""
        engines = [
            entry.id
            for entry in self._entries.values()
            if entry.config.target == "engine" and not self._is_drained(entry.config)
        ]
        homes = assign_homes(engines, nodes)
        self._homes = frozenset(e for e, names in homes.items() if node in names)

    def record_load(self, backend_id: str, load: LoadReport, now_s: float) -> bool:
        """Keep a load report; return whether it shows that the server is cold."""
        entry = self._entries.get(backend_id)
        if entry is None:
            return False
        restarted = entry.load.boot_id not in ("", load.boot_id)
        turned_cold = load.state == "cold" and entry.load.state != "cold"
        if restarted or turned_cold:
            entry.warm_up.turn_cold(now_s)
        entry.load = load
        entry.reported_s = now_s
        return restarted or turned_cold

    def record_rate(
        self, backend_id: str, prefill_tokens_per_s: float, now_s: float
    ) -> None:
        """Note the speed that a watched server reports; a fall means cold."""
        entry = self._entries.get(backend_id)
        if entry is not None and entry.config.target == "engine":
            entry.warm_up.record_rate(prefill_tokens_per_s, now_s)

    def views(self, target: str, name: str, now_s: float) -> list[BackendView]:
        """Return the servers that may take new work.

        ``name`` is the model for the target ``engine`` and the kind for
        ``service``.
        """
        return [
            self._view(entry)
            for entry in self._entries.values()
            if self._serves(entry.config, target, name)
            and entry.circuit.is_ready(now_s)
        ]

    def hold(self, entry: BackendEntry, cost: Cost, now_s: float) -> Work:
        """Count a request as own work on a server until it is released."""
        work = Work(cost, now_s)
        entry.work.add(work)
        return work

    def release(self, entry: BackendEntry, work: Work) -> None:
        """Stop counting a request."""
        entry.work.discard(work)

    def close(self) -> None:
        """Close all connections."""
        for entry in self._entries.values():
            entry.pool.close()
        self._entries.clear()

    def _create(self, backend_id: str, backend: Backend) -> BackendEntry:
        pool = BackendPool(backend_id, backend.url)
        pool.start()
        warm_up = WarmUp(
            backend.cold_bound_tokens, backend.cold_bound_tokens * FULL_COLD_BOUNDS
        )
        circuit = Circuit(random.Random(self._rng.random()))
        return BackendEntry(backend_id, backend, pool, warm_up, circuit)

    def _serves(self, backend: Backend, target: str, name: str) -> bool:
        if backend.target != target:
            return False
        if self._is_drained(backend):
            return False
        return name in (backend.models if target == "engine" else backend.kinds)

    def _is_drained(self, backend: Backend) -> bool:
        data_centre = self._config.data_centres[backend.data_centre]
        targets = (
            (f"data_centre/{data_centre.name}", data_centre.state),
            (f"backend/{backend.id}", backend.state),
        )
        return any(
            self._marks.get(target) or state != "active" for target, state in targets
        )

    def _bound(self, entry: BackendEntry) -> int | None:
        """Return how many tokens in flight this node may have on a server."""
        if entry.id in self._watched:
            return entry.warm_up.bound_tokens
        cold = entry.id in self._cold or entry.load.state == "cold"
        return 0 if cold else None

    def _view(self, entry: BackendEntry) -> BackendView:
        load = entry.load
        unseen = [work for work in entry.work if work.sent_s > entry.reported_s]
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
            own_inflight=len(entry.work),
            own_prefill_tokens=sum(work.prefill_tokens for work in entry.work),
            bound=self._bound(entry),
            own_tokens=sum(work.cost.kv_tokens for work in entry.work),
            sent_prefill_tokens=sum(work.prefill_tokens for work in unseen),
            sent_kv_tokens=sum(work.cost.kv_tokens for work in unseen),
            own_prefill_by_size=_prefill_by_size(entry.work),
            home=entry.id in self._homes,
        )


def _prefill_by_size(work: Iterable[Work]) -> tuple[int, int, int]:
    sizes = [0, 0, 0]
    for each in work:
        sizes[size_class(each.cost.prefill_tokens)] += each.prefill_tokens
    return (sizes[0], sizes[1], sizes[2])
