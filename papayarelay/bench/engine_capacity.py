"""Throughput and warm-up time of one engine, measured on the engine model."""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from functools import lru_cache

from ..standins.model import EngineSettings
from .engine import BenchEngine
from .traces import DEPLOYMENTS, KINDS, TraceRequest, generate

CALIBRATION_REQUESTS_PER_S = 10.0
CALIBRATION_S = 300.0
CALIBRATION_SEED = 0
WARM_UP_LIMIT_S = 3600.0


@lru_cache
def measure_requests_per_s(settings: EngineSettings) -> float:
    """Return the requests/s that one saturated engine completes of the trace mix."""
    finished = 0
    now_s = 0.0
    feeder = _EngineFeeder(settings, _calibration_trace(settings))
    # Stop when no requests wait: from then on the engine is not saturated, so
    # the requests still running do not count.
    while feeder.waiting:
        feeder.fill(settings.kv_capacity_tokens, now_s)
        now_s, count = feeder.step()
        finished += count
    return finished / now_s


@lru_cache
def measure_warm_up_s(settings: EngineSettings) -> float:
    """Return the warm-up time of a cold engine kept at its cold-start token limit."""
    trace = [each for each in _calibration_trace(settings) if each.short]
    feeder = _EngineFeeder(replace(settings, starts_cold=True), trace)
    model = feeder.engine.model
    now_s = 0.0
    while model.is_cold and now_s < WARM_UP_LIMIT_S:
        feeder.fill(model.cold_bound_tokens, now_s)
        now_s, _ = feeder.step()
    return now_s


class _EngineFeeder:
    """Keeps one engine loaded up to a limit of tokens in flight."""

    def __init__(self, settings: EngineSettings, trace: list[TraceRequest]):
        self.engine = BenchEngine("calibration", settings)
        self.waiting = deque(enumerate(trace))

    def fill(self, limit_tokens: int, now_s: float) -> None:
        """Submit requests while their tokens fit the limit."""
        model = self.engine.model
        while self.waiting:
            index, request = self.waiting[0]
            if model.in_flight_tokens + request.tokens > limit_tokens:
                return
            self.waiting.popleft()
            priority = KINDS[request.kind].priority
            self.engine.submit(str(index), request, priority, 0, now_s)

    def step(self) -> tuple[float, int]:
        """Run one iteration; return its end and the number of finished requests."""
        now_s = self.engine.model.next_event_s()
        return now_s, len(self.engine.step(now_s).finished)


def _calibration_trace(settings: EngineSettings) -> list[TraceRequest]:
    trace = generate(
        DEPLOYMENTS["dentists"],
        CALIBRATION_REQUESTS_PER_S,
        CALIBRATION_S,
        CALIBRATION_SEED,
    )
    return [each for each in trace if each.tokens <= settings.kv_capacity_tokens]
