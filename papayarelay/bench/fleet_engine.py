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
HELPED_PER_SLOT = 1


@dataclass
class Run:
    """A request on the engines; ``context`` is its largest part in tokens."""

    id: str
    prompt_tokens: int
    output_tokens: int
    parts_left: int
    context: int
    produced: int = 0
    begun: bool = False
    ended: bool = False
    cancelled: bool = False
    on_event: Callable[[float, bool], None] = field(default=lambda now_s, last: None)
    on_begin: Callable[[float], None] = field(default=lambda now_s: None)


@dataclass
class Part:
    """A part of a prompt that one engine prefills."""

    run: Run
    tokens_left: float
    second_per_token: float


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
        self._waiting: deque[tuple[Run, Part]] = deque()
        self._running: list[Run] = []
        self._own: deque[Part] = deque()
        self._helped: deque[Part] = deque()
        self._in_pass = False
        self._read: list[Part] = []

    def offer(self, run: Run, part: Part, now_s: float) -> None:
        """Submit a request that this engine decodes."""
        self._waiting.append((run, part))
        run.on_begin = self._begin
        self._begin(now_s)

    def help(self, part: Part, now_s: float) -> bool:
        """Submit a helper prefill part; return whether it is accepted."""
        if len(self._helped) >= HELPED_PER_SLOT * self._timing.slots:
            return False
        self._helped.appendleft(part)
        self._begin(now_s)
        return True

    def cancel(self, run: Run) -> None:
        """Cancel a request."""
        run.cancelled = True

    def _begin(self, now_s: float) -> None:
        if self._in_pass:
            return
        self._admit()
        writers = [run for run in self._running if run.begun]
        if not writers and not self._own and not self._helped:
            return
        self._in_pass = True
        pass_s = self._work(writers)
        self.busy_s += pass_s
        self._schedule(now_s + pass_s, self._end)

    def _admit(self) -> None:
        self._running = [
            run for run in self._running if not (run.cancelled or run.ended)
        ]
        while self._waiting and len(self._running) < self._timing.slots:
            run, part = self._waiting.popleft()
            if not run.cancelled:
                self._running.append(run)
                self._own.append(part)

    def _work(self, writers: list[Run]) -> float:
        """Run one iteration; return its duration."""
        timing = self._timing
        steps = timing.stride if writers else 1
        context = sum(run.context + run.produced for run in writers)
        step_s = timing.step_s + len(writers) * timing.sequence_s
        step_s += context * timing.context_s
        budget = steps * timing.chunk_tokens
        reading_s = 0.0
        self._read = []
        for parts in (self._helped, self._own):
            while parts and budget > 0:
                part = parts[0]
                if part.run.cancelled:
                    parts.popleft()
                    continue
                tokens = min(budget, part.tokens_left)
                budget -= tokens
                part.tokens_left -= tokens
                reading_s += tokens * part.second_per_token
                if part.tokens_left > 0:
                    break
                self._read.append(parts.popleft())
        return steps * step_s + reading_s

    def _end(self, now_s: float) -> None:
        self._in_pass = False
        for run in list(self._running):
            if run.begun and not run.cancelled:
                self._write(run, now_s)
        for part in self._read:
            part.run.parts_left -= 1
            if part.run.parts_left == 0 and not part.run.cancelled:
                self._start_writing(part.run, now_s)
                part.run.on_begin(now_s)
        self._begin(now_s)

    def _start_writing(self, run: Run, now_s: float) -> None:
        """Emit the first token; the engine that owns the request decodes the rest."""
        run.begun = True
        run.produced = 1
        run.ended = run.output_tokens <= 1
        run.on_event(now_s, run.ended)

    def _write(self, run: Run, now_s: float) -> None:
        run.produced += self._timing.stride
        run.ended = run.produced >= run.output_tokens
        run.on_event(now_s, run.ended)


def split(timing: EngineTiming, run: Run, parts: int) -> list[Part]:
    """Split a prompt into parts of equal size."""
    tokens = run.prompt_tokens / parts
    prefill_s = timing.prefill_s(run.prompt_tokens, parts)
    per_token_s = prefill_s / tokens if tokens else math.inf
    return [Part(run, tokens, per_token_s) for _ in range(parts)]
