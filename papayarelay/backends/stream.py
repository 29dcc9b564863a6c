"""Answer streams of engines: server-sent events tied to one request."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
import urllib3

from ..errors import BackendError, DeadlineError, Outcome, RelayError
from .pool import STREAM_IDLE_LIMIT_S

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
# An engine's event is one token or a few; more without an end is a fault.
EVENT_LIMIT_BYTES = 1 << 20


class Delta(msgspec.Struct):
    """New text of a chat answer."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk, in the chat or the completion format."""

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Return the new text."""
        return (self.delta.content if self.delta else self.text) or ""


class Payload(msgspec.Struct):
    """The fields of a chunk that a node reads."""

    id: str = ""
    choices: list[Choice] = []
    offset: int | None = None
    tokens: int = 1
    error: msgspec.Raw | None = None


_DECODER = msgspec.json.Decoder(Payload)


@dataclass(frozen=True, slots=True)
class Chunk:
    """One event of an answer: the raw bytes and what they carry.

    ``event`` is empty for a keep-alive comment; ``offset`` is the number of
    tokens received after this chunk.
    """

    event: bytes
    content: str = ""
    offset: int = 0
    finish_reason: str | None = None


KEEP_ALIVE = Chunk(b"")


@dataclass
class StreamCounters:
    """Counts chunks that were dropped instead of being passed on."""

    other_request: int = 0
    duplicate: int = 0
    malformed: int = 0


class EngineStream:
    """Reads one answer; chunks of other requests never leave this class.

    ``offset`` is the number of tokens received so far.  A gap in the offsets,
    a connection that closes early or one that stays silent raises
    ``BackendError`` with outcome ``unknown``.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        request_id: str,
        peer: str,
        offset: int,
        deadline_s: float,
        counters: StreamCounters,
        clock: Callable[[], float],
    ):
        self.offset = offset
        self.finished = False
        self._response = response
        self._request_id = request_id
        self._peer = peer
        self._counters = counters
        self._deadline_s = deadline_s
        self._clock = clock
        self._read_s = clock()
        self._fault: RelayError | None = None
        # Reading by the engine's own chunks costs less than half of ``read1``.
        chunked = getattr(response, "chunked", False)
        read = response.stream().__next__ if chunked else response.read1
        self._receive: Callable[[], bytes] = read
        self._sock = response.connection.sock
        # The stream monitor limits the reads.
        self._sock.settimeout(None)

    def find_fault(self, now_s: float) -> RelayError | None:
        """Return why the stream must end now, or None."""
        if now_s >= self._deadline_s:
            return DeadlineError(
                "deadline passed while the answer was produced",
                step="stream",
                peer=self._peer,
                outcome=Outcome.UNKNOWN,
            )
        if now_s - self._read_s > STREAM_IDLE_LIMIT_S:
            return self._error(f"no data for {STREAM_IDLE_LIMIT_S:g} s")
        return None

    def abort(self, error: RelayError) -> None:
        """Let the reader of the stream fail with an error."""
        self._fault = error
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Release the connection, or close it when the answer is incomplete."""
        if self.finished:
            self._response.release_conn()
        else:
            self._response.close()

    def __iter__(self) -> Iterator[Chunk]:
        """Yield the chunks of the answer and a mark for each keep-alive."""
        buffer = b""
        while True:
            data = self._read()
            buffer = buffer + data if buffer else data
            while (end := buffer.find(EVENT_END)) >= 0:
                event = buffer[: end + 2]
                buffer = buffer[end + 2 :]
                if event.startswith(b":"):
                    yield KEEP_ALIVE
                    continue
                if event[6:-2] == DONE:
                    self._finish()
                    return
                chunk = self._accept(event)
                if chunk is not None:
                    yield chunk
            if len(buffer) > EVENT_LIMIT_BYTES:
                raise self._error("event exceeds the limit")

    def _read(self) -> bytes:
        try:
            data = self._receive()
        except StopIteration:
            data = b""
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if self._fault is not None:
                raise self._fault from None
            raise self._error(f"stream broke: {type(error).__name__}") from error
        self._read_s = self._clock()
        if self._fault is None and self._read_s >= self._deadline_s:
            # After a pause of the process, data may be read before the monitor
            # runs.
            self._fault = self.find_fault(self._read_s)
        if self._fault is not None:
            raise self._fault
        if not data:
            raise self._error("stream ended before the answer was complete")
        return data

    def _finish(self) -> None:
        """Read the end of the body, so that the connection can be reused."""
        try:
            self._response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            return
        self.finished = True

    def _accept(self, event: bytes) -> Chunk | None:
        """Return the chunk of an event, or None when it must be dropped."""
        if not event.startswith(DATA_PREFIX):
            self._counters.malformed += 1
            return None
        try:
            payload = _DECODER.decode(event[6:-2])
        except msgspec.MsgspecError:
            raise self._error("stream has a malformed chunk") from None
        if payload.id != self._request_id and not (payload.error and not payload.id):
            self._counters.other_request += 1
            return None
        if payload.error is not None:
            raise self._error("engine ended the stream with an error")
        choice = payload.choices[0] if payload.choices else None
        content = choice.content if choice else ""
        if content:
            if payload.offset is not None and payload.offset < self.offset:
                self._counters.duplicate += 1
                return None
            if payload.offset is not None and payload.offset > self.offset:
                raise self._error("stream has a gap in its tokens")
            self.offset += payload.tokens
        reason = choice.finish_reason if choice else None
        return Chunk(event, content, self.offset, reason)

    def _error(self, message: str) -> BackendError:
        return BackendError(
            message, step="stream", peer=self._peer, outcome=Outcome.UNKNOWN
        )
