"""Draining of data centres and backend servers, persisted in the table service."""

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
    """Sets drain states on all nodes and persists them for nodes that start later.

    ``publish`` sends a target (``data_centre/<name>`` or ``backend/<id>``) and
    whether it is drained to the other nodes, independently of the table service.
    ``adopt`` is called with each target that was drained before this node started.
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
        """Targets whose drain state is not yet persisted in the table service."""
        return sorted(self._unsaved)

    def set(self, config: Config, name: str, drained: bool) -> str:
        """Drain a data centre or backend server, or return it to service.

        Returns the target.

        Raises ``UnknownResourceError``.
        """
        target = resolve_target(config, name)
        self._publish(target, drained)
        self._unsaved[target] = drained
        if not self.save():
            log(Event.DRAIN_NOT_STORED, target=target)
        return target

    def save(self) -> bool:
        """Persist the unsaved drain states; return whether all are persisted."""
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
        """Load the drained targets; return whether the table service responded."""
        try:
            rows = self._client.scan(ROW_PREFIX, SCAN_LIMIT)
        except StoreError:
            return False
        for row in rows:
            self._adopt(row.key.removeprefix(ROW_PREFIX))
        return True


def resolve_target(config: Config, name: str) -> str:
    """Resolve a name to a drain target; raises ``UnknownResourceError``."""
    if name in config.data_centres:
        return f"data_centre/{name}"
    if name in config.backends:
        return f"backend/{name}"
    raise UnknownResourceError(
        f"no data centre or backend server named {name!r}",
        step="drain",
        peer="operator",
    )
