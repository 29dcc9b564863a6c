"""The protocol of engines and plain services in the format of the OpenAI API."""

from __future__ import annotations

import msgspec

from ..errors import BackendError, Outcome, OverloadError, RequestError
from ..request import Request
from ..routing import engine_priority
from .connection import RequestHead
from .pool import Answer
from .protocol import (
    Attempt,
    ChatProtocol,
    Chunk,
    StreamCounters,
    check,
    encode,
    event_reader,
)

DATA_PREFIX = b"data: "
DONE = b"[DONE]"


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


class ChatReader:
    """Reads chunks in the OpenAI format; ``offset`` counts tokens.

    Chunks of other requests are dropped, a gap in the offsets is an error.
    """

    needs_end = True
    keeps_alive = True

    def __init__(
        self, request_id: str, peer: str, offset: int, counters: StreamCounters
    ):
        self.offset = offset
        self._request_id = request_id
        self._peer = peer
        self._counters = counters

    def is_end(self, event: bytes) -> bool:
        """Return whether an event ends the answer."""
        return event[6:-2] == DONE

    def accept(self, event: bytes) -> Chunk | None:
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


@encode.register
def _(protocol: ChatProtocol, request: Request, attempt: Attempt):
    fields = {
        "Host": attempt.address,
        "Content-Type": "application/json",
        "X-Request-Id": request.id,
    }
    if request.kind.target == "engine":
        priority = engine_priority(request.kind.priority, request.prompt_tokens)
        fields["X-Priority"] = str(priority)
        fields["X-Deadline-Ms"] = str(int(attempt.time_left_s * 1000))
        if attempt.received:
            fields["X-Resume-From"] = str(attempt.received)
    else:
        fields["Connection"] = "close"
        if request.idempotency_key is not None:
            fields["Idempotency-Key"] = request.idempotency_key
    fields["Content-Length"] = str(len(request.body))
    headers = tuple((name.encode(), text.encode()) for name, text in fields.items())
    return RequestHead(b"POST", request.path.encode(), headers), request.body


@check.register
def _(protocol: ChatProtocol, request: Request, answer: Answer, peer: str):
    if request.kind.target == "service":
        if answer.header("X-Request-Id", request.id) != request.id:
            raise _error("answer belongs to another request", peer)
        return
    status = answer.status
    if status == 200:
        return
    if status in (429, 503):
        raise OverloadError(
            f"engine refused the request with {status}",
            step="send",
            peer=peer,
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
        )
    if 400 <= status < 500:
        raise RequestError(
            f"engine rejected the request with {status}", step="send", peer=peer
        )
    raise _error(f"engine answered {status}", peer)


@event_reader.register
def _(protocol: ChatProtocol, request: Request, answer, received: int, counters):
    peer = answer.connection.peer
    return ChatReader(request.id, peer, received, counters)


def _error(message: str, peer: str) -> BackendError:
    return BackendError(message, step="send", peer=peer, outcome=Outcome.UNKNOWN)
