"""OpenAI-compatible wire protocol for engines and plain services."""

from __future__ import annotations

import msgspec

from ..errors import BackendError, Outcome, OverloadError, RequestError
from ..request import Request
from ..routing import engine_priority
from .connection import RequestHead
from .pool import Response
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
    """Incremental content of a chat completion chunk."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk, in chat or text completion format."""

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Return the incremental text."""
        return (self.delta.content if self.delta else self.text) or ""


class Payload(msgspec.Struct):
    """The fields of a chunk that the gateway parses; the rest passes through."""

    id: str = ""
    choices: list[Choice] = []
    offset: int | None = None
    tokens: int = 1
    error: msgspec.Raw | None = None


_DECODER = msgspec.json.Decoder(Payload)


class ChatReader:
    """Parses OpenAI-format stream events; ``offset`` counts tokens.

    Chunks of other requests and duplicates are dropped; a gap in the offsets is an
    error.
    """

    requires_end_event = True
    comment_is_progress = True

    def __init__(
        self, request_id: str, peer: str, offset: int, counters: StreamCounters
    ):
        self.offset = offset
        self._request_id = request_id
        self._peer = peer
        self._counters = counters

    def is_end(self, event: bytes) -> bool:
        """Return whether an event is the end-of-stream marker."""
        return event[6:-2] == DONE

    def accept(self, event: bytes) -> Chunk | None:
        """Parse an event; return None if it must be dropped."""
        if not event.startswith(DATA_PREFIX):
            self._counters.malformed += 1
            return None
        try:
            payload = _DECODER.decode(event[6:-2])
        except msgspec.MsgspecError:
            raise self._error("malformed chunk in stream") from None
        if payload.id != self._request_id and not (payload.error and not payload.id):
            self._counters.other_request += 1
            return None
        if payload.error is not None:
            raise self._error("engine sent an error event")
        choice = payload.choices[0] if payload.choices else None
        content = choice.content if choice else ""
        if content:
            if payload.offset is not None and payload.offset < self.offset:
                self._counters.duplicate += 1
                return None
            if payload.offset is not None and payload.offset > self.offset:
                raise self._error("token offset gap in stream")
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
def _(protocol: ChatProtocol, request: Request, response: Response, peer: str):
    if request.kind.target == "service":
        if response.header("X-Request-Id", request.id) != request.id:
            raise _error("response carries the id of another request", peer)
        return
    status = response.status
    if status == 200:
        return
    if status in (429, 503):
        raise OverloadError(
            f"engine overloaded: HTTP status {status}",
            step="send",
            peer=peer,
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
        )
    if 400 <= status < 500:
        raise RequestError(
            f"engine rejected the request: HTTP status {status}", step="send", peer=peer
        )
    raise _error(f"engine returned HTTP status {status}", peer)


@event_reader.register
def _(protocol: ChatProtocol, request: Request, response, received: int, counters):
    peer = response.connection.peer
    return ChatReader(request.id, peer, received, counters)


def _error(message: str, peer: str) -> BackendError:
    return BackendError(message, step="send", peer=peer, outcome=Outcome.UNKNOWN)
