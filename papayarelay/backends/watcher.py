"""Polling of load reports: one task per backend server that this node watches."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import gevent

from ..errors import BackendError
from ..guard import run_step
from .load import LoadReport, read_load
from .table import BackendTable

POLL_INTERVAL_S = 1.0


class Watcher:
    """Keeps one polling task for each watched backend server.

    ``report`` is called with the server id, the load report and the time.
    """

    def __init__(
        self,
        table: BackendTable,
        report: Callable[[str, LoadReport, float], None],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._table = table
        self._report = report
        self._rng = rng
        self._clock = clock
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._reading: set[str] = set()

    def watch(self, backend_ids: Iterable[str]) -> None:
        """Watch exactly these servers from now on."""
        wanted = set(backend_ids)
        for backend_id in set(self._tasks) - wanted:
            self._tasks.pop(backend_id).kill(block=False)
        for backend_id in wanted - set(self._tasks):
            self._tasks[backend_id] = gevent.spawn(self._poll, backend_id)

    def read_soon(self, backend_id: str) -> None:
        """Read a watched server's report now, after one of its answers failed.

        It may have restarted cold, and waiting for the next poll would let the
        other nodes send it work in the meantime.
        """
        entry = self._table.get(backend_id)
        if entry is None or backend_id not in self._tasks:
            return
        if backend_id not in self._reading:
            self._reading.add(backend_id)
            gevent.spawn(self._read_once, entry)

    def close(self) -> None:
        """End all polling tasks."""
        self.watch(())

    def _poll(self, backend_id: str) -> None:
        # A random start keeps the nodes from polling a server in step.
        gevent.sleep(self._rng.uniform(0, POLL_INTERVAL_S))
        while True:
            entry = self._table.get(backend_id)
            if entry is not None:
                run_step(self._read, entry)
            gevent.sleep(POLL_INTERVAL_S)

    def _read_once(self, entry) -> None:
        try:
            self._read(entry)
        finally:
            self._reading.discard(entry.id)

    def _read(self, entry) -> None:
        try:
            load = read_load(entry.pool)
        except BackendError:
            entry.circuit.record_failure(self._clock())
            return
        self._report(entry.id, load, self._clock())
