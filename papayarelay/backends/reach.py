"""Which data centres this node reaches, judged by servers that do not answer.

A cut between data centres shows as one silent server after the other.  Each costs
a request the time of a connection, so after a few the others are left out, and
connections without a request show when the data centre answers again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import gevent

from ..guard import BackgroundTask, run_step
from .connection import connect

# So many servers of a data centre must be silent, none having answered since.
FEWEST_SILENT = 2
# What a server has shown counts for this long.
SIGN_S = 2.0
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.4


class Reach:
    """The data centres whose servers do not answer this node.

    Silence means that nothing came back: a server that refuses a connection is
    reached.
    """

    def __init__(self):
        # When each server of a data centre was silent last.
        self._silent: dict[str, dict[str, float]] = {}
        self._cut_off: set[str] = set()

    @property
    def cut_off(self) -> frozenset[str]:
        """Return the data centres that are left out."""
        return frozenset(self._cut_off)

    def is_cut_off(self, data_centre: str) -> bool:
        """Return whether the servers of a data centre are left out."""
        return data_centre in self._cut_off

    def note_silent(self, data_centre: str, server_id: str, now_s: float) -> bool:
        """Note that a server was silent; return whether that begins a cut."""
        servers = self._silent.setdefault(data_centre, {})
        servers[server_id] = now_s
        recent = sum(now_s - at_s < SIGN_S for at_s in servers.values())
        begins = recent >= FEWEST_SILENT and data_centre not in self._cut_off
        if begins:
            self._cut_off.add(data_centre)
        return begins

    def note_answer(self, data_centre: str) -> bool:
        """Note that a server has answered; return whether that ends a cut."""
        self._silent.pop(data_centre, None)
        ends = data_centre in self._cut_off
        self._cut_off.discard(data_centre)
        return ends


class ReachProbe(BackgroundTask):
    """Tries data centres that are cut off, with connections that carry nothing.

    ``addresses`` returns the servers of a data centre as ``(host, port)``;
    ``reached`` is called with a data centre that has answered.
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
        """Try one server of a data centre."""
        addresses = list(self._addresses(data_centre))
        if not addresses:
            self._reached(data_centre)
            return
        host, port = self._rng.choice(addresses)
        try:
            connect(host, port, PROBE_TIMEOUT_S).close()
        except ConnectionError:
            # A refusal comes from there, too.
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
