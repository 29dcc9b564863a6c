"""Keeps requests that crash engines from harming others, as one node decides it."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from ..backends.restriction import Incarnation
from ..errors import HarmfulRequestError
from ..events import Event
from ..logs import log
from ..request import Request
from ..segments import segment_name
from .evidence import SAME_CAUSE_S, Assessment, Evidence, SegmentEvidence
from .history import AnswerHistory
from .messages import PoisonMessage, SegmentRecord

# An answer proves its request harmless once it is complete or has lasted this long.
PROVEN_S = 0.5
# A segment answered this recently is not blamed for a crash at all.
RECENT_ANSWER_S = 2.0
# Time in which nodes that know a suspected segment from earlier answers say so.
VOUCH_WAIT_S = 0.1
MAX_VOUCH_DELAY_S = 0.05
# A trial waits this long for claims of other nodes.
CLAIM_WAIT_S = 0.15
# Time from the last crash or trial to the next trial; it grows with each trial, since
# each may cost an engine.
FIRST_TRIAL_S = 3.0
TRIAL_FACTOR = 10.0
MAX_TRIAL_INTERVAL_S = 3 * 3600.0
# Limit on the segments in one message.
MAX_MESSAGE_SEGMENTS = 100
# Limit on the engines and nodes in a log line.
MAX_LOGGED = 16
# After this number of crashes, the first trial waits as long as a second one would.
MANY_CRASHES = 5


class Admission(enum.Enum):
    """How a request may be sent to an engine now."""

    NORMAL = "normal"
    # Apart from other requests, one at a time.
    ISOLATED = "isolated"
    # Not yet.
    HELD = "held"


@dataclass(frozen=True)
class SegmentDescription:
    """What a node knows of a suspected segment, or request as a whole, for metrics."""

    segment: str
    whole: bool
    harmful: bool
    crashes: int
    reporters: int
    age_s: float


class PoisonGuard:
    """Decides which requests a node sends, by the evidence of all nodes.

    ``publish`` sends records to all other nodes, ``on_change`` is called when queued
    requests must be looked at again.
    """

    def __init__(
        self,
        own: str,
        rng: random.Random,
        publish: Callable[[list[SegmentRecord]], None] = lambda records: None,
        on_change: Callable[[], None] = lambda: None,
    ):
        self.evidence = Evidence()
        self.counts: Counter[str] = Counter(rejected=0, isolated=0, held=0, trials=0)
        self._own = own
        self._rng = rng
        self._publish = publish
        self._on_change = on_change
        self._history = AnswerHistory()
        # Suspects of this node on engines: the request by segment.
        self._in_flight: dict[int, str] = {}
        self._trials: dict[int, str] = {}
        self._vouches_due_s: dict[int, float] = {}
        self._held: set[str] = set()
        self._assessment = Assessment()
        # Whether the evidence has changed since the assessment.
        self._is_outdated = False
        # Harmful segments, and since when this node takes them for it.
        self._harmful: dict[int, float] = {}

    @property
    def is_active(self) -> bool:
        """Return whether there is any evidence."""
        return len(self.evidence) > 0

    @property
    def awaits_poll(self) -> bool:
        """Return whether ``poll`` has something to publish soon."""
        return bool(self._vouches_due_s)

    def set_listeners(
        self,
        publish: Callable[[list[SegmentRecord]], None],
        on_change: Callable[[], None],
    ) -> None:
        """Replace the callbacks."""
        self._publish = publish
        self._on_change = on_change

    def describe(self, now_s: float) -> Iterator[SegmentDescription]:
        """Yield the segments that are suspected or harmful."""
        self._refresh(now_s)
        for segment, found in self.evidence:
            if self._assessment.is_suspect(segment):
                yield SegmentDescription(
                    segment_name(segment),
                    found.whole,
                    segment in self._harmful,
                    len(found.blamed),
                    len(found.reporters),
                    now_s - found.first_learned_s,
                )

    def check(self, request: Request, now_s: float) -> None:
        """Raise ``HarmfulRequestError`` for a request with a harmful segment.

        From time to time one such request is let through, to find out whether the
        segment still crashes engines.
        """
        self._refresh(now_s)
        harmful = self._assessment.find_harmful(request.traits)
        if not harmful or all(
            self._is_on_trial(segment, request.id) for segment in harmful
        ):
            return
        if all(self._is_trial_due(segment, now_s) for segment in harmful):
            for segment in harmful:
                self._claim_trial(segment, request, now_s)
            return
        self._reject(request, harmful[0], now_s)

    def admission(self, request: Request, now_s: float) -> Admission:
        """Return how a request that passed ``check`` may be sent now."""
        self._refresh(now_s)
        admission = Admission.NORMAL
        for segment in request.traits:
            if not self._assessment.is_suspect(segment):
                continue
            found = self.evidence.get(segment)
            if not self._may_start(segment, found, request.id, now_s):
                self._log_held(request, segment, found, now_s)
                return Admission.HELD
            admission = Admission.ISOLATED
        return admission

    def isolation_key(self, request: Request) -> int:
        """Return a key that is the same for suspects that may share a cause.

        Requests that are suspect for a segment of theirs have 0, those that are suspect
        as a whole have their digest.
        """
        shared = any(map(self._assessment.is_suspect, request.segments))
        return 0 if shared else request.digest

    def record_sent(self, request: Request, now_s: float) -> None:
        """Record that an isolated request is sent to an engine."""
        self.counts["isolated"] += 1
        for segment in request.traits:
            if self._assessment.is_suspect(segment):
                found = self.evidence.get(segment)
                self._in_flight[segment] = request.id
                log(
                    Event.REQUEST_ISOLATED,
                    request=request.id,
                    **_log_fields(segment, found, now_s),
                )

    def record_ended(self, request: Request) -> None:
        """Record that an attempt of a request has ended or left the queue."""
        self._held.discard(request.id)
        for segment in request.traits:
            if self._in_flight.get(segment) == request.id:
                del self._in_flight[segment]
                self._on_change()

    def record_finished(self, request: Request) -> None:
        """End the trial of a request, if it is one."""
        for segment in request.traits:
            if self._trials.get(segment) == request.id:
                del self._trials[segment]

    def record_crash(
        self,
        request: Request,
        incarnation: Incarnation,
        isolated: bool,
        now_s: float,
        proven: bool = False,
    ) -> None:
        """Record that an engine crashed when it was about to answer a request.

        Once its answer has ``proven`` its segments harmless, the request is blamed as a
        whole only.
        """
        self.record_finished(request)
        blamed = []
        known = []
        for segment in (request.digest,) if proven else request.traits:
            age_s = self._history.age_s(segment, now_s)
            if age_s is None or age_s > RECENT_ANSWER_S:
                blamed.append(segment)
                known += [segment] if age_s is not None else []
        evidence = self.evidence
        changed = evidence.add_crash(
            incarnation, blamed, self._own, isolated, now_s, request.digest
        )
        changed += evidence.vouch(known, now_s)
        self._apply(changed, now_s)
        self._publish_segments(changed, now_s)

    def record_answer(
        self, request: Request, begun_s: float, now_s: float, complete: bool = False
    ) -> None:
        """Record a proven answer to a request; its first event came at ``begun_s``.

        The request as a whole is proven harmless once its answer is ``complete``.
        """
        proven = request.traits if complete else request.segments
        self._history.record(proven, begun_s)
        if self.evidence:
            changed = self.evidence.record_answer(
                proven, begun_s, now_s, unproven=request.traits
            )
            self._apply(changed, now_s)
            self._publish_segments(changed, now_s)

    def learn(self, records: Iterable[SegmentRecord], now_s: float) -> list[int]:
        """Merge the evidence of another node; return the segments that changed."""
        changed = self.evidence.merge(records, now_s)
        self._apply(changed, now_s)
        return changed

    def poll(self, now_s: float) -> None:
        """Publish what is due, and drop old evidence."""
        due = [s for s, due_s in self._vouches_due_s.items() if due_s <= now_s]
        for segment in due:
            del self._vouches_due_s[segment]
        changed = self.evidence.vouch(due, now_s)
        self.evidence.expire(now_s)
        self._apply(changed, now_s)
        self._publish_segments(changed, now_s)
        self._update_verdicts(now_s)

    def message(self, now_s: float, asks: bool, with_records: bool) -> PoisonMessage:
        """Return a message with the checksum and the main part of the evidence."""
        records = []
        if with_records:
            segments = self.evidence.most_important(MAX_MESSAGE_SEGMENTS)
            records = self.evidence.records(now_s, segments)
        return PoisonMessage(self._own, self.evidence.digest, records, asks)

    def _is_on_trial(self, segment: int, request_id: str) -> bool:
        trial = self.evidence.get(segment).trial
        own = trial is not None and trial.holder == self._own
        return own and self._trials.get(segment) == request_id

    def _is_trial_due(self, segment: int, now_s: float) -> bool:
        found = self.evidence.get(segment)
        trials = found.trial.number if found.trial else 0
        # The same request again is worth less than all requests with a segment.
        later = found.whole or len(found.crashes) - trials >= MANY_CRASHES
        exponent = trials + later
        interval_s = min(MAX_TRIAL_INTERVAL_S, FIRST_TRIAL_S * TRIAL_FACTOR**exponent)
        last_s = max(found.last_crash_s, found.trial.at_s if found.trial else 0.0)
        return now_s - last_s >= interval_s

    def _claim_trial(self, segment: int, request: Request, now_s: float) -> None:
        self.counts["trials"] += 1
        self.evidence.claim_trial(segment, self._own, now_s)
        self._trials[segment] = request.id
        found = self.evidence.get(segment)
        log(
            Event.TRIAL_CLAIMED,
            request=request.id,
            number=found.trial.number,
            **_log_fields(segment, found, now_s),
        )
        self._publish_segments([segment], now_s)

    def _reject(self, request: Request, segment: int, now_s: float) -> None:
        self.counts["rejected"] += 1
        found = self.evidence.get(segment)
        log(
            Event.REQUEST_HARMFUL,
            request=request.id,
            **_log_fields(segment, found, now_s),
        )
        raise HarmfulRequestError(
            "the request, or a part of its prompt, crashes engines",
            step="admission",
            peer="caller",
        )

    def _may_start(
        self, segment: int, found: SegmentEvidence, request_id: str, now_s: float
    ) -> bool:
        """Return whether a suspect may be sent to an engine, isolated."""
        if self._in_flight.get(segment, request_id) != request_id:
            return False
        if self._is_on_trial(segment, request_id):
            return now_s - found.trial.at_s >= CLAIM_WAIT_S
        # A crash that is too close to the last one would tell nothing.
        apart = now_s - found.last_crash_s >= SAME_CAUSE_S
        return apart and now_s - found.first_learned_s >= VOUCH_WAIT_S

    def _apply(self, changed: Iterable[int], now_s: float) -> None:
        """Act on changed evidence about segments."""
        changed = list(changed)
        for segment in changed:
            found = self.evidence.get(segment)
            if found is None or found.vouched:
                self._vouches_due_s.pop(segment, None)
            elif self._history.age_s(segment, now_s) is not None:
                delay_s = self._rng.uniform(0.0, MAX_VOUCH_DELAY_S)
                self._vouches_due_s.setdefault(segment, now_s + delay_s)
        if changed:
            self._is_outdated = True
            self._on_change()

    def _refresh(self, now_s: float) -> None:
        """Assess the evidence if it has changed.

        Crashes come in bursts of messages, of which only the sum matters.
        """
        if self._is_outdated:
            self._update_verdicts(now_s)

    def _update_verdicts(self, now_s: float) -> None:
        """Assess the segments; log those that are harmful from now on, or no more."""
        self._is_outdated = False
        self._assessment = self.evidence.assess(now_s)
        harmful = self._assessment.harmful.keys()
        for segment in harmful - self._harmful.keys():
            self._harmful[segment] = now_s
            fields = _log_fields(segment, self.evidence.get(segment), now_s)
            others = tuple(map(segment_name, self._assessment.harmful[segment]))
            log(Event.SEGMENT_HARMFUL, segments=others[:MAX_LOGGED], **fields)
            self._on_change()
        for segment in self._harmful.keys() - harmful:
            age_s = round(now_s - self._harmful.pop(segment), 3)
            log(Event.SEGMENT_CLEARED, segment=segment_name(segment), age_s=age_s)

    def _publish_segments(self, segments: Iterable[int], now_s: float) -> None:
        records = self.evidence.records(now_s, dict.fromkeys(segments))
        if records:
            self._publish(records)

    def _log_held(
        self, request: Request, segment: int, found: SegmentEvidence, now_s: float
    ) -> None:
        if request.id not in self._held:
            self._held.add(request.id)
            self.counts["held"] += 1
            fields = _log_fields(segment, found, now_s)
            log(Event.REQUEST_SUSPECT, request=request.id, **fields)


def _log_fields(segment: int, found: SegmentEvidence, now_s: float) -> dict:
    """Return what led to a decision about a segment."""
    return {
        "segment": segment_name(segment),
        "reason": "request" if found.whole else "segment",
        "crashes_count": len(found.blamed),
        "backends": tuple(each.id for each in found.crashes)[:MAX_LOGGED],
        "peers": found.reporters[:MAX_LOGGED],
        "age_s": round(now_s - found.first_learned_s, 3),
    }
