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


class World:
    """Scheduler of cooperative tasks in virtual time; tasks switch at each wait."""

    def __init__(self):
        self.now_s = 0.0
        self._events = []
        self._order = itertools.count()
        self._hub = greenlet.getcurrent()

    def later(self, delay_s, action):
        event = (self.now_s + max(0.0, delay_s), next(self._order), action)
        heapq.heappush(self._events, event)

    def spawn(self, delay_s, function, node=None):
        task = greenlet.greenlet(function, parent=self._hub)
        task.node = node
        self.later(delay_s, lambda: self._resume(task))
        return task

    def wait(self, delay_s):
        task = greenlet.getcurrent()
        if task is self._hub:
            self.now_s += delay_s
            return
        self.check_alive()
        self.later(delay_s, lambda: self._resume(task))
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
            self.later(node.paused_until_s - self.now_s, lambda: self._resume(task))
        else:
            task.switch()


class FakeTable:
    """Table client with a queue of scripted results, one per call.

    ``ok``; ``down`` (unavailable, not applied); ``lost`` (applied, no response);
    ``none`` (not applied, no response); a float (no response, applied after that many
    seconds).
    """

    def __init__(self, world, tables, fates=(), latency_s=0.01, rng=None):
        self.world = world
        self.tables = tables
        self.fates = list(fates)
        self.latency_s = latency_s
        self.rng = rng
        self.reads = 0
        self.writes = 0

    def get(self, key, timeout_s=2.0):
        self.reads += 1
        self.world.wait(self.latency_s)
        if self.next_fate() != "ok":
            raise store_error(StoreUnavailableError)
        row = self.tables.get(key)
        return row and Row(row.key, row.value, row.version)

    def scan(self, prefix, limit, timeout_s=2.0):
        self.reads += 1
        return [Row(r.key, r.value, r.version) for r in self.tables.scan(prefix, limit)]

    def transact(self, checks, writes, timeout_s=2.0):
        self.world.check_alive()
        self.writes += 1
        fate = self.next_fate()
        if isinstance(fate, float):
            self.world.later(fate, lambda: self.commit(checks, writes))
        if fate == "down":
            self.world.wait(self.latency_s)
            raise store_error(StoreUnavailableError)
        if fate != "ok":
            self.world.wait(timeout_s / 2)
            if fate == "lost":
                self.commit(checks, writes)
            self.world.wait(timeout_s / 2)
            raise store_error(StoreOutcomeUnknownError)
        self.world.wait(min(self.latency_s, timeout_s))
        if self.latency_s > timeout_s:
            late_s = self.latency_s - timeout_s
            self.world.later(late_s, lambda: self.commit(checks, writes))
            raise store_error(StoreOutcomeUnknownError)
        version = self.commit(checks, writes)
        # Others may see the write before its response arrives.
        self.world.wait(self.latency_s)
        if not version:
            raise store_error(CheckFailedError)
        return version

    def commit(self, checks, writes):
        if self.tables.failed_checks([TableCheck(c.key, c.version) for c in checks]):
            return 0
        return self.tables.apply([TableWrite(w.key, w.value) for w in writes])

    def next_fate(self):
        return self.fates.pop(0) if self.fates else "ok"


class Executions:
    """Service that counts executions by key; ``send`` has a random result."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.count = Counter()
        self.refusing = 0.2

    def send(self, key):
        """Return a response body; raises ConnectionRefusedError or BackendError."""
        self.world.wait(self.rng.uniform(0, 0.05))
        if self.rng.random() < self.refusing:
            raise ConnectionRefusedError
        fate = self.rng.choice(["ok", "ok", "ok", "late", "no answer", "dropped"])
        if fate == "dropped":
            self.world.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        if fate == "no answer":
            self.world.later(self.rng.uniform(0, 20), lambda: self.execute(key))
            self.world.wait(1.0)
            raise BackendError("x", step="read", peer="s", outcome=Outcome.UNKNOWN)
        self.world.wait(5.0 if fate == "late" else 0.05)
        self.execute(key)
        return f"answer to {key}".encode()

    def execute(self, key):
        self.count[key] += 1


class Node:
    """Runs requests with ``JobRunner`` against the fakes."""

    claims_class = Claims
    sends = 1
    steps = 0
    fault_step = None
    fault = None

    def count_step(self):
        """Inject the configured fault at the configured step."""
        self.steps += 1
        if self.steps == self.fault_step:
            self.fault(self)

    def __init__(self, world, table, service, wall_offset_s=0.0):
        self.world = world
        self.service = service
        self.crashed = False
        self.paused_until_s = 0.0
        self.wall_offset_s = wall_offset_s
        self.claims = self.claims_class(
            table,
            scopes=lambda: [("dentists", "booking")],
            writes_per_s=1000.0,
            clock=lambda: world.now_s,
            wall_clock=lambda: START_WALL_S + world.now_s + self.wall_offset_s,
            wait=world.wait,
        )
        self.jobs = JobRunner(self.claims, lambda: world.now_s)

    def answer(self, request):
        """Return the outcome and body that are reported to the caller."""
        try:
            reply = self.jobs.run(request, self.execute)
        except RelayError as error:
            return error.outcome, None
        return Outcome.COMPLETED, reply.body

    def execute(self, request, guard):
        for _ in range(3):
            self.world.wait(0.0)
            guard.begin()
            try:
                return ServiceResponse(200, "text/plain", self.send(request))
            except ConnectionRefusedError:
                guard.undo()
        raise BackendError("refused", step="call", peer="s")

    def send(self, request):
        for attempt in range(self.sends):
            try:
                return self.service.send(request.idempotency_key)
            except BackendError:
                if attempt + 1 == self.sends:
                    raise
        return None


class RandomTable(FakeTable):
    """Table client with random results; no call succeeds during ``outages``."""

    def __init__(self, world, tables, rng, outages):
        super().__init__(world, tables)
        self.rng = rng
        self.outages = outages
        self.trouble = rng.choice([0.0, 0.1, 0.4])

    def next_fate(self):
        self.latency_s = self.rng.choice([0.001, 0.01, 0.01, 0.5])
        out = any(start <= self.world.now_s < end for start, end in self.outages)
        if not out and self.rng.random() >= self.trouble:
            return "ok"
        late_s = self.rng.uniform(0, 15)
        return self.rng.choice(
            ["down", "none", "lost", late_s] if not out else ["down", "none", late_s]
        )


class Schedule:
    """One random fault schedule."""

    def __init__(self, seed, node_class=Node):
        self.rng = random.Random(seed)
        self.world = World()
        self.tables = Tables()
        self.service = Executions(self.world, self.rng)
        self.service.refusing = self.rng.choice([0.0, 0.2, 0.8])
        self.answers = []
        outages = [self.draw_outage() for _ in range(self.rng.randrange(3))]
        self.nodes = [
            self.draw_node(node_class, outages) for _ in range(self.rng.choice([2, 3]))
        ]

    def draw_outage(self):
        start_s = self.rng.uniform(0, 20)
        return start_s, start_s + self.rng.choice([0.3, 3, 30])

    def draw_node(self, node_class, outages):
        table = RandomTable(self.world, self.tables, self.rng, outages)
        offset_s = self.rng.uniform(-8, 8)
        return node_class(self.world, table, self.service, offset_s)

    def run(self):
        """Run the schedule; return the violations found."""
        for index in range(self.rng.choice([1, 2, 4])):
            self.plan_key(f"k{index}")
        for node in self.nodes:
            self.plan_node_faults(node)
        self.world.run()
        return self.violations()

    def plan_key(self, key):
        at_s = self.rng.choice([0.0, self.rng.uniform(0, 20)])
        for _ in range(self.rng.randrange(1, 6)):
            # Duplicates arrive simultaneously or as later retries.
            gap_s = self.rng.choice([0.0, 0.0, 0.02, self.rng.uniform(0, 40)])
            node = self.rng.choice(self.nodes)
            body = b"{}" if self.rng.random() < 0.95 else b"other"
            allowed_s = self.rng.choice([0.5, 5.0, 30.0])
            refuse = self.rng.random() < 0.1
            self.world.spawn(
                at_s + gap_s,
                lambda n=node, b=body, a=allowed_s, r=refuse: self.call(
                    n, key, b, a, r
                ),
                node,
            )

    def plan_node_faults(self, node):
        for _ in range(self.rng.randrange(3)):
            length_s = self.rng.choice([1.0, 20.0, 2 * HOUR_S])
            self.world.later(
                self.rng.uniform(0, 25), partial(self.pause, node, length_s)
            )
        if self.rng.random() < 0.3:
            self.world.later(self.rng.uniform(0, 30), lambda: self.crash(node))
        for _ in range(2):
            sweep_s = self.rng.uniform(0, 20 * HOUR_S)
            self.world.spawn(sweep_s, lambda: self.sweep(node), node)

    def call(self, node, key, body, allowed_s, refuse):
        now_s = self.world.now_s
        request = make_request(key, now_s, body, deadline_s=now_s + allowed_s)
        if refuse:
            self.answers.append((key, node.claims.refuse(request, now_s), None))
        else:
            self.answers.append((key, *node.answer(request)))

    def sweep(self, node):
        try:
            while not node.claims.sweep(self.world.now_s, 0, 1).done:
                self.world.wait(1.0)
        except StoreError:
            pass

    def pause(self, node, length_s):
        node.paused_until_s = self.world.now_s + length_s

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

    def _put(self, key, version, row, end_s):
        try:
            return super()._put(key, version, row, end_s)
        except StoreError:
            if version or row.state is not ClaimState.CLAIMED:
                raise
            return 1, row


class UnconfirmedRefusalClaims(Claims):
    """Seeded fault: ``not_run`` without a committed ``refused`` row."""

    def _refuse(self, key, row, end_s):
        super()._refuse(key, row, end_s)
        return Outcome.NOT_RUN


class TakeoverClaims(Claims):
    """Seeded fault: a retry takes over a claim that has no outcome."""

    def _repeat(self, request, key, fresh, found):
        try:
            return super()._repeat(request, key, fresh, found)
        except DeadlineError:
            row = self._table.get(key)
            version, taken = self._put(
                key, row.version, fresh, self._clock() + claim_module.CLAIM_LIMIT_S
            )
            if taken != fresh:
                raise
            deadline_s = self._clock() + 30.0
            return Claim(key, version, fresh, self._clock(), deadline_s)


class ForeignRefusalClaims(Claims):
    """Seeded fault: a rejection overwrites the claim of another attempt."""

    def _refuse(self, key, row, end_s):
        try:
            version, _ = self._put(key, 0, row, end_s)
            refused = replace(row, state=ClaimState.REFUSED)
            self._put(key, version, refused, end_s)
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
        self._record(claim, 200, b"", now_s, "")
