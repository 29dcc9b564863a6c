"""HTTP headers and streaming format of the platform's requests and responses."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from ..backends.connection import RequestHead, ResponseHead
from ..backends.pool import Response
from ..backends.protocol import (
    Attempt,
    Chunk,
    Protocol,
    ServerSignals,
    StreamCounters,
    check,
    encode,
    event_reader,
    read_signals,
)
from ..backends.service import ServiceResponse
from ..callers.gateway import CallerDialect, RequestFields, end_to_end
from ..errors import BackendError, Fault, Outcome, RequestError
from ..request import Headers, Request
from ..segments import digest_segments

REQUEST_ID = b"X-Attempt-Id"
API_KEY = b"X-Key"
ORGANISATION = b"X-Tenant"
# The caller's timeout on a request, the remaining time on an attempt.
DEADLINE = b"X-Deadline-Ms"
MODEL = b"X-Model"
# Number of prompt tokens and maximum number of output tokens.
TOKEN_COUNTS = b"X-Token-Counts"
# Segments of the prompt in order, as ID:TOKENS; the last one is the request's own.
SEGMENTS = b"X-Prompt-Prefix"
BACKEND_ID = b"X-Expect-Instance"
# Digest of the response; without it, the response is not the backend server's own.
RESPONSE_DIGEST = b"X-Response-Seal"
# Set by a server that is draining and accepts no new requests.
LEAVING = b"Server-Leaving"
# On a 503 response: seconds for which the server wants no requests.
RETRY_AFTER = b"Retry-After"
RETRY_AFTER_PATTERN = re.compile(rb"\d{1,8}(\.\d{0,9})?")
# Upper bound for the pause that a server may request.
MAX_PAUSE_S = 3600.0
# Requests per second that a server accepts from all nodes together; a server that
# sends no such header has no limit.
LIMIT = b"Server-Limit"
LIMIT_PATTERN = re.compile(rb"(\d{1,64}(\.\d{0,64})?|\.\d{1,64})")
MAX_LIMIT_PER_S = 1e6
SERVICE_UNAVAILABLE = 503
# On a rejection: the server that caused it.
AT_FAULT = b"At-Server"
# Confirms that a request has not been executed.
NOT_RUN = b"X-Not-Executed"
PRIORITY = b"X-Request-Priority"
HELPERS = b"X-Helpers"
LAST_EVENT = b"Last-Event-Id"
# Set by the gateway; values that the caller sends are dropped.
GATEWAY_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY,
        ORGANISATION,
        DEADLINE,
        BACKEND_ID,
        PRIORITY,
        HELPERS,
        LAST_EVENT,
        b"Expect",
    )
)
MISDIRECTED_REQUEST = 421
MAX_PRIORITY = 9
EVENT_ID_PREFIX = b"id:"


class PlatformDialect(CallerDialect):
    """Parses the headers of callers' requests."""

    def read(self, headers: Headers) -> RequestFields:
        """Parse the headers; raises ``RequestError``."""
        values = {name.lower(): value for name, value in headers}
        request_id = _header_text(values, REQUEST_ID)
        if not request_id:
            raise RequestError("request has no id", step="parse", peer="caller")
        prompt, output = _token_counts(_header_text(values, TOKEN_COUNTS))
        allowed_ms = _parse_number(_header_text(values, DEADLINE))
        kept = tuple(
            item
            for item in end_to_end(headers)
            if item[0].lower() not in GATEWAY_HEADERS
        )
        return RequestFields(
            request_id=request_id,
            key=_header_text(values, API_KEY),
            allowed_s=None if allowed_ms is None else allowed_ms / 1000,
            model=_header_text(values, MODEL),
            prompt_tokens=prompt,
            max_tokens=output,
            resume_from=_parse_number(_header_text(values, LAST_EVENT)) or 0,
            headers=kept,
            segments=_shared_segments(headers),
        )


@dataclass(frozen=True)
class PlatformProtocol(Protocol):
    """Protocol of the platform's backend servers."""

    request_id_header = REQUEST_ID.lower()


class EventReader:
    """Reads server-sent events; ``offset`` is the id of the last accepted one."""

    requires_end_event = False
    comment_is_progress = False

    def __init__(self, answer: Response, received: int, counters: StreamCounters):
        self.offset = received
        self._head = answer.head
        self._peer = answer.connection.peer
        self._counters = counters

    def is_end(self, event: bytes) -> bool:
        """Return False: there is no end event, the stream ends with its body."""
        return False

    def accept(self, event: bytes) -> Chunk | None:
        """Return the chunk of an event, None for a duplicate.

        Raises ``BackendError`` for an event without an id or after a gap.
        """
        number = _event_id(event)
        if number is None:
            self._counters.malformed += 1
            raise self._error("event has no id")
        if number <= self.offset:
            self._counters.duplicate += 1
            return None
        if number != self.offset + 1:
            raise self._error(f"gap in event ids: {number} follows {self.offset}")
        self.offset = number
        return Chunk(event, "event", number, head=self._head)

    def _error(self, message: str) -> BackendError:
        return BackendError(
            message, step="stream", peer=self._peer, outcome=Outcome.UNKNOWN
        )


@encode.register
def _(protocol: PlatformProtocol, request: Request, attempt: Attempt):
    left_ms = max(1, int(attempt.time_left_s * 1000))
    headers = list(request.headers)
    headers.append((BACKEND_ID, attempt.backend_id.encode()))
    headers.append((DEADLINE, b"%d" % left_ms))
    if request.organisation:
        headers.append((ORGANISATION, request.organisation.encode()))
    if attempt.received:
        headers.append((LAST_EVENT, b"%d" % attempt.received))
    if request.kind.target == "engine":
        priority = min(MAX_PRIORITY, max(0, attempt.priority))
        headers.append((PRIORITY, b"%d" % priority))
    if attempt.helpers:
        listed = ",".join(
            each.address + (f"/{each.reservation}" if each.reservation else "")
            for each in attempt.helpers
        )
        headers.append((HELPERS, listed.encode()))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    head = RequestHead(request.method.encode(), request.path.encode(), tuple(headers))
    return head, request.body


@check.register
def _(protocol: PlatformProtocol, request: Request, answer: Response, peer: str):
    head = answer.head
    if head.status == MISDIRECTED_REQUEST or head.get(NOT_RUN.lower()) is not None:
        error = _error(
            f"request not executed: status {head.status}", peer, Outcome.NOT_RUN
        )
        replaced = head.status == MISDIRECTED_REQUEST
        error.fault = Fault.REPLACED if replaced else Fault.FULL
        error.faulty_server = answer.header(AT_FAULT.decode())
        raise error
    has_digest = head.get(RESPONSE_DIGEST.lower()) is not None
    if head.get(b"content-encoding") is not None:
        raise _error("unexpected Content-Encoding in the response", peer)
    if 200 <= head.status < 300:
        if not has_digest:
            raise _error("successful response without a digest", peer)
        return
    error = _error(f"status {head.status}", peer)
    if has_digest:
        body = answer.read_all()
        error.response = ServiceResponse(head.status, "", body, head.headers)
    raise error


@read_signals.register
def _(protocol: PlatformProtocol, head: ResponseHead):
    leaving = (head.get(LEAVING.lower()) or b"").strip() == b"1"
    pause_s = 0.0
    if head.status == SERVICE_UNAVAILABLE:
        pause_s = parse_retry_after_s(head.get(RETRY_AFTER.lower()) or b"")
    limit_per_s = _read_limit_per_s(head)
    if head.status != MISDIRECTED_REQUEST:
        return ServerSignals(leaving, pause_s, limit_per_s)
    # The request reached the next server at the address.
    named = limit_per_s is not None and math.isfinite(limit_per_s)
    successor_limit_per_s = limit_per_s if named else None
    return ServerSignals(leaving, successor_limit_per_s=successor_limit_per_s)


def _read_limit_per_s(head: ResponseHead) -> float | None:
    """Return the lowest limit in a response, infinite if it has none.

    Returns None if there are only invalid ones.
    """
    values = [value for key, value in head.headers if key.lower() == LIMIT.lower()]
    if not values:
        return math.inf
    limits = [limit for v in values if (limit := parse_limit_per_s(v)) is not None]
    return min(limits, default=None)


def parse_limit_per_s(value: bytes) -> float | None:
    """Parse a rate limit in requests/s; return None if it is not valid."""
    text = value.strip()
    if not LIMIT_PATTERN.fullmatch(text):
        return None
    return min(MAX_LIMIT_PER_S, float(text))


def parse_retry_after_s(value: bytes) -> float:
    """Parse the seconds in a Retry-After header; return 0 if they are not valid."""
    text = value.strip()
    if not RETRY_AFTER_PATTERN.fullmatch(text):
        return 0.0
    return min(MAX_PAUSE_S, float(text))


@event_reader.register
def _(protocol: PlatformProtocol, request, answer: Response, received: int, counters):
    return EventReader(answer, received, counters)


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(EVENT_ID_PREFIX):
            text = line[len(EVENT_ID_PREFIX) :].strip()
            return int(text) if text.isdigit() else None
    return None


def _header_text(values: dict[bytes, bytes], name: bytes) -> str:
    return values.get(name.lower(), b"").decode("latin-1").strip()


def _parse_number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 12 else None


def _shared_segments(headers: Headers) -> tuple[int, ...]:
    """Return the digests of the prompt segments but the last."""
    values = [value for name, value in headers if name.lower() == SEGMENTS.lower()]
    items = [item.partition(b":")[0].strip() for item in b",".join(values).split(b",")]
    return digest_segments(item.lower() for item in items[:-1] if item)


def _token_counts(text: str) -> tuple[int, int]:
    """Return prompt and output tokens, 0 for each one that is missing or invalid."""
    prompt, _, output = text.partition(",")
    return _parse_number(prompt.strip()) or 0, _parse_number(output.strip()) or 0


def _error(message: str, peer: str, outcome: Outcome = Outcome.UNKNOWN) -> BackendError:
    return BackendError(message, step="answer", peer=peer, outcome=outcome)
