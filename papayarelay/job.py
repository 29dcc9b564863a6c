"""Executes non-idempotent requests at most once, under a claim."""

from __future__ import annotations

from collections.abc import Callable

from .backends.service import ServiceResponse
from .claim import Claim, Claims, RecordedOutcome
from .errors import ConflictError, Outcome, RelayError
from .request import Request


class ClaimGuard:
    """Allows a claimed request to be dispatched once."""

    def __init__(self, claims: Claims, claim: Claim, clock: Callable[[], float]):
        self._claims = claims
        self._claim = claim
        self._clock = clock

    def begin(self) -> None:
        """Mark the claim as dispatching; call it right before connecting to the server.

        Raises ``DeadlineError`` or ``ConflictError``.
        """
        self._claims.begin_dispatch(self._claim, self._clock())

    def undo(self) -> None:
        """Allow another dispatch after a connection was refused, with no byte sent."""
        self._claims.undo_dispatch(self._claim)


class JobRunner:
    """Claims a request, executes it and records its outcome."""

    def __init__(self, claims: Claims, clock: Callable[[], float]):
        self._claims = claims
        self._clock = clock

    def run(
        self,
        request: Request,
        execute: Callable[[Request, ClaimGuard], ServiceResponse],
    ) -> ServiceResponse:
        """Execute a request at most once; a retry gets the recorded response.

        Raises ``RelayError``, whose outcome is ``not_run`` only when the table
        service has committed the claim as ``refused``.
        """
        found = self._claims.claim(request, self._clock())
        if isinstance(found, RecordedOutcome):
            return _replay_recorded(found)
        guard = ClaimGuard(self._claims, found, self._clock)
        try:
            answer = execute(request, guard)
        except RelayError as error:
            error.outcome = self._abandon(found)
            raise
        except BaseException:
            self._abandon(found)
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

    def _abandon(self, claim: Claim) -> Outcome:
        """Mark the claim as refused unless dispatched; return the outcome to report."""
        return self._claims.finish(claim, Outcome.NOT_RUN, 0, b"", self._clock())


def _replay_recorded(recorded: RecordedOutcome) -> ServiceResponse:
    if recorded.outcome is Outcome.COMPLETED and recorded.body is not None:
        return ServiceResponse(recorded.status, recorded.content_type, recorded.body)
    if recorded.outcome is Outcome.COMPLETED:
        message = f"the request was executed; its response of {recorded.body_bytes} "
        message += "bytes was too long to be recorded"
    else:
        message = "a request with this key was rejected before; use a new key"
    raise ConflictError(message, step="claim", peer="store", outcome=recorded.outcome)
