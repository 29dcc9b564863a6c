"""Discrete-event model of an LLM engine, without I/O and without a clock.

The driver passes the current time to every call: it submits requests, asks
``next_event_s()`` for the time of the next event, and calls ``step()`` at that time
or later to collect the events.  Times of successive calls must not decrease.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import insort
from collections.abc import Sequence
from dataclasses import dataclass

from .cache_events import CLEARED, CacheEvent, CacheEventLog
from .commands import CommandState
from .kv_cache import KvCache, OutOfMemoryError, Reservation
from .load_report import COLD, READY, STARTING, LoadReport, ReportHistory

LENGTH = "length"
DEADLINE = "deadline"
DROPPED = "dropped"
_POSITIVE_SETTINGS = (
    "kv_capacity_tokens",
    "block_tokens",
    "prefill_tokens_per_s",
    "decode_tokens_per_s",
    "step_prefill_tokens",
    "merged_steps",
    "max_running",
    "cold_speed",
)


@dataclass(frozen=True)
class EngineSettings:
    """Speeds and limits of an engine; sizes in tokens, times in seconds.

    An iteration (a step) prefills at most ``step_prefill_tokens`` and decodes one
    token per running request.  ``merged_steps`` simulates that many iterations as
    one, which makes long replays cheaper and timing coarser.

    A cold engine runs at ``cold_speed`` and admits prompt and output tokens up to a
    bound: ``cold_bound_tokens`` plus the tokens processed since it turned cold.
    It crashes when the tokens of running and waiting requests exceed
    ``cold_fall_factor`` times that bound.  It is warm after ``warmup_tokens``.

    Raises ValueError for a size or speed that is not above 0.
    """

    kv_capacity_tokens: int = 2_000_000
    block_tokens: int = 256
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 8_000.0
    step_overhead_s: float = 0.005
    step_prefill_tokens: int = 512
    merged_steps: int = 1
    max_running: int = 256
    starts_cold: bool = False
    cold_bound_tokens: int = 8_192
    cold_fall_factor: float = 2.0
    cold_speed: float = 0.5
    warmup_tokens: int = 131_072
    restart_s: float = 1.0
    report_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_gap: float = 0.0
    checks_fencing: bool = True
    models: tuple[str, ...] = ()

    def __post_init__(self):
        for name in _POSITIVE_SETTINGS:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0")


@dataclass(frozen=True)
class TokenEvent:
    """A request generated ``count`` tokens, starting at ``offset``."""

    offset: int
    count: int = 1


@dataclass(frozen=True)
class FinishEvent:
    """A request ended.

    ``reason`` is ``length``, ``deadline`` (its end time passed) or ``dropped``
    (the engine crashed).
    """

    reason: str
    cached_tokens: int = 0


Event = TokenEvent | FinishEvent


class EngineRejectedError(Exception):
    """The engine rejects a request, export or import.

    ``code`` is ``starting`` (the engine has not restarted yet), ``memory`` (the KV
    cache is too small) or ``not_cached`` (an export of a prefix that is not cached).
    """

    def __init__(self, code: str):
        super().__init__(f"request rejected by the engine: {code}")
        self.code = code


@dataclass(frozen=True)
class Hold:
    """KV blocks pinned for ``owner`` until ``end_s``."""

    id: str
    owner: str
    blocks: tuple[str, ...]
    tokens: int
    end_s: float


@dataclass(eq=False)
class _Request:
    """A waiting or running request."""

    request_id: str
    queue_key: tuple[int, int]
    prefix: Sequence[str]
    remaining_prefill: int
    kv_tokens: int
    offset: int
    max_tokens: int
    cached_tokens: int = 0
    reservation: Reservation | None = None


def _queue_key(request: _Request) -> tuple[int, int]:
    return request.queue_key


class EngineModel:
    """One engine: continuous batching, KV cache, prefix cache, cold start and reports.

    ``boot_name`` distinguishes engines; the boot id is that name and a number.
    ``commands`` holds the state set by commands.  ``speed`` scales the engine's speed.
    """

    def __init__(
        self,
        settings: EngineSettings | None = None,
        rng: random.Random | None = None,
        boot_name: str = "boot",
    ):
        self.settings = settings or EngineSettings()
        self.commands = CommandState(self.settings.models, self.settings.checks_fencing)
        self.speed = 1.0
        self.crashes = 0
        self.memory = KvCache(
            self.settings.kv_capacity_tokens,
            self.settings.block_tokens,
            self._record_block_event,
        )
        self.cache_log = CacheEventLog(
            self.settings.event_lag_s, self.settings.event_gap, rng or random.Random(1)
        )
        self._boot_name = boot_name
        self._boot = 1
        self._cold = self.settings.starts_cold
        self._reports_cold = True
        self._processed_tokens = 0
        self._restart_end_s = -math.inf
        self._now_s = 0.0
        self._count = 0
        self._requests: dict[str, _Request] = {}
        self._waiting: list[_Request] = []
        self._prefilling: list[_Request] = []
        self._decoding: dict[str, _Request] = {}
        self._in_flight_tokens = 0
        self._running_tokens = 0
        self._queued_prefill_tokens = 0
        self._holds: dict[str, tuple[Hold, Reservation]] = {}
        self._expiries: list[tuple[float, int, str]] = []
        self._events: list[tuple[str, Event]] = []
        self._iteration_end_s: float | None = None
        self.reports = ReportHistory(self.settings.report_lag_s, self._report)

    @property
    def boot_id(self) -> str:
        """Return the id of this incarnation, which changes with every crash."""
        return f"{self._boot_name}-{self._boot}"

    @property
    def is_cold(self) -> bool:
        """Return whether the engine is cold, whatever its load report says."""
        return self._cold

    @property
    def in_flight_tokens(self) -> int:
        """Return the prompt and output tokens of all waiting and running requests."""
        return self._in_flight_tokens

    @property
    def cold_bound_tokens(self) -> int:
        """Return the bound on the running tokens of a cold engine."""
        return self.settings.cold_bound_tokens + self._processed_tokens

    def is_starting(self, now_s: float) -> bool:
        """Return whether the engine is restarting after a crash."""
        return now_s < self._restart_end_s

    def submit(  # noqa: PLR0917
        self,
        request_id: str,
        prompt_tokens: int,
        max_tokens: int,
        priority: int,
        prefix: Sequence[str],
        now_s: float,
        *,
        resume_from: int = 0,
        end_s: float | None = None,
    ) -> None:
        """Queue a request, which generates the tokens from ``resume_from`` on.

        ``prefix`` lists the blocks of the prompt, one per ``block_tokens``, each
        identified by a hash over the prompt up to its end.  At ``end_s`` the request
        is aborted and its KV cache freed.  Raises EngineRejectedError, or ValueError
        for a request id that is waiting or running already.
        """
        self._now_s = now_s
        if request_id in self._requests:
            raise ValueError(f"request {request_id!r} is already in the engine")
        if self.is_starting(now_s):
            raise EngineRejectedError("starting")
        kv_tokens = prompt_tokens + max_tokens
        if kv_tokens > self.settings.kv_capacity_tokens:
            raise EngineRejectedError("memory")
        self._count += 1
        request = _Request(
            request_id,
            (priority, self._count),
            prefix[: prompt_tokens // self.settings.block_tokens],
            max(1, prompt_tokens + resume_from),
            kv_tokens,
            resume_from,
            max_tokens,
        )
        self._requests[request_id] = request
        self._in_flight_tokens += kv_tokens
        self._queued_prefill_tokens += request.remaining_prefill
        insort(self._waiting, request, key=_queue_key)
        if end_s is not None:
            heapq.heappush(self._expiries, (end_s, self._count, request_id))
        if not self._crash_if_overloaded():
            self._start_iteration_if_idle()
        self.reports.record_change(now_s)

    def cancel(self, request_id: str) -> bool:
        """Abort a request and free its KV cache; return whether it was known."""
        request = self._requests.get(request_id)
        if request is None:
            return False
        self._remove(request)
        self._start_iteration_if_idle()
        self.reports.record_change(self._now_s)
        return True

    def next_event_s(self) -> float | None:
        """Return the time of the next event, None if none is scheduled."""
        return self._now_s if self._events else self._next_due_time_s()

    def step(self, now_s: float) -> list[tuple[str, Event]]:
        """Advance to ``now_s``; return the events since the last call by request."""
        while (due_s := self._next_due_time_s()) is not None and due_s <= now_s:
            self._now_s = max(self._now_s, due_s)
            if self._expiries and self._expiries[0][0] <= due_s:
                self._expire(*heapq.heappop(self._expiries)[1:])
                self._start_iteration_if_idle()
            else:
                self._complete_iteration()
                self._start_iteration()
            self.reports.record_change(self._now_s)
        self._now_s = max(self._now_s, now_s)
        events, self._events = self._events, []
        return events

    def load(self, now_s: float) -> LoadReport:
        """Return the load report that is visible at ``now_s``."""
        return self.reports.read(now_s)

    def cache_events(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the visible cache events with numbers above ``after``."""
        return self.cache_log.read(after, now_s)

    def export_blocks(
        self, prefix: Sequence[str], owner: str, end_s: float, now_s: float
    ) -> Hold:
        """Pin the leading blocks of the prefix that are cached.

        Raises EngineRejectedError when there are none.
        """
        self._now_s = now_s
        if self.is_starting(now_s):
            raise EngineRejectedError("starting")
        if not self.memory.find(prefix):
            raise EngineRejectedError("not_cached")
        return self._add_hold(self.memory.pin(prefix), owner, end_s)

    def import_blocks(
        self, prefix: Sequence[str], owner: str, end_s: float, now_s: float
    ) -> Hold:
        """Add the blocks of another engine and pin them.

        Raises EngineRejectedError when they do not fit.
        """
        self._now_s = now_s
        if self.is_starting(now_s):
            raise EngineRejectedError("starting")
        try:
            reservation = self.memory.insert(prefix)
        except OutOfMemoryError as error:
            raise EngineRejectedError("memory") from error
        return self._add_hold(reservation, owner, end_s)

    def release(self, hold_id: str, owner: str, now_s: float) -> bool:
        """Release a hold; return False when this owner has no such hold."""
        self._now_s = now_s
        if hold_id not in self._holds or self._holds[hold_id][0].owner != owner:
            return False
        self.memory.release(self._holds.pop(hold_id)[1])
        self._start_iteration_if_idle()
        self.reports.record_change(now_s)
        return True

    def turn_cold(self, now_s: float, *, reported: bool = True) -> None:
        """Drop the prefix cache and the warm state, with the same boot id.

        The engine crashes when its load exceeds the limit of a cold engine.
        Without ``reported`` its load report still says ``ready``.
        """
        self._now_s = now_s
        self._cold = True
        self._reports_cold = reported
        self._processed_tokens = 0
        self.memory.evict_unpinned()
        self._crash_if_overloaded()
        self.reports.record_change(now_s)

    def crash(self, now_s: float) -> None:
        """Crash: drop all requests and KV blocks; restart cold with a new boot id."""
        self._now_s = now_s
        self.crashes += 1
        dropped = [(key, FinishEvent(DROPPED)) for key in self._requests]
        self._events.extend(dropped)
        self._requests.clear()
        self._waiting.clear()
        self._prefilling.clear()
        self._decoding.clear()
        self._holds.clear()
        self._expiries.clear()
        self._in_flight_tokens = 0
        self._running_tokens = 0
        self._queued_prefill_tokens = 0
        self._iteration_end_s = None
        self.memory.reset()
        self.cache_log.add(CLEARED, "", now_s)
        self._boot += 1
        self._cold = True
        self._reports_cold = True
        self._processed_tokens = 0
        self._restart_end_s = now_s + self.settings.restart_s
        self.reports.record_change(now_s)

    def occupy(self, tokens: int, now_s: float) -> None:
        """Make that many tokens of the KV cache unavailable; 0 makes all available."""
        self._now_s = now_s
        self.memory.occupied_tokens = tokens
        self._start_iteration_if_idle()
        self.reports.record_change(now_s)

    def _next_due_time_s(self) -> float | None:
        if not self._expiries:
            return self._iteration_end_s
        if self._iteration_end_s is None:
            return self._expiries[0][0]
        return min(self._iteration_end_s, self._expiries[0][0])

    def _report(self, at_s: float) -> LoadReport:
        state = COLD if self._cold and self._reports_cold else READY
        if self.is_starting(at_s):
            state = STARTING
        return LoadReport(
            self.boot_id,
            state,
            self.settings.kv_capacity_tokens,
            self.memory.used_tokens,
            self.memory.cached_tokens,
            self._queued_prefill_tokens,
            len(self._prefilling) + len(self._decoding),
            len(self._waiting),
            self.settings.prefill_tokens_per_s * self._current_speed(),
        )

    def _current_speed(self) -> float:
        return self.speed * (self.settings.cold_speed if self._cold else 1.0)

    def _record_block_event(self, kind: str, block: str) -> None:
        self.cache_log.add(kind, block, self._now_s)

    def _crash_if_overloaded(self) -> bool:
        limit = self.cold_bound_tokens * self.settings.cold_fall_factor
        if not self._cold or self._in_flight_tokens <= limit:
            return False
        self.crash(self._now_s)
        return True

    def _add_hold(self, reservation: Reservation, owner: str, end_s: float) -> Hold:
        self._count += 1
        hold_id = f"hold-{self.boot_id}-{self._count}"
        tokens = len(reservation.blocks) * self.settings.block_tokens
        hold = Hold(hold_id, owner, tuple(reservation.blocks), tokens, end_s)
        self._holds[hold_id] = (hold, reservation)
        heapq.heappush(self._expiries, (end_s, self._count, hold_id))
        self.reports.record_change(self._now_s)
        return hold

    def _expire(self, number: int, key: str) -> None:
        """Free a hold or request whose end time passed, unless it has ended already."""
        if key in self._holds:
            self.memory.release(self._holds.pop(key)[1])
            return
        request = self._requests.get(key)
        # A request id may have been submitted again after it was cancelled.
        if request is not None and request.queue_key[1] == number:
            self._remove(request)
            self._events.append((key, FinishEvent(DEADLINE, request.cached_tokens)))

    def _remove(self, request: _Request) -> None:
        del self._requests[request.request_id]
        self._in_flight_tokens -= request.kv_tokens
        self._queued_prefill_tokens -= request.remaining_prefill
        if request.reservation is None:
            self._waiting.remove(request)
            return
        self.memory.release(request.reservation)
        self._running_tokens -= request.kv_tokens
        if self._decoding.pop(request.request_id, None) is None:
            self._prefilling.remove(request)

    def _start_iteration_if_idle(self) -> None:
        if self._iteration_end_s is None and self._waiting:
            self._start_iteration()

    def _start_iteration(self) -> None:
        """Admit waiting requests and start the next iteration at the current time."""
        while self._waiting and self._admit(self._waiting[0]):
            del self._waiting[0]
        if not self._prefilling and not self._decoding:
            self._iteration_end_s = None
            return
        merged = self.settings.merged_steps
        left = sum(request.remaining_prefill for request in self._prefilling)
        prefill = min(left, merged * self.settings.step_prefill_tokens)
        duration_s = (
            merged * self.settings.step_overhead_s
            + prefill / self.settings.prefill_tokens_per_s
            + merged * len(self._decoding) / self.settings.decode_tokens_per_s
        )
        self._iteration_end_s = self._now_s + duration_s / self._current_speed()

    def _admit(self, request: _Request) -> bool:
        """Reserve KV cache for a waiting request; return whether it is admitted."""
        running = len(self._prefilling) + len(self._decoding)
        if running >= self.settings.max_running:
            return False
        tokens = self._running_tokens + request.kv_tokens
        if self._cold and running and tokens > self.cold_bound_tokens:
            return False
        try:
            request.reservation = self.memory.reserve(request.prefix, request.kv_tokens)
        except OutOfMemoryError:
            return False
        self._running_tokens = tokens
        cached = len(request.reservation.blocks) * self.settings.block_tokens
        # The last prompt token is always computed: it yields the first output token.
        request.cached_tokens = min(cached, request.remaining_prefill - 1)
        request.remaining_prefill -= request.cached_tokens
        self._queued_prefill_tokens -= request.cached_tokens
        insort(self._prefilling, request, key=_queue_key)
        return True

    def _complete_iteration(self) -> None:
        decoding = list(self._decoding.values())
        prefilled = self._prefill()
        for request in decoding:
            self._decode(request, self.settings.merged_steps)
        for request in prefilled:
            self._decode(request, 1)
        if self._cold and self._processed_tokens >= self.settings.warmup_tokens:
            self._cold = False

    def _prefill(self) -> list[_Request]:
        """Run the prefill of one iteration; return the requests whose prefill ended."""
        budget = self.settings.merged_steps * self.settings.step_prefill_tokens
        complete = []
        for request in self._prefilling:
            done = min(budget, request.remaining_prefill)
            budget -= done
            request.remaining_prefill -= done
            self._queued_prefill_tokens -= done
            self._processed_tokens += done
            if request.remaining_prefill:
                break
            complete.append(request)
        del self._prefilling[: len(complete)]
        for request in complete:
            self.memory.store(request.reservation, request.prefix)
            self._decoding[request.request_id] = request
        return complete

    def _decode(self, request: _Request, steps: int) -> None:
        count = min(steps, request.max_tokens - request.offset)
        if count > 0:
            event = TokenEvent(request.offset, count)
            self._events.append((request.request_id, event))
            request.offset += count
            self._processed_tokens += count
        if request.offset >= request.max_tokens:
            self._remove(request)
            event = FinishEvent(LENGTH, request.cached_tokens)
            self._events.append((request.request_id, event))
