"""Checks whether other nodes that may issue permits are reachable."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..events import Event
from ..logs import log
from .issuers import Issuers
from .permit_messages import LivenessRequest

# Time after which a message without a reply is sent again, and number of times that
# it is sent.
REPLY_TIMEOUT_S = 0.15
MAX_SENDS = 2
# Interval at which unreachable nodes are checked again.
CHECK_INTERVAL_S = 1.0


@dataclass(frozen=True)
class _Check:
    """A check that was sent ``sends`` times, last at ``sent_s``."""

    sent_s: float
    sends: int


class NodeChecks:
    """Asks nodes whether they are reachable; ``send`` sends a message to a node."""

    def __init__(
        self,
        own: str,
        issuers: Issuers,
        send: Callable[[str, LivenessRequest], None],
    ):
        self._own = own
        self._issuers = issuers
        self._send = send
        self._checks: dict[str, _Check] = {}

    def __len__(self) -> int:
        return len(self._checks)

    def check(self, node: str, now_s: float) -> None:
        """Ask a node whether it is reachable, unless that was asked already."""
        if node != self._own and node not in self._checks:
            self._checks[node] = _Check(now_s, 1)
            self._send(node, LivenessRequest(self._own))

    def check_first(self, nodes: Iterable[str], count: int, now_s: float) -> None:
        """Check the first nodes that do not count as unreachable."""
        reachable = (n for n in nodes if not self._issuers.is_unreachable(n))
        for node, _ in zip(reachable, range(count), strict=False):
            self.check(node, now_s)

    def record_heard(self, node: str, now_s: float) -> None:
        """Record that a node was heard from."""
        self._checks.pop(node, None)
        if self._issuers.record_heard(node, now_s):
            log(Event.ISSUER_BACK, peer=node)

    def record_unreachable(self, node: str) -> None:
        """Record that a node failed to reply."""
        if not self._issuers.is_unreachable(node):
            self._issuers.record_unreachable(node)
            log(Event.ISSUER_UNREACHABLE, peer=node)

    def poll(self, now_s: float) -> None:
        """Send checks again, and record the nodes that failed to reply."""
        for node, check in list(self._checks.items()):
            if self._issuers.is_unreachable(node):
                if now_s - check.sent_s >= CHECK_INTERVAL_S:
                    del self._checks[node]
            elif now_s - check.sent_s >= REPLY_TIMEOUT_S:
                self._send_again(node, check, now_s)

    def _send_again(self, node: str, check: _Check, now_s: float) -> None:
        if check.sends < MAX_SENDS:
            self._checks[node] = _Check(now_s, check.sends + 1)
            self._send(node, LivenessRequest(self._own))
        else:
            self.record_unreachable(node)
