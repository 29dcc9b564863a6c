"""Response streams of engines: the server-sent events of one request."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..errors import BackendError, DeadlineError, Outcome, RelayError
from .pool import STREAM_IDLE_TIMEOUT_S, Response
from .protocol import KEEP_ALIVE, Chunk, EventReader

EVENT_END = b"\n\n"
# An event carries one or a few tokens; a longer one is a protocol error.
EVENT_LIMIT_BYTES = 1 << 20
# The idle timeout of a slow stream is its longest gap between events times this.
SLOW_GAP_FACTOR = 2.0


@dataclass(frozen=True)
class StreamLimits:
    """Time limits of a stream: its deadline and its idle timeouts.

    ``first_event_timeout_s`` is the timeout for the first event, counted from
    ``sent_s``, when the request was sent; ``idle_timeout_s`` applies between later
    events.  For a stream with slow but regular events, the idle timeout grows up
    to ``slow_idle_timeout_s``.  Bytes that complete no event do not reset the timeouts.
    """

    deadline_s: float
    sent_s: float = 0.0
    first_event_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    idle_timeout_s: float = STREAM_IDLE_TIMEOUT_S
    slow_idle_timeout_s: float = 0.0

    def max_gap_s(self, longest_gap_s: float) -> float:
        """Return the idle timeout for a stream with this longest gap so far."""
        return max(
            self.idle_timeout_s,
            min(self.slow_idle_timeout_s, SLOW_GAP_FACTOR * longest_gap_s),
        )


class EngineStream:
    """Iterates over the chunks of one response, without those that the parser drops.

    ``offset`` is the current stream offset.  A stream that fails, closes early or
    exceeds an idle timeout raises ``BackendError`` with outcome ``unknown``.
    """

    def __init__(
        self,
        response: Response,
        reader: EventReader,
        limits: StreamLimits,
        peer: str,
        clock: Callable[[], float],
    ):
        self.finished = False
        self._response = response
        self._reader = reader
        self._limits = limits
        self._peer = peer
        self._clock = clock
        self._last_progress_s = clock()
        self._longest_gap_s = 0.0
        self._started = False
        self._abort_error: RelayError | None = None
        # The stream monitor enforces the time limits instead.
        response.connection.set_deadline(None)
        response.connection.allow_bytes(EVENT_LIMIT_BYTES)

    @property
    def offset(self) -> int:
        """Return the stream offset after the last accepted event."""
        return self._reader.offset

    def find_timeout_error(self, now_s: float) -> RelayError | None:
        """Return the error with which the stream must be aborted now, or None."""
        if now_s >= self._limits.deadline_s:
            return DeadlineError(
                "deadline exceeded during streaming",
                step="stream",
                peer=self._peer,
                outcome=Outcome.UNKNOWN,
            )
        since_s = self._last_progress_s
        timeout_s = self._limits.max_gap_s(self._longest_gap_s)
        if not self._started:
            since_s = max(self._limits.sent_s, since_s)
            timeout_s = self._limits.first_event_timeout_s
        if now_s - since_s > timeout_s:
            return self._error(f"idle timeout: no event for {timeout_s:g} s")
        return None

    def abort(self, error: RelayError) -> None:
        """Make the task that reads the stream fail with an error."""
        self._abort_error = error
        self._response.connection.abort()

    def close(self) -> None:
        """Release the connection, or close it if the response is incomplete."""
        if self.finished:
            self._response.release()
        else:
            self._response.connection.close()

    def __iter__(self) -> Iterator[Chunk]:
        """Yield the chunks, and ``KEEP_ALIVE`` for each keep-alive comment."""
        buffer = b""
        while data := self._read():
            buffer = buffer + data if buffer else data
            while (end := buffer.find(EVENT_END)) >= 0:
                event = buffer[: end + 2]
                buffer = buffer[end + 2 :]
                if event.startswith(b":"):
                    if self._reader.comment_is_progress:
                        self._record_progress()
                    yield KEEP_ALIVE
                    continue
                if self._reader.is_end(event):
                    self._read_end()
                    return
                chunk = self._reader.accept(event)
                if chunk is not None:
                    self._record_progress()
                    self._started = True
                    yield chunk
            if len(buffer) > EVENT_LIMIT_BYTES:
                raise self._error("event exceeds the size limit")
        if buffer or self._reader.requires_end_event:
            raise self._lost("stream ended before the response was complete")
        if not self.offset:
            raise self._lost("stream ended before its first event")
        self.finished = True

    def _read(self) -> bytes:
        try:
            data = self._response.read()
        except BackendError as error:
            if self._abort_error is not None:
                raise self._abort_error from None
            failure = self._error(f"stream failed: {error.message}")
            failure.connection_lost = error.connection_lost
            raise failure from error
        now_s = self._clock()
        if self._abort_error is None and now_s >= self._limits.deadline_s:
            # After the process was suspended, data may be read before the monitor
            # runs.
            self._abort_error = self.find_timeout_error(now_s)
        if self._abort_error is not None:
            raise self._abort_error
        return data

    def _record_progress(self) -> None:
        """Record progress: reset the idle timeout and the byte limit."""
        now_s = self._clock()
        if self._started:
            gap_s = now_s - self._last_progress_s
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_progress_s = now_s
        self._response.connection.allow_bytes(EVENT_LIMIT_BYTES)

    def _read_end(self) -> None:
        """Read to the end of the body so that the connection can be reused."""
        try:
            self.finished = not self._response.read()
        except BackendError:
            return

    def _lost(self, message: str) -> BackendError:
        error = self._error(message)
        error.connection_lost = True
        return error

    def _error(self, message: str) -> BackendError:
        return BackendError(
            message, step="stream", peer=self._peer, outcome=Outcome.UNKNOWN
        )
