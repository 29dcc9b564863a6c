"""The request pipeline of a node: queue, placement, dispatch and streams."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from .admission import AdmissionQueue
from .backends.monitor import StreamMonitor
from .backends.protocol import CHAT, Protocol
from .backends.table import BackendTable
from .dispatch import Dispatcher
from .metrics import Metrics
from .nodes.permits import Permits
from .poison.guard import PoisonGuard
from .reservations import Reservations
from .retry import RetryBudget, SharedRetryBudget
from .scheduler import Scheduler


class Serving:
    """Owns and connects the components between callers and backend servers.

    ``on_failure`` is called with the id of a server that failed an attempt.
    ``on_work`` is called when the work of this node on a server has changed; its
    argument says whether the other nodes must be informed at once.  ``permits`` are
    the node's permits for servers with a rate limit.  ``guard`` keeps requests that
    crash engines from harming others; by default, it knows only what this node has
    seen.
    """

    def __init__(
        self,
        policy: object,
        queue: AdmissionQueue,
        budget: RetryBudget | SharedRetryBudget,
        rng: random.Random,
        clock: Callable[[], float],
        protocol: Protocol = CHAT,
        on_failure: Callable[[str], None] = lambda backend_id: None,
        on_work: Callable[[bool], None] = lambda urgent: None,
        permits: Permits | None = None,
        guard: PoisonGuard | None = None,
    ):
        self.budget = budget
        self._clock = clock
        self.guard = guard or PoisonGuard("", rng)
        self.backends = BackendTable(
            rng,
            protocol,
            on_leaving=lambda: on_work(True),
            clock=clock,
            permits=permits,
        )
        self.scheduler = Scheduler(
            self.backends, policy, queue, rng, clock, self.guard, on_work
        )
        self._monitor = StreamMonitor(clock)
        self._reservations = Reservations(f"{rng.getrandbits(48):012x}", clock)
        self.dispatcher = Dispatcher(
            self.scheduler,
            self._monitor,
            budget,
            on_failure,
            self._reservations,
            self.guard,
            clock,
        )

    def register_metrics(self, metrics: Metrics) -> None:
        """Export the gauges and counters of these components."""
        counters = self.dispatcher.counters
        queue = self.scheduler.queue
        metrics.register_gauge("requests_queued", "Requests queued", lambda: len(queue))
        metrics.register_gauge(
            "limited_servers",
            "Backend servers that name a rate limit",
            lambda: self.backends.limited_count,
        )
        metrics.register_counter(
            "chunks_dropped",
            "Chunks that were not passed on to a caller",
            lambda: {
                "other_request": counters.other_request,
                "duplicate": counters.duplicate,
                "malformed": counters.malformed,
            },
        )
        self._register_segment_metrics(metrics)
        metrics.register_counter(
            "suspect_requests",
            "Requests rejected, isolated or held since they may crash engines",
            lambda: self.guard.counts,
        )
        metrics.register_counter(
            "retries",
            "Attempts after the first",
            lambda: {"failure": self.dispatcher.retries},
        )

    def _register_segment_metrics(self, metrics: Metrics) -> None:
        """Export what is known of prompt segments that may crash engines."""

        def segments(value: str) -> Iterator[tuple[float, dict[str, str]]]:
            for each in self.guard.describe(self._clock()):
                verdict = "harmful" if each.harmful else "suspect"
                kind = "request" if each.whole else "segment"
                labels = {"segment": each.segment, "kind": kind, "verdict": verdict}
                yield getattr(each, value), labels

        observe = metrics.register_labelled_gauge
        observe(
            "segment_crashes",
            "Crashes of engines that a prompt segment is blamed for",
            lambda: segments("crashes"),
        )
        observe(
            "segment_reporters",
            "Nodes that have seen the crashes that a prompt segment is blamed for",
            lambda: segments("reporters"),
        )
        observe(
            "segment_age_seconds",
            "Time since this node learnt of the first crash with a prompt segment",
            lambda: segments("age_s"),
        )

    def start(self) -> None:
        """Start the scheduling of requests and the monitoring of streams."""
        self.scheduler.start()
        self._monitor.start()
        self._reservations.start()
        self.backends.reachability_probe.start()

    def close(self) -> None:
        """Stop the tasks and close all connections to backend servers."""
        self.scheduler.close()
        self._monitor.close()
        self._reservations.close()
        self.backends.reachability_probe.close()
        self.backends.close()
