"""Request rate limits that backend servers name for all nodes together."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Source of a limit that this node has read from a response itself.
FROM_RESPONSE = "response"


@dataclass(frozen=True)
class ServerLimit:
    """Rate limit of a server in requests/s; infinite if it names none.

    ``version`` increases with each change of the limit that a node observes.
    """

    per_s: float = math.inf
    version: int = 0


NO_LIMIT = ServerLimit()


class KnownLimit:
    """The limit of one server incarnation, as far as this node knows.

    Responses may overtake each other.  A lower limit applies at once; only the
    response to a request sent after the last naming can raise the limit or end it.
    """

    def __init__(self):
        self.current = NO_LIMIT
        self.source = ""
        self._learned_s = -math.inf
        self._named_s = -math.inf

    @property
    def is_limited(self) -> bool:
        """Return whether the server names a limit."""
        return self.current.per_s < math.inf

    def age_s(self, now_s: float) -> float:
        """Return the time since the current limit was learnt."""
        return now_s - self._learned_s

    def record_response(self, per_s: float, sent_s: float | None, now_s: float) -> bool:
        """Record the limit in a response; return whether it changes the known one.

        ``per_s`` is infinite if the response names no limit.  ``sent_s`` is when its
        request was sent, or None if the response may belong to another request.
        """
        if per_s > self.current.per_s and (sent_s is None or sent_s < self._named_s):
            return False
        if per_s < math.inf:
            self._named_s = now_s
        if per_s == self.current.per_s:
            return False
        self._set(ServerLimit(per_s, self.current.version + 1), FROM_RESPONSE, now_s)
        return True

    def merge(self, limit: ServerLimit, source: str, now_s: float) -> bool:
        """Merge a limit that a node reports; return whether the known one changes.

        The higher version wins, and of two limits with one version the lower limit.
        """
        known = self.current
        if (limit.version, -limit.per_s) <= (known.version, -known.per_s):
            return False
        if limit.per_s < math.inf:
            self._named_s = now_s
        self._set(limit, source, now_s)
        return limit.per_s != known.per_s

    def _set(self, limit: ServerLimit, source: str, now_s: float) -> None:
        if limit.per_s != self.current.per_s:
            self.source = source
            self._learned_s = now_s
        self.current = limit
