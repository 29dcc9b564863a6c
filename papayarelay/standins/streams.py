"""Response streams of the simulated engine, with fault injection."""

from __future__ import annotations

import dataclasses
import uuid
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import gevent
from gevent.event import Event

from .answers import DONE_LINE, KEEP_ALIVE_LINE, Answer, digest_of, token_of
from .model import DROPPED, LENGTH, FinishEvent
from .server import (
    SOCKET_KEY,
    BrokenConnectionError,
    cut_connection,
    is_closed,
    wait_until_closed,
)

KEEP_ALIVE_INTERVAL_S = 1.0
CROSSED = "crossed"
DUPLICATE = "duplicate"
GAP = "gap"
SILENT = "silent"
LATE = "late"
STREAM_FAULTS = (LATE, DUPLICATE, GAP, CROSSED, SILENT)
CANCELLED = "cancelled"
DISCONNECTED = "disconnected"
OTHER_ID = "other-request"


@dataclass(frozen=True)
class StreamFaults:
    """Faults of one stream: ``names`` apply after ``after`` tokens."""

    names: frozenset[str] = frozenset()
    after: int = 0
    break_after: int | None = None
    late_s: float = 0.0


class IncompleteError(Exception):
    """The request ended before its answer was complete, for example by its deadline."""

    def __init__(self, reason: str):
        super().__init__(f"request ended: {reason}")
        self.reason = reason


class Stream:
    """The response of one request in flight.

    ``environ`` is the WSGI environment of the request, ``frozen`` the set of frozen
    connections; ``find_other`` returns the answer of another request in flight.
    """

    def __init__(
        self,
        answer: Answer,
        resume_from: int,
        *,
        environ: dict,
        frozen: set,
        find_other: Callable[[str], Answer | None],
    ):
        self.answer = answer
        # Unique per attempt: a resumed request may arrive before the engine notices
        # that the previous stream is broken.
        self.key = f"{answer.request_id}#{uuid.uuid4().hex}"
        self._resume_from = resume_from
        self._environ = environ
        self.faults = StreamFaults()
        self._frozen = frozen
        self._find_other = find_other
        self._events: deque = deque()
        self._ready = Event()

    def put(self, event) -> None:
        """Queue an event of the engine model."""
        self._events.append(event)
        self._ready.set()

    def watch_disconnect(self, on_disconnect: Callable[[], None]):
        """Call back when the client disconnects; return the watcher to close."""
        connection = self._environ[SOCKET_KEY]
        watcher = gevent.get_hub().loop.io(connection.fileno(), 1)

        def on_readable():
            watcher.stop()
            if is_closed(connection):
                on_disconnect()

        watcher.start(on_readable)
        return watcher

    def chunks(self) -> Iterator[bytes]:
        """Yield the server-sent events of the stream.

        Raises BrokenConnectionError when the connection breaks.
        """
        yield KEEP_ALIVE_LINE
        timeout_s = KEEP_ALIVE_INTERVAL_S
        parts = self.answer.chunk_parts()
        digest = self.answer.digest
        gap_at = self.faults.after if GAP in self.faults.names else None
        sent = 0
        yield from self._faulty_chunks(sent, b"")
        while True:
            event = self._next_event(timeout_s)
            if event is None:
                yield KEEP_ALIVE_LINE
                continue
            if type(event) is FinishEvent:
                yield from self._last_chunks(sent, event.reason)
                return
            timeout_s = None
            for offset in range(event.offset, event.offset + event.count):
                chunk = _token_chunk(parts, offset, digest)
                if sent != gap_at:
                    yield chunk
                sent += 1
                yield from self._faulty_chunks(sent, chunk)

    def complete_response(self) -> dict:
        """Wait for the end and return the complete response.

        Raises IncompleteError, or BrokenConnectionError when the connection breaks.
        """
        count = 0
        while type(event := self._next_event(None)) is not FinishEvent:
            count += event.count
        _check_connection(event.reason)
        if event.reason != LENGTH:
            raise IncompleteError(event.reason)
        if LATE in self.faults.names:
            gevent.sleep(self.faults.late_s)
        if SILENT in self.faults.names:
            wait_until_closed(self._environ)
        if self.faults.break_after is not None:
            cut_connection(self._environ)
        crossed = CROSSED in self.faults.names
        answer = self._other_answer() if crossed else self.answer
        return answer.complete_response(self._resume_from, count, event.reason)

    def _next_event(self, timeout_s: float | None):
        """Return the next event, or None after the timeout."""
        event = None
        if not self._events:
            self._ready.clear()
            self._ready.wait(timeout_s)
        if self._events:
            event = self._events.popleft()
        if self._frozen and self._environ[SOCKET_KEY] in self._frozen:
            wait_until_closed(self._environ)
        return event

    def _faulty_chunks(self, sent: int, last: bytes) -> Iterator[bytes]:
        """Apply the faults due after ``sent`` tokens; yield the chunks they inject."""
        faults = self.faults
        if faults.break_after == sent:
            cut_connection(self._environ)
        if not faults.names or faults.after != sent:
            return
        if LATE in faults.names:
            gevent.sleep(faults.late_s)
        if DUPLICATE in faults.names and last:
            yield last
        if CROSSED in faults.names:
            other = self._other_answer()
            offset = self._resume_from + sent
            yield _token_chunk(other.chunk_parts(), offset, other.digest)
        if SILENT in faults.names:
            wait_until_closed(self._environ)

    def _last_chunks(self, sent: int, reason: str) -> Iterator[bytes]:
        _check_connection(reason)
        if reason != LENGTH:
            yield self.answer.error_chunk(reason)
            return
        yield self.answer.final_chunk(self._resume_from + sent, reason)
        yield DONE_LINE

    def _other_answer(self) -> Answer:
        """Return the answer of another request in flight, or a made-up one."""
        other = self._find_other(self.answer.request_id)
        if other is not None:
            return other
        digest = digest_of(OTHER_ID, "")
        return dataclasses.replace(self.answer, request_id=OTHER_ID, digest=digest)


def _token_chunk(parts: tuple[bytes, bytes, bytes], offset: int, digest: str) -> bytes:
    head, middle, tail = parts
    return b"%s%d%s%s%s" % (head, offset, middle, token_of(offset, digest), tail)


def _check_connection(reason: str) -> None:
    if reason in {DISCONNECTED, DROPPED}:
        raise BrokenConnectionError
