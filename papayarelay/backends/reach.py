"""Detection of network partitions between this node and data centres.

In a partition, connections to the servers of a data centre time out one after
another, and each timeout delays a request.  After timeouts of a few servers, the data
centre is excluded from routing; probe connections detect when it is reachable again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import gevent

from ..guard import BackgroundTask, run_step
from .connection import connect

# A data centre counts as unreachable once this many of its servers have timed out
# with no response from any of its servers in between.
FEWEST_SILENT = 2
# Time window in which timeouts of different servers count together.
SIGN_S = 2.0
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.4


class Reach:
    """Tracks the data centres that are unreachable from this node.

    Only timeouts count: a server that refuses a connection is reachable.
    """

    def __init__(self):
        # Time of the last timeout, by data centre and server.
        self._silent: dict[str, dict[str, float]] = {}
        self._cut_off: set[str] = set()

    @property
    def cut_off(self) -> frozenset[str]:
        """Return the data centres excluded from routing."""
        return frozenset(self._cut_off)

    def is_cut_off(self, data_centre: str) -> bool:
        """Return whether a data centre is excluded from routing."""
        return data_centre in self._cut_off

    def note_silent(self, data_centre: str, server_id: str, now_s: float) -> bool:
        """Record a timeout; return whether it makes the data centre unreachable."""
        servers = self._silent.setdefault(data_centre, {})
        servers[server_id] = now_s
        recent = sum(now_s - at_s < SIGN_S for at_s in servers.values())
        begins = recent >= FEWEST_SILENT and data_centre not in self._cut_off
        if begins:
            self._cut_off.add(data_centre)
        return begins

    def note_answer(self, data_centre: str) -> bool:
        """Record a response; return whether the data centre was unreachable before."""
        self._silent.pop(data_centre, None)
        ends = data_centre in self._cut_off
        self._cut_off.discard(data_centre)
        return ends


class ReachProbe(BackgroundTask):
    """Probes unreachable data centres by opening TCP connections.

    ``addresses`` returns the servers of a data centre as ``(host, port)``;
    ``reached`` is called with a data centre that is reachable again.
    """

    def __init__(
        self,
        reach: Reach,
        addresses: Callable[[str], Iterable[tuple[str, int]]],
        reached: Callable[[str], None],
        rng: random.Random,
    ):
        self._reach = reach
        self._addresses = addresses
        self._reached = reached
        self._rng = rng

    def probe(self, data_centre: str) -> None:
        """Probe one random server of a data centre."""
        addresses = list(self._addresses(data_centre))
        if not addresses:
            self._reached(data_centre)
            return
        host, port = self._rng.choice(addresses)
        try:
            connect(host, port, PROBE_TIMEOUT_S).close()
        except ConnectionError:
            # A refused connection proves that the host is reachable.
            pass
        except OSError:
            return
        self._reached(data_centre)

    def _run(self) -> None:
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            tasks = [
                gevent.spawn(run_step, self.probe, each) for each in self._reach.cut_off
            ]
            gevent.joinall(tasks)
