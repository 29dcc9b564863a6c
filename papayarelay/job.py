"""Runs non-idempotent requests under a claim."""

from __future__ import annotations

from collections.abc import Callable

from .backends.service import ServiceAnswer
from .claim import Claim, Claims, Recorded
from .errors import ConflictError, Outcome, RelayError
from .request import Request


class ClaimGuard:
    """Permits the dispatch of a claimed request, once."""

    def __init__(self, claims: Claims, claim: Claim, clock: Callable[[], float]):
        self._claims = claims
        self._claim = claim
        self._clock = clock

    def begin(self) -> None:
        """Permit a dispatch; call it right before connecting to the server.

        Raises ``DeadlineError`` or ``ConflictError``.
        """
        self._claims.begin_dispatch(self._claim, self._clock())

    def undo(self) -> None:
        """State that the connection was refused before any byte was sent."""
        self._claims.undo_dispatch(self._claim)


class JobRunner:
    """Claims a request, runs it and records its outcome."""

    def __init__(self, claims: Claims, clock: Callable[[], float]):
        self._claims = claims
        self._clock = clock

    def run(
        self, request: Request, execute: Callable[[Request, ClaimGuard], ServiceAnswer]
    ) -> ServiceAnswer:
        """Run a request at most once and return its answer, also to a repeat.

        Raises ``RelayError`` whose outcome is ``not_run`` only when the table
        service has confirmed the refusal.
        """
        found = self._claims.claim(request, self._clock())
        if isinstance(found, Recorded):
            return _recorded_answer(found)
        guard = ClaimGuard(self._claims, found, self._clock)
        try:
            answer = execute(request, guard)
        except RelayError as error:
            error.outcome = self._give_up(found)
            raise
        except BaseException:
            self._give_up(found)
            raise
        self._claims.finish(
            found,
            Outcome.COMPLETED,
            answer.status,
            answer.body,
            self._clock(),
            content_type=answer.content_type,
        )
        return answer

    def _give_up(self, claim: Claim) -> Outcome:
        """Refuse the claim unless it was dispatched; return the outcome to tell."""
        return self._claims.finish(claim, Outcome.NOT_RUN, 0, b"", self._clock())


def _recorded_answer(recorded: Recorded) -> ServiceAnswer:
    if recorded.outcome is Outcome.COMPLETED and recorded.body is not None:
        return ServiceAnswer(recorded.status, recorded.content_type, recorded.body)
    if recorded.outcome is Outcome.COMPLETED:
        message = f"the request has run; its answer of {recorded.body_bytes} bytes "
        message += "was too long to be kept"
    else:
        message = "the key was refused before; use a new key"
    raise ConflictError(message, step="claim", peer="store", outcome=recorded.outcome)
