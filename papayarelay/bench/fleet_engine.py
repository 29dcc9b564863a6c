"""Discrete-event model of an engine with chunked prefill and multi-step decode.

An iteration that decodes runs ``stride`` steps, any other one step.  Each step
prefills at most ``chunk_tokens``; parts for other engines come first, newest
first.  The results of an iteration become visible at its end.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..timing import EngineTiming

# Maximum number of queued helper parts, as a multiple of the engine's slots.
HELPER_PARTS_PER_SLOT = 1


@dataclass
class EngineRequest:
    """A request on the engines; ``context_tokens`` is its largest part in tokens."""

    id: str
    prompt_tokens: int
    output_tokens: int
    parts_left: int
    context_tokens: int
    generated_tokens: int = 0
    prefilled: bool = False
    finished: bool = False
    cancelled: bool = False
    on_event: Callable[[float, bool], None] = field(default=lambda now_s, last: None)
    on_prefilled: Callable[[float], None] = field(default=lambda now_s: None)


@dataclass
class PromptPart:
    """A part of a prompt that one engine prefills."""

    request: EngineRequest
    tokens_left: float
    seconds_per_token: float


class FleetEngine:
    """Model of one engine; ``schedule(at_s, action)`` schedules an event."""

    def __init__(
        self,
        name: str,
        timing: EngineTiming,
        schedule: Callable[[float, Callable[[float], None]], None],
    ):
        self.name = name
        self.busy_s = 0.0
        self._timing = timing
        self._schedule = schedule
        self._waiting: deque[tuple[EngineRequest, PromptPart]] = deque()
        self._running: list[EngineRequest] = []
        self._own_parts: deque[PromptPart] = deque()
        self._helper_parts: deque[PromptPart] = deque()
        self._in_iteration = False
        self._prefilled_parts: list[PromptPart] = []

    def offer(self, request: EngineRequest, part: PromptPart, now_s: float) -> None:
        """Submit a request that this engine decodes."""
        self._waiting.append((request, part))
        request.on_prefilled = self._start_iteration
        self._start_iteration(now_s)

    def offer_helper_part(self, part: PromptPart, now_s: float) -> bool:
        """Submit a helper prefill part; return whether it is accepted."""
        if len(self._helper_parts) >= HELPER_PARTS_PER_SLOT * self._timing.slots:
            return False
        self._helper_parts.appendleft(part)
        self._start_iteration(now_s)
        return True

    def cancel(self, request: EngineRequest) -> None:
        """Cancel a request."""
        request.cancelled = True

    def _start_iteration(self, now_s: float) -> None:
        if self._in_iteration:
            return
        self._admit()
        decoding = [request for request in self._running if request.prefilled]
        if not decoding and not self._own_parts and not self._helper_parts:
            return
        self._in_iteration = True
        iteration_s = self._run_iteration(decoding)
        self.busy_s += iteration_s
        self._schedule(now_s + iteration_s, self._end_iteration)

    def _admit(self) -> None:
        self._running = [
            request
            for request in self._running
            if not (request.cancelled or request.finished)
        ]
        while self._waiting and len(self._running) < self._timing.slots:
            request, part = self._waiting.popleft()
            if not request.cancelled:
                self._running.append(request)
                self._own_parts.append(part)

    def _run_iteration(self, decoding: list[EngineRequest]) -> float:
        """Run one iteration; return its duration."""
        timing = self._timing
        steps = timing.stride if decoding else 1
        context_tokens = sum(
            request.context_tokens + request.generated_tokens for request in decoding
        )
        step_s = timing.step_s + len(decoding) * timing.sequence_s
        step_s += context_tokens * timing.context_s
        budget = steps * timing.chunk_tokens
        prefill_s = 0.0
        self._prefilled_parts = []
        for parts in (self._helper_parts, self._own_parts):
            while parts and budget > 0:
                part = parts[0]
                if part.request.cancelled:
                    parts.popleft()
                    continue
                tokens = min(budget, part.tokens_left)
                budget -= tokens
                part.tokens_left -= tokens
                prefill_s += tokens * part.seconds_per_token
                if part.tokens_left > 0:
                    break
                self._prefilled_parts.append(parts.popleft())
        return steps * step_s + prefill_s

    def _end_iteration(self, now_s: float) -> None:
        self._in_iteration = False
        for request in list(self._running):
            if request.prefilled and not request.cancelled:
                self._decode(request, now_s)
        for part in self._prefilled_parts:
            part.request.parts_left -= 1
            if part.request.parts_left == 0 and not part.request.cancelled:
                self._emit_first_token(part.request, now_s)
                part.request.on_prefilled(now_s)
        self._start_iteration(now_s)

    def _emit_first_token(self, request: EngineRequest, now_s: float) -> None:
        """Emit the first token; the engine that owns the request decodes the rest."""
        request.prefilled = True
        request.generated_tokens = 1
        request.finished = request.output_tokens <= 1
        request.on_event(now_s, request.finished)

    def _decode(self, request: EngineRequest, now_s: float) -> None:
        request.generated_tokens += self._timing.stride
        request.finished = request.generated_tokens >= request.output_tokens
        request.on_event(now_s, request.finished)


def split_prompt(
    timing: EngineTiming, request: EngineRequest, parts: int
) -> list[PromptPart]:
    """Split a prompt into parts of equal size."""
    tokens = request.prompt_tokens / parts
    prefill_s = timing.prefill_s(request.prompt_tokens, parts)
    per_token_s = prefill_s / tokens if tokens else math.inf
    return [PromptPart(request, tokens, per_token_s) for _ in range(parts)]
