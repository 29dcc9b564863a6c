"""Placement of requests while some servers take requests only with a permit."""

from __future__ import annotations

import math
from collections.abc import Callable

from .backends.table import BackendTable
from .nodes.permits import MAX_PERMIT_WAIT_S, SHORT_PERMIT_WAIT_S
from .placement import Placement


def place_with_permits(
    table: BackendTable,
    choose: Callable[[float | None], Placement | None],
    request_id: str,
    now_s: float,
) -> Placement | None:
    """Return a placement on servers that a request may be sent to now, or None.

    ``choose`` returns the policy's placement; its argument is that of
    ``BackendTable.views``.  If servers with a rate limit suit the request best,
    permits for them are asked for.  The request stays queued until the reply, and
    until the start of the permits if that is still faster than the other servers.
    """
    placement = choose(None)
    if not table.any_limited:
        return placement
    other_s = math.inf if placement is None else placement.expected_s
    wait_s = min(MAX_PERMIT_WAIT_S, max(SHORT_PERMIT_WAIT_S, other_s))
    preferred = choose(wait_s)
    if preferred is None:
        return placement
    lacking = table.lacking_permits(preferred.servers, now_s)
    awaits = table.ask_permits(lacking, request_id, wait_s, now_s)
    lacking = table.lacking_permits(preferred.servers, now_s)
    if not lacking:
        return preferred
    start_s = table.permits_start_s(lacking, request_id, now_s)
    if awaits or start_s + preferred.expected_s < other_s:
        return None
    return placement
