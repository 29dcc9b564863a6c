"""How requests are put for backend servers and their answers are understood.

Each protocol registers its part of ``encode``, ``check`` and ``event_reader``.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from ..request import Request
from .connection import AnswerHead, RequestHead

if TYPE_CHECKING:
    from .pool import Answer


class Protocol:
    """Base of the protocols; ``answers`` names the header of the request's id."""

    answers = b""


@dataclass(frozen=True)
class ChatProtocol(Protocol):
    """Requests and streams in the format of the OpenAI API."""


CHAT = ChatProtocol()


@dataclass(frozen=True)
class Attempt:
    """One dispatch of a request to a backend server at an address.

    ``received`` is the position of the stream up to which the caller has it,
    ``time_left_s`` the time until the deadline and ``priority`` the rank at the
    server.  ``helpers`` are engines that read parts of the prompt.
    """

    backend_id: str
    address: str
    received: int = 0
    time_left_s: float = 0.0
    priority: int = 0
    helpers: tuple[Helper, ...] = ()


@dataclass(frozen=True)
class Helper:
    """An engine that reads a part of a prompt, and the memory it holds for that."""

    address: str
    reservation: str = ""


@dataclass(frozen=True, slots=True)
class Chunk:
    """One event of an answer: the raw bytes and what they carry.

    ``event`` is empty for a keep-alive comment; ``offset`` is the position after
    this chunk, in tokens or events as the protocol counts.  ``head`` is that of
    the engine's answer, on the first chunk of a stream that is passed on.
    """

    event: bytes
    content: str = ""
    offset: int = 0
    finish_reason: str | None = None
    head: AnswerHead | None = None


KEEP_ALIVE = Chunk(b"")


@dataclass(frozen=True, slots=True)
class Signals:
    """What the head of any answer says of the server that gave it.

    A server that is ``leaving`` takes no new work; for ``pause_s`` it wants no
    requests from this node.
    """

    leaving: bool = False
    pause_s: float = 0.0


NO_SIGNALS = Signals()


@dataclass
class StreamCounters:
    """Counts chunks that were dropped instead of being passed on."""

    other_request: int = 0
    duplicate: int = 0
    malformed: int = 0


class EventReader(Interface):
    """Understands the events of one answer stream.

    ``offset`` is the position after the last accepted event.  ``needs_end`` says
    that the stream is complete only after an event that ``is_end``, and not when
    the body is, ``keeps_alive`` that a comment shows that the engine still works
    on the answer.
    """

    offset: int
    needs_end: bool
    keeps_alive: bool

    def is_end(self, event: bytes) -> bool:
        """Return whether an event ends the answer."""

    def accept(self, event: bytes) -> Chunk | None:
        """Return the chunk of an event, or None when it must be dropped.

        Raises ``BackendError`` when the stream cannot go on.
        """


@singledispatch
def encode(
    protocol: Protocol, request: Request, attempt: Attempt
) -> tuple[RequestHead, bytes]:
    """Return the head and the body in which a request is sent."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def check(protocol: Protocol, request: Request, answer: Answer, peer: str) -> None:
    """Raise ``RelayError`` unless an answer may be passed on to the caller."""
    raise TypeError(f"no protocol {type(protocol).__name__}")


@singledispatch
def read_signals(protocol: Protocol, head: AnswerHead) -> Signals:
    """Return what an answer says of its server; most protocols say nothing."""
    return NO_SIGNALS


@singledispatch
def event_reader(
    protocol: Protocol,
    request: Request,
    answer: Answer,
    received: int,
    counters: StreamCounters,
) -> EventReader:
    """Return the reader of an answer stream."""
    raise TypeError(f"no protocol {type(protocol).__name__}")
