"""What all nodes together know of the requests in crashes of engines.

A request is blamed by its traits: the segments of its prompt that others may share, and
the request as a whole, which its caller may send again.  Where this package speaks of
segments, it means both.

A crash is identified by the incarnation of the engine, which ends with it, so that
reports of several nodes about one crash count once.  A segment is blamed for the
crashes of engines that were about to answer a request with it, until an answer to
another such request proves it harmless.

The state is a set of crashes for each segment, to which only more crashes and marks
are added.  Nodes merge their states in any order, any number of times, and reach the
same one (a state-based CRDT; M. Shapiro et al., Conflict-free Replicated Data Types,
2011).
"""

from __future__ import annotations

import heapq
import itertools
import math
import zlib
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ..backends.restriction import Incarnation
from .messages import CrashRecord, SegmentRecord, TrialRecord

# Weight of the crashes after which a segment counts as harmful.  A crash of an engine
# that had no other request weighs more.
HARMFUL_WEIGHT = 3
ISOLATED_WEIGHT = 2
# Crashes within this time count as one: many engines that end together have a common
# cause, such as a power failure.
SAME_CAUSE_S = 0.2
# A segment that was answered before is suspected only of crashes that are this old,
# which leaves time for answers that prove it harmless.
PROOF_WAIT_S = 2.0
# Answers without a segment that must have begun since its last crash: while no engine
# answers anything, the segments that all requests share are not at fault.
MIN_OTHER_ANSWERS = 2
# Evidence that led to no verdict is dropped after this time, a verdict after the other.
SUSPICION_TTL_S = 120.0
VERDICT_TTL_S = 6 * 3600.0
MAX_TRACKED_SEGMENTS = 256
MAX_CRASHES = 16


Crashes = dict[Incarnation, "Crash"]
"""Crashes by the incarnation of the engine, in order of time."""


@dataclass(frozen=True)
class Assessment:
    """What the evidence says about segments.

    A request with a segment of ``harmful`` crashes engines if it also has the others
    that the segment maps to: these explain the same crashes, so that each of them may
    be the cause.  Other requests with one of these segments are suspect, as are those
    with one of ``suspects``.
    """

    harmful: Mapping[int, frozenset[int]] = field(default_factory=dict)
    suspects: frozenset[int] = frozenset()

    def find_harmful(self, segments: Collection[int]) -> list[int]:
        """Return the segments for which a request is known to be harmful."""
        return [
            segment
            for segment in segments
            if segment in self.harmful and self.harmful[segment].issubset(segments)
        ]

    def is_suspect(self, segment: int) -> bool:
        """Return whether a segment may crash engines."""
        return segment in self.suspects or segment in self.harmful


@dataclass
class Crash:
    """A crash of an engine that was about to answer a request with a segment.

    ``isolated`` is set if the engine had no other request, ``refuted`` once the
    segment proved harmless afterwards.  ``reporter`` is the node that has seen it.
    """

    at_s: float
    learned_s: float
    reporter: str
    isolated: bool = False
    refuted: bool = False


@dataclass
class SegmentEvidence:
    """The crashes that a segment is blamed for.

    ``whole`` is set for a request as a whole, ``vouched`` if some node has seen whole
    answers to requests with the segment before.  ``trial`` is the last request with a
    harmful segment that was let through, ``other_answers`` counts the answers without
    it since its last crash.
    """

    first_learned_s: float
    whole: bool = False
    vouched: bool = False
    crashes: dict[Incarnation, Crash] = field(default_factory=dict)
    trial: Trial | None = None
    other_answers: int = 0

    @property
    def blamed(self) -> list[Crash]:
        """Return the crashes that are not refuted, in order of time."""
        found = (crash for crash in self.crashes.values() if not crash.refuted)
        return sorted(found, key=lambda crash: crash.at_s)

    @property
    def last_crash_s(self) -> float:
        """Return the time of the last crash."""
        return max((crash.at_s for crash in self.crashes.values()), default=-math.inf)

    @property
    def reporters(self) -> tuple[str, ...]:
        """Return the nodes that have seen the crashes."""
        return tuple(sorted({crash.reporter for crash in self.crashes.values()}))

    def is_expired(self, now_s: float) -> bool:
        """Return whether the evidence is too old to matter."""
        verdict = _weight(self.blamed) >= HARMFUL_WEIGHT
        last_s = max(self.last_crash_s, self.trial.at_s if self.trial else -math.inf)
        return now_s - last_s > (VERDICT_TTL_S if verdict else SUSPICION_TTL_S)

    def make_room(self, at_s: float) -> bool:
        """Drop a crash that counts for nothing, if one at ``at_s`` counts for more."""
        times_s = {key: crash.at_s for key, crash in self.crashes.items()}
        if any(abs(at_s - other_s) < SAME_CAUSE_S for other_s in times_s.values()):
            return False
        ordered = sorted(times_s, key=times_s.__getitem__)
        gaps_s = {
            key: times_s[key] - times_s[previous]
            for previous, key in itertools.pairwise(ordered)
        }
        del self.crashes[min(gaps_s, key=gaps_s.__getitem__)]
        return True

    def counted(self, now_s: float) -> Crashes:
        """Return the crashes that count against the segment."""
        if self.vouched and self.other_answers < MIN_OTHER_ANSWERS:
            return {}
        wait_s = PROOF_WAIT_S if self.vouched else 0.0
        found = {
            incarnation: crash
            for incarnation, crash in self.crashes.items()
            if not crash.refuted and now_s - crash.at_s >= wait_s
        }
        return dict(sorted(found.items(), key=lambda item: item[1].at_s))


@dataclass(frozen=True)
class Trial:
    """A request with a harmful segment that ``holder`` lets through at ``at_s``."""

    number: int
    holder: str
    at_s: float


def _weight(crashes: Iterable[Crash]) -> int:
    """Return the weight of crashes in order of time; simultaneous ones count once."""
    total = 0
    counted_s = -math.inf
    counted = 0
    for crash in crashes:
        weight = ISOLATED_WEIGHT if crash.isolated else 1
        if crash.at_s - counted_s >= SAME_CAUSE_S:
            counted_s = crash.at_s
            counted = 0
        total += max(0, weight - counted)
        counted = max(counted, weight)
    return total


def _is_verdict(crashes: Crashes) -> bool:
    return _weight(crashes.values()) >= HARMFUL_WEIGHT


def _without(crashes: Crashes, excluded: Collection[Incarnation]) -> Crashes:
    return {key: crash for key, crash in crashes.items() if key not in excluded}


def _is_one_request(request: Crashes, crashes: Crashes) -> bool:
    """Return whether the crashes with a segment may be due to one request with it."""
    if crashes.keys().isdisjoint(request):
        return False
    return _weight(_without(crashes, request).values()) < ISOLATED_WEIGHT


def _explains(others: Crashes, crashes: Crashes) -> bool:
    """Return whether the crashes with one segment may be due to another one."""
    unexplained = _without(crashes, others)
    shared = _without(crashes, unexplained)
    return _is_verdict(shared) and not _is_verdict(unexplained)


class Evidence:
    """The evidence about all segments, as this node knows it.

    Methods that change it return the segments for which it has changed.
    """

    def __init__(self):
        self._segments: dict[int, SegmentEvidence] = {}

    def __len__(self) -> int:
        return len(self._segments)

    def __iter__(self) -> Iterator[tuple[int, SegmentEvidence]]:
        return iter(self._segments.items())

    def get(self, segment: int) -> SegmentEvidence | None:
        """Return the evidence about a segment, None if there is none."""
        return self._segments.get(segment)

    def assess(self, now_s: float) -> Assessment:
        """Return which segments are suspected or harmful.

        Crashes that a harmful segment explains do not count against others in them.
        """
        new: dict[int, Crashes] = {}
        known: dict[int, Crashes] = {}
        for segment, found in self._segments.items():
            crashes = found.counted(now_s)
            if crashes:
                (known if found.vouched else new)[segment] = crashes
        candidates = {s: each for s, each in new.items() if _is_verdict(each)}
        harmful = {
            segment: self._alternatives(segment, candidates)
            for segment in candidates
            if not self._is_due_to_one_request(segment, new, candidates)
        }
        decided = {i for s, others in harmful.items() if not others for i in new[s]}
        harmful = {
            segment: others
            for segment, others in harmful.items()
            if not others or _is_verdict(_without(new[segment], decided))
        }
        blamed = {i for crashes in candidates.values() for i in crashes}
        for segment, crashes in known.items():
            if _is_verdict(_without(crashes, blamed)):
                harmful[segment] = frozenset()
        suspects = (s for s, each in new.items() if _without(each, decided))
        return Assessment(harmful, frozenset(suspects) - harmful.keys())

    def _is_whole(self, segment: int) -> bool:
        return self._segments[segment].whole

    def _alternatives(
        self, segment: int, candidates: Mapping[int, Crashes]
    ) -> frozenset[int]:
        """Return the other candidates that may explain the crashes with a segment."""
        crashes = candidates[segment]
        return frozenset(
            other
            for other, found in candidates.items()
            if other != segment
            and (
                # No request is another one as a whole.
                not self._is_whole(segment) and _is_one_request(found, crashes)
                if self._is_whole(other)
                else _explains(found, crashes)
            )
        )

    def _is_due_to_one_request(
        self,
        segment: int,
        new: Mapping[int, Crashes],
        candidates: Mapping[int, Crashes],
    ) -> bool:
        """Return whether one request that is no candidate explains the crashes."""
        return not self._is_whole(segment) and any(
            self._is_whole(other)
            and other not in candidates
            and _is_one_request(crashes, candidates[segment])
            for other, crashes in new.items()
        )

    def add_crash(
        self,
        incarnation: Incarnation,
        segments: Iterable[int],
        reporter: str,
        isolated: bool,
        now_s: float,
        whole: int = 0,
    ) -> list[int]:
        """Blame the segments of a request for a crash that this node has seen.

        ``whole`` is the one of them that stands for the request as a whole.
        """
        crash = CrashRecord(*incarnation, 0, isolated, False, reporter)
        records = [
            SegmentRecord(segment, False, [crash], whole=segment == whole)
            for segment in segments
        ]
        return self.merge(records, now_s)

    def vouch(self, segments: Iterable[int], now_s: float) -> list[int]:
        """Record that requests with segments were answered in whole before."""
        known = (segment for segment in segments if segment in self._segments)
        return self.merge((SegmentRecord(each, True, []) for each in known), now_s)

    def record_answer(
        self,
        segments: Iterable[int],
        begun_s: float,
        now_s: float,
        unproven: Collection[int] = (),
    ) -> list[int]:
        """Record an answer, which proves the segments of its request harmless.

        It refutes the crashes that were known when it began.  ``unproven`` are those of
        its request that only a complete answer proves harmless.
        """
        proven = frozenset(segments)
        changed = []
        for segment, found in self._segments.items():
            if segment not in proven:
                if segment not in unproven:
                    found.other_answers += begun_s >= found.last_crash_s
                continue
            known = [each for each in found.blamed if each.learned_s <= begun_s]
            for crash in known:
                crash.refuted = True
            if known:
                changed.append(segment)
        return changed

    def claim_trial(self, segment: int, holder: str, now_s: float) -> None:
        """Record that a node lets one request with a harmful segment through."""
        found = self._segments[segment]
        number = found.trial.number + 1 if found.trial else 1
        found.trial = Trial(number, holder, now_s)

    def merge(self, records: Iterable[SegmentRecord], now_s: float) -> list[int]:
        """Merge what another node knows."""
        changed = [each.segment for each in records if self._merge(each, now_s)]
        self._limit_size()
        return [segment for segment in changed if segment in self._segments]

    def most_important(self, limit: int) -> list[int]:
        """Return the segments that are most to blame, up to a number of them."""

        def importance(segment: int) -> tuple:
            found = self._segments[segment]
            return not found.vouched, _weight(found.blamed), found.last_crash_s

        return heapq.nlargest(limit, self._segments, key=importance)

    def expire(self, now_s: float) -> None:
        """Drop evidence that is too old to matter."""
        for segment, found in list(self._segments.items()):
            if found.is_expired(now_s):
                del self._segments[segment]

    def records(self, now_s: float, segments: Iterable[int]) -> list[SegmentRecord]:
        """Return the wire form of the evidence about some segments."""
        return [
            _to_record(segment, self._segments[segment], now_s)
            for segment in segments
            if segment in self._segments
        ]

    @property
    def digest(self) -> int:
        """Return a checksum that is equal on nodes that know the same."""
        total = 0
        for segment, found in self._segments.items():
            marks = sorted(
                (*incarnation, crash.isolated, crash.refuted)
                for incarnation, crash in found.crashes.items()
            )
            trial = found.trial and (found.trial.number, found.trial.holder)
            total ^= zlib.crc32(repr((segment, found.vouched, marks, trial)).encode())
        return total

    def _merge(self, record: SegmentRecord, now_s: float) -> bool:
        """Merge the record of one segment; return whether it adds anything."""
        found = self._segments.get(record.segment)
        is_new = found is None
        if is_new:
            found = SegmentEvidence(now_s, record.whole)
        changed = record.vouched and not found.vouched
        found.vouched |= record.vouched
        for crash in record.crashes:
            changed |= self._merge_crash(found, crash, now_s)
        changed |= _merge_trial(found, record.trial, now_s)
        if is_new and (not found.crashes or found.is_expired(now_s)):
            return False
        self._segments[record.segment] = found
        return changed

    @staticmethod
    def _merge_crash(found: SegmentEvidence, record: CrashRecord, now_s: float) -> bool:
        incarnation = Incarnation(record.server, record.started)
        known = found.crashes.get(incarnation)
        if known is None:
            at_s = now_s - record.age_ms / 1000
            if len(found.crashes) >= MAX_CRASHES and not found.make_room(at_s):
                return False
            known = Crash(at_s, now_s, record.reporter)
            known.isolated, known.refuted = record.isolated, record.refuted
            found.crashes[incarnation] = known
            found.other_answers = 0
            return True
        before = (known.isolated, known.refuted)
        known.isolated |= record.isolated
        known.refuted |= record.refuted
        return before != (known.isolated, known.refuted)

    def _limit_size(self) -> None:
        """Drop the least important evidence beyond the limit."""
        if len(self._segments) > MAX_TRACKED_SEGMENTS:
            kept = self.most_important(MAX_TRACKED_SEGMENTS)
            self._segments = {segment: self._segments[segment] for segment in kept}


def _merge_trial(
    found: SegmentEvidence, record: TrialRecord | None, now_s: float
) -> bool:
    """Take over a later trial, or an earlier claim of the same one."""
    if record is None:
        return False
    trial = Trial(record.number, record.holder, now_s - record.age_ms / 1000)
    known = found.trial
    if known is not None:
        if trial.number < known.number:
            return False
        if trial.number == known.number and trial.holder >= known.holder:
            return False
    found.trial = trial
    return True


def _to_record(segment: int, found: SegmentEvidence, now_s: float) -> SegmentRecord:
    crashes = [
        CrashRecord(
            *incarnation,
            round(1000 * (now_s - crash.at_s)),
            crash.isolated,
            crash.refuted,
            crash.reporter,
        )
        for incarnation, crash in found.crashes.items()
    ]
    trial = found.trial
    if trial is not None:
        age_ms = round(1000 * (now_s - trial.at_s))
        trial = TrialRecord(trial.number, trial.holder, age_ms)
    return SegmentRecord(segment, found.vouched, crashes, trial, found.whole)
