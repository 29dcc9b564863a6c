"""Small model of an engine with continuous batching, for the replay."""

from __future__ import annotations

import bisect
import heapq
import itertools
from collections import Counter, OrderedDict
from dataclasses import dataclass


@dataclass(frozen=True)
class EngineParameters:
    """Speeds and sizes of an engine.

    A step takes ``step_s``, plus ``step_per_running_s`` for each running
    request, plus the time for at most ``chunk_tokens`` of prefill at
    ``prefill_tokens_per_s``.  A cold engine can hold ``cold_bound_tokens``
    plus what it has completed since it became cold, up to ``warm_tokens``; it
    fails when it is given more.
    """

    prefill_tokens_per_s: float = 20_000.0
    step_s: float = 0.005
    step_per_running_s: float = 0.000125
    chunk_tokens: int = 512
    kv_capacity_tokens: int = 400_000
    prefix_cache_tokens: int = 100_000
    cold_bound_tokens: int = 8_192
    warm_tokens: int = 200_000
    cold_slowdown: float = 2.0
    restart_s: float = 2.0

    def work_s(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the engine time that a request takes in full batches."""
        prefill_s = 1 / self.prefill_tokens_per_s + self.step_s / self.chunk_tokens
        return prompt_tokens * prefill_s + output_tokens * self.step_per_running_s


@dataclass(frozen=True)
class EngineReport:
    """The load report of an engine; fields as in section 2.2 of the design page."""

    reported_s: float
    boot_id: int
    state: str
    kv_capacity_tokens: int
    kv_used_tokens: int
    queued_prefill_tokens: int
    running: int
    prefill_tokens_per_s: float


class EngineRequest:
    """A request on an engine with its progress."""

    __slots__ = (
        "cached_tokens",
        "emitted",
        "first_s",
        "group",
        "last_step",
        "order",
        "output_tokens",
        "prefill_left",
        "prefix_tokens",
        "priority",
        "prompt_tokens",
        "request_id",
        "start_step",
    )

    def __init__(
        self,
        request_id: str,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        *,
        group: str = "",
        prefix_tokens: int = 0,
    ):
        self.request_id = request_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.group = group
        self.prefix_tokens = prefix_tokens
        self.prefill_left = prompt_tokens
        self.cached_tokens = 0
        self.order = 0
        self.start_step = 0
        self.last_step = 0
        self.first_s: float | None = None

    @property
    def kv_tokens(self) -> int:
        """Return the memory reserved for the request."""
        return self.prompt_tokens + self.output_tokens

    @property
    def key(self) -> tuple[int, int]:
        """Return the order in which prefills are served."""
        return self.priority, self.order


@dataclass
class StepResult:
    """What a step produced: requests with a first token, finished, and failed."""

    first: list[EngineRequest]
    finished: list[EngineRequest]
    failed: list[EngineRequest]


class BenchEngine:
    """An engine that is advanced step by step in virtual time."""

    def __init__(self, engine_id: str, parameters: EngineParameters):
        self.id = engine_id
        self.parameters = parameters
        self.boot_id = 1
        self.gaps: Counter[int] = Counter()
        self.cold = False
        self.down_until_s = 0.0
        self.max_over_bound_tokens = 0
        self.cold_failures = 0
        self._served_tokens = 0
        self._order = itertools.count()
        self._prefills: list[tuple[tuple[int, int], EngineRequest]] = []
        self._waiting: list[tuple[tuple[int, int], EngineRequest]] = []
        self._decodes: list[tuple[int, int, EngineRequest]] = []
        self._requests: dict[str, EngineRequest] = {}
        self._kv_used = 0
        self._in_flight_tokens = 0
        self._step = 0
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._chunk: list[tuple[EngineRequest, int]] = []

    @property
    def busy(self) -> bool:
        """Return whether there is work for another step."""
        return bool(self._requests)

    @property
    def limit_tokens(self) -> int | None:
        """Return the tokens in flight that a cold engine can hold; None if warm."""
        if not self.cold:
            return None
        return self.parameters.cold_bound_tokens + self._served_tokens

    def submit(self, request: EngineRequest, now_s: float) -> bool:
        """Take a request; returns False when the engine refuses the connection."""
        if now_s < self.down_until_s:
            return False
        request.order = next(self._order)
        self._requests[request.request_id] = request
        self._in_flight_tokens += request.kv_tokens
        bisect.insort(self._waiting, (request.key, request))
        self._start_waiting()
        return True

    def check_cold(self) -> list[EngineRequest]:
        """Fail every request when a cold engine was given more than it can hold."""
        limit = self.limit_tokens
        if limit is None or self._in_flight_tokens <= limit:
            return []
        over = self._in_flight_tokens - limit
        self.max_over_bound_tokens = max(self.max_over_bound_tokens, over)
        self.cold_failures += 1
        return self.become_cold()

    def become_cold(self) -> list[EngineRequest]:
        """Lose all requests and the cache; return the requests that failed."""
        failed = list(self._requests.values())
        self.boot_id += 1
        self.cold = True
        self._served_tokens = 0
        self._requests.clear()
        self._prefills.clear()
        self._waiting.clear()
        self._decodes.clear()
        self._cache.clear()
        self._chunk.clear()
        self._cached_tokens = 0
        self._kv_used = 0
        self._in_flight_tokens = 0
        return failed

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request whose caller has given up."""
        if self._requests.pop(request.request_id, None) is None:
            return
        entry = (request.key, request)
        if entry in self._waiting:
            self._waiting.remove(entry)
        else:
            self._kv_used -= request.kv_tokens
            if request.first_s is None:
                self._prefills.remove(entry)
            else:
                last = (request.last_step, request.order, request)
                self._decodes.remove(last)
                heapq.heapify(self._decodes)
        self._chunk = [each for each in self._chunk if each[0] is not request]
        self._in_flight_tokens -= request.kv_tokens
        self._start_waiting()

    def begin_step(self) -> float:
        """Choose the prefill chunk of the next step; return its duration."""
        parameters = self.parameters
        room = parameters.chunk_tokens
        self._chunk = []
        for _, request in self._prefills:
            taken = min(room, request.prefill_left)
            self._chunk.append((request, taken))
            room -= taken
            if room <= 0:
                break
        prefill_s = (parameters.chunk_tokens - room) / parameters.prefill_tokens_per_s
        running_s = parameters.step_per_running_s * len(self._decodes)
        duration_s = parameters.step_s + running_s + prefill_s
        if self.cold:
            duration_s *= parameters.cold_slowdown
        return duration_s

    def end_step(self, duration_s: float, now_s: float) -> StepResult:
        """Apply the step that has ended now."""
        result = StepResult([], [], [])
        self._step += 1
        if self._decodes:
            self.gaps[round(duration_s * 1000)] += len(self._decodes)
        while self._decodes and self._decodes[0][0] <= self._step:
            request = heapq.heappop(self._decodes)[2]
            self._finish(request, result)
        for request, taken in self._chunk:
            request.prefill_left -= taken
            if request.prefill_left > 0:
                continue
            self._prefills.remove((request.key, request))
            request.first_s = now_s
            request.start_step = self._step
            request.last_step = self._step + request.output_tokens - 1
            result.first.append(request)
            self._remember(request)
            if request.output_tokens <= 1:
                self._finish(request, result)
            else:
                entry = (request.last_step, request.order, request)
                heapq.heappush(self._decodes, entry)
        self._start_waiting()
        return result

    def emitted_tokens(self, request: EngineRequest) -> int:
        """Return the output tokens that a request has received."""
        if request.first_s is None:
            return 0
        return min(request.output_tokens, self._step - request.start_step + 1)

    def report(self, now_s: float) -> EngineReport:
        """Return the load report."""
        parameters = self.parameters
        queued = sum(request.prefill_left for _, request in self._prefills)
        queued += sum(request.prefill_left for _, request in self._waiting)
        step_s = parameters.step_s + parameters.step_per_running_s * len(self._decodes)
        chunk_s = parameters.chunk_tokens / parameters.prefill_tokens_per_s
        return EngineReport(
            reported_s=now_s,
            boot_id=self.boot_id,
            state="cold" if self.cold else "warm",
            kv_capacity_tokens=parameters.kv_capacity_tokens,
            kv_used_tokens=self._in_flight_tokens,
            queued_prefill_tokens=queued,
            running=len(self._requests),
            prefill_tokens_per_s=parameters.chunk_tokens / (step_s + chunk_s),
        )

    def _start_waiting(self) -> None:
        """Move waiting requests into memory while they fit, most urgent first."""
        while self._waiting:
            request = self._waiting[0][1]
            used = self._kv_used + request.kv_tokens
            if used > self.parameters.kv_capacity_tokens and self._kv_used:
                return
            self._waiting.pop(0)
            self._kv_used = used
            if request.group in self._cache:
                self._cache.move_to_end(request.group)
                cached = min(self._cache[request.group], request.prefix_tokens)
                request.cached_tokens = min(cached, request.prompt_tokens - 1)
                request.prefill_left -= request.cached_tokens
            bisect.insort(self._prefills, (request.key, request))

    def _finish(self, request: EngineRequest, result: StepResult) -> None:
        result.finished.append(request)
        del self._requests[request.request_id]
        self._kv_used -= request.kv_tokens
        self._in_flight_tokens -= request.kv_tokens
        if self.cold:
            self._served_tokens += request.kv_tokens
            parameters = self.parameters
            self.cold = (
                parameters.cold_bound_tokens + self._served_tokens
                < parameters.warm_tokens
            )

    def _remember(self, request: EngineRequest) -> None:
        if not request.group:
            return
        old = self._cache.pop(request.group, 0)
        self._cache[request.group] = max(old, request.prefix_tokens)
        self._cached_tokens += self._cache[request.group] - old
        while self._cached_tokens > self.parameters.prefix_cache_tokens:
            self._cached_tokens -= self._cache.popitem(last=False)[1]
