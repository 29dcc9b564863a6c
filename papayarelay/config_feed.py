"""Applies new versions of the shared configuration on a node."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

import gevent

from .background import BackgroundTask, run_step
from .config import Config, parse_sections
from .errors import RelayError
from .events import Event
from .logs import log
from .store.client import TableClient
from .store.sections import VERSION_KEY, read_sections


class ConfigFeed(BackgroundTask):
    """Receives configuration versions from the table service and from peers.

    ``apply`` is called with each newer configuration.  ``publish`` is called with its
    version and section texts if it was read from the table service.  A lower version
    never replaces a higher one.
    """

    def __init__(
        self,
        client: TableClient,
        apply: Callable[[Config], None],
        publish: Callable[[int, Mapping[str, str]], None],
        interval_s: float,
        rng: random.Random,
    ):
        self.config = Config()
        self.sections: dict[str, str] = {}
        self.error: str | None = None
        self.store_responded = True
        self._client = client
        self._apply = apply
        self._publish = publish
        self._interval_s = interval_s
        self._rng = rng

    def poll(self) -> bool:
        """Read a newer version from the table service; return whether it responded."""
        try:
            row = self._client.get(VERSION_KEY)
            if row is not None and int(row.value) > self.config.version:
                sections, version = read_sections(self._client)
                if self.apply_if_newer(version, sections):
                    self._publish(version, sections)
        except (RelayError, ValueError) as error:
            self.error = str(error)
            self.store_responded = False
            return False
        self.store_responded = True
        return True

    def apply_if_newer(self, version: int, sections: Mapping[str, str]) -> bool:
        """Apply a version if it is newer and valid; return whether it was applied."""
        if version <= self.config.version:
            return False
        try:
            config = parse_sections(sections, version)
        except ExceptionGroup as group:
            self.error = f"version {version} is invalid: {group.exceptions[0]}"
            log(Event.CONFIG_REJECTED, version=version, error=group.exceptions[0])
            return False
        self.error = None
        self.config = config
        self.sections = dict(sections)
        self._apply(config)
        return True

    def _run(self) -> None:
        while True:
            # Jitter, so that the nodes do not poll simultaneously.
            gevent.sleep(self._interval_s * self._rng.uniform(0.7, 1.0))
            run_step(self.poll)
