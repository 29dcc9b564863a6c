"""Validated requests and their kinds."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]
"""Names and values of HTTP headers in their original order."""


@dataclass(frozen=True)
class RequestKind:
    """A kind of request from the configuration.

    ``target`` is ``engine`` or ``service``; ``priority`` 0 is the most urgent.
    ``max_attempts`` bounds the number of backend servers on which one request
    may run, 0 for no bound.  ``target_s`` is the latency target of a response,
    or of the first event of a stream; ``gap_target_s`` is the target for the gap
    between events.  0 means that there is no target.
    """

    name: str
    target: str = "engine"
    idempotent: bool = True
    deadline_s: float = 60.0
    priority: int = 1
    max_attempts: int = 0
    target_s: float = 0.0
    gap_target_s: float = 0.0


@dataclass(frozen=True)
class Request:
    """One caller request after validation.

    ``body`` is the body for the backend server, ``prompt_tokens`` an estimate,
    ``received_s`` and ``deadline_s`` are monotonic times in seconds.  A proxied
    request also has a ``method`` and ``headers``; its ``path`` is the request
    target with the query.  ``service`` is the group of backend servers selected
    by the route, ``resume_from`` the last event that the caller has received.
    ``segments`` are the digests of the prompt segments but the last, which other
    requests may share.  ``digest`` is that of the whole request: it is the same when
    its caller sends it again.
    """

    id: str
    member: str
    organisation: str
    kind: RequestKind
    model: str
    path: str
    body: bytes
    prompt_tokens: int
    max_tokens: int
    stream: bool
    received_s: float
    deadline_s: float
    idempotency_key: str | None = None
    method: str = "POST"
    headers: Headers = ()
    service: str = ""
    resume_from: int = 0
    segments: tuple[int, ...] = ()
    digest: int = 0

    @property
    def traits(self) -> tuple[int, ...]:
        """Return the digests of all that may make it crash engines."""
        return (*self.segments, self.digest) if self.digest else self.segments

    @property
    def target_name(self) -> str:
        """Return what a server must offer for it: the service, model or kind."""
        if self.service:
            return self.service
        return self.model if self.kind.target == "engine" else self.kind.name

    def time_left_s(self, now_s: float) -> float:
        """Return the seconds until the deadline, negative after it."""
        return self.deadline_s - now_s
