"""Node discovery through the platform's store.

Each node registers itself in a row, renews it, and reads the rows of its peers.  A
row that was not renewed within the lease is expired.  Ages are measured only on the
store's clock, so that clock skew between nodes has no effect.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import Annotated

import gevent
import gevent.event
import msgspec

from ..background import BackgroundTask, run_step
from ..decoding import DECODE_ERRORS
from ..errors import StoreError
from ..events import Event
from ..logs import log
from ..nodes.broadcast import NodeAddress
from .address import parse_address
from .config import MAX_TIME_MS
from .store import Row, StoreClient

TABLE = "nodes"
# Time after which nodes that start together have all registered.
STARTUP_READ_DELAY_S = 1.5
# Interval at which a node renews its row and reads the others.
RENEW_INTERVAL_S = 120.0
LEASE_S = 300.0
RETRY_S = 0.5
MAX_RETRY_S = 8.0
# Time over which the nodes write their rows again after the store was restored.
RESTORE_SPREAD_S = 2.0


class _NodeEntry(msgspec.Struct):
    address: str
    data_centre: str = ""
    # Time of the last renewal on the store's clock.
    renewed_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0


class NodeRegistry(BackgroundTask):
    """Keeps this node registered; calls ``on_read`` with its peers after each read.

    ``is_first`` returns whether this node is the one that removes expired rows.
    """

    def __init__(
        self,
        store: StoreClient,
        name: str,
        address: str,
        data_centre: str,
        on_read: Callable[[Mapping[str, NodeAddress]], None],
        rng: random.Random,
        is_first: Callable[[], bool] = lambda: False,
    ):
        self._store = store
        self._name = name
        self._address = address
        self._data_centre = data_centre
        self._on_read = on_read
        self._rng = rng
        self._is_first = is_first
        self._expired: list[Row] = []
        # Era of the store in which the expired rows were read.
        self._expired_era = 0
        self._renew_due = gevent.event.Event()

    def renew_soon(self) -> None:
        """Renew the row, and read the others, since a restore may have lost some."""
        self._renew_due.set()

    def leave(self) -> None:
        """Deregister this node; if that fails, its row expires with the lease."""
        try:
            self._store.remove(TABLE, [self._name])
        except StoreError:
            return

    def _run(self) -> None:
        self._retry(self.renew)
        gevent.sleep(STARTUP_READ_DELAY_S * self._rng.uniform(0.8, 1.2))
        self._retry(self.read)
        while True:
            restored = self._renew_due.wait(
                RENEW_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )
            if restored:
                self._renew_due.clear()
                gevent.sleep(self._rng.uniform(0.0, RESTORE_SPREAD_S))
            self._retry(self.renew)
            if restored:
                # The other nodes have written their rows by then.
                gevent.sleep(RESTORE_SPREAD_S)
                self._retry(self.read)
            run_step(self.remove_expired)

    def _retry(self, step: Callable[[], object]) -> None:
        """Retry a step with exponential backoff until it succeeds."""
        pause_s = RETRY_S
        while True:
            try:
                step()
                return
            except StoreError:
                pass
            except Exception as error:
                log(Event.TASK_FAILED, task="roster", error=error)
            gevent.sleep(pause_s * self._rng.uniform(0.8, 1.2))
            pause_s = min(MAX_RETRY_S, 2 * pause_s)

    def renew(self) -> None:
        """Read the node list and renew the row of this node.

        Raises ``StoreError``.
        """
        row = _NodeEntry(self._address, self._data_centre, self.read())
        self._store.write(TABLE, self._name, msgspec.json.encode(row))

    def read(self) -> int:
        """Read the node list; return the store's time in ms.

        Raises ``StoreError``.
        """
        rows = self._store.read(TABLE)
        listed = {}
        self._expired = []
        self._expired_era = rows.revision.era
        for row in rows.rows:
            entry = _decode(row)
            if entry is None or row.key == self._name:
                continue
            # The clock of a restored store may be behind the time of a renewal.
            if abs(rows.now_ms - entry.renewed_ms) > LEASE_S * 1000:
                self._expired.append(row)
            else:
                address = parse_address(entry.address)
                listed[row.key] = NodeAddress(address, entry.data_centre)
        self._on_read(listed)
        return rows.now_ms

    def remove_expired(self) -> None:
        """Remove the rows that were expired at the last read.

        Nothing is removed if one of them has been renewed since, or if the store was
        restored since: the versions of their rows may stand for other rows.
        """
        if not self._expired or not self._is_first():
            return
        if self._expired_era != self._store.era:
            return
        try:
            self._store.remove_unchanged(TABLE, self._expired)
        except StoreError:
            return


def _decode(row: Row) -> _NodeEntry | None:
    """Decode a row; return None if it is not a valid node entry."""
    try:
        entry = msgspec.json.decode(row.value or b"", type=_NodeEntry)
        parse_address(entry.address)
    except (*DECODE_ERRORS, ValueError):
        return None
    return entry
