"""In-flight work on backend servers: this node's requests and peers' reports."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from ..cost import Cost
from ..routing import EngineWork, size_class


class InFlightWork:
    """A request of this node in flight on a backend server, or a part of one.

    ``prefill_s`` is the estimated prefill time, ``queue_s`` the estimated time in the
    prefill queue before it.  With ``partial_prefill``, the server only prefills a
    part of the prompt for the engine that decodes; ``tokens`` is the KV cache held.
    """

    def __init__(
        self,
        cost: Cost,
        sent_s: float,
        prefill_s: float = 0.0,
        partial_prefill: bool = False,
        tokens: int | None = None,
        queue_s: float = 0.0,
    ):
        self.cost = cost
        self.sent_s = sent_s
        self._prefill_start_s = sent_s + queue_s
        self.prefill_s = prefill_s
        self.partial_prefill = partial_prefill
        self.tokens = cost.kv_tokens if tokens is None else tokens
        self.prefilled = False

    def remaining_prefill_s(self, now_s: float) -> float:
        """Return the estimated remaining prefill time."""
        elapsed_s = max(0.0, now_s - self._prefill_start_s)
        return max(0.0, self.prefill_s - elapsed_s)

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens still to be prefilled (0 or all)."""
        return 0 if self.prefilled else self.cost.prefill_tokens


@dataclass(frozen=True)
class WorkTotals:
    """Aggregates of this node's in-flight work on a server.

    All but ``inflight`` count tokens; ``unreported`` ones were sent after the last load
    report.
    """

    inflight: int
    prefill_tokens: int
    tokens: int
    unreported_prefill_tokens: int
    unreported_tokens: int
    prefill_by_size: tuple[int, int, int]


class PeerWork:
    """In-flight work of the peers, as last reported by each."""

    def __init__(self):
        self._reports: dict[str, tuple[float, Mapping[str, EngineWork]]] = {}

    def set(self, peer: str, work: Mapping[str, EngineWork], now_s: float) -> None:
        """Replace the report of a peer."""
        self._reports[peer] = (now_s, work)

    def forget(self, peer: str) -> None:
        """Drop the report of a peer."""
        self._reports.pop(peer, None)

    def total_on(self, backend_id: str, now_s: float) -> EngineWork:
        """Return the total in-flight work of all peers on a server."""
        total = EngineWork()
        for reported_at_s, work in self._reports.values():
            each = work.get(backend_id)
            if each is not None:
                total += each.after(now_s - reported_at_s)
        return total

    def age_s(self, backend_id: str, now_s: float) -> float:
        """Return the age of the oldest peer report with work on a server, or 0."""
        ages = (now_s - t for t, work in self._reports.values() if backend_id in work)
        return max(ages, default=0.0)


def compute_totals(work: Collection[InFlightWork], reported_s: float) -> WorkTotals:
    """Aggregate in-flight work, given the time of the last load report."""
    unreported = [each for each in work if each.sent_s > reported_s]
    sizes = [0, 0, 0]
    for each in work:
        sizes[size_class(each.cost.prefill_tokens)] += each.prefill_tokens
    return WorkTotals(
        inflight=len(work),
        prefill_tokens=sum(sizes),
        tokens=sum(each.tokens for each in work),
        unreported_prefill_tokens=sum(each.prefill_tokens for each in unreported),
        unreported_tokens=sum(each.tokens for each in unreported),
        prefill_by_size=(sizes[0], sizes[1], sizes[2]),
    )
