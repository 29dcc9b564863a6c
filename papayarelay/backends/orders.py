"""Orders to engines under a lease, with fencing numbers.

An engine that checks fencing numbers refuses an order that comes late.  For an
engine that ignores them the protocol relies on this assumption: an order takes
effect before its end time by the sender's clock, or never.  The sender checks the
end time right before it sends and ends the exchange ``EFFECT_LIMIT_S`` later, so
the assumption fails only when the sender is paused for longer than
``SEND_LIMIT_S - EFFECT_LIMIT_S`` between that check and the first byte, or when the
engine acts on an order later than that after its connection has been closed.
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

# Limit of the exchange with the engine.
EFFECT_LIMIT_S = 5.0
# An order is sent only while at least this much time is left until its end.
SEND_LIMIT_S = 20.0


class OrderKind(enum.Enum):
    """Kinds of orders that engines accept."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_VERSION = "set_version"
    SET_ROLE = "set_role"


@dataclass(frozen=True)
class Order:
    """An order, for example ``LOAD_MODEL`` with the name of the model."""

    kind: OrderKind
    value: str


@dataclass(frozen=True)
class OrderMessage:
    """Body of ``POST /orders``."""

    order: str
    value: str
    fencing: int


def is_in_time(lease: Lease, now_s: float) -> bool:
    """Return whether an announced order may still be sent, by the wall clock."""
    return may_send(lease, now_s + SEND_LIMIT_S)


def send_order(
    leases: Leases,
    lease: Lease,
    order: Order,
    exchange: Callable[[OrderMessage], None],
    clock: Callable[[], float] = time.time,
) -> Lease:
    """Announce an order, send it once and confirm its answer; return the lease.

    ``exchange`` sends the message, see ``post``.  Raises DeadlineError when the
    lease or the order has ended before anything was sent, ConflictError when
    another holder has the lease or the engine has seen a higher number,
    BackendError with the outcome ``unknown`` when the order may take effect until
    its end, and StoreError.  After an error the lease must be acquired again.
    """
    announced = leases.announce(lease, clock())
    if not is_in_time(announced, clock()):
        _confirm(leases, announced)
        raise DeadlineError(
            "the order ended before it was sent",
            step="order",
            peer=lease.engine,
            retry_after_s=0.0,
        )
    message = OrderMessage(order.kind.value, order.value, announced.number)
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


def post(pool: BackendPool, message: OrderMessage) -> None:
    """Send one order to an engine.

    Raises ConflictError when the engine has seen a higher fencing number,
    RequestError when it rejects the order and BackendError otherwise.
    """
    try:
        with gevent.Timeout(EFFECT_LIMIT_S):
            response = pool.request(
                "POST",
                "/orders",
                body=msgspec.json.encode(message),
                headers={"Content-Type": "application/json", "Connection": "close"},
                read_timeout_s=EFFECT_LIMIT_S,
                fresh=True,
            )
            response.read_all()
    except gevent.Timeout as error:
        raise _error(pool, "no answer to the order", Outcome.UNKNOWN) from error
    if response.status == 409:
        raise ConflictError(
            f"the engine has seen a higher fencing number than {message.fencing}",
            step="order",
            peer=pool.backend_id,
        )
    if 400 <= response.status < 500:
        raise RequestError(
            f"the engine rejected the order with {response.status}",
            step="order",
            peer=pool.backend_id,
        )
    if response.status != 200:
        raise _error(pool, f"engine answered {response.status}", Outcome.UNKNOWN)


def _confirm(leases: Leases, lease: Lease) -> Lease:
    """Confirm an order; without the row the order counts as open until its end."""
    try:
        return leases.confirm(lease)
    except (StoreError, ConflictError):
        return lease


def _error(pool: BackendPool, message: str, outcome: Outcome) -> BackendError:
    return BackendError(message, step="order", peer=pool.backend_id, outcome=outcome)
