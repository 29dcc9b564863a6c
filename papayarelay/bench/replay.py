"""Discrete-event replay of a trace in virtual time.

One process runs the routing and admission code of several nodes against engine
models.  Each node has its own queue, retry budget, circuit breakers, warm-up
ramps and its own delayed copy of the load reports.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ..admission import AdmissionQueue
from ..circuit import Circuit
from ..cost import Cost
from ..errors import OverloadError
from ..request import Request
from ..retry import RetryBudget
from ..routing import (
    POLICIES,
    BackendView,
    CostAware,
    assign_homes,
    choose,
    engine_priority,
    size_class,
)
from ..standins.load_report import READY, STARTING, LoadReport
from ..standins.model import EngineSettings
from ..warmup import WATCHERS, WarmUp
from .engine import BENCH_SETTINGS, BenchEngine
from .traces import KINDS, Deployment, TraceRequest

MODEL = "m"
REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = (0.1, 0.8)
NOTIFICATION_DELAY_S = (0.02, 0.3)
DRAIN_DELAY_S = (0.1, 1.5)
TICK_INTERVAL_S = 0.1
RESTART_DEDUPLICATION_S = 3.0
"""Restart indications within this time are attributed to the same restart."""
MAX_PREFIXES = 4096


@dataclass
class RequestRecord:
    """Timeline and outcome of one request of the trace."""

    request: TraceRequest
    admitted: bool = False
    rejected_s: float | None = None
    failed_s: float | None = None
    first_token_s: float | None = None
    finished_s: float | None = None
    deadline_s: float = 0.0
    received_tokens: int = 0
    attempts: list[tuple[float, str]] = field(default_factory=list)

    @property
    def ttft_s(self) -> float | None:
        """Return the time to first token."""
        if self.first_token_s is None:
            return None
        return self.first_token_s - self.request.arrival_s

    @property
    def latency_s(self) -> float | None:
        """Return the time to the last token."""
        if self.finished_s is None:
            return None
        return self.finished_s - self.request.arrival_s


@dataclass(frozen=True)
class Fault:
    """An injected fault: ``drain``, ``return`` or ``cold`` (restart) of engines."""

    at_s: float
    action: str
    engines: tuple[str, ...] = ()
    data_centre: str = ""


@dataclass
class ReplayResult:
    """The request records and the final engine states of a run."""

    records: list[RequestRecord]
    engines: Mapping[str, BenchEngine]
    data_centre_of: Mapping[str, str]
    end_s: float
    max_queue: int = 0


class _EngineState:
    """State of one engine as one node sees it."""

    def __init__(self, view: BackendView, warm_up: WarmUp, rng: random.Random):
        self.view = view
        self.warm_up = warm_up
        self.circuit = Circuit(rng)
        self.boot_id = ""
        self.restarted_s = -math.inf
        self.cold_marked = False
        self.available = True
        self.drained = False
        # Request id -> (time sent, prefill tokens left, tokens in flight).
        self.own_requests: dict[str, tuple[float, int, int]] = {}
        self.view_outdated = False

    def updated_view(self, watcher: bool) -> BackendView:
        """Return the view, updated with the node's own requests and warm-up limit."""
        if not self.view_outdated:
            return self.view
        reported_s = self.view.reported_s
        in_flight = self.own_requests.values()
        own_tokens_limit = self.warm_up.bound_tokens if watcher else None
        if self.cold_marked and not watcher:
            own_tokens_limit = 0
        self.view = replace(
            self.view,
            state="ready" if self.available else "down",
            own_inflight=len(self.own_requests),
            own_prefill_tokens=sum(prefill for _, prefill, _ in in_flight),
            own_prefill_by_size=self._prefill_by_size(),
            own_tokens=sum(tokens for _, _, tokens in in_flight),
            sent_prefill_tokens=sum(p for sent, p, _ in in_flight if sent > reported_s),
            sent_kv_tokens=sum(t for sent, _, t in in_flight if sent > reported_s),
            own_tokens_limit=own_tokens_limit,
        )
        self.view_outdated = False
        return self.view

    def _prefill_by_size(self) -> tuple[int, int, int]:
        sizes = [0, 0, 0]
        for _, prefill, _ in self.own_requests.values():
            sizes[size_class(prefill)] += prefill
        return tuple(sizes)


class ReplayNode:
    """Routing, admission and retries of one node."""

    def __init__(
        self,
        name: str,
        replay: Replay,
        policy: object,
        shares: Mapping[str, float],
        rng: random.Random,
    ):
        self.name = name
        self.queue = AdmissionQueue(shares)
        self._replay = replay
        self._policy = policy
        self._uses_queue = isinstance(policy, CostAware)
        self._rng = rng
        self._budget = RetryBudget()
        self._states: dict[str, _EngineState] = {}
        self._watched: set[str] = set()
        # Prefix group -> {engine id: boot id} that has it cached, in LRU order.
        self._prefixes: OrderedDict[str, dict[str, str]] = OrderedDict()
        self._undispatched: deque[Request] = deque()
        self._retries: deque[Request] = deque()
        settings = replay.settings
        for engine_id, data_centre in replay.data_centre_of.items():
            view = BackendView(
                engine_id,
                data_centre,
                "engine",
                (MODEL,),
                kv_capacity_tokens=settings.kv_capacity_tokens,
            )
            warm_up = WarmUp(
                settings.cold_bound_tokens, WATCHERS * settings.warmup_tokens
            )
            self._states[engine_id] = _EngineState(view, warm_up, rng)
            if name in replay.watchers(engine_id):
                self._watched.add(engine_id)
        self._assign_homes()

    def offer(self, request: Request, now_s: float) -> None:
        """Accept a request from a caller; raises OverloadError if it is rejected."""
        self._budget.record_request(now_s)
        if not self._uses_queue:
            self._dispatch_or_hold(request, now_s)
            return
        self.queue.offer(request, self._cost(request), now_s)
        self.dispatch_queued(now_s)

    def dispatch_queued(self, now_s: float) -> None:
        """Dispatch queued requests while an engine has capacity."""
        while self._retries and self._budget.allow(now_s):
            request = self._retries.popleft()
            if not self._uses_queue:
                self._undispatched.append(request)
                continue
            try:
                self.queue.offer(request, self._cost(request), now_s)
            except OverloadError:
                self._replay.fail_request(request)
        if not self._uses_queue:
            for _ in range(len(self._undispatched)):
                self._dispatch_or_hold(self._undispatched.popleft(), now_s)
            return
        while len(self.queue):
            chosen: BackendView | None = None

            def fits(request: Request, cost: Cost) -> bool:
                nonlocal chosen
                views = self._views(request, now_s)
                chosen = choose(self._policy, cost, views, now_s, self._rng)
                return chosen is not None

            request = self.queue.next(now_s, fits)
            if request is None or chosen is None:
                return
            self._send(request, chosen.id, now_s)

    def expire(self, now_s: float) -> list[Request]:
        """Remove and return the queued requests that can no longer finish in time."""
        expired = [each for each in self._undispatched if each.deadline_s <= now_s]
        for request in expired:
            self._undispatched.remove(request)
        return expired + self.queue.expire(now_s)

    def receive_report(
        self, engine_id: str, report: LoadReport, reported_s: float
    ) -> None:
        """Apply a load report unless a newer one has been applied."""
        state = self._states[engine_id]
        if reported_s <= state.view.reported_s:
            return
        if state.boot_id and report.boot_id != state.boot_id:
            self.mark_cold(engine_id, reported_s)
        state.boot_id = report.boot_id
        if self._uses_queue and state.warm_up.record_rate(
            report.prefill_tokens_per_s, reported_s
        ):
            self.mark_cold(engine_id, reported_s)
        state.available = report.state != STARTING
        # On a watcher only completed requests end the ramp, not the load report.
        if (
            report.state == READY
            and reported_s > state.restarted_s + RESTART_DEDUPLICATION_S
        ):
            state.cold_marked = state.cold_marked and state.warm_up.cold
        state.view = replace(
            state.view,
            kv_used_tokens=report.kv_used_tokens,
            queued_prefill_tokens=report.queued_prefill_tokens,
            running=report.running + report.waiting,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            reported_s=reported_s,
        )
        state.view_outdated = True

    def mark_cold(self, engine_id: str, at_s: float) -> bool:
        """Start the warm-up ramp of an engine; returns whether the restart is new."""
        state = self._states[engine_id]
        if at_s <= state.restarted_s + RESTART_DEDUPLICATION_S:
            return False
        state.restarted_s = at_s
        state.cold_marked = True
        state.warm_up.turn_cold(at_s)
        state.view_outdated = True
        return True

    def mark_warm(self, engine_id: str, at_s: float) -> None:
        """Readmit an engine to routing after a watcher has completed its warm-up."""
        state = self._states[engine_id]
        if at_s > state.restarted_s and engine_id not in self._watched:
            state.cold_marked = False
            state.view_outdated = True

    def set_drained(self, engine_ids: Sequence[str], drained: bool) -> None:
        """Drain engines or return them to service."""
        for engine_id in engine_ids:
            self._states[engine_id].drained = drained
            self._states[engine_id].view_outdated = True
        self._assign_homes()

    def _assign_homes(self) -> None:
        usable = [name for name, state in self._states.items() if not state.drained]
        homes = assign_homes(usable, self._replay.node_names)
        for engine_id, state in self._states.items():
            home = self.name in homes.get(engine_id, ())
            state.view = replace(state.view, home=home)

    def record_first_token(
        self, request: Request, engine_id: str, now_s: float
    ) -> None:
        """Record the first token of a request."""
        state = self._states[engine_id]
        in_flight = state.own_requests.get(request.id)
        if in_flight is not None:
            state.own_requests[request.id] = (in_flight[0], 0, in_flight[2])
        state.circuit.record_success(now_s)
        state.view_outdated = True
        trace = self._replay.trace_of(request)
        if trace.prefix_group:
            engines = self._prefixes.setdefault(trace.prefix_group, {})
            engines[engine_id] = state.boot_id
            self._prefixes.move_to_end(trace.prefix_group)
            if len(self._prefixes) > MAX_PREFIXES:
                self._prefixes.popitem(last=False)

    def record_end(
        self,
        request: Request,
        engine_id: str,
        now_s: float,
        *,
        success: bool,
        cached_tokens: int = 0,
    ) -> None:
        """Record the end of an attempt, successful (``success``) or not."""
        state = self._states[engine_id]
        in_flight = state.own_requests.pop(request.id, None)
        state.view_outdated = True
        if not success or in_flight is None or engine_id not in self._watched:
            return
        was_cold = state.warm_up.cold
        # Cached tokens need no prefill, so they do not count towards warm-up.
        tokens = in_flight[2] - cached_tokens
        state.warm_up.record_success(tokens, now_s <= request.deadline_s, now_s)
        if was_cold and not state.warm_up.cold:
            state.cold_marked = False
            self._replay.broadcast_warm(self, engine_id, now_s)

    def record_failure(self, request: Request, engine_id: str, now_s: float) -> bool:
        """Record a broken stream; returns whether the request will be retried."""
        state = self._states[engine_id]
        self.record_end(request, engine_id, now_s, success=False)
        state.circuit.record_failure(now_s)
        if self._uses_queue:
            state.warm_up.record_failure(now_s)
        if request.deadline_s <= now_s:
            return False
        # A retry that exceeds the budget waits instead of failing: the retry
        # rate stays bounded and the request may still meet its deadline.
        self._retries.append(request)
        return True

    def remove_queued(self, request: Request) -> None:
        """Remove a request that has not been dispatched."""
        self.queue.remove(request.id)
        for waiting in (self._undispatched, self._retries):
            if request in waiting:
                waiting.remove(request)

    @staticmethod
    def _cost(request: Request) -> Cost:
        return Cost(request.prompt_tokens, request.max_tokens)

    def _views(self, request: Request, now_s: float) -> list[BackendView]:
        views = []
        trace = self._replay.trace_of(request)
        cached = self._prefixes.get(trace.prefix_group) if trace.prefix_group else None
        for engine_id, state in self._states.items():
            if state.drained:
                continue
            if self._uses_queue and not state.circuit.is_ready(now_s):
                continue
            view = state.updated_view(engine_id in self._watched)
            if cached and cached.get(engine_id) == state.boot_id:
                view = replace(view, cached_tokens=trace.prefix_tokens)
            views.append(view)
        return views

    def _dispatch_or_hold(self, request: Request, now_s: float) -> None:
        views = self._views(request, now_s)
        chosen = choose(self._policy, self._cost(request), views, now_s, self._rng)
        if chosen is None:
            self._undispatched.append(request)
        else:
            self._send(request, chosen.id, now_s)

    def _send(self, request: Request, engine_id: str, now_s: float) -> None:
        state = self._states[engine_id]
        state.circuit.allow(now_s)
        tokens = request.prompt_tokens + request.max_tokens
        state.own_requests[request.id] = (now_s, request.prompt_tokens, tokens)
        state.view_outdated = True
        self._replay.send(self, request, engine_id, now_s)


class Replay:
    """One simulation run of a trace with a deployment, a policy and faults."""

    def __init__(
        self,
        trace: Sequence[TraceRequest],
        deployment: Deployment,
        policy: str | object,
        seed: int,
        *,
        settings: EngineSettings = BENCH_SETTINGS,
        faults: Sequence[Fault] = (),
        removed_engines: Sequence[str] = (),
        progress: Callable[[float], None] | None = None,
    ):
        self.settings = settings
        self._trace = trace
        self._rng = random.Random(f"replay/{seed}")
        self._progress = progress
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        names = engine_names(deployment)
        self.data_centre_of = {
            name: centre
            for name, centre in names.items()
            if name not in removed_engines
        }
        self._engines = {
            name: BenchEngine(name, settings) for name in self.data_centre_of
        }
        self._due_s: dict[str, float] = {}
        self.node_names = [f"node-{index}" for index in range(deployment.nodes)]
        shares = {member: 1 / len(deployment.members) for member in deployment.members}
        self._nodes = []
        for index, name in enumerate(self.node_names):
            node_policy = POLICIES[policy]() if isinstance(policy, str) else policy
            rng = random.Random(f"{seed}/{index}")
            self._nodes.append(ReplayNode(name, self, node_policy, shares, rng))
        self._records: list[RequestRecord] = []
        # Request id -> (node, engine id).
        self._running: dict[str, tuple[ReplayNode, str]] = {}
        self._requests: dict[str, Request] = {}
        self._open_requests = 0
        self._max_queue = 0
        for fault in faults:
            self._schedule(fault.at_s, lambda fault=fault: self._apply_fault(fault))

    def watchers(self, engine_id: str) -> list[str]:
        """Return the nodes that watch an engine, by rendezvous hashing."""
        return sorted(
            self.node_names,
            key=lambda name: hashlib.sha256(f"{engine_id}/{name}".encode()).digest(),
        )[:WATCHERS]

    def trace_of(self, request: Request) -> TraceRequest:
        """Return the trace entry of a request."""
        return self._records[int(request.id)].request

    def run(self) -> ReplayResult:
        """Run until every request has finished, failed or been rejected."""
        for engine in self._engines.values():
            phase_s = self._rng.uniform(0, REPORT_INTERVAL_S)
            self._schedule(phase_s, lambda engine=engine: self._publish_report(engine))
        for node in self._nodes:
            phase_s = self._rng.uniform(0, TICK_INTERVAL_S)
            self._schedule(phase_s, lambda node=node: self._tick(node))
        self._next_arrival = 0
        self._schedule_next_arrival()
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._now_s = at_s
            action()
            if self._next_arrival >= len(self._trace) and not self._open_requests:
                break
        return ReplayResult(
            self._records,
            self._engines,
            self.data_centre_of,
            self._now_s,
            self._max_queue,
        )

    def send(
        self, node: ReplayNode, request: Request, engine_id: str, now_s: float
    ) -> None:
        """Submit a request to an engine."""
        record = self._records[int(request.id)]
        record.attempts.append((now_s, engine_id))
        priority = engine_priority(request.kind.priority, request.prompt_tokens)
        engine = self._engines[engine_id]
        taken = engine.submit(
            request.id, record.request, priority, record.received_tokens, now_s
        )
        if taken:
            self._running[request.id] = (node, engine_id)
            self._schedule_iteration(engine)
        else:
            self._schedule(now_s, lambda: self._fail_attempt(node, request, engine_id))

    def fail_request(self, request: Request) -> None:
        """Fail a request for good."""
        if request.id in self._requests:
            self._records[int(request.id)].failed_s = self._now_s
            self._close_request(request)

    def broadcast_warm(self, sender: ReplayNode, engine_id: str, at_s: float) -> None:
        """Notify the other nodes that an engine's warm-up is complete."""
        for node in self._nodes:
            if node is not sender:
                delay_s = self._rng.uniform(*NOTIFICATION_DELAY_S)
                self._schedule(
                    self._now_s + delay_s,
                    lambda node=node: node.mark_warm(engine_id, at_s),
                )

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _schedule_next_arrival(self) -> None:
        if self._next_arrival < len(self._trace):
            self._schedule(
                self._trace[self._next_arrival].arrival_s, self._accept_arrival
            )

    def _accept_arrival(self) -> None:
        trace = self._trace[self._next_arrival]
        self._next_arrival += 1
        if self._progress is not None:
            self._progress(self._now_s)
        kind = KINDS[trace.kind]
        record = RequestRecord(trace, deadline_s=self._now_s + kind.deadline_s)
        request = Request(
            id=str(len(self._records)),
            member=trace.member,
            organisation=trace.organisation,
            kind=kind,
            model=MODEL,
            path="/v1/completions",
            body=b"",
            prompt_tokens=trace.prompt_tokens,
            max_tokens=trace.output_tokens,
            stream=True,
            received_s=self._now_s,
            deadline_s=record.deadline_s,
        )
        self._records.append(record)
        self._schedule_next_arrival()
        if trace.tokens > self.settings.kv_capacity_tokens:
            # The node rejects requests that exceed an engine's KV cache.
            record.rejected_s = self._now_s
            return
        node = self._rng.choice(self._nodes)
        self._open_requests += 1
        self._requests[request.id] = request
        try:
            node.offer(request, self._now_s)
        except OverloadError:
            self._close_request(request)
            record.rejected_s = self._now_s
            return
        record.admitted = True
        self._schedule(record.deadline_s, lambda: self._expire_request(node, request))
        self._max_queue = max(self._max_queue, len(node.queue))

    def _close_request(self, request: Request) -> None:
        if self._requests.pop(request.id, None) is not None:
            self._open_requests -= 1

    def _expire_request(self, node: ReplayNode, request: Request) -> None:
        if request.id not in self._requests:
            return
        self._records[int(request.id)].failed_s = self._now_s
        running = self._running.pop(request.id, None)
        if running is None:
            node.remove_queued(request)
        else:
            engine = self._engines[running[1]]
            engine.cancel(request.id)
            node.record_end(request, running[1], self._now_s, success=False)
            self._schedule_iteration(engine)
        self._close_request(request)

    def _tick(self, node: ReplayNode) -> None:
        for request in node.expire(self._now_s):
            self.fail_request(request)
        node.dispatch_queued(self._now_s)
        self._schedule(self._now_s + TICK_INTERVAL_S, lambda: self._tick(node))

    def _publish_report(self, engine: BenchEngine) -> None:
        at_s = self._now_s
        report = engine.report(at_s)
        for node in self._nodes:
            lag_s = self._rng.uniform(*REPORT_DELAY_S)
            self._schedule(
                self._now_s + lag_s,
                lambda node=node: node.receive_report(engine.id, report, at_s),
            )
        self._schedule(
            self._now_s + REPORT_INTERVAL_S, lambda: self._publish_report(engine)
        )

    def _schedule_iteration(self, engine: BenchEngine) -> None:
        """Schedule the next iteration of an engine."""
        due_s = engine.model.next_event_s()
        if due_s is None or self._due_s.get(engine.id) == due_s:
            return
        self._due_s[engine.id] = due_s
        self._schedule(due_s, lambda: self._step(engine, due_s))

    def _step(self, engine: BenchEngine, due_s: float) -> None:
        if self._due_s.get(engine.id) != due_s:
            return
        del self._due_s[engine.id]
        result = engine.step(self._now_s)
        nodes = [self._handle_first_token(each, engine.id) for each in result.first]
        nodes += [self._handle_finished(*each, engine.id) for each in result.finished]
        self._handle_dropped(result.dropped, engine)
        for node in dict.fromkeys(nodes):
            node.dispatch_queued(self._now_s)
        self._schedule_iteration(engine)

    def _handle_first_token(self, request_id: str, engine_id: str) -> ReplayNode:
        node = self._running[request_id][0]
        record = self._records[int(request_id)]
        if record.first_token_s is None:
            record.first_token_s = self._now_s
        node.record_first_token(self._requests[request_id], engine_id, self._now_s)
        return node

    def _handle_finished(
        self, request_id: str, cached_tokens: int, engine_id: str
    ) -> ReplayNode:
        node = self._running.pop(request_id)[0]
        request = self._requests[request_id]
        self._records[int(request_id)].finished_s = self._now_s
        node.record_end(
            request, engine_id, self._now_s, success=True, cached_tokens=cached_tokens
        )
        self._close_request(request)
        return node

    def _handle_dropped(
        self, dropped: Sequence[tuple[str, int]], engine: BenchEngine
    ) -> None:
        """Fail the streams of a restarted engine.

        On a broken stream a node polls the engine's load report at once,
        detects the restart and notifies the other nodes.
        """
        for request_id, received in dropped:
            node = self._running[request_id][0]
            self._records[int(request_id)].received_tokens = received
            if node.mark_cold(engine.id, self._now_s):
                self._broadcast_cold(node, engine.id)
        for request_id, _ in dropped:
            node = self._running.pop(request_id)[0]
            self._fail_attempt(node, self._requests[request_id], engine.id)

    def _apply_fault(self, fault: Fault) -> None:
        if fault.action == "cold":
            for engine_id in fault.engines:
                engine = self._engines[engine_id]
                engine.model.turn_cold(self._now_s, reported=False)
                self._schedule_iteration(engine)
            return
        engine_ids = [
            name
            for name, centre in self.data_centre_of.items()
            if centre == fault.data_centre
        ]
        for node in self._nodes:
            delay_s = self._rng.uniform(*DRAIN_DELAY_S)
            self._schedule(
                self._now_s + delay_s,
                lambda node=node: node.set_drained(engine_ids, fault.action == "drain"),
            )

    def _broadcast_cold(self, sender: ReplayNode, engine_id: str) -> None:
        at_s = self._now_s
        for node in self._nodes:
            if node is not sender:
                delay_s = self._rng.uniform(*NOTIFICATION_DELAY_S)
                self._schedule(
                    at_s + delay_s, lambda node=node: node.mark_cold(engine_id, at_s)
                )

    def _fail_attempt(self, node: ReplayNode, request: Request, engine_id: str) -> None:
        if request.id not in self._requests:
            return
        if node.record_failure(request, engine_id, self._now_s):
            node.dispatch_queued(self._now_s)
            return
        self.fail_request(request)


def engine_names(deployment: Deployment) -> dict[str, str]:
    """Return the engine ids of a deployment with their data centres."""
    centres = deployment.data_centres
    return {
        f"engine-{index}": centres[index % len(centres)]
        for index in range(deployment.engines)
    }
