"""Takes over a settings file that changes while the node runs."""

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

# The file may also change without a signal.
CHECK_S = 0.5
# What a running process takes over; the rest holds from its next start.
TAKEN = frozenset({"bounds", "store_address"})


class SettingsWatch(BackgroundTask):
    """Reads the settings file again when it changes or ``wake`` is called.

    ``take`` is called with settings that differ from the last ones.  A file that
    cannot be read, or is half written, leaves the settings as they are.
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
        # The file may have changed since it was read, so the first look reads it.
        self._stamp: tuple[int, ...] | None = None
        self._asked = gevent.event.Event()

    def wake(self) -> None:
        """Read the file now, changed or not."""
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
    """Return what tells a file from its last state, None for no file."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_ino, found.st_size, found.st_mtime_ns)
