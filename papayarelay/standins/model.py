"""Behaviour of a model engine without I/O; every time is an argument."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class EngineSettings:
    """Speeds and limits of an engine; sizes in tokens, times in seconds."""

    kv_capacity_tokens: int = 2_000_000
    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 8_000.0
    step_overhead_s: float = 0.005
    step_prefill_tokens: int = 512


@dataclass(frozen=True)
class TokenEvent:
    """A request generated the token with the index ``offset``."""

    offset: int


@dataclass(frozen=True)
class FinishEvent:
    """A request ended; ``reason`` is ``length``."""

    reason: str


@dataclass(eq=False)
class _Work:
    """A request in the engine."""

    request_id: str
    prefill_left: int
    kv_tokens: int
    offset: int
    max_tokens: int
    order: tuple[int, int]


class EngineModel:
    """Continuous batching of prefill and decode on one engine."""

    def __init__(self, settings: EngineSettings | None = None):
        self.settings = settings or EngineSettings()
        self._waiting: list[_Work] = []
        self._running: list[_Work] = []
        self._used_tokens = 0
        self._count = 0
        self._step_end_s: float | None = None

    def submit(  # noqa: PLR0917
        self,
        request_id: str,
        prompt_tokens: int,
        max_tokens: int,
        priority: int,
        prefix: Sequence[str],
        now_s: float,
        resume_from: int = 0,
    ) -> None:
        """Queue a request; it emits tokens from ``resume_from`` on."""
        self._count += 1
        work = _Work(
            request_id,
            prompt_tokens + resume_from,
            prompt_tokens + max_tokens,
            resume_from,
            max_tokens,
            (priority, self._count),
        )
        self._waiting.append(work)
        self._waiting.sort(key=lambda each: each.order)
        if self._step_end_s is None:
            self._plan(now_s)

    def cancel(self, request_id: str) -> bool:
        """Drop a request and free its memory; return whether it was known."""
        for work in self._running:
            if work.request_id == request_id:
                self._running.remove(work)
                self._used_tokens -= work.kv_tokens
                return True
        known = len(self._waiting)
        self._waiting = [w for w in self._waiting if w.request_id != request_id]
        return len(self._waiting) < known

    def next_step_s(self) -> float | None:
        """Return when ``step`` has something to do next, None while idle."""
        return self._step_end_s

    def step(self, now_s: float) -> list[tuple[str, TokenEvent | FinishEvent]]:
        """Complete the steps that have ended by ``now_s``; return their events."""
        events: list[tuple[str, TokenEvent | FinishEvent]] = []
        while self._step_end_s is not None and self._step_end_s <= now_s:
            self._complete(events)
            self._plan(self._step_end_s)
        return events

    def load(self, now_s: float) -> dict:
        """Return the load report."""
        queued = sum(work.prefill_left for work in self._waiting + self._running)
        return {
            "boot_id": "1",
            "state": "ready",
            "kv_capacity_tokens": self.settings.kv_capacity_tokens,
            "kv_used_tokens": self._used_tokens,
            "queued_prefill_tokens": queued,
            "running": len(self._running),
            "prefill_tokens_per_s": self.settings.prefill_tokens_per_s,
        }

    def _plan(self, start_s: float) -> None:
        free = self.settings.kv_capacity_tokens - self._used_tokens
        while self._waiting and self._waiting[0].kv_tokens <= free:
            work = self._waiting.pop(0)
            free -= work.kv_tokens
            self._used_tokens += work.kv_tokens
            self._running.append(work)
        self._step_end_s = None
        if not self._running:
            return
        left = sum(work.prefill_left for work in self._running)
        prefill = min(left, self.settings.step_prefill_tokens)
        decoding = sum(not work.prefill_left for work in self._running)
        self._step_end_s = (
            start_s
            + self.settings.step_overhead_s
            + prefill / self.settings.prefill_tokens_per_s
            + decoding / self.settings.decode_tokens_per_s
        )

    def _complete(self, events: list) -> None:
        budget = self.settings.step_prefill_tokens
        for work in sorted(self._running, key=lambda each: each.order):
            if work.prefill_left:
                done = min(budget, work.prefill_left)
                work.prefill_left -= done
                budget -= done
                if work.prefill_left:
                    continue
            if work.offset < work.max_tokens:
                events.append((work.request_id, TokenEvent(work.offset)))
                work.offset += 1
            if work.offset >= work.max_tokens:
                events.append((work.request_id, FinishEvent("length")))
                self._running.remove(work)
                self._used_tokens -= work.kv_tokens
