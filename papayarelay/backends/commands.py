"""Control commands to engines, protected by a lease and fencing tokens.

An engine that checks fencing tokens rejects a delayed command.  For an engine that
ignores them, the protocol assumes that a command takes effect before its deadline by
the sender's clock, or never.  The sender checks the deadline right before sending and
ends the exchange ``EXCHANGE_TIMEOUT_S`` later, so the assumption fails only if the
sender is paused for longer than ``MIN_TIME_LEFT_S - EXCHANGE_TIMEOUT_S`` between
that check and the first byte, or if the engine executes a command later than that
after its connection was closed.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import msgspec

from ..errors import (
    BackendError,
    ConflictError,
    DeadlineError,
    Outcome,
    RequestError,
    StoreError,
)
from ..lease import Lease, Leases, may_send
from .pool import BackendPool

# Timeout of the exchange with the engine.
EXCHANGE_TIMEOUT_S = 5.0
# A command is sent only if at least this much time is left until its deadline.
MIN_TIME_LEFT_S = 20.0


class CommandKind(enum.Enum):
    """Commands that engines accept."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


@dataclass(frozen=True)
class Command:
    """A command and its argument, e.g. ``LOAD_MODEL`` and the model name."""

    kind: CommandKind
    value: str


@dataclass(frozen=True)
class CommandBody:
    """JSON body of ``POST /orders``.

    ``command`` is the command kind and ``fencing`` the fencing token.
    """

    order: str
    value: str
    fencing: int


def is_in_time(lease: Lease, now_s: float) -> bool:
    """Return whether enough time is left to send an announced command.

    ``now_s`` is wall-clock time.
    """
    return may_send(lease, now_s + MIN_TIME_LEFT_S)


def send_command(
    leases: Leases,
    lease: Lease,
    command: Command,
    exchange: Callable[[CommandBody], None],
    clock: Callable[[], float] = time.time,
) -> Lease:
    """Announce a command, send it once, confirm its response; return the lease.

    ``exchange`` sends the message, see ``post``.  Raises DeadlineError if the lease
    or the command expired before anything was sent, ConflictError if another owner
    has the lease or the engine has seen a higher fencing token, BackendError with
    the outcome ``unknown`` if the command may take effect until its deadline, and
    StoreError.  After an error the lease must be acquired again.
    """
    announced = leases.announce(lease, clock())
    if not is_in_time(announced, clock()):
        _confirm(leases, announced)
        raise DeadlineError(
            "the command expired before it was sent",
            step="order",
            peer=lease.engine,
            retry_after_s=0.0,
        )
    message = CommandBody(command.kind.value, command.value, announced.fencing_token)
    try:
        exchange(message)
    except BackendError as error:
        if error.outcome is Outcome.NOT_RUN:
            _confirm(leases, announced)
        raise
    except RequestError:
        _confirm(leases, announced)
        raise
    return _confirm(leases, announced)


def post(pool: BackendPool, message: CommandBody) -> None:
    """Send one command to an engine.

    Raises ConflictError if the engine has seen a higher fencing token,
    RequestError if it rejects the command and BackendError otherwise.
    """
    try:
        with gevent.Timeout(EXCHANGE_TIMEOUT_S):
            response = pool.request(
                "POST",
                "/orders",
                body=msgspec.json.encode(message),
                headers={"Content-Type": "application/json", "Connection": "close"},
                read_timeout_s=EXCHANGE_TIMEOUT_S,
                new_connection=True,
            )
            response.read_all()
    except gevent.Timeout as error:
        raise _error(pool, "command timed out", Outcome.UNKNOWN) from error
    if response.status == 409:
        raise ConflictError(
            f"engine has seen a higher fencing token than {message.fencing}",
            step="order",
            peer=pool.backend_id,
        )
    if 400 <= response.status < 500:
        raise RequestError(
            f"engine rejected the command: HTTP status {response.status}",
            step="order",
            peer=pool.backend_id,
        )
    if response.status != 200:
        raise _error(
            pool, f"engine returned HTTP status {response.status}", Outcome.UNKNOWN
        )


def _confirm(leases: Leases, lease: Lease) -> Lease:
    """Record that a command is done; on failure it stays pending until its deadline."""
    try:
        return leases.confirm(lease)
    except (StoreError, ConflictError):
        return lease


def _error(pool: BackendPool, message: str, outcome: Outcome) -> BackendError:
    return BackendError(message, step="order", peer=pool.backend_id, outcome=outcome)
