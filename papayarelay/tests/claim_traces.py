"""Records executions of ``Claims`` under random faults as traces for the model."""

import base64
import json
from collections import defaultdict

import greenlet

from ..claim import Claims
from ..errors import BackendError, CheckFailedError, StoreError
from ..model.checker import Step
from ..model.claims import INSERT, RECORD, REFUSE, REFUSE_OWN, TAKE_OVER
from .claim_simulation import FakeService, Node, RandomTable, Schedule

# Name of a write by the state that it sets and whether the row existed before.
WRITE_NAMES = {
    ("claimed", False): INSERT,
    ("claimed", True): TAKE_OVER,
    ("refused", False): REFUSE,
    ("refused", True): REFUSE_OWN,
    ("completed", True): RECORD,
}


class Recorder:
    """Traces by row key; attempts are numbered in the order of their first write."""

    def __init__(self):
        self.traces = defaultdict(list)
        self.attempts = defaultdict(dict)
        self.tasks = {}
        self.senders = {}

    def add(self, key, name, actor, detail=""):
        self.traces[key].append(Step(name, actor, detail))

    def add_for_current_task(self, name, detail=""):
        """Add a step of the current task, unless it has not written anything yet."""
        found = self.tasks.get(greenlet.getcurrent())
        if found is not None:
            self.add(found[0], name, found[1], detail)

    def attempt_number(self, key, attempt):
        numbers = self.attempts[key]
        return numbers.setdefault(attempt, len(numbers))


def decode_row(value):
    """Return state and attempt from a row value, either as written or as stored."""
    data = value if isinstance(value, bytes) else value.encode()
    row = json.loads(data if data.startswith(b"{") else base64.b64decode(data))
    return row["state"], row["attempt"]


class RecordingTable(RandomTable):
    recorder = None

    def describe(self, checks, writes):
        state, attempt = decode_row(writes[0].value)
        key = writes[0].key
        name = WRITE_NAMES[state, checks[0].version > 0]
        return key, self.recorder.attempt_number(key, attempt), name

    def transact(self, checks, writes, timeout_s=2.0):
        key, attempt, name = self.describe(checks, writes)
        self.recorder.tasks[greenlet.getcurrent()] = key, attempt
        self.recorder.add(key, "send", attempt, name)
        try:
            version = super().transact(checks, writes, timeout_s)
        except CheckFailedError:
            self.recorder.add(key, "check failed", attempt, name)
            raise
        except StoreError:
            self.recorder.add(key, "no answer", attempt)
            raise
        self.recorder.add(key, "confirmed", attempt, name)
        return version

    def commit(self, checks, writes):
        version = super().commit(checks, writes)
        if version and writes[0].value is not None:
            key, attempt, name = self.describe(checks, writes)
            self.recorder.add(key, "apply", attempt, name)
        return version

    def get(self, key, timeout_s=2.0):
        try:
            row = super().get(key, timeout_s)
        except StoreError:
            self.recorder.add_for_current_task("no answer")
            raise
        if row is not None:
            state, attempt = decode_row(row.value)
            attempt_number = self.recorder.attempt_number(key, attempt)
            self.recorder.add_for_current_task("read", f"{state} {attempt_number}")
        return row


class RecordingService(FakeService):
    recorder = None

    def send(self, key):
        found = self.recorder.tasks[greenlet.getcurrent()]
        self.recorder.senders[key] = [*found, False]
        try:
            return super().send(key)
        except BackendError:
            self.note_dispatch(key)
            raise

    def execute(self, key):
        self.note_dispatch(key)
        row_key, attempt, _ = self.recorder.senders[key]
        self.recorder.add(row_key, "execute", attempt)
        super().execute(key)

    def note_dispatch(self, key):
        """Record the dispatch once the server is known to have been reached."""
        row_key, attempt, noted = self.recorder.senders[key]
        if not noted:
            self.recorder.senders[key][2] = True
            self.recorder.add(row_key, "dispatch", attempt)


def recording(claims_class, recorder):
    """Return a subclass of ``claims_class`` that records its steps."""

    class RecordingClaims(claims_class):
        def begin_dispatch(self, claim, now_s):
            super().begin_dispatch(claim, now_s)
            recorder.add_for_current_task("begin")

        def undo_dispatch(self, claim):
            super().undo_dispatch(claim)
            recorder.add_for_current_task("connection refused")

        def reject(self, request, now_s):
            outcome = super().reject(request, now_s)
            recorder.add_for_current_task("answer", outcome.value)
            return outcome

    return RecordingClaims


def record(seed, claims_class=Claims):
    """Run the schedule of a seed; return its traces and violations."""
    recorder = Recorder()

    class RecordingNode(Node):
        def answer(self, request):
            outcome, body = super().answer(request)
            recorder.add_for_current_task("answer", outcome.value)
            return outcome, body

    RecordingNode.claims_class = recording(claims_class, recorder)

    class RecordingSchedule(Schedule):
        def draw_node(self, node_class, outages):
            self.service.recorder = recorder
            table = RecordingTable(self.simulation, self.tables, self.rng, outages)
            table.recorder = recorder
            offset_s = self.rng.uniform(-8, 8)
            return node_class(self.simulation, table, self.service, offset_s)

    schedule = RecordingSchedule(seed, RecordingNode)
    schedule.service.__class__ = RecordingService
    violations = schedule.run()
    traces = [
        (len(recorder.attempts[key]), tuple(trace))
        for key, trace in recorder.traces.items()
    ]
    return traces, violations
