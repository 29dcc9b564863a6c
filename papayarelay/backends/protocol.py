"""Interface of the wire protocols that backend servers speak.

Each protocol registers its implementations of ``encode``, ``check`` and
``event_reader``.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from ..request import Request
from .connection import RequestHead, ResponseHead
from .restriction import Permit

if TYPE_CHECKING:
    from .pool import Response


class Protocol:
    """Base class of wire protocols.

    ``request_id_header`` is the lower-case name of the header with the request id,
    in requests and responses; empty if there is none.
    """

    request_id_header = b""


@dataclass(frozen=True)
class ChatProtocol(Protocol):
    """OpenAI-compatible requests and streams."""


CHAT = ChatProtocol()


@dataclass(frozen=True)
class Attempt:
    """One attempt to run a request on a backend server.

    ``received`` is the stream offset from which to resume, ``time_left_s`` the time
    until the deadline and ``priority`` the scheduling priority at the server.
    ``helpers`` are engines that prefill parts of the prompt.  ``permit`` allows the
    attempt on a server with a rate limit.
    """

    backend_id: str
    address: str
    received: int = 0
    time_left_s: float = 0.0
    priority: int = 0
    helpers: tuple[PrefillHelper, ...] = ()
    permit: Permit | None = None


@dataclass(frozen=True)
class PrefillHelper:
    """An engine that prefills a part of the prompt.

    ``reservation`` names the KV cache reservation there.
    """

    address: str
    reservation: str = ""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One event of a response stream: the raw bytes and the parsed fields.

    ``event`` is empty for a keep-alive comment; ``offset`` is the stream offset
    after this chunk, in tokens or events depending on the protocol.  ``head`` is the
    engine's response head, set on the first chunk of a proxied stream.
    """

    event: bytes
    content: str = ""
    offset: int = 0
    finish_reason: str | None = None
    head: ResponseHead | None = None


KEEP_ALIVE = Chunk(b"")


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """Server status signalled in response headers.

    A server that is ``leaving`` shuts down and accepts no new work; for ``pause_s``
    it accepts no requests from this node.  ``limit_per_s`` is the rate of requests
    that it accepts from all nodes together: infinite without a limit, None if the
    response does not tell.  ``successor_limit_per_s`` is the limit of another server,
    which responds at the same address.
    """

    leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    successor_limit_per_s: float | None = None


NO_SIGNALS = ServerSignals()


@dataclass
class StreamCounters:
    """Counts of dropped stream chunks, by reason."""

    other_request: int = 0
    duplicate: int = 0
    malformed: int = 0


class EventReader(Interface):
    """Parses the events of one response stream.

    ``offset`` is the stream offset after the last accepted event.  With
    ``requires_end_event`` the stream is complete only after an end-of-stream event,
    not at the end of the body.  With ``comment_is_progress`` a comment resets the
    idle timeout.
    """

    offset: int
    requires_end_event: bool
    comment_is_progress: bool

    def is_end(self, event: bytes) -> bool:
        """Return whether an event is the end-of-stream marker."""

    def accept(self, event: bytes) -> Chunk | None:
        """Parse an event; return None if it must be dropped.

        Raises ``BackendError`` if the stream cannot continue.
        """


@singledispatch
def encode(
    protocol: Protocol, request: Request, attempt: Attempt
) -> tuple[RequestHead, bytes]:
    """Encode a request as an HTTP head and body."""
    raise TypeError(f"unsupported protocol {type(protocol).__name__}")


@singledispatch
def check(protocol: Protocol, request: Request, response: Response, peer: str) -> None:
    """Validate a response head; raise ``RelayError`` if it must not be relayed."""
    raise TypeError(f"unsupported protocol {type(protocol).__name__}")


@singledispatch
def read_signals(protocol: Protocol, head: ResponseHead) -> ServerSignals:
    """Return the status signals in a response; most protocols have none."""
    return NO_SIGNALS


@singledispatch
def event_reader(
    protocol: Protocol,
    request: Request,
    response: Response,
    received: int,
    counters: StreamCounters,
) -> EventReader:
    """Return the parser of a response stream."""
    raise TypeError(f"unsupported protocol {type(protocol).__name__}")
