"""Issues the permits of the limited servers for which this node is responsible."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..backends.restriction import Incarnation, Restriction
from ..events import Event
from ..logs import log
from .issuers import Issuers
from .permit_messages import (
    HandoverReply,
    HandoverRequest,
    LimitRecord,
    Message,
    PermitReply,
    PermitRequest,
)
from .permit_schedule import PermitSchedule

# Number of nodes that may have issued the permits of a server before this one.
HANDOVER_NODES = 3
# A former issuer that does not reply within this time is unreachable.
HANDOVER_TIMEOUT_S = 0.3
# Permits that an unreachable issuer has issued may start until this long after the
# handover.
FORMER_PERMITS_S = 1.0
# A server that accepts less is tried at this rate: only a response shows a change.
MIN_RATE_PER_S = 0.25
# A requester asks again after this time if this node does not know yet whether it
# issues the permits.
RETRY_S = 0.05
# Limit on the permits in one reply.
MAX_PERMITS = 16
# Replies are kept for this long, for requests that are sent again.
REPLY_TTL_S = 5.0
# A server without requests for permits for this long is forgotten.
IDLE_S = 30.0


@dataclass
class _Server:
    """Permits of one server; ``former`` are the nodes whose handover is awaited.

    ``is_certain`` says whether the backlog of an earlier issuer is known.
    """

    schedule: PermitSchedule
    former: set[str]
    started_s: float
    used_s: float
    is_certain: bool
    replies: dict[int, tuple[float, PermitReply]] = field(default_factory=dict)


class PermitIssuer:
    """Replies to requests for permits.

    The first reachable node in the rank of a server issues its permits.  Before the
    first one it takes over the backlog from the nodes that rank next, one of which
    may have issued permits so far.  ``restriction`` returns what this node knows of a
    server, and ``share`` the part of a rate limit that this node may issue.
    ``send`` sends a message to a node, and ``check`` asks whether one is reachable.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        issuers: Issuers,
        restriction: Callable[[Incarnation], Restriction],
        share: Callable[[], float],
        send: Callable[[str, Message], None],
        check: Callable[[str, float], None],
    ):
        self.issued = 0
        self._own = own
        self._data_centre = data_centre
        self._issuers = issuers
        self._restriction = restriction
        self._share = share
        self._send = send
        self._check = check
        self._servers: dict[Incarnation, _Server] = {}

    def reply(self, request: PermitRequest, now_s: float) -> PermitReply | None:
        """Return the reply to a request, whose limit is known here by now.

        Returns None after forwarding it to the node that issues the permits.
        """
        incarnation = request.limit.incarnation
        known_per_s = self._restriction(incarnation).rate_per_s(now_s)
        limit_per_s = min(known_per_s, request.rate_per_s)
        if math.isinf(limit_per_s):
            self._servers.pop(incarnation, None)
            return self._make_reply(request)
        first = self._issuers.first(incarnation.id)
        if first in request.unreachable and not self._issuers.is_heard(first, now_s):
            self._check(first, now_s)
            return self._make_reply(request, retry_ms=_milliseconds(RETRY_S))
        if first != self._own:
            self._servers.pop(incarnation, None)
            self._send(first, request)
            return None
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S) * self._share()
        server = self._servers.get(incarnation)
        if server is None:
            server = self._take_over(incarnation, rate_per_s, now_s)
        server.used_s = now_s
        if server.former:
            return self._make_reply(request, retry_ms=_milliseconds(RETRY_S))
        return self._issue(server, rate_per_s, request, now_s)

    def accept_handover(
        self, request: HandoverRequest, now_s: float
    ) -> HandoverReply | None:
        """Stop issuing the permits of a server; return the reply.

        Returns None if this node ranks higher than the sender.
        """
        incarnation = request.limit.incarnation
        above = self._issuers.above(incarnation.id)
        if request.sender in self._issuers.names and request.sender not in above:
            return None
        server = self._servers.pop(incarnation, None)
        backlog_ms = None
        if server is not None and not server.former:
            backlog_ms = _milliseconds(server.schedule.backlog_s(now_s))
        return HandoverReply(self._own, request.limit, backlog_ms)

    def finish_handover(self, reply: HandoverReply, now_s: float) -> None:
        """Take over the backlog of a former issuer."""
        server = self._servers.get(reply.limit.incarnation)
        if server is None or reply.sender not in server.former:
            return
        server.former.discard(reply.sender)
        if reply.backlog_ms is not None:
            server.is_certain = True
            server.schedule.postpone(reply.backlog_ms / 1000, now_s)
        self._start_if_ready(reply.limit.incarnation, server, now_s)

    def poll(self, now_s: float) -> None:
        """End the handovers that were not replied to, and forget idle servers."""
        for incarnation, server in list(self._servers.items()):
            if server.former and now_s - server.started_s > HANDOVER_TIMEOUT_S:
                for name in server.former:
                    self._issuers.record_unreachable(name)
                server.former.clear()
                server.is_certain = False
                self._start_if_ready(incarnation, server, now_s)
            if now_s - server.used_s > IDLE_S:
                del self._servers[incarnation]

    def _take_over(
        self, incarnation: Incarnation, rate_per_s: float, now_s: float
    ) -> _Server:
        """Ask the nodes that rank next for the backlog of their permits."""
        former = set(self._issuers.below(incarnation.id)[:HANDOVER_NODES])
        # The first node in the rank may have issued permits before it failed.
        is_certain = not self._issuers.above(incarnation.id)
        schedule = PermitSchedule(rate_per_s, now_s)
        server = _Server(schedule, former, now_s, now_s, is_certain)
        self._servers[incarnation] = server
        limit = self._restriction(incarnation).limit.current
        record = LimitRecord.create(incarnation, limit)
        for name in former:
            self._send(name, HandoverRequest(self._own, record, self._data_centre))
        self._start_if_ready(incarnation, server, now_s)
        return server

    def _start_if_ready(
        self, incarnation: Incarnation, server: _Server, now_s: float
    ) -> None:
        """Start issuing once all former issuers have replied or are unreachable."""
        if server.former:
            return
        if not server.is_certain:
            server.schedule.postpone(FORMER_PERMITS_S, now_s)
        backlog_s = round(server.schedule.backlog_s(now_s), 3)
        log(Event.PERMITS_TAKEN_OVER, backend=incarnation.id, backlog_s=backlog_s)

    def _issue(
        self,
        server: _Server,
        rate_per_s: float,
        request: PermitRequest,
        now_s: float,
    ) -> PermitReply:
        sent = server.replies.get(request.instance_id)
        if sent is not None and sent[1].number == request.number:
            return sent[1]
        schedule = server.schedule
        schedule.set_rate(rate_per_s, now_s)
        schedule.refund(request.unused, now_s)
        schedule.charge(request.sent, now_s)
        count = min(request.count, MAX_PERMITS)
        delays_s = schedule.issue(count, request.max_wait_ms / 1000, now_s)
        self.issued += len(delays_s)
        reply = self._make_reply(
            request,
            delays_ms=[_milliseconds(delay_s) for delay_s in delays_s],
            next_free_ms=_milliseconds(schedule.next_free_s(now_s)),
            rate_per_s=rate_per_s,
        )
        self._keep_reply(server, request, reply, now_s)
        return reply

    @staticmethod
    def _keep_reply(
        server: _Server, request: PermitRequest, reply: PermitReply, now_s: float
    ) -> None:
        server.replies.pop(request.instance_id, None)
        server.replies[request.instance_id] = (now_s, reply)
        while server.replies:
            instance_id, (sent_s, _) = next(iter(server.replies.items()))
            if now_s - sent_s < REPLY_TTL_S:
                break
            del server.replies[instance_id]

    def _make_reply(self, request: PermitRequest, **fields: object) -> PermitReply:
        incarnation = request.limit.incarnation
        limit = self._restriction(incarnation).limit.current
        record = LimitRecord.create(incarnation, limit)
        return PermitReply(self._own, request.number, record, **fields)


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
