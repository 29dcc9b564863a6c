"""Capacity and warm-up time of one engine, measured on the model itself."""

from __future__ import annotations

from collections import deque
from functools import lru_cache

from .engine import BenchEngine, EngineParameters, EngineRequest
from .traces import DEPLOYMENTS, KINDS, TraceRequest, generate

CALIBRATION_REQUESTS_PER_S = 10.0
CALIBRATION_S = 300.0
CALIBRATION_SEED = 0
WARM_UP_LIMIT_S = 3600.0


@lru_cache
def measure_requests_per_s(parameters: EngineParameters) -> float:
    """Return the requests/s of the trace mix that one saturated engine completes."""
    trace = _calibration_trace(parameters)
    engine = BenchEngine("calibration", parameters)
    waiting = deque(enumerate(trace))
    now_s = 0.0
    held = 0
    finished = 0
    # Requests that still run when the waiting ones are used up do not count,
    # since the engine is not saturated from then on.
    while waiting:
        while waiting and held + waiting[0][1].tokens <= parameters.kv_capacity_tokens:
            index, request = waiting.popleft()
            held += request.tokens
            engine.submit(_work(index, request), now_s)
        duration_s = engine.begin_step()
        now_s += duration_s
        for work in engine.end_step(duration_s, now_s).finished:
            held -= work.kv_tokens
            finished += 1
    return finished / now_s


@lru_cache
def measure_warm_up_s(parameters: EngineParameters) -> float:
    """Return the time a cold engine takes when it always has all it can hold."""
    trace = [each for each in _calibration_trace(parameters) if each.short]
    engine = BenchEngine("calibration", parameters)
    engine.become_cold()
    waiting = deque(enumerate(trace))
    now_s = 0.0
    held = 0
    while engine.cold and now_s < WARM_UP_LIMIT_S:
        while waiting and held + waiting[0][1].tokens <= engine.limit_tokens:
            index, request = waiting.popleft()
            held += request.tokens
            engine.submit(_work(index, request), now_s)
        duration_s = engine.begin_step()
        now_s += duration_s
        for work in engine.end_step(duration_s, now_s).finished:
            held -= work.kv_tokens
    return now_s


def _calibration_trace(parameters: EngineParameters) -> list[TraceRequest]:
    trace = generate(
        DEPLOYMENTS["dentists"],
        CALIBRATION_REQUESTS_PER_S,
        CALIBRATION_S,
        CALIBRATION_SEED,
    )
    return [each for each in trace if each.tokens <= parameters.kv_capacity_tokens]


def _work(index: int, request: TraceRequest) -> EngineRequest:
    return EngineRequest(
        str(index),
        request.prompt_tokens,
        request.output_tokens,
        KINDS[request.kind].priority,
        group=request.prefix_group,
        prefix_tokens=request.prefix_tokens,
    )
