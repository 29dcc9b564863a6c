"""Node processes, and the time limits that they have to meet."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from ..platform_documents import make_settings

SETTLE_S = 3.0
# Time limits that follow from the settings of the nodes, with headroom for a loaded
# machine.
DRAIN_S, REVOKE_S, EVACUATE_S, CONFIG_S, STOP_S = 2.0, 5.0, 5.0, 2.0, 8.0
SLACK_S = 0.6


@dataclass
class NodeProcess:
    """A node process, with the time of its last disturbance by a fault."""

    name: str
    ip: str
    zone: str
    store: object
    log_path: Path
    settings_path: Path
    popen: subprocess.Popen | None = None
    disturbed_s: float = 0.0
    stopping_s: float | None = None
    paused: bool = False
    _log: object = None

    def start(self) -> None:
        """Start the process."""
        text = make_settings(self.name, self.ip, self.zone, self.store.address)
        self.settings_path.write_text(text)
        self._log = self.log_path.open("ab")
        self.popen = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "papayarelay.platform",
                "--settings",
                str(self.settings_path),
            ],
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self.stopping_s = None
        self.paused = False
        self.mark_disturbed()

    def mark_disturbed(self) -> None:
        """Record that a fault affects this node or its links now."""
        self.disturbed_s = time.monotonic()

    def is_undisturbed(self, now_s: float) -> bool:
        """Return whether the node has to meet its time limits now."""
        undisturbed = now_s - self.disturbed_s > SETTLE_S
        return undisturbed and not self.paused and self.running

    @property
    def running(self) -> bool:
        """Return whether the process is alive."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.running:
            self.popen.send_signal(number)
            self.mark_disturbed()

    def kill(self) -> None:
        """Kill the process."""
        if self.running:
            # Recorded before the kill: clients see broken connections while this waits.
            self.mark_disturbed()
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()
