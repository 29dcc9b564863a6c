"""Reloading of the settings file while the node runs."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import fields

import gevent
import gevent.event

from ..background import BackgroundTask, run_step
from ..events import Event
from ..logs import log
from .settings import PlatformSettings, PlatformSettingsError, load

# Polling interval; the file may change without a SIGHUP.
POLL_INTERVAL_S = 0.5
# Settings that apply to a running process; the others need a restart.
RELOADABLE = frozenset({"bounds", "store_address"})


class SettingsReloader(BackgroundTask):
    """Reloads the settings file when it changes or ``request_reload`` is called.

    ``on_change`` is called with the settings if any reloadable one has changed.  If the
    file cannot be read or is only partly written, the current settings stay.
    """

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        on_change: Callable[[PlatformSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._on_change = on_change
        # The file may have changed since startup, so the first check reads it.
        self._file_signature: tuple[int, ...] | None = None
        self._reload_requested = gevent.event.Event()

    def request_reload(self) -> None:
        """Reload the file now, whether or not it has changed."""
        self._reload_requested.set()

    def _run(self) -> None:
        while True:
            requested = self._reload_requested.wait(POLL_INTERVAL_S)
            self._reload_requested.clear()
            run_step(self._check, requested)

    def _check(self, requested: bool) -> None:
        signature = _file_signature(self._path)
        if signature == self._file_signature and not requested:
            return
        self._file_signature = signature
        try:
            settings = load(self._path)
        except (OSError, PlatformSettingsError) as error:
            log(Event.SETTINGS_KEPT, error=error)
            return
        changed = _changed(self._settings, settings)
        self._settings = settings
        if not changed and not requested:
            return
        log(
            Event.SETTINGS_RELOADED,
            taken=",".join(sorted(changed & RELOADABLE)),
            from_next_start=",".join(sorted(changed - RELOADABLE)),
        )
        if changed & RELOADABLE:
            self._on_change(settings)


def _changed(before: PlatformSettings, after: PlatformSettings) -> set[str]:
    names = [each.name for each in fields(PlatformSettings)]
    return {name for name in names if getattr(before, name) != getattr(after, name)}


def _file_signature(path: str) -> tuple[int, ...] | None:
    """Return inode, size and mtime of a file to detect changes, None if missing."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_ino, found.st_size, found.st_mtime_ns)
