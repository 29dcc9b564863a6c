"""Reloading of the settings file while the node runs."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import fields

import gevent
import gevent.event

from ..events import Event
from ..guard import BackgroundTask, run_step
from ..logs import log
from .settings import PlatformSettings, PlatformSettingsError, load

# Polling interval; the file may change without a SIGHUP.
CHECK_S = 0.5
# Settings that apply to a running process; the others need a restart.
TAKEN = frozenset({"bounds", "store_address"})


class SettingsWatch(BackgroundTask):
    """Reloads the settings file when it changes or ``wake`` is called.

    ``take`` is called with the settings if any reloadable one has changed.  If the
    file cannot be read or is only partly written, the current settings stay.
    """

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        take: Callable[[PlatformSettings], None],
    ):
        self._path = path
        self._settings = settings
        self._take = take
        # The file may have changed since startup, so the first check reads it.
        self._stamp: tuple[int, ...] | None = None
        self._asked = gevent.event.Event()

    def wake(self) -> None:
        """Reload the file now, whether or not it has changed."""
        self._asked.set()

    def _run(self) -> None:
        while True:
            asked = self._asked.wait(CHECK_S)
            self._asked.clear()
            run_step(self._check, asked)

    def _check(self, asked: bool) -> None:
        stamp = _stamp(self._path)
        if stamp == self._stamp and not asked:
            return
        self._stamp = stamp
        try:
            settings = load(self._path)
        except (OSError, PlatformSettingsError) as error:
            log(Event.SETTINGS_KEPT, error=error)
            return
        changed = _changed(self._settings, settings)
        self._settings = settings
        if not changed and not asked:
            return
        log(
            Event.SETTINGS_RELOADED,
            taken=",".join(sorted(changed & TAKEN)),
            from_next_start=",".join(sorted(changed - TAKEN)),
        )
        if changed & TAKEN:
            self._take(settings)


def _changed(before: PlatformSettings, after: PlatformSettings) -> set[str]:
    names = [each.name for each in fields(PlatformSettings)]
    return {name for name in names if getattr(before, name) != getattr(after, name)}


def _stamp(path: str) -> tuple[int, ...] | None:
    """Return inode, size and mtime of a file to detect changes, None if missing."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_ino, found.st_size, found.st_mtime_ns)
