"""The nodes of the system, which find one another in the platform's store."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import msgspec

from ..errors import StoreError
from ..guard import BackgroundTask, run_step
from .store import StoreClient

TABLE = "nodes"
# Nodes that start together have all written their rows after this time.
SECOND_READ_S = 1.5
INTERVAL_S = 60.0
RETRY_S = 0.5


class _Row(msgspec.Struct):
    address: str
    data_centre: str = ""


class Roster(BackgroundTask):
    """Enters this node in the list and calls ``found`` with each other one."""

    def __init__(
        self,
        store: StoreClient,
        name: str,
        address: str,
        data_centre: str,
        found: Callable[[str, tuple[str, int], str], None],
        rng: random.Random,
    ):
        self._store = store
        self._name = name
        self._address = address
        self._data_centre = data_centre
        self._found = found
        self._rng = rng
        self._entered = False

    def leave(self) -> None:
        """Remove the row of this node; a row that stays does no harm."""
        try:
            self._store.remove(TABLE, [self._name])
        except StoreError:
            return

    def _run(self) -> None:
        pause_s = SECOND_READ_S
        while True:
            try:
                if not self._entered:
                    row = msgspec.json.encode(_Row(self._address, self._data_centre))
                    self._store.write(TABLE, self._name, row)
                    self._entered = True
                run_step(self._read)
            except StoreError:
                gevent.sleep(RETRY_S)
                continue
            gevent.sleep(pause_s * self._rng.uniform(0.8, 1.2))
            pause_s = INTERVAL_S

    def _read(self) -> None:
        for row in self._store.read(TABLE).rows:
            try:
                entry = msgspec.json.decode(row.value or b"", type=_Row)
            except msgspec.MsgspecError:
                continue
            host, _, port = entry.address.rpartition(":")
            if port.isdigit():
                self._found(row.key, (host, int(port)), entry.data_centre)
