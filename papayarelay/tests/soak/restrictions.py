"""Restrictions that a server has sent to each node, and checks that nodes comply."""

from __future__ import annotations

from dataclasses import dataclass, field

from .process import DRAIN_S, SLACK_S, NodeProcess

# Requests that may still be in flight when a node learns of a pause.
ON_THE_WAY = 2
ON_THE_WAY_S = 0.5


@dataclass
class _Told:
    """A restriction sent to one incarnation of a node, and when."""

    pid: int
    at_s: float
    until_s: float = 0.0
    arrivals: int = 0


@dataclass
class Restrictions:
    """Restrictions that one incarnation of a server has sent, by node."""

    leaving: dict[str, _Told] = field(default_factory=dict)
    pauses: dict[str, _Told] = field(default_factory=dict)

    def tell_leaving(self, node: NodeProcess, now_s: float) -> None:
        """Record that a response told a node that the server is leaving."""
        self.leaving.setdefault(node.name, _Told(node.popen.pid, now_s))

    def tell_pause(self, node: NodeProcess, pause_s: float, now_s: float) -> None:
        """Record that a response asked a node to send no requests for a while."""
        told = self.pauses.get(node.name)
        if told is None or told.until_s <= now_s:
            told = _Told(node.popen.pid, now_s, now_s + pause_s)
            self.pauses[node.name] = told

    def check(self, node: NodeProcess, sent_s: float, now_s: float) -> str:
        """Return the restriction that an arriving request violates, or ``""``."""
        told = self.leaving.get(node.name)
        if self._binds(told, node) and sent_s - told.at_s > DRAIN_S + SLACK_S:
            return "LEAVING"
        told = self.pauses.get(node.name)
        if self._binds(told, node) and told.at_s + ON_THE_WAY_S < now_s < told.until_s:
            told.arrivals += 1
            if told.arrivals > ON_THE_WAY:
                return "PAUSED"
        return ""

    @staticmethod
    def _binds(told: _Told | None, node: NodeProcess) -> bool:
        """Return whether a restriction applies: same incarnation, undisturbed since."""
        if told is None or not node.running:
            return False
        return told.pid == node.popen.pid and node.disturbed_s < told.at_s
