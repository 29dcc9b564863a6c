"""What a node knows about the backend servers."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from ..circuit import Circuit
from ..config import Backend, Config
from ..cost import Cost
from ..routing import BackendView, assign_homes, size_class
from ..warmup import WarmUp
from .load import LoadReport
from .pool import BackendPool

# An engine counts as warm once it has answered this many times its cold bound.
FULL_COLD_BOUNDS = 16
# A report of a full engine must not keep work away for ever when no further
# report arrives; records of other nodes are up to 8 s old in normal operation.
LOAD_VALID_S = 20.0


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


@dataclass(frozen=True)
class WorkFigures:
    """Sums over the own work on a server, in tokens, as views show them."""

    inflight: int
    prefill_tokens: int
    tokens: int
    unseen_prefill_tokens: int
    unseen_tokens: int
    prefill_by_size: tuple[int, int, int]


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
    _figures: WorkFigures | None = None

    @property
    def figures(self) -> WorkFigures:
        """Return the sums over the work, made anew only after a change.

        They are needed for each server at each decision.
        """
        if self._figures is None:
            self._figures = _sum_up(self.work, self.reported_s)
        return self._figures

    def forget_figures(self) -> None:
        """Note a change of the work or of the load report."""
        self._figures = None

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
        items = {f"data_centre/{n}": d for n, d in self._config.data_centres.items()}
        items |= {f"backend/{n}": b for n, b in self._config.backends.items()}
        return sorted(
            target
            for target, item in items.items()
            if self._is_out_of_service(target, item.state)
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

    def mark_cold(self, backend_id: str, cold: bool, now_s: float) -> None:
        """Note what a watcher says of an engine; a second watcher ramps as well."""
        (self._cold.add if cold else self._cold.discard)(backend_id)
        if cold and backend_id in self._watched:
            self._turn_cold(backend_id, now_s)

    def set_watched(self, backend_ids: Iterable[str], now_s: float) -> None:
        """Set the servers that this node watches; a cold engine serves no other.

        A new watcher of a cold engine begins a ramp of its own.  Without it, the
        engine would get work without a bound, and its mark would stay.
        """
        watched = frozenset(backend_ids)
        for backend_id in (watched - self._watched) & self._cold:
            self._turn_cold(backend_id, now_s)
        self._watched = watched

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
        entry.forget_figures()
        return restarted or turned_cold

    def record_rate(
        self, backend_id: str, prefill_tokens_per_s: float, now_s: float
    ) -> None:
        """Note the speed that a watched server reports; a fall means cold."""
        entry = self._entries.get(backend_id)
        if entry is not None and entry.config.target == "engine":
            entry.warm_up.record_rate(prefill_tokens_per_s, now_s)

    def _turn_cold(self, backend_id: str, now_s: float) -> None:
        entry = self._entries.get(backend_id)
        if entry is not None and not entry.warm_up.cold:
            entry.warm_up.turn_cold(now_s)

    def serves(self, target: str, name: str, now_s: float) -> bool:
        """Return whether any server may take new work; see ``views``."""
        return any(self._available(target, name, now_s))

    def views(self, target: str, name: str, now_s: float) -> list[BackendView]:
        """Return the servers that may take new work.

        ``name`` is the model for the target ``engine`` and the kind for
        ``service``.
        """
        return [
            self._view(entry, now_s) for entry in self._available(target, name, now_s)
        ]

    def hold(self, entry: BackendEntry, cost: Cost, now_s: float) -> Work:
        """Count a request as own work on a server until it is released."""
        work = Work(cost, now_s)
        entry.work.add(work)
        entry.forget_figures()
        return work

    def mark_prefilled(self, entry: BackendEntry, work: Work) -> None:
        """Note that a server has computed the prompt of a request."""
        if not work.prefilled:
            work.prefilled = True
            entry.forget_figures()

    def release(self, entry: BackendEntry, work: Work) -> None:
        """Stop counting a request."""
        entry.work.discard(work)
        entry.forget_figures()

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

    def _available(
        self, target: str, name: str, now_s: float
    ) -> Iterator[BackendEntry]:
        return (
            entry
            for entry in self._entries.values()
            if self._serves(entry.config, target, name)
            and entry.circuit.is_ready(now_s)
        )

    def _serves(self, backend: Backend, target: str, name: str) -> bool:
        if backend.target != target:
            return False
        if self._is_drained(backend):
            return False
        return name in (backend.models if target == "engine" else backend.kinds)

    def _is_drained(self, backend: Backend) -> bool:
        data_centre = self._config.data_centres[backend.data_centre]
        return self._is_out_of_service(
            f"data_centre/{data_centre.name}", data_centre.state
        ) or self._is_out_of_service(f"backend/{backend.id}", backend.state)

    def _is_out_of_service(self, target: str, state: str) -> bool:
        return self._marks.get(target, False) or state != "active"

    def _bound(self, entry: BackendEntry) -> int | None:
        """Return how many tokens in flight this node may have on a server."""
        if entry.id in self._watched:
            return entry.warm_up.bound_tokens
        cold = entry.id in self._cold or entry.load.state == "cold"
        return 0 if cold else None

    def _view(self, entry: BackendEntry, now_s: float) -> BackendView:
        load = entry.load
        if now_s - entry.reported_s > LOAD_VALID_S:
            load = _without_queue(load)
        figures = entry.figures
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
            own_inflight=figures.inflight,
            own_prefill_tokens=figures.prefill_tokens,
            bound=self._bound(entry),
            own_tokens=figures.tokens,
            sent_prefill_tokens=figures.unseen_prefill_tokens,
            sent_kv_tokens=figures.unseen_tokens,
            own_prefill_by_size=figures.prefill_by_size,
            home=entry.id in self._homes,
        )


def _without_queue(load: LoadReport) -> LoadReport:
    """Return what an old report still says: capacity, speed and state."""
    return msgspec.structs.replace(
        load, kv_used_tokens=0, queued_prefill_tokens=0, running=0
    )


def _sum_up(work: Collection[Work], reported_s: float) -> WorkFigures:
    unseen = [each for each in work if each.sent_s > reported_s]
    sizes = [0, 0, 0]
    for each in work:
        sizes[size_class(each.cost.prefill_tokens)] += each.prefill_tokens
    return WorkFigures(
        inflight=len(work),
        prefill_tokens=sum(sizes),
        tokens=sum(each.cost.kv_tokens for each in work),
        unseen_prefill_tokens=sum(each.prefill_tokens for each in unseen),
        unseen_tokens=sum(each.cost.kv_tokens for each in unseen),
        prefill_by_size=(sizes[0], sizes[1], sizes[2]),
    )
