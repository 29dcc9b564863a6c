"""Detection of network partitions between this node and data centres.

In a partition, connections to the servers of a data centre time out one after
another, and each timeout delays a request.  After timeouts of a few servers, the data
centre is excluded from routing; probe connections detect when it is reachable again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import gevent

from ..background import BackgroundTask, run_step
from .connection import connect

# A data centre counts as unreachable once this many of its servers have timed out
# with no response from any of its servers in between.
MIN_TIMED_OUT_SERVERS = 2
# Time window in which timeouts of different servers count together.
TIMEOUT_WINDOW_S = 2.0
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.4


class Reachability:
    """Tracks the data centres that are unreachable from this node.

    Only timeouts count: a server that refuses a connection is reachable.
    """

    def __init__(self):
        # Time of the last timeout, by data centre and server.
        self._timeouts: dict[str, dict[str, float]] = {}
        self._unreachable: set[str] = set()

    @property
    def unreachable(self) -> frozenset[str]:
        """Return the data centres excluded from routing."""
        return frozenset(self._unreachable)

    def is_unreachable(self, data_centre: str) -> bool:
        """Return whether a data centre is excluded from routing."""
        return data_centre in self._unreachable

    def record_timeout(self, data_centre: str, server_id: str, now_s: float) -> bool:
        """Record a timeout; return whether it makes the data centre unreachable."""
        servers = self._timeouts.setdefault(data_centre, {})
        servers[server_id] = now_s
        recent = sum(now_s - at_s < TIMEOUT_WINDOW_S for at_s in servers.values())
        became_unreachable = (
            recent >= MIN_TIMED_OUT_SERVERS and data_centre not in self._unreachable
        )
        if became_unreachable:
            self._unreachable.add(data_centre)
        return became_unreachable

    def record_response(self, data_centre: str) -> bool:
        """Record a response; return whether the data centre was unreachable before."""
        self._timeouts.pop(data_centre, None)
        was_unreachable = data_centre in self._unreachable
        self._unreachable.discard(data_centre)
        return was_unreachable


class ReachabilityProbe(BackgroundTask):
    """Probes unreachable data centres by opening TCP connections.

    ``addresses`` returns the servers of a data centre as ``(host, port)``;
    ``on_reachable`` is called with a data centre that is reachable again.
    """

    def __init__(
        self,
        reachability: Reachability,
        addresses: Callable[[str], Iterable[tuple[str, int]]],
        on_reachable: Callable[[str], None],
        rng: random.Random,
    ):
        self._reachability = reachability
        self._addresses = addresses
        self._on_reachable = on_reachable
        self._rng = rng

    def probe(self, data_centre: str) -> None:
        """Probe one random server of a data centre."""
        addresses = list(self._addresses(data_centre))
        if not addresses:
            self._on_reachable(data_centre)
            return
        host, port = self._rng.choice(addresses)
        try:
            connect(host, port, PROBE_TIMEOUT_S).close()
        except ConnectionError:
            # A refused connection proves that the host is reachable.
            pass
        except OSError:
            return
        self._on_reachable(data_centre)

    def _run(self) -> None:
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            tasks = [
                gevent.spawn(run_step, self.probe, each)
                for each in self._reachability.unreachable
            ]
            gevent.joinall(tasks)
