"""Adapter that drives the engine model of the simulated engines in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..standins.load_report import LoadReport
from ..standins.model import (
    DROPPED,
    EngineModel,
    EngineRejectedError,
    EngineSettings,
    FinishEvent,
)
from .traces import TraceRequest

BENCH_KV_CAPACITY_TOKENS = 450_000
"""The longest prompts exceed twice the KV cache of one engine."""
BENCH_SETTINGS = EngineSettings(kv_capacity_tokens=BENCH_KV_CAPACITY_TOKENS)


@dataclass(frozen=True)
class StepResult:
    """Result of one iteration: requests with a first token, finished and dropped ones.

    Finished requests carry the number of prompt tokens found in the prefix
    cache, dropped ones the number of output tokens received so far.
    """

    first: Sequence[str]
    finished: Sequence[tuple[str, int]]
    dropped: Sequence[tuple[str, int]]


class BenchEngine:
    """An engine model that records the metrics of the experiments."""

    def __init__(self, engine_id: str, settings: EngineSettings):
        self.id = engine_id
        self.model = EngineModel(settings, boot_name=engine_id)
        self.gaps_ms: Counter[int] = Counter()
        # (time, excess tokens) of each request above the cold-start token limit.
        self.limit_excesses: list[tuple[float, int]] = []
        self._block_tokens = settings.block_tokens
        self._awaiting_first_token: set[str] = set()
        self._received_tokens: dict[str, int] = {}
        self._last_step_s = 0.0

    def submit(
        self,
        request_id: str,
        trace: TraceRequest,
        priority: int,
        resume_from: int,
        now_s: float,
    ) -> bool:
        """Submit a request; returns False if the engine rejects it."""
        try:
            self.model.submit(
                request_id,
                trace.prompt_tokens,
                trace.output_tokens,
                priority,
                prefix_blocks(trace, self._block_tokens),
                now_s,
                resume_from=resume_from,
            )
        except EngineRejectedError:
            return False
        self._awaiting_first_token.add(request_id)
        self._received_tokens[request_id] = resume_from
        if self.model.is_cold:
            excess = self.model.in_flight_tokens - self.model.cold_bound_tokens
            if excess > 0:
                self.limit_excesses.append((now_s, excess))
        return True

    def cancel(self, request_id: str) -> None:
        """Cancel a request that has reached its deadline."""
        self._awaiting_first_token.discard(request_id)
        self._received_tokens.pop(request_id, None)
        self.model.cancel(request_id)

    def max_excess_tokens(self, start_s: float = 0.0) -> int:
        """Return the largest excess above the cold-start token limit since a time."""
        return max((o for at_s, o in self.limit_excesses if at_s >= start_s), default=0)

    def step(self, now_s: float) -> StepResult:
        """Complete the iteration that has ended by now and return its events."""
        first: list[str] = []
        finished: list[tuple[str, int]] = []
        dropped: list[tuple[str, int]] = []
        following = 0
        for request_id, event in self.model.step(now_s):
            if not isinstance(event, FinishEvent):
                self._received_tokens[request_id] = event.offset + event.count
                if request_id in self._awaiting_first_token:
                    self._awaiting_first_token.remove(request_id)
                    first.append(request_id)
                else:
                    following += 1
                continue
            received = self._received_tokens.pop(request_id)
            self._awaiting_first_token.discard(request_id)
            if event.reason == DROPPED:
                dropped.append((request_id, received))
            else:
                finished.append((request_id, event.cached_tokens))
        if following:
            self.gaps_ms[round((now_s - self._last_step_s) * 1000)] += following
        self._last_step_s = now_s
        return StepResult(first, finished, dropped)

    def report(self, now_s: float) -> LoadReport:
        """Return the engine's load report."""
        return self.model.load(now_s)


def prefix_blocks(trace: TraceRequest, block_tokens: int) -> list[str]:
    """Return the ids of the KV blocks that a request shares with its prefix group."""
    count = trace.prefix_tokens // block_tokens
    return [f"{trace.prefix_group}/{index}" for index in range(count)]


def service_time_s(settings: EngineSettings, trace: TraceRequest) -> float:
    """Return the engine time that a request takes when batches are full."""
    prefill_s = 1 / settings.prefill_tokens_per_s
    prefill_s += settings.step_overhead_s / settings.step_prefill_tokens
    decode_s = 1 / settings.decode_tokens_per_s
    return trace.prompt_tokens * prefill_s + trace.output_tokens * decode_s
