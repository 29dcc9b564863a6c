"""Restrictions that backend servers signal: shutting down, pauses and rate limits."""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import NamedTuple

from .server_limit import KnownLimit, ServerLimit

# Limit on server incarnations whose restrictions are kept.
MAX_RESTRICTIONS = 1024
# Peers are notified for this long that a server is leaving; by then the list of
# servers shows it.
ANNOUNCE_S = 10.0
# Peers are notified for this long of a changed rate limit.
ANNOUNCE_LIMITS_S = 2.0
# Requests sent this long before a limit was learnt count against it.
RECENT_S = 1.0
MAX_RECENT = 256
# A limit that the next server at an address has named is kept for this long.
SUCCESSOR_LIMIT_TTL_S = 10.0


@dataclass(frozen=True, slots=True)
class Permit:
    """A permit for one request to a server that names a rate limit."""

    start_s: float
    end_s: float


class Incarnation(NamedTuple):
    """One incarnation of a server: ``started`` changes with each start of an id."""

    id: str
    started: int


class Restriction:
    """Restrictions signalled by one incarnation of a server.

    Leaving is permanent for the incarnation; a pause expires; ``limit`` is the rate
    limit for all nodes together.  In a cold start, a second rate limit applies.
    """

    def __init__(self):
        self.leaving = False
        self.limit = KnownLimit()
        self._leaving_since_s: float | None = None
        self._paused_until_s = 0.0
        self._cold_per_s = math.inf
        self._cold_until_s = 0.0
        self._unpermitted_s: deque[float] = deque(maxlen=MAX_RECENT)
        self._unpermitted = 0

    def record_leaving(self, now_s: float) -> bool:
        """Record a leaving signal; return whether it is the first this node got."""
        first = self._leaving_since_s is None
        if first:
            self._leaving_since_s = now_s
        self.leaving = True
        return first

    def record_peer_leaving(self) -> None:
        """Record that a peer reported the server as leaving."""
        self.leaving = True

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that the server accepts no requests for some time."""
        self._paused_until_s = max(self._paused_until_s, now_s + pause_s)

    def remaining_pause_s(self, now_s: float) -> float:
        """Return the remaining time of the pause, or 0."""
        return max(0.0, self._paused_until_s - now_s)

    def blocks_requests(self, now_s: float) -> bool:
        """Return whether new requests to the server are blocked."""
        return self.leaving or now_s < self._paused_until_s

    def record_cold_start(self, per_s: float, left_s: float, now_s: float) -> None:
        """Record a cold start that lasts ``left_s`` more, and its rate limit."""
        self._cold_per_s = per_s
        self._cold_until_s = now_s + left_s

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server has announced a cold start that still lasts."""
        return now_s < self._cold_until_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate limit for all nodes together, or infinity."""
        per_s = self.limit.current.per_s
        return min(per_s, self._cold_per_s) if self.is_cold(now_s) else per_s

    def allows_request(self, permit: Permit | None, now_s: float) -> bool:
        """Return whether a request may be sent now, with a permit if there is one."""
        if self.blocks_requests(now_s):
            return False
        if permit is not None:
            return now_s < permit.end_s
        return math.isinf(self.rate_per_s(now_s))

    def record_sent(self, permit: Permit | None, now_s: float) -> None:
        """Count a request that is sent to the server, or a part of one."""
        if permit is not None:
            return
        self._unpermitted_s.append(now_s)
        self._unpermitted += math.isfinite(self.rate_per_s(now_s))

    def count_recent(self, now_s: float) -> None:
        """Count the requests sent shortly before the limit was learnt.

        The server has not finished with them, and gets that much less from now on.
        """
        recent = [at_s for at_s in self._unpermitted_s if now_s - at_s < RECENT_S]
        self._unpermitted = len(recent)

    def take_unpermitted(self) -> int:
        """Return the number of requests sent without a permit, and reset it."""
        count, self._unpermitted = self._unpermitted, 0
        return count

    def must_announce(self, now_s: float) -> bool:
        """Return whether peers must still be notified that the server is leaving."""
        return (
            self._leaving_since_s is not None
            and now_s - self._leaving_since_s < ANNOUNCE_S
        )


class Restrictions:
    """Restrictions by server incarnation, kept after a server leaves the list.

    An entry of the list may disappear and return, for instance if its lease expires
    while the store is unavailable; the restriction must survive that.
    """

    def __init__(self):
        self._restrictions: OrderedDict[Incarnation, Restriction] = OrderedDict()
        self._announce_until_s = 0.0
        self._announce_limits_until_s = 0.0
        self._successor_limits: dict[str, tuple[float, float]] = {}

    def get_or_create(self, incarnation: Incarnation) -> Restriction:
        """Return the restriction of an incarnation, creating it if needed."""
        found = self._restrictions.get(incarnation)
        if found is None:
            found = self._restrictions[incarnation] = Restriction()
        self._restrictions.move_to_end(incarnation)
        while len(self._restrictions) > MAX_RESTRICTIONS:
            self._restrictions.popitem(last=False)
        return found

    def start_announcing(self, now_s: float) -> None:
        """Record that a server started leaving, of which peers must be notified."""
        self._announce_until_s = now_s + ANNOUNCE_S

    def start_announcing_limits(self, now_s: float) -> None:
        """Record that peers must be notified of the rate limits."""
        self._announce_limits_until_s = now_s + ANNOUNCE_LIMITS_S

    def limits_to_announce(self, now_s: float) -> dict[Incarnation, ServerLimit]:
        """Return the limits, present and ended, of which peers must be notified."""
        if now_s >= self._announce_limits_until_s:
            return {}
        return {
            incarnation: restriction.limit.current
            for incarnation, restriction in self._restrictions.items()
            if restriction.limit.current.version
        }

    def record_successor_limit(self, address: str, per_s: float, now_s: float) -> None:
        """Record the limit of a server that is not the one listed at its address."""
        self._successor_limits[address] = (now_s, per_s)

    def take_successor_limit(self, address: str, now_s: float) -> float | None:
        """Return the limit recorded for the next server at an address, or None."""
        at_s, per_s = self._successor_limits.pop(address, (0.0, None))
        return per_s if now_s - at_s < SUCCESSOR_LIMIT_TTL_S else None

    def leaving_to_announce(self, now_s: float) -> tuple[Incarnation, ...]:
        """Return the leaving incarnations of which peers must be notified."""
        if now_s >= self._announce_until_s:
            return ()
        return tuple(
            each for each, r in self._restrictions.items() if r.must_announce(now_s)
        )
