"""Errors with the step and the peer at which they arose."""

from __future__ import annotations

import enum

SHOWN_VALUE_LIMIT = 80
# The value of a required key that is missing.
ABSENT = "<absent>"


class Outcome(enum.Enum):
    """What is certain about the execution of a request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


class RelayError(Exception):
    """A request failed.

    ``step`` names the part of the work, ``peer`` the other side (a backend
    server id, ``caller``, ``store`` or a node name).  ``retry_after_s`` is the
    time in seconds after which the caller may retry, or None where a retry
    cannot succeed.
    """

    status = 500
    code = "internal_error"
    default_retry_after_s: float | None = None

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.outcome = outcome
        self.retry_after_s = retry_after_s or self.default_retry_after_s

    def __str__(self) -> str:
        return f"{self.message} (step {self.step}, peer {self.peer})"


# A failed attempt is worth repeating after this time unless more is known.
RETRY_AFTER_S = 1.0


class RequestError(RelayError):
    """The request is malformed."""

    status = 400
    code = "invalid_request"


class AuthenticationError(RelayError):
    """The API key or operator token is missing or not known."""

    status = 401
    code = "invalid_api_key"


class UnknownResourceError(RelayError):
    """The path, model or kind does not exist."""

    status = 404
    code = "not_found"


class RequestTimeoutError(RelayError):
    """The caller sent its request too slowly."""

    status = 408
    code = "request_timeout"


class ConflictError(RelayError):
    """The request conflicts with an earlier one under the same key."""

    status = 409
    code = "conflict"


class BodyTooLargeError(RelayError):
    """The body exceeds the limit."""

    status = 413
    code = "body_too_large"


class OverloadError(RelayError):
    """No capacity within the deadline.

    ``elsewhere`` says that another node can serve the request now.
    """

    status = 503
    code = "overloaded"
    default_retry_after_s = RETRY_AFTER_S
    elsewhere = False


class Fault(enum.Enum):
    """What a failed attempt says of a backend server."""

    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    FULL = "full"
    REPLACED = "replaced"
    # The server has asked for no requests, so nothing was sent.
    BARRED = "barred"


class BackendError(RelayError):
    """A backend server failed or broke its stream.

    ``fault`` is what that says of the server, or of another one whose id or
    address is ``culprit``.  ``silent`` says that nothing at all came back, not
    even an acknowledgement.  ``answer`` is the server's own answer, where it may be
    passed on.
    """

    status = 502
    code = "backend_error"
    default_retry_after_s = RETRY_AFTER_S
    fault = Fault.BROKEN
    culprit = ""
    silent = False
    answer: object | None = None

    @property
    def refused(self) -> bool:
        """Return whether the server has answered that it did not run the request."""
        return self.fault in (Fault.FULL, Fault.REPLACED)


class CallerGoneError(RelayError):
    """The caller closed its connection before the answer was complete."""

    status = 502
    code = "caller_gone"


class DeadlineError(RelayError):
    """The deadline passed."""

    status = 504
    code = "deadline_exceeded"
    default_retry_after_s = RETRY_AFTER_S


class StoreError(RelayError):
    """The table service failed."""

    status = 503
    code = "store_unavailable"
    default_retry_after_s = RETRY_AFTER_S


class StoreUnavailableError(StoreError):
    """The table service did not apply the transaction."""


class StoreOutcomeUnknownError(StoreError):
    """The table service may have applied the transaction."""


class CheckFailedError(StoreError):
    """A check of a transaction did not hold; nothing was applied."""

    status = 409
    code = "check_failed"


class SettingsError(RelayError):
    """A value in the settings or the configuration document is not allowed.

    ``path`` is its place in the document (``backends.engine-1.url``), ``value``
    what was found there and ``allowed`` what is accepted instead.  All mistakes
    of a document are raised together in one exception group.
    """

    status = 400
    code = "invalid_settings"

    def __init__(self, path: str, value: object, allowed: str, hint: str = ""):
        shown = value if value is ABSENT else ascii(value)
        if len(shown) > SHOWN_VALUE_LIMIT:
            shown = f"{shown[:SHOWN_VALUE_LIMIT]}..."
        # Names in a bad document may contain anything, also terminal controls.
        self.path = _escape(path)
        self.value = value
        self.allowed = _escape(allowed)
        self.hint = _escape(hint)
        message = f"{self.path or 'document'}: found {shown}, expected {self.allowed}"
        if hint:
            message = f"{message}; {self.hint}"
        super().__init__(message, step="settings", peer="operator")

    def __str__(self) -> str:
        return self.message


def _escape(text: str) -> str:
    """Return the text in printable ASCII."""
    if text.isascii() and text.isprintable():
        return text
    return ascii(text)[1:-1]
