"""Permits of a node to send requests to servers that name a rate limit.

A server's limit holds for all nodes together.  One node issues the permits of each
limited server (``permit_issuer``); the others ask it for permits when they have
requests for the server, and send no request there without one.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod

from ..backends.restriction import Incarnation, Permit, Restrictions
from ..backends.server_limit import KnownLimit
from ..events import Event
from ..logs import log
from .groups import Group
from .issuers import Issuers
from .node_checks import MAX_SENDS, REPLY_TIMEOUT_S, NodeChecks
from .permit_issuer import MAX_PERMITS, PermitIssuer
from .permit_messages import (
    HandoverReply,
    HandoverRequest,
    LimitNews,
    LimitRecord,
    LivenessReply,
    LivenessRequest,
    Message,
    PermitReply,
    PermitRequest,
)

# A permit may be used for this long after its start, but no longer than this number
# of permits takes at the rate limit.
PERMIT_TTL_S = 1.0
MIN_PERMIT_TTL_S = 0.25
PERMIT_TTL_PERMITS = 10
# Longest time until the start of a permit, for requests that no other server can take.
MAX_PERMIT_WAIT_S = 1.0
# The same for requests that another server can take.
SHORT_PERMIT_WAIT_S = 0.02
# A request that another server can take waits this long for the reply of the issuer.
REPLY_WAIT_S = 0.03
# Pause after a request for permits that was not granted in full.
DENIED_PAUSE_S = 0.02
# Requests for permits that were not renewed within this time are dropped.
DEMAND_TTL_S = 0.2
# Limit on the unreachable nodes that a request for permits lists.
MAX_UNREACHABLE = 16
# Number of nodes that are checked at once when an issuer does not reply.
CHECKED_NODES = 3
# A changed limit is sent to this many nodes of each other group.
NEWS_NODES = 2


@dataclass(frozen=True)
class _Pending:
    """A request for permits that the issuer has not replied to."""

    issuer: str
    message: PermitRequest
    asked_s: float
    sent_s: float
    sends: int = 1


@dataclass
class _Server:
    """Permits and demand of this node for one limited server.

    ``demand`` maps waiting requests to the time of their last renewal, ``sent`` and
    ``unused`` are to be reported to the issuer.
    """

    incarnation: Incarnation
    limit: KnownLimit
    per_s: float
    permits: deque[Permit] = field(default_factory=deque)
    demand: dict[str, float] = field(default_factory=dict)
    next_free_s: float = -math.inf
    ask_after_s: float = -math.inf
    sent: int = 0
    unused: int = 0
    pending: _Pending | None = None
    rate_per_s: float = 0.0


@dataclass(frozen=True)
class LimitDescription:
    """A server's limit as a node knows it.

    ``source`` says who reported it, ``age_s`` how long ago.  ``issuer`` issues the
    server's permits, at ``issued_per_s`` when this node last asked it.
    """

    backend: str
    per_s: float
    age_s: float
    source: str
    issuer: str
    issued_per_s: float


class PermitListener:
    """Callbacks of ``Permits``; by default they do nothing."""

    def on_permits(self) -> None:
        """Handle new permits, or a changed limit."""

    def on_limit_changed(self) -> None:
        """Handle a changed limit of which the group must be notified."""

    def on_unknown_node(self, name: str, data_centre: str) -> None:
        """Handle a message of a node that is not in the list."""


class Permits:
    """Permits of one node; ``send`` sends a message to another node.

    ``share`` returns the part of a limit that this node may issue.  Messages of
    other nodes go to ``receive``.  ``poll`` must be called about every 50 ms while
    ``is_active``, and a few times a second while any server is limited.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        restrictions: Restrictions,
        rng: random.Random,
        send: Callable[[str, Message], None] = lambda node, message: None,
        share: Callable[[], float] = lambda: 1.0,
        listener: PermitListener | None = None,
    ):
        self.restrictions = restrictions
        self._own = own
        self._rng = rng
        self._send = send
        self._listener = listener or PermitListener()
        self._issuers = Issuers(own)
        self._checks = NodeChecks(own, self._issuers, send)
        self._issuer = PermitIssuer(
            own,
            data_centre,
            self._issuers,
            restrictions.get_or_create,
            share,
            send,
            self._checks.check,
        )
        self._held_back = 0
        self._unpermitted = 0
        self._instance_id = rng.getrandbits(62)
        self._number = 0
        self._servers: dict[Incarnation, _Server] = {}
        self._other_groups: tuple[Group, ...] = ()

    @property
    def counts(self) -> dict[str, int]:
        """Return the numbers of permits issued, and of requests held back or sent.

        ``unpermitted`` requests are commands, and those sent before a limit was learnt.
        """
        return {
            "issued": self._issuer.issued,
            "held_back": self._held_back,
            "unpermitted": self._unpermitted,
        }

    @property
    def any_limited(self) -> bool:
        """Return whether any server names a limit."""
        return bool(self._servers)

    @property
    def is_active(self) -> bool:
        """Return whether ``poll`` has anything to do soon."""
        return bool(self._checks) or any(
            server.pending or server.demand or server.permits or server.sent
            for server in self._servers.values()
        )

    def describe_limits(self, now_s: float) -> Iterator[LimitDescription]:
        """Yield the limits that this node knows."""
        for incarnation, server in self._servers.items():
            yield LimitDescription(
                incarnation.id,
                server.per_s,
                server.limit.age_s(now_s),
                server.limit.source if server.limit.is_limited else "cold",
                self._issuers.first(incarnation.id),
                server.rate_per_s,
            )

    def set_groups(self, own: Group, groups: Iterable[Group]) -> None:
        """Set the nodes that may issue permits, and the groups to notify."""
        groups = tuple(groups)
        self._issuers.set_names(name for group in groups for name in group.nodes)
        self._other_groups = tuple(group for group in groups if group != own)

    def record_heard(self, node: str, now_s: float) -> None:
        """Record that another node was heard from, in any protocol."""
        self._checks.record_heard(node, now_s)

    def issuer(self, incarnation: Incarnation) -> str:
        """Return the node that issues the permits of a server."""
        return self._issuers.first(incarnation.id)

    def has_permit(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether a request may be sent to a server now."""
        if math.isinf(self._rate_per_s(incarnation, now_s)):
            return True
        server = self._servers.get(incarnation)
        if server is None:
            return False
        self._expire(server, now_s)
        return bool(server.permits) and server.permits[0].start_s <= now_s

    def may_ask(
        self, incarnation: Incarnation, max_wait_s: float, now_s: float
    ) -> bool:
        """Return whether one more request may get a permit that starts in time."""
        server = self._servers.get(incarnation)
        if server is None or server.pending is not None:
            return True
        self._expire(server, now_s)
        latest_s = now_s + max_wait_s
        if len(server.permits) > len(server.demand):
            return server.permits[len(server.demand)].start_s <= latest_s
        return latest_s >= server.next_free_s

    def awaits_reply(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether the issuer is about to reply."""
        server = self._servers.get(incarnation)
        pending = None if server is None else server.pending
        return pending is not None and now_s - pending.asked_s < REPLY_WAIT_S

    def start_s(self, incarnation: Incarnation, request_id: str, now_s: float) -> float:
        """Return the time until a request's permit starts, infinite without one."""
        server = self._servers.get(incarnation)
        if server is None or request_id not in server.demand:
            return math.inf
        position = list(server.demand).index(request_id)
        if position >= len(server.permits):
            return math.inf
        return max(0.0, server.permits[position].start_s - now_s)

    def wait_s(self, incarnation: Incarnation, request_id: str, now_s: float) -> float:
        """Return the time until a permit can start, 0 if a request can get one."""
        server = self._servers.get(incarnation)
        if server is None or self.may_ask(incarnation, MAX_PERMIT_WAIT_S, now_s):
            return 0.0
        if self.start_s(incarnation, request_id, now_s) < math.inf:
            return 0.0
        return server.next_free_s - now_s

    def ask(
        self,
        incarnation: Incarnation,
        request_id: str,
        max_wait_s: float,
        now_s: float,
    ) -> None:
        """Ask for a permit for a request, to start within ``max_wait_s``."""
        server = self._server(incarnation, now_s)
        self._expire(server, now_s)
        is_new = request_id not in server.demand
        server.demand[request_id] = now_s
        missing = len(server.demand) - len(server.permits)
        free = now_s + max_wait_s >= server.next_free_s and now_s >= server.ask_after_s
        if missing > 0 and free and server.pending is None:
            self._ask_issuer(server, min(missing, MAX_PERMITS), max_wait_s, now_s)
        if is_new and not self.has_permit(incarnation, now_s):
            self._held_back += 1
            self._log_held_back(server, request_id, now_s)

    def take(
        self, incarnation: Incarnation, request_id: str, now_s: float
    ) -> Permit | None:
        """Return a permit for a request to be sent now, None if there is none."""
        server = self._servers.get(incarnation)
        if server is None:
            return None
        server.demand.pop(request_id, None)
        has_permit = bool(server.permits) and self.has_permit(incarnation, now_s)
        return server.permits.popleft() if has_permit else None

    def forget(self, request_id: str) -> None:
        """Withdraw the demand of a request that another server has taken."""
        for server in self._servers.values():
            server.demand.pop(request_id, None)

    def learn(
        self,
        records: Iterable[LimitRecord],
        source: str,
        now_s: float,
        *,
        announced: bool = False,
    ) -> None:
        """Learn the limits that another node has reported.

        Limits that the node has ``announced`` to the whole group are not announced
        again.
        """
        changed = [
            record.incarnation
            for record in records
            if self._known_limit(record.incarnation).merge(record.limit, source, now_s)
        ]
        for incarnation in changed:
            self._log_limit(incarnation)
            self.apply_rate(incarnation, now_s)
        if changed and not announced:
            self._listener.on_limit_changed()

    def to_announce(self, now_s: float) -> tuple[LimitRecord, ...]:
        """Return the limits of which the group must be notified."""
        limits = self.restrictions.limits_to_announce(now_s)
        return tuple(LimitRecord.create(*item) for item in limits.items())

    def spread(self, incarnation: Incarnation, now_s: float) -> None:
        """Tell other groups of a limit that this node has read in a response."""
        self._log_limit(incarnation)
        self.apply_rate(incarnation, now_s)
        record = LimitRecord.create(incarnation, self._known_limit(incarnation).current)
        for group in self._other_groups:
            count = min(NEWS_NODES, len(group.nodes))
            for name in self._rng.sample(group.nodes, count):
                self._send(name, LimitNews(self._own, [record]))
        self._listener.on_limit_changed()

    def apply_rate(self, incarnation: Incarnation, now_s: float) -> None:
        """Apply the rate limit of a server; permits of a higher one are void."""
        per_s = self._rate_per_s(incarnation, now_s)
        if math.isinf(per_s):
            if self._servers.pop(incarnation, None) is not None:
                self._listener.on_permits()
            return
        server = self._server(incarnation, now_s)
        if per_s < server.per_s:
            server.permits.clear()
        elif per_s > server.per_s:
            server.next_free_s = -math.inf
        if per_s != server.per_s:
            server.per_s = per_s
            self._listener.on_permits()

    def poll(self, now_s: float) -> None:
        """Send messages again, and report requests that had no permit."""
        self._issuer.poll(now_s)
        for server in list(self._servers.values()):
            if math.isinf(self._rate_per_s(server.incarnation, now_s)):
                self.apply_rate(server.incarnation, now_s)
                continue
            self._collect_sent(server)
            self._expire(server, now_s)
            if server.pending is not None:
                self._resend(server, now_s)
            elif (server.sent or server.unused) and now_s >= server.ask_after_s:
                self._ask_issuer(server, 0, 0.0, now_s)
            if server.demand:
                self._check_above(server, now_s)
        self._checks.poll(now_s)

    def receive(self, message: Message, now_s: float) -> None:
        """Handle a message of another node."""
        self.record_heard(message.sender, now_s)
        self._handle(message, now_s)

    @singledispatchmethod
    def _handle(self, message: Message, now_s: float) -> None:
        raise TypeError(f"unsupported message {type(message).__name__}")

    @_handle.register
    def _(self, message: PermitRequest, now_s: float) -> None:
        self.learn([message.limit], message.sender, now_s)
        reply = self._issuer.reply(message, now_s)
        if reply is not None:
            self._send(message.sender, reply)

    @_handle.register
    def _(self, message: PermitReply, now_s: float) -> None:
        self.learn([message.limit], message.sender, now_s)
        server = self._servers.get(message.limit.incarnation)
        pending = None if server is None else server.pending
        if pending is not None and pending.message.number == message.number:
            self._accept(server, message, now_s)
            self._listener.on_permits()

    @_handle.register
    def _(self, message: HandoverRequest, now_s: float) -> None:
        if message.sender not in self._issuers.names:
            self._listener.on_unknown_node(message.sender, message.data_centre)
        self.learn([message.limit], message.sender, now_s)
        reply = self._issuer.accept_handover(message, now_s)
        self._send(message.sender, reply or LivenessReply(self._own))

    @_handle.register
    def _(self, message: HandoverReply, now_s: float) -> None:
        self._issuer.finish_handover(message, now_s)

    @_handle.register
    def _(self, message: LivenessRequest, now_s: float) -> None:
        self._send(message.sender, LivenessReply(self._own))

    @_handle.register
    def _(self, message: LivenessReply, now_s: float) -> None:
        # Being heard from is all that a node replies for.
        return

    @_handle.register
    def _(self, message: LimitNews, now_s: float) -> None:
        self.learn(message.limits, message.sender, now_s)

    def _rate_per_s(self, incarnation: Incarnation, now_s: float) -> float:
        return self.restrictions.get_or_create(incarnation).rate_per_s(now_s)

    def _known_limit(self, incarnation: Incarnation) -> KnownLimit:
        return self.restrictions.get_or_create(incarnation).limit

    def _server(self, incarnation: Incarnation, now_s: float) -> _Server:
        """Return the state of a limited server, with its latest requests counted."""
        server = self._servers.get(incarnation)
        if server is None:
            restriction = self.restrictions.get_or_create(incarnation)
            per_s = restriction.rate_per_s(now_s)
            server = _Server(incarnation, restriction.limit, per_s)
            restriction.count_recent(now_s)
            self._servers[incarnation] = server
        return server

    def _collect_sent(self, server: _Server) -> None:
        """Take over the count of requests that were sent without a permit."""
        restriction = self.restrictions.get_or_create(server.incarnation)
        count = restriction.take_unpermitted()
        server.sent += count
        self._unpermitted += count

    def _expire(self, server: _Server, now_s: float) -> None:
        while server.permits and server.permits[0].end_s <= now_s:
            server.permits.popleft()
            server.unused += 1
        for request_id, renewed_s in list(server.demand.items()):
            if now_s - renewed_s > DEMAND_TTL_S:
                del server.demand[request_id]

    def _ask_issuer(
        self, server: _Server, count: int, max_wait_s: float, now_s: float
    ) -> None:
        """Ask the issuer for permits, and report the requests sent without one."""
        self._collect_sent(server)
        self._number += 1
        issuer = self._issuers.first(server.incarnation.id)
        message = PermitRequest(
            self._own,
            self._instance_id,
            self._number,
            LimitRecord.create(server.incarnation, server.limit.current),
            self._rate_per_s(server.incarnation, now_s),
            count,
            round(max_wait_s * 1000),
            server.sent,
            server.unused,
            list(self._issuers.above(server.incarnation.id, issuer)[:MAX_UNREACHABLE]),
        )
        server.pending = _Pending(issuer, message, now_s, now_s)
        if issuer != self._own:
            self._send(issuer, message)
            return
        self._accept(server, self._issuer.reply(message, now_s), now_s)

    def _accept(self, server: _Server, reply: PermitReply, now_s: float) -> None:
        """Apply the issuer's reply to the pending request."""
        pending, server.pending = server.pending, None
        if reply.retry_ms:
            server.ask_after_s = now_s + reply.retry_ms / 1000
            return
        server.sent -= pending.message.sent
        server.unused -= pending.message.unused
        server.next_free_s = now_s + reply.next_free_ms / 1000
        server.rate_per_s = reply.rate_per_s
        if pending.message.rate_per_s > server.per_s:
            return
        lasting_s = PERMIT_TTL_PERMITS / max(reply.rate_per_s, 1.0)
        lasting_s = min(PERMIT_TTL_S, max(MIN_PERMIT_TTL_S, lasting_s))
        for delay_ms in reply.delays_ms:
            start_s = now_s + delay_ms / 1000
            server.permits.append(Permit(start_s, start_s + lasting_s))
        if len(reply.delays_ms) < pending.message.count:
            server.ask_after_s = now_s + DENIED_PAUSE_S

    def _resend(self, server: _Server, now_s: float) -> None:
        pending = server.pending
        if now_s - pending.sent_s < REPLY_TIMEOUT_S:
            return
        if pending.sends < MAX_SENDS:
            server.pending = replace(pending, sends=pending.sends + 1, sent_s=now_s)
            self._send(pending.issuer, pending.message)
            ranked = self._issuers.ranked(server.incarnation.id)
            self._checks.check_first(ranked, CHECKED_NODES, now_s)
            return
        self._checks.record_unreachable(pending.issuer)
        server.pending = None
        if server.demand:
            self._ask_issuer(
                server,
                min(len(server.demand), MAX_PERMITS),
                pending.message.max_wait_ms / 1000,
                now_s,
            )

    def _check_above(self, server: _Server, now_s: float) -> None:
        """Check the unreachable nodes that rank above the current issuer again."""
        server_id = server.incarnation.id
        above = self._issuers.above(server_id, self._issuers.first(server_id))
        for name in above[:CHECKED_NODES]:
            self._checks.check(name, now_s)

    def _log_limit(self, incarnation: Incarnation) -> None:
        """Log the changed limit of a server, and who reported it."""
        limit = self._known_limit(incarnation)
        fields = {"backend": incarnation.id, "version": limit.current.version}
        if limit.is_limited:
            per_s = limit.current.per_s
            log(Event.LIMIT_LEARNED, limit_per_s=per_s, reason=limit.source, **fields)
        else:
            log(Event.LIMIT_ENDED, reason=limit.source, **fields)

    def _log_held_back(self, server: _Server, request_id: str, now_s: float) -> None:
        limit = server.limit
        named = limit.is_limited
        log(
            Event.REQUEST_HELD_BACK,
            request=request_id,
            backend=server.incarnation.id,
            limit_per_s=server.per_s,
            limit_age_s=round(limit.age_s(now_s), 3) if named else None,
            reason=limit.source if named else "cold",
            peer=self._issuers.first(server.incarnation.id),
            issued_per_s=server.rate_per_s,
            permits_count=len(server.permits),
            next_free_s=round(max(0.0, server.next_free_s - now_s), 3),
        )
