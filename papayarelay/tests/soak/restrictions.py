"""What a stand-in has asked of each node, and whether the node follows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .process import DRAIN_S, SLACK_S, NodeProcess

# Requests that may still be on their way after a server has turned one away.
ON_THE_WAY = 2
ON_THE_WAY_S = 0.5


@dataclass
class _Told:
    """What a process of a node has been told, and when."""

    pid: int
    at_s: float
    until_s: float = 0.0
    arrivals: int = 0


@dataclass
class Restrictions:
    """The restrictions of one lifetime of a server, by node."""

    leaving: dict[str, _Told] = field(default_factory=dict)
    pauses: dict[str, _Told] = field(default_factory=dict)

    def tell_leaving(self, node: NodeProcess, now_s: float) -> None:
        """Note that an answer to a node says that the server leaves."""
        self.leaving.setdefault(node.name, _Told(node.popen.pid, now_s))

    def tell_pause(self, node: NodeProcess, pause_s: float, now_s: float) -> None:
        """Note that an answer to a node asks for no requests for a time."""
        told = self.pauses.get(node.name)
        if told is None or told.until_s <= now_s:
            told = _Told(node.popen.pid, now_s, now_s + pause_s)
            self.pauses[node.name] = told

    def check(self, node: NodeProcess, sent_s: float, now_s: float) -> str:
        """Return what a request that arrives from a node breaks, or nothing."""
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
        """Return whether a node still has to follow what it was told."""
        if told is None or not node.running:
            return False
        return told.pid == node.popen.pid and node.disturbed_s < told.at_s
