"""Admission queue of a node: priorities, deadlines and fair queueing in tokens."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .cost import Cost
from .errors import OverloadError
from .request import Request

DEFAULT_CAPACITY = 2000
DEFAULT_CAPACITY_BYTES = 96 * 1024 * 1024
SHORT_TOKENS = 4096
TOP_LEVEL = -1
"""Level of a request that has waited for half of its slack; above priority 0."""
PRIORITY_SLACK_TOKENS = 1_000_000
MAX_SHORT_ATTEMPTS = 64
MAX_LONGER_ATTEMPTS = 8
"""Placement attempts per call; after the second limit only short ones are tried."""
RATE_WINDOW_S = 10.0
MIN_BUSY_S = 0.5
MAX_DRAIN_RATES = 256
"""Number of drain rates beyond which those of services without a queue are dropped."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
DECODE_S_PER_TOKEN = 0.02
PREFILL_TOKENS_PER_S = 20_000.0


def estimate_service_s(cost: Cost) -> float:
    """Return the estimated service time of a request on an idle engine."""
    return (
        cost.prefill_tokens / PREFILL_TOKENS_PER_S
        + cost.decode_tokens * DECODE_S_PER_TOKEN
    )


# Key of a drain rate: the service, and whether only its short requests count.  Short
# requests overtake longer ones, so they drain faster.
class _RateKey(NamedTuple):
    target_name: str
    short: bool


class _DrainRate:
    """Number and drain rate of the queued requests of one service.

    The rate is measured only while requests are queued.
    """

    def __init__(self):
        self.count = 0
        self._busy_s = 0.0
        self._released_tokens = 0.0
        self._updated_s: float | None = None

    @property
    def rate_tokens_per_s(self) -> float | None:
        """Return the measured drain rate, None until there are enough samples."""
        if self._busy_s < MIN_BUSY_S:
            return None
        return self._released_tokens / self._busy_s

    def measure(self, now_s: float, released_tokens: int = 0) -> None:
        """Add tokens released to servers, and decay the older samples."""
        if self._updated_s is not None and self.count:
            elapsed_s = max(0.0, now_s - self._updated_s)
            factor = math.exp(-elapsed_s / RATE_WINDOW_S)
            self._busy_s = self._busy_s * factor + elapsed_s
            self._released_tokens *= factor
        self._released_tokens += released_tokens
        self._updated_s = max(now_s, self._updated_s or now_s)


@dataclass(order=True)
class _Entry:
    """A queued request.

    ``rank`` orders the entries of an organisation within a level: the deadline, or
    the arrival time on the top level.  Deadlines on the top level would put every
    new short request before a long one that has used up most of its slack.
    """

    rank: float
    order: int
    request: Request = field(compare=False)
    cost: Cost = field(compare=False)
    latest_start_s: float = field(compare=False)
    aging_step_s: float = field(compare=False)
    level: int = field(compare=False)
    short: bool = field(compare=False)
    rate_keys: tuple[_RateKey, ...] = field(compare=False)


@dataclass
class _Organisation:
    """Fair-queueing state of one organisation with queued requests."""

    name: str
    weight: float
    virtual_time: float
    count: int = 0


class _LevelQueue:
    """The queued requests of a member at one level and size class, by organisation.

    Short requests are kept apart, so that they can overtake a longer request of
    their organisation that cannot be placed.
    """

    def __init__(self):
        self._queues: dict[str, list[_Entry]] = {}
        self._by_virtual_time: list[tuple[float, str]] = []

    def __bool__(self) -> bool:
        return bool(self._queues)

    def push(self, entry: _Entry, organisation: _Organisation) -> None:
        name = organisation.name
        if name not in self._queues:
            self._queues[name] = []
            heapq.heappush(self._by_virtual_time, (organisation.virtual_time, name))
        heapq.heappush(self._queues[name], entry)

    def discard(self, entry: _Entry) -> None:
        name = entry.request.organisation
        queue = self._queues[name]
        if queue[0] is entry:
            heapq.heappop(queue)
        else:
            queue.remove(entry)
            heapq.heapify(queue)
        if not queue:
            del self._queues[name]

    def heads(self, organisations: Mapping[str, _Organisation]) -> list[_Entry]:
        """Return the first entries of the organisations with the least virtual time."""
        turns: list[tuple[float, str]] = []
        seen: set[str] = set()
        while self._by_virtual_time and len(turns) < MAX_SHORT_ATTEMPTS:
            virtual_time, name = heapq.heappop(self._by_virtual_time)
            if name not in self._queues or name in seen:
                continue
            current = organisations[name].virtual_time
            if current > virtual_time:
                heapq.heappush(self._by_virtual_time, (current, name))
            else:
                seen.add(name)
                turns.append((virtual_time, name))
        for turn in turns:
            heapq.heappush(self._by_virtual_time, turn)
        return [self._queues[name][0] for _, name in turns]


class _Member:
    """Queued requests and fair-queueing state of one member."""

    def __init__(self, share: float):
        self.share = share
        self.virtual_time = 0.0
        self.virtual_floor = 0.0
        self.count = 0
        self.bytes = 0
        self.tokens: dict[_RateKey, dict[int, int]] = {}
        self.organisations: dict[str, _Organisation] = {}
        self.level_queues: dict[tuple[int, bool], _LevelQueue] = {}

    def sort_key(self, entry: _Entry) -> tuple[float, float]:
        """Return the sort key of an entry among those of the same level."""
        organisation = self.organisations[entry.request.organisation]
        return organisation.virtual_time, entry.rank

    def tokens_ahead(self, rate_key: _RateKey, priority: int | None = None) -> int:
        """Return the queued tokens of a service at or above this priority."""
        counts = self.tokens.get(rate_key, {})
        return sum(
            count
            for key, count in counts.items()
            if priority is None or key <= priority
        )

    def add_tokens(self, entry: _Entry, sign: int) -> None:
        """Add the tokens of an entry to the queued counts, or subtract them."""
        priority = entry.request.kind.priority
        for rate_key in entry.rate_keys:
            counts = self.tokens.setdefault(rate_key, {})
            counts[priority] = counts.get(priority, 0) + sign * entry.cost.kv_tokens
            if not counts[priority]:
                del counts[priority]
            if not counts:
                del self.tokens[rate_key]


class AdmissionQueue:
    """The admission queue of one node.

    ``shares`` maps each member to its share of the capacity, ``weights`` maps
    (member, organisation) to the organisation's weight; both default to 1.
    ``service_s`` estimates the service time of a request, and ``max_wait_s``
    limits its queueing time independently of the deadline.  Prompts of up to
    ``short_tokens`` may overtake longer ones that cannot be placed.  The drain rate
    is measured for each service while requests are queued for it.

    Members and, within a member, organisations are served by start-time fair
    queueing in tokens (P. Goyal, H. Vin, H. Cheng, 1996).  Priorities come
    first until a member is ``PRIORITY_SLACK_TOKENS`` ahead of its share.  Queued
    requests age: the level rises in even steps and reaches ``TOP_LEVEL`` after half
    of the allowed wait.
    """

    def __init__(
        self,
        shares: Mapping[str, float] | None = None,
        weights: Mapping[tuple[str, str], float] | None = None,
        *,
        capacity: int = DEFAULT_CAPACITY,
        capacity_bytes: int = DEFAULT_CAPACITY_BYTES,
        service_s: Callable[[Cost], float] = estimate_service_s,
        max_wait_s: Callable[[Request], float] = lambda request: math.inf,
        short_tokens: int = SHORT_TOKENS,
    ):
        self._capacity = capacity
        self._capacity_bytes = capacity_bytes
        self._service_s = service_s
        self._max_wait_s = max_wait_s
        self._short_tokens = short_tokens
        self._members: dict[str, _Member] = {}
        self._entries: dict[str, _Entry] = {}
        self._latest_start_heap: list[tuple[float, int, str]] = []
        self._aging_heap: list[tuple[float, int, str]] = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._bytes = 0
        self._drain_rates: dict[_RateKey, _DrainRate] = {}
        self.set_shares(shares or {}, weights or {})

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def queued_tokens(self) -> int:
        """Return the prompt and output tokens of all queued requests."""
        return sum(
            member.tokens_ahead(rate_key)
            for member in self._members.values()
            for rate_key in member.tokens
            if not rate_key.short
        )

    def set_shares(
        self,
        shares: Mapping[str, float],
        weights: Mapping[tuple[str, str], float],
    ) -> None:
        """Apply the shares and weights of a new configuration."""
        mean = sum(shares.values()) / len(shares) if shares else 1.0
        self._shares = {name: share / (mean or 1.0) for name, share in shares.items()}
        self._weights = dict(weights)
        for name, member in self._members.items():
            member.share = self._share(name)
            for organisation in member.organisations.values():
                organisation.weight = self._weight(name, organisation.name)

    def offer(self, request: Request, cost: Cost, now_s: float) -> None:
        """Queue a request.

        Raises ``OverloadError``, with a retry delay, when the request cannot finish
        within its deadline or the queue is full.
        """
        rate_key = self._rate_key(request, cost)
        self._drain_rate(rate_key).measure(now_s)
        self._check_room(request, rate_key)
        wait_s = self._estimate_wait_s(request, rate_key)
        if now_s + wait_s + self._service_s(cost) > request.deadline_s:
            raise self._overload(
                "the request cannot finish within its deadline", rate_key
            )
        self._add(request, cost, now_s)

    def next(
        self, now_s: float, fits: Callable[[Request, Cost], bool]
    ) -> Request | None:
        """Take the next request for which ``fits(request, cost)`` is true.

        Returns None when no queued request fits.  Once a request at the top level
        does not fit, only short requests may overtake it, so that the capacity it
        needs becomes available.
        """
        self._age_requests(now_s)
        held = False
        attempts = {True: 0, False: 0}
        for entry in self._candidates():
            if held and not entry.short:
                continue
            if fits(entry.request, entry.cost):
                self._dequeue(entry, now_s)
                return entry.request
            attempts[entry.short] += 1
            if attempts[True] >= MAX_SHORT_ATTEMPTS:
                break
            held = (
                held
                or entry.level == TOP_LEVEL
                or attempts[False] >= MAX_LONGER_ATTEMPTS
            )
        return None

    def remove(self, request_id: str) -> bool:
        """Remove a request; return whether it was queued."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        self._discard(entry)
        return True

    def expire(self, now_s: float) -> list[Request]:
        """Remove and return the requests whose latest start time has passed."""
        expired = []
        while self._latest_start_heap and self._latest_start_heap[0][0] < now_s:
            _, order, request_id = heapq.heappop(self._latest_start_heap)
            entry = self._entries.get(request_id)
            if entry is not None and entry.order == order:
                self._discard(entry)
                expired.append(entry.request)
        return expired

    def retry_after_s(self, request: Request, cost: Cost) -> float:
        """Return the retry delay for a rejected request."""
        return self._retry_after_s(self._rate_key(request, cost))

    def _retry_after_s(self, rate_key: _RateKey) -> float:
        rate = self._drain_rate(rate_key).rate_tokens_per_s
        if rate is None:
            return MIN_RETRY_AFTER_S
        queued = sum(each.tokens_ahead(rate_key) for each in self._members.values())
        wait_s = queued / rate if rate else MAX_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _rate_key(self, request: Request, cost: Cost) -> _RateKey:
        return _RateKey(request.target_name, cost.prefill_tokens <= self._short_tokens)

    def _drain_rate(self, key: _RateKey) -> _DrainRate:
        drain_rate = self._drain_rates.get(key)
        if drain_rate is None:
            if len(self._drain_rates) >= MAX_DRAIN_RATES:
                kept = self._drain_rates.items()
                self._drain_rates = {name: each for name, each in kept if each.count}
            drain_rate = self._drain_rates[key] = _DrainRate()
        return drain_rate

    def _share(self, member: str) -> float:
        return self._shares.get(member, 1.0) or 1e-3

    def _weight(self, member: str, organisation: str) -> float:
        return self._weights.get((member, organisation), 1.0) or 1e-3

    def _add(self, request: Request, cost: Cost, now_s: float) -> None:
        member = self._members.get(request.member)
        if member is None:
            member = _Member(self._share(request.member))
            self._members[request.member] = member
        if member.count == 0:
            member.virtual_time = max(member.virtual_time, self._virtual_time)
        name = request.organisation
        organisation = member.organisations.get(name)
        if organisation is None:
            weight = self._weight(request.member, name)
            organisation = _Organisation(name, weight, member.virtual_floor)
            member.organisations[name] = organisation
        organisation.virtual_time = max(organisation.virtual_time, member.virtual_floor)
        organisation.count += 1
        priority = request.kind.priority
        latest_start_s = min(
            request.deadline_s - self._service_s(cost),
            now_s + self._max_wait_s(request),
        )
        aging_step_s = max(0.0, latest_start_s - now_s) / (2 * (priority - TOP_LEVEL))
        rate_key = self._rate_key(request, cost)
        service_key = rate_key._replace(short=False)
        entry = _Entry(
            rank=request.deadline_s,
            order=next(self._order),
            request=request,
            cost=cost,
            latest_start_s=latest_start_s,
            aging_step_s=aging_step_s,
            level=priority,
            short=rate_key.short,
            rate_keys=(service_key, rate_key) if rate_key.short else (service_key,),
        )
        member.add_tokens(entry, 1)
        for rate_key in entry.rate_keys:
            self._drain_rate(rate_key).measure(now_s)
            self._drain_rate(rate_key).count += 1
        member.count += 1
        member.bytes += len(request.body)
        self._bytes += len(request.body)
        self._entries[request.id] = entry
        self._add_to_level(entry)
        heapq.heappush(
            self._latest_start_heap, (latest_start_s, entry.order, request.id)
        )
        heapq.heappush(
            self._aging_heap, (now_s + aging_step_s, entry.order, request.id)
        )

    def _add_to_level(self, entry: _Entry) -> None:
        member = self._members[entry.request.member]
        key = (entry.level, not entry.short)
        level_queue = member.level_queues.setdefault(key, _LevelQueue())
        level_queue.push(entry, member.organisations[entry.request.organisation])

    def _remove_from_level(self, entry: _Entry) -> None:
        member = self._members[entry.request.member]
        key = (entry.level, not entry.short)
        member.level_queues[key].discard(entry)
        if not member.level_queues[key]:
            del member.level_queues[key]

    def _age_requests(self, now_s: float) -> None:
        """Raise the level of the requests whose next aging step is due."""
        while self._aging_heap and self._aging_heap[0][0] <= now_s:
            step_at_s, order, request_id = heapq.heappop(self._aging_heap)
            entry = self._entries.get(request_id)
            if entry is None or entry.order != order or entry.level <= TOP_LEVEL:
                continue
            self._remove_from_level(entry)
            entry.level -= 1
            if entry.level == TOP_LEVEL:
                entry.rank = entry.request.received_s
            self._add_to_level(entry)
            if entry.level > TOP_LEVEL:
                heapq.heappush(
                    self._aging_heap,
                    (step_at_s + entry.aging_step_s, order, request_id),
                )

    def _candidates(self) -> Iterator[_Entry]:
        """Yield the queued entries in scheduling order."""
        active = [member for member in self._members.values() if member.count]
        if not active:
            return
        virtual_floor = min(member.virtual_time for member in active)
        turns = []
        for index, member in enumerate(active):
            ahead = member.virtual_time - virtual_floor > PRIORITY_SLACK_TOKENS
            levels = {level for level, _ in member.level_queues}
            turns += [(ahead, level, member.virtual_time, index) for level in levels]
        for _, level, _, index in sorted(turns):
            member = active[index]
            level_queues = [
                member.level_queues.get((level, long)) for long in (False, True)
            ]
            heads = [
                level_queue.heads(member.organisations)
                for level_queue in level_queues
                if level_queue
            ]
            yield from heapq.merge(*heads, key=member.sort_key)

    def _check_room(self, request: Request, rate_key: _RateKey) -> None:
        """Raise ``OverloadError`` when the queue or the member's part of it is full."""
        total = sum(self._shares.values()) or 1.0
        fraction = min(1.0, self._share(request.member) / total)
        member = self._members.get(request.member)
        count = member.count if member else 0
        held = member.bytes if member else 0
        size = len(request.body)
        full = (
            len(self._entries) >= self._capacity
            or count >= max(1, fraction * self._capacity)
            or self._bytes + size > self._capacity_bytes
            or (held and held + size > fraction * self._capacity_bytes)
        )
        if full:
            raise self._overload("the admission queue is full", rate_key)

    def _estimate_wait_s(self, request: Request, rate_key: _RateKey) -> float:
        """Return the estimated queueing time of a request.

        It is the smaller of the wait behind all requests of at least its priority
        and the wait within its member's share: a member that fills the queue must
        not cause rejections of a member within its share.
        """
        rate = self._drain_rate(rate_key).rate_tokens_per_s
        priority = request.kind.priority
        members = self._members.values()
        ahead = sum(each.tokens_ahead(rate_key, priority) for each in members)
        if rate is None or not ahead:
            return 0.0
        if rate <= 0:
            return math.inf
        active = {name for name, member in self._members.items() if member.count}
        active.add(request.member)
        fraction = self._share(request.member) / sum(map(self._share, active))
        own = self._members.get(request.member)
        own_tokens = own.tokens_ahead(rate_key, priority) if own else 0
        return min(ahead, own_tokens / fraction) / rate

    def _overload(self, message: str, rate_key: _RateKey) -> OverloadError:
        return OverloadError(
            message,
            step="admission",
            peer="caller",
            retry_after_s=self._retry_after_s(rate_key),
        )

    def _dequeue(self, entry: _Entry, now_s: float) -> None:
        tokens = entry.cost.kv_tokens
        for rate_key in entry.rate_keys:
            self._drain_rate(rate_key).measure(now_s, tokens)
        member = self._members[entry.request.member]
        organisation = member.organisations[entry.request.organisation]
        member.virtual_floor = max(member.virtual_floor, organisation.virtual_time)
        self._virtual_time = max(self._virtual_time, member.virtual_time)
        member.virtual_time += tokens / member.share
        organisation.virtual_time += tokens / organisation.weight
        self._discard(entry)

    def _discard(self, entry: _Entry) -> None:
        request = entry.request
        member = self._members[request.member]
        self._remove_from_level(entry)
        del self._entries[request.id]
        member.add_tokens(entry, -1)
        for rate_key in entry.rate_keys:
            self._drain_rate(rate_key).count -= 1
        member.count -= 1
        member.bytes -= len(request.body)
        self._bytes -= len(request.body)
        organisation = member.organisations[request.organisation]
        organisation.count -= 1
        if (
            organisation.count == 0
            and organisation.virtual_time <= member.virtual_floor
        ):
            del member.organisations[request.organisation]
        if member.count == 0:
            member.organisations.clear()
        self._latest_start_heap = self._compact(self._latest_start_heap)
        self._aging_heap = self._compact(self._aging_heap)

    def _compact(self, heap: list[tuple[float, int, str]]):
        """Return the heap without stale entries once these are the majority."""
        if len(heap) < 64 or len(heap) < 2 * len(self._entries):
            return heap
        kept = [item for item in heap if item[2] in self._entries]
        heapq.heapify(kept)
        return kept
