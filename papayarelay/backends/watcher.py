"""Polling of load reports from the backend servers that this node watches."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import gevent

from ..background import run_step
from ..errors import BackendError
from .load_report import LoadReport, read_load
from .table import BackendTable

POLL_INTERVAL_S = 1.0


class Watcher:
    """Runs one polling task per watched backend server.

    ``on_report`` is called with the server id, the load report and the time.
    """

    def __init__(
        self,
        table: BackendTable,
        on_report: Callable[[str, LoadReport, float], None],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        self._table = table
        self._on_report = on_report
        self._rng = rng
        self._clock = clock
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._polling: set[str] = set()

    def watch(self, backend_ids: Iterable[str]) -> None:
        """Replace the set of watched servers."""
        wanted = set(backend_ids)
        for backend_id in set(self._tasks) - wanted:
            self._tasks.pop(backend_id).kill(block=False)
        for backend_id in wanted - set(self._tasks):
            self._tasks[backend_id] = gevent.spawn(self._poll, backend_id)

    def poll_now(self, backend_id: str) -> None:
        """Poll a watched server at once, after a request to it has failed.

        The server may have restarted cold; until the next regular poll, the other
        nodes would keep sending it work.
        """
        entry = self._table.get(backend_id)
        if entry is None or backend_id not in self._tasks:
            return
        if backend_id not in self._polling:
            self._polling.add(backend_id)
            gevent.spawn(self._poll_once, entry)

    def close(self) -> None:
        """Stop all polling tasks."""
        self.watch(())

    def _poll(self, backend_id: str) -> None:
        # Random jitter keeps the nodes from polling a server simultaneously.
        gevent.sleep(self._rng.uniform(0, POLL_INTERVAL_S))
        while True:
            entry = self._table.get(backend_id)
            if entry is not None:
                run_step(self._read, entry)
            gevent.sleep(POLL_INTERVAL_S)

    def _poll_once(self, entry) -> None:
        try:
            self._read(entry)
        finally:
            self._polling.discard(entry.id)

    def _read(self, entry) -> None:
        try:
            load = read_load(entry.pool)
        except BackendError:
            entry.circuit.record_failure(self._clock())
            return
        self._on_report(entry.id, load, self._clock())
