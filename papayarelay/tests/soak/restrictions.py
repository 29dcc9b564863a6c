"""Restrictions that a server has sent to each node, and checks that nodes comply."""

from __future__ import annotations

from dataclasses import dataclass, field

from .process import DRAIN_S, SLACK_S, NodeProcess

# Requests that may still be in flight when a node learns of a pause.
MAX_IN_FLIGHT = 2
IN_FLIGHT_S = 0.5


@dataclass
class _Restriction:
    """A restriction sent to one incarnation of a node, and when."""

    pid: int
    at_s: float
    until_s: float = 0.0
    arrivals: int = 0


@dataclass
class Restrictions:
    """Restrictions that one incarnation of a server has sent, by node."""

    leaving: dict[str, _Restriction] = field(default_factory=dict)
    pauses: dict[str, _Restriction] = field(default_factory=dict)

    def record_leaving(self, node: NodeProcess, now_s: float) -> None:
        """Record that a response told a node that the server is leaving."""
        self.leaving.setdefault(node.name, _Restriction(node.popen.pid, now_s))

    def record_pause(self, node: NodeProcess, pause_s: float, now_s: float) -> None:
        """Record that a response asked a node to send no requests for a while."""
        restriction = self.pauses.get(node.name)
        if restriction is None or restriction.until_s <= now_s:
            restriction = _Restriction(node.popen.pid, now_s, now_s + pause_s)
            self.pauses[node.name] = restriction

    def check(self, node: NodeProcess, sent_s: float, now_s: float) -> str:
        """Return the restriction that an arriving request violates, or ``""``."""
        restriction = self.leaving.get(node.name)
        if (
            self._applies(restriction, node)
            and sent_s - restriction.at_s > DRAIN_S + SLACK_S
        ):
            return "LEAVING"
        restriction = self.pauses.get(node.name)
        if (
            self._applies(restriction, node)
            and restriction.at_s + IN_FLIGHT_S < now_s < restriction.until_s
        ):
            restriction.arrivals += 1
            if restriction.arrivals > MAX_IN_FLIGHT:
                return "PAUSED"
        return ""

    @staticmethod
    def _applies(restriction: _Restriction | None, node: NodeProcess) -> bool:
        """Return whether a restriction applies: same incarnation, undisturbed since."""
        if restriction is None or not node.running:
            return False
        return restriction.pid == node.popen.pid and node.disturbed_s < restriction.at_s
