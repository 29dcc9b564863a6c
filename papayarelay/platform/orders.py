"""Requests to engines that reserve and release KV cache memory for long prompts."""

from __future__ import annotations

import json

import msgspec

from ..backends.pool import BackendPool, Response
from ..errors import BackendError, Outcome
from ..reservations import list_reservations, release, reserve
from .wire import BACKEND_ID, PlatformProtocol

ORDER_PATH = "/papayarelay/order"
REPORT_PATH = "/papayarelay/report"
TIMEOUT_S = 0.6
STATUS_OK = 200
# Status codes with which an engine confirms that it has not executed an order.
NOT_RUN_STATUSES = frozenset({400, 409, 412, 421})


class _Reservation(msgspec.Struct):
    id: str = ""


class _Report(msgspec.Struct):
    tickets: list[_Reservation] = []


@reserve.register
def _(
    protocol: PlatformProtocol, pool: BackendPool, name: str, tokens: int, hold_s: float
) -> None:
    body = {
        "operation": "reserve",
        "id": name,
        "tokens": tokens,
        "hold_ms": int(hold_s * 1000),
    }
    _send_order(pool, body)


@release.register
def _(protocol: PlatformProtocol, pool: BackendPool, name: str) -> None:
    _send_order(pool, {"operation": "release", "id": name})


@list_reservations.register
def _(protocol: PlatformProtocol, pool: BackendPool) -> frozenset[str]:
    answer = pool.request("GET", REPORT_PATH, read_timeout_s=TIMEOUT_S)
    body = answer.read_all()
    if answer.status != STATUS_OK:
        raise _error(
            pool, f"report: unexpected status {answer.status}", Outcome.UNKNOWN
        )
    try:
        report = msgspec.json.decode(body, type=_Report)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _error(pool, "malformed report", Outcome.UNKNOWN) from error
    return frozenset(each.id for each in report.tickets)


def _send_order(pool: BackendPool, fields: dict) -> Response:
    answer = pool.request(
        "POST",
        ORDER_PATH,
        body=json.dumps(fields).encode(),
        headers={
            "Content-Type": "application/json",
            BACKEND_ID.decode(): pool.backend_id,
        },
        read_timeout_s=TIMEOUT_S,
    )
    answer.read_all()
    if answer.status != STATUS_OK:
        rejected = answer.status in NOT_RUN_STATUSES
        outcome = Outcome.NOT_RUN if rejected else Outcome.UNKNOWN
        raise _error(pool, f"order: unexpected status {answer.status}", outcome)
    return answer


def _error(pool: BackendPool, message: str, outcome: Outcome) -> BackendError:
    return BackendError(message, step="order", peer=pool.backend_id, outcome=outcome)
