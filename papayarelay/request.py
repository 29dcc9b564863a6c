"""Requests and their kinds."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]
"""Names and values of HTTP headers, in their order."""


@dataclass(frozen=True)
class RequestKind:
    """A kind of request from the configuration.

    ``target`` is ``engine`` or ``service``; ``priority`` 0 is the most urgent.
    ``max_attempts`` is the number of backend servers on which one request may
    run, 0 for no limit.  ``target_s`` is the time within which an answer, or the
    first event of a stream, is in time, and ``gap_target_s`` the longest such
    pause between events; 0 means that there is none.
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
    ``received_s`` and ``deadline_s`` are monotonic times in seconds.  A request
    that is passed on as it is also has a ``method`` and ``headers``, ``path`` is
    then the target with its query.  ``service`` is the group of backend servers
    that the route has chosen, ``resume_from`` the last event that the caller has.
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

    @property
    def served_by(self) -> str:
        """Return what a server must serve for it: the service, model or kind."""
        if self.service:
            return self.service
        return self.model if self.kind.target == "engine" else self.kind.name

    def time_left_s(self, now_s: float) -> float:
        """Return the seconds until the deadline, negative once it has passed."""
        return self.deadline_s - now_s
