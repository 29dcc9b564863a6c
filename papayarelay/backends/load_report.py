"""Load reports from backend servers."""

from __future__ import annotations

import msgspec

from ..errors import BackendError, Outcome
from .pool import BackendPool

LOAD_TIMEOUT_S = 1.0


class LoadReport(msgspec.Struct, frozen=True):
    """Response of ``GET /load``: token counts and rates in tokens/s.

    ``state`` is ``warm`` or ``cold``; any other state counts as warm.
    """

    boot_id: str = ""
    state: str = "warm"
    kv_capacity_tokens: int = 0
    kv_used_tokens: int = 0
    queued_prefill_tokens: int = 0
    running: int = 0
    prefill_tokens_per_s: float = 0.0


def read_load(pool: BackendPool) -> LoadReport:
    """Fetch the load report of a backend server; raises ``BackendError``."""
    try:
        response = pool.request("GET", "/load", read_timeout_s=LOAD_TIMEOUT_S)
        body = response.read_all()
        if response.status != 200:
            raise _error(pool, f"load request returned HTTP status {response.status}")
        load = msgspec.json.decode(body, type=LoadReport)
    except msgspec.MsgspecError as error:
        raise _error(pool, f"invalid load report: {type(error).__name__}") from error
    state = "cold" if load.state == "cold" else "warm"
    return msgspec.structs.replace(load, state=state)


def _error(pool: BackendPool, message: str) -> BackendError:
    return BackendError(
        message, step="load", peer=pool.backend_id, outcome=Outcome.NOT_RUN
    )
