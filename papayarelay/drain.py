"""Drains of data centres and backend servers, kept in the table service."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from .config import Config
from .errors import StoreError, UnknownResourceError
from .events import Event
from .logs import log
from .store.client import TableClient, Write

ROW_PREFIX = "drain/"
SCAN_LIMIT = 1000


class DrainRow(msgspec.Struct, frozen=True):
    """Value of the row ``drain/<target>``."""

    drained: bool


class Drains:
    """Sets drains on all nodes and keeps them for nodes that start later.

    ``publish`` is called with a target (``data_centre/<name>`` or
    ``backend/<id>``) and whether it is drained; it reaches the other nodes
    whether or not the table service answers.  ``adopt`` is called with the
    targets that were drained before this node started.
    """

    def __init__(
        self,
        client: TableClient,
        publish: Callable[[str, bool], None],
        adopt: Callable[[str], None],
    ):
        self._client = client
        self._publish = publish
        self._adopt = adopt
        self._unsaved: dict[str, bool] = {}

    @property
    def unsaved(self) -> list[str]:
        """Return the targets whose state is not in the table service yet."""
        return sorted(self._unsaved)

    def set(self, config: Config, name: str, drained: bool) -> str:
        """Drain or return a data centre or backend server; return the target.

        Raises ``UnknownResourceError``.
        """
        target = find_target(config, name)
        self._publish(target, drained)
        self._unsaved[target] = drained
        if not self.save():
            log(Event.DRAIN_NOT_STORED, target=target)
        return target

    def save(self) -> bool:
        """Write what is not in the table service yet; return whether all is."""
        for target, drained in list(self._unsaved.items()):
            value = msgspec.json.encode(DrainRow(drained)) if drained else None
            try:
                self._client.transact([], [Write(ROW_PREFIX + target, value)])
            except StoreError:
                return False
            if self._unsaved.get(target) is drained:
                del self._unsaved[target]
        return True

    def load(self) -> bool:
        """Adopt the drains of the table service; return whether it answered."""
        try:
            rows = self._client.scan(ROW_PREFIX, SCAN_LIMIT)
        except StoreError:
            return False
        for row in rows:
            self._adopt(row.key.removeprefix(ROW_PREFIX))
        return True


def find_target(config: Config, name: str) -> str:
    """Return the target of a name; raises ``UnknownResourceError``."""
    if name in config.data_centres:
        return f"data_centre/{name}"
    if name in config.backends:
        return f"backend/{name}"
    raise UnknownResourceError(
        f"{name!r} is no data centre or backend server", step="drain", peer="operator"
    )
