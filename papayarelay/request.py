"""Requests and their kinds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RequestKind:
    """A kind of request from the configuration.

    ``target`` is ``engine`` or ``service``; ``priority`` 0 is the most urgent.
    """

    name: str
    target: str = "engine"
    idempotent: bool = True
    deadline_s: float = 60.0
    priority: int = 1


@dataclass(frozen=True)
class Request:
    """One caller request after validation.

    ``body`` is the JSON body for the backend server, ``prompt_tokens`` an
    estimate, ``received_s`` and ``deadline_s`` are monotonic times in seconds.
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

    def time_left_s(self, now_s: float) -> float:
        """Return the seconds until the deadline, negative once it has passed."""
        return self.deadline_s - now_s
