"""Discrete-event simulation for tests of claims: tables, nodes and fault schedules.

``Schedule`` generates a fault schedule from a seed: nodes that crash or pause, clock
skew, store outages, lost responses and delayed writes, and servers that refuse
connections, execute without a response or respond late.  It checks that no key is
executed twice and that each reported ``not_run`` and ``completed`` holds at the end.
The classes at the end are variants of ``Claims`` with a seeded fault each.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace
from functools import partial

import greenlet

from .. import claim as claim_module
from ..backends.service import ServiceResponse
from ..claim import Claim, Claims
from ..claim_rows import ClaimState
from ..errors import (
    BackendError,
    CheckFailedError,
    DeadlineError,
    Outcome,
    RelayError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..job import JobRunner
from ..request import Request, RequestKind
from ..standins.tables import TableCheck, Tables, TableWrite
from ..store.client import Row

KIND = RequestKind("booking", "service", idempotent=False, deadline_s=30.0)
START_WALL_S = 1.7e9
HOUR_S = 3600.0


def make_request(key="k1", now_s=0.0, body=b"{}", **changes):
    """Return a non-idempotent request with 30 s until its deadline."""
    request = Request(
        id="r1",
        member="dentists",
        organisation="stable",
        kind=KIND,
        model="",
        path="/booking",
        body=body,
        prompt_tokens=0,
        max_tokens=0,
        stream=False,
        received_s=now_s,
        deadline_s=now_s + 30.0,
        idempotency_key=key,
    )
    return replace(request, **changes)


def store_error(kind):
    """Return an error like those raised by the table client."""
    return kind("fault", step="write", peer="store", outcome=Outcome.UNKNOWN)


class Simulation:
    """Scheduler of cooperative tasks in virtual time; tasks switch at each wait."""

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._order = itertools.count()
        self._hub = greenlet.getcurrent()

    def call_later(self, delay_s, action):
        event = (self.now_s + max(0.0, delay_s), next(self._order), action)
        heapq.heappush(self._events, event)

    def spawn(self, delay_s, function, node=None):
        task = greenlet.greenlet(function, parent=self._hub)
        task.node = node
        self.call_later(delay_s, lambda: self._resume(task))
        return task

    def wait(self, delay_s):
        task = greenlet.getcurrent()
        if task is self._hub:
            self.now_s += delay_s
            return
        self.check_alive()
        self.call_later(delay_s, lambda: self._resume(task))
        self._hub.switch()

    def check_alive(self):
        """End the current task if its node has crashed.

        Needed because exception handlers of the task still run after
        ``GreenletExit``.
        """
        node = getattr(greenlet.getcurrent(), "node", None)
        if node is not None and node.crashed:
            raise greenlet.GreenletExit

    def run(self):
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            action()

    def _resume(self, task):
        if task.dead:
            return
        node = task.node
        if node is not None:
            node.count_step()
        if node is not None and node.crashed:
            task.throw(greenlet.GreenletExit)
        elif node is not None and self.now_s < node.paused_until_s:
            self.call_later(
                node.paused_until_s - self.now_s, lambda: self._resume(task)
            )
        else:
            task.switch()


class FakeTable:
    """Table client with a queue of scripted results, one per call.

    ``ok``; ``down`` (unavailable, not applied); ``lost`` (applied, no response);
    ``none`` (not applied, no response); a float (no response, applied after that many
    seconds).
    """

    def __init__(
        self, simulation, tables, scripted_results=(), latency_s=0.01, rng=None
    ):
        self.simulation = simulation
        self.tables = tables
        self.scripted_results = list(scripted_results)
        self.latency_s = latency_s
        self.rng = rng
        self.reads = 0
        self.writes = 0

    def get(self, key, timeout_s=2.0):
        self.reads += 1
        self.simulation.wait(self.latency_s)
        if self.next_result() != "ok":
            raise store_error(StoreUnavailableError)
        row = self.tables.get(key)
        return row and Row(row.key, row.value, row.version)

    def scan(self, prefix, limit, timeout_s=2.0):
        self.reads += 1
        return [Row(r.key, r.value, r.version) for r in self.tables.scan(prefix, limit)]

    def transact(self, checks, writes, timeout_s=2.0):
        self.simulation.check_alive()
        self.writes += 1
        result = self.next_result()
        if isinstance(result, float):
            self.simulation.call_later(result, lambda: self.commit(checks, writes))
        if result == "down":
            self.simulation.wait(self.latency_s)
            raise store_error(StoreUnavailableError)
        if result != "ok":
            self.simulation.wait(timeout_s / 2)
            if result == "lost":
                self.commit(checks, writes)
            self.simulation.wait(timeout_s / 2)
            raise store_error(StoreOutcomeUnknownError)
        self.simulation.wait(min(self.latency_s, timeout_s))
        if self.latency_s > timeout_s:
            late_s = self.latency_s - timeout_s
            self.simulation.call_later(late_s, lambda: self.commit(checks, writes))
            raise store_error(StoreOutcomeUnknownError)
        version = self.commit(checks, writes)
        # Others may see the write before its response arrives.
        self.simulation.wait(self.latency_s)
        if not version:
            raise store_error(CheckFailedError)
        return version

    def commit(self, checks, writes):
        if self.tables.failed_checks([TableCheck(c.key, c.version) for c in checks]):
            return 0
        return self.tables.apply([TableWrite(w.key, w.value) for w in writes])

    def next_result(self):
        return self.scripted_results.pop(0) if self.scripted_results else "ok"


class FakeService:
    """Service that counts executions by key; ``send`` has a random result."""

    def __init__(self, simulation, rng):
        self.simulation = simulation
        self.rng = rng
        self.count = Counter()
        self.refusal_rate = 0.2

    def send(self, key):
        """Return a response body; raises ConnectionRefusedError or BackendError."""
        self.simulation.wait(self.rng.uniform(0, 0.05))
        if self.rng.random() < self.refusal_rate:
            raise ConnectionRefusedError
        result = self.rng.choice(["ok", "ok", "ok", "late", "no answer", "dropped"])
        if result == "dropped":
            self.simulation.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        if result == "no answer":
            self.simulation.call_later(
                self.rng.uniform(0, 20), lambda: self.execute(key)
            )
            self.simulation.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        self.simulation.wait(5.0 if result == "late" else 0.05)
        self.execute(key)
        return f"answer to {key}".encode()

    def execute(self, key):
        self.count[key] += 1


class Node:
    """Runs requests with ``JobRunner`` against the fakes."""

    claims_class = Claims
    max_sends = 1
    steps = 0
    fault_step = None
    fault = None

    def count_step(self):
        """Inject the configured fault at the configured step."""
        self.steps += 1
        if self.steps == self.fault_step:
            self.fault(self)

    def __init__(self, simulation, table, service, wall_offset_s=0.0):
        self.simulation = simulation
        self.service = service
        self.crashed = False
        self.paused_until_s = 0.0
        self.wall_offset_s = wall_offset_s
        self.claims = self.claims_class(
            table,
            scopes=lambda: [("dentists", "booking")],
            writes_per_s=1000.0,
            clock=lambda: simulation.now_s,
            wall_clock=lambda: START_WALL_S + simulation.now_s + self.wall_offset_s,
            wait=simulation.wait,
        )
        self.jobs = JobRunner(self.claims, lambda: simulation.now_s)

    def answer(self, request):
        """Return the outcome and body that are reported to the caller."""
        try:
            reply = self.jobs.run(request, self.execute)
        except RelayError as error:
            return error.outcome, None
        return Outcome.COMPLETED, reply.body

    def execute(self, request, guard):
        for _ in range(3):
            self.simulation.wait(0.0)
            guard.begin()
            try:
                return ServiceResponse(200, "text/plain", self.send(request))
            except ConnectionRefusedError:
                guard.undo()
        raise BackendError("refused", step="call", peer="s")

    def send(self, request):
        for attempt in range(self.max_sends):
            try:
                return self.service.send(request.idempotency_key)
            except BackendError:
                if attempt + 1 == self.max_sends:
                    raise
        return None


class RandomTable(FakeTable):
    """Table client with random results; no call succeeds during ``outages``."""

    def __init__(self, simulation, tables, rng, outages):
        super().__init__(simulation, tables)
        self.rng = rng
        self.outages = outages
        self.failure_rate = rng.choice([0.0, 0.1, 0.4])

    def next_result(self):
        self.latency_s = self.rng.choice([0.001, 0.01, 0.01, 0.5])
        out = any(start <= self.simulation.now_s < end for start, end in self.outages)
        if not out and self.rng.random() >= self.failure_rate:
            return "ok"
        late_s = self.rng.uniform(0, 15)
        return self.rng.choice(
            ["down", "none", "lost", late_s] if not out else ["down", "none", late_s]
        )


class Schedule:
    """One random fault schedule."""

    def __init__(self, seed, node_class=Node):
        self.rng = random.Random(seed)
        self.simulation = Simulation()
        self.tables = Tables()
        self.service = FakeService(self.simulation, self.rng)
        self.service.refusal_rate = self.rng.choice([0.0, 0.2, 0.8])
        self.answers = []
        outages = [self.draw_outage() for _ in range(self.rng.randrange(3))]
        self.nodes = [
            self.draw_node(node_class, outages) for _ in range(self.rng.choice([2, 3]))
        ]

    def draw_outage(self):
        start_s = self.rng.uniform(0, 20)
        return start_s, start_s + self.rng.choice([0.3, 3, 30])

    def draw_node(self, node_class, outages):
        table = RandomTable(self.simulation, self.tables, self.rng, outages)
        offset_s = self.rng.uniform(-8, 8)
        return node_class(self.simulation, table, self.service, offset_s)

    def run(self):
        """Run the schedule; return the violations found."""
        for index in range(self.rng.choice([1, 2, 4])):
            self.plan_key(f"k{index}")
        for node in self.nodes:
            self.plan_node_faults(node)
        self.simulation.run()
        return self.violations()

    def plan_key(self, key):
        at_s = self.rng.choice([0.0, self.rng.uniform(0, 20)])
        for _ in range(self.rng.randrange(1, 6)):
            # Duplicates arrive simultaneously or as later retries.
            gap_s = self.rng.choice([0.0, 0.0, 0.02, self.rng.uniform(0, 40)])
            node = self.rng.choice(self.nodes)
            body = b"{}" if self.rng.random() < 0.95 else b"other"
            allowed_s = self.rng.choice([0.5, 5.0, 30.0])
            reject = self.rng.random() < 0.1
            self.simulation.spawn(
                at_s + gap_s,
                lambda n=node, b=body, a=allowed_s, r=reject: self.call(
                    n, key, b, a, r
                ),
                node,
            )

    def plan_node_faults(self, node):
        for _ in range(self.rng.randrange(3)):
            length_s = self.rng.choice([1.0, 20.0, 2 * HOUR_S])
            self.simulation.call_later(
                self.rng.uniform(0, 25), partial(self.pause, node, length_s)
            )
        if self.rng.random() < 0.3:
            self.simulation.call_later(
                self.rng.uniform(0, 30), lambda: self.crash(node)
            )
        for _ in range(2):
            sweep_s = self.rng.uniform(0, 20 * HOUR_S)
            self.simulation.spawn(sweep_s, lambda: self.sweep(node), node)

    def call(self, node, key, body, allowed_s, reject):
        now_s = self.simulation.now_s
        request = make_request(key, now_s, body, deadline_s=now_s + allowed_s)
        if reject:
            self.answers.append((key, node.claims.reject(request, now_s), None))
        else:
            self.answers.append((key, *node.answer(request)))

    def sweep(self, node):
        try:
            while not node.claims.sweep(self.simulation.now_s, 0, 1).done:
                self.simulation.wait(1.0)
        except StoreError:
            pass

    def pause(self, node, length_s):
        node.paused_until_s = self.simulation.now_s + length_s

    def crash(self, node):
        node.crashed = True

    def violations(self):
        count = self.service.count
        found = [f"{key} ran {n} times" for key, n in count.items() if n > 1]
        for key, outcome, body in self.answers:
            if outcome is Outcome.NOT_RUN and count[key]:
                found.append(f"{key} answered not_run and ran")
            if outcome is Outcome.COMPLETED and not count[key]:
                found.append(f"{key} answered completed and did not run")
            if outcome is Outcome.COMPLETED and body != f"answer to {key}".encode():
                found.append(f"{key} answered with another body")
        return found


class UnconfirmedDispatchClaims(Claims):
    """Seeded fault: dispatch without a committed claim row."""

    def _compare_and_set(self, key, version, row, end_s):
        try:
            return super()._compare_and_set(key, version, row, end_s)
        except StoreError:
            if version or row.state is not ClaimState.CLAIMED:
                raise
            return 1, row


class UnconfirmedRefusalClaims(Claims):
    """Seeded fault: ``not_run`` without a committed ``refused`` row."""

    def _record_rejection(self, key, row, end_s):
        super()._record_rejection(key, row, end_s)
        return Outcome.NOT_RUN


class TakeoverClaims(Claims):
    """Seeded fault: a retry takes over a claim that has no outcome."""

    def _handle_retry(self, request, key, new_row, found):
        try:
            return super()._handle_retry(request, key, new_row, found)
        except DeadlineError:
            row = self._table.get(key)
            version, taken = self._compare_and_set(
                key, row.version, new_row, self._clock() + claim_module.CLAIM_TIMEOUT_S
            )
            if taken != new_row:
                raise
            deadline_s = self._clock() + 30.0
            return Claim(key, version, new_row, self._clock(), deadline_s)


class ForeignRefusalClaims(Claims):
    """Seeded fault: a rejection overwrites the claim of another attempt."""

    def _record_rejection(self, key, row, end_s):
        try:
            version, _ = self._compare_and_set(key, 0, row, end_s)
            refused = replace(row, state=ClaimState.REFUSED)
            self._compare_and_set(key, version, refused, end_s)
        except StoreError:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN


class FinishNotRunClaims(Claims):
    """Seeded fault: an unknown outcome is recorded as ``refused``."""

    def finish(self, claim, outcome, status, body, now_s, **options):
        claim.progress.dispatching = False
        return super().finish(claim, outcome, status, body, now_s, **options)


class EarlyCompletionClaims(Claims):
    """Seeded fault: ``completed`` is recorded before the response is available."""

    def begin_dispatch(self, claim, now_s):
        super().begin_dispatch(claim, now_s)
        self._record_completion(claim, 200, b"", now_s, "")
