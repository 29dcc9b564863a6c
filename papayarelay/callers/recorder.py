"""Metrics and log lines of caller requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..backends.protocol import Chunk
from ..errors import Outcome, OverloadError, RelayError, StoreError
from ..events import Event
from ..logs import log
from ..metrics import Metrics
from ..request import Request

UNKNOWN_LABEL = "unknown"


@dataclass
class StreamTiming:
    """Time to first token and longest inter-token interval of a stream."""

    first_token_s: float = 0.0
    longest_pause_s: float = 0.0
    events: int = 0


class RequestRecorder:
    """Updates the metrics and logs the outcome of each request."""

    def __init__(self, metrics: Metrics, clock: Callable[[], float]):
        self._metrics = metrics
        self._clock = clock
        self._times: dict[str, StreamTiming] = {}

    def record_admitted(self, request: Request) -> None:
        """Record a request that has passed validation."""
        self._metrics.record_admitted(request.member, request.kind.name)

    def record_rejected(self, error: RelayError) -> None:
        """Record a request that failed authentication, admission or validation."""
        self._metrics.record_rejected(UNKNOWN_LABEL, UNKNOWN_LABEL, error.code)

    def record_finished(self, request: Request) -> None:
        """Record a request that completed successfully."""
        member, kind = request.member, request.kind.name
        self._metrics.record_finished(member, kind, Outcome.COMPLETED)
        duration_s = self._clock() - request.received_s
        times = self._times.pop(request.id, StreamTiming())
        log(
            Event.REQUEST_FINISHED,
            request=request.id,
            member=member,
            kind=kind,
            prompt_tokens=request.prompt_tokens,
            duration_s=round(duration_s, 3),
            first_event_s=round(times.first_token_s, 3),
            longest_pause_s=round(times.longest_pause_s, 3),
            events_count=times.events,
        )

    def record_failed(self, request: Request, error: RelayError) -> None:
        """Record a request that ended with an error."""
        member, kind = request.member, request.kind.name
        if isinstance(error, OverloadError):
            self._metrics.record_rejected(member, kind, error.code)
        if isinstance(error, StoreError):
            self._metrics.record_store_error(error.step, error.code)
        self._metrics.record_finished(member, kind, error.outcome, error.code)
        times = self._times.pop(request.id, StreamTiming())
        log(
            _failure_event(request, error),
            request=request.id,
            member=member,
            kind=kind,
            duration_s=round(self._clock() - request.received_s, 3),
            events_count=times.events,
            error=error,
        )

    def record_stream(
        self, request: Request, chunks: Iterator[Chunk]
    ) -> Iterator[Chunk]:
        """Yield the chunks and record the timing of their tokens."""
        times = self._times[request.id] = StreamTiming()
        last_s = request.received_s
        intervals = self._metrics.token_intervals
        for chunk in chunks:
            if chunk.content:
                now_s = self._clock()
                pause_s = now_s - last_s
                if times.events:
                    intervals.record(pause_s)
                    times.longest_pause_s = max(times.longest_pause_s, pause_s)
                else:
                    times.first_token_s = pause_s
                    self._metrics.record_first_token(
                        request.kind.name, request.prompt_tokens, pause_s
                    )
                times.events += 1
                last_s = now_s
            yield chunk


def _failure_event(request: Request, error: RelayError) -> Event:
    if error.code == "caller_gone":
        return Event.CALLER_GONE
    if isinstance(error, OverloadError):
        return Event.OVERLOADED
    if not request.kind.idempotent and error.outcome is Outcome.UNKNOWN:
        return Event.JOB_UNCERTAIN
    return Event.REQUEST_FAILED
