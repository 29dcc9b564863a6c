"""Runs a built executable in a clean environment and inspects its processes."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

TIMEOUT_S = 60.0
# For measurements as on diskless VMs, set TMPDIR to a RAM-backed directory.
WORK_DIRECTORY = tempfile.gettempdir()
SETTINGS = {
    "name": "selftest",
    "data_centre": "dc1",
    "region": "r1",
    # Closed port: the node starts and waits for its configuration.
    "store_url": "http://127.0.0.1:9",
    "vms_url": "http://127.0.0.1:9",
    "cluster_key_file": "cluster.key",
    "operator_token_file": "operator.token",
    "caller_address": "127.0.0.1:0",
    "operator_address": "127.0.0.1:0",
    "node_address": "127.0.0.1:0",
    "drain_grace_s": 0.1,
}


@dataclass(frozen=True)
class Installed:
    """An executable and the directory into which it unpacks itself."""

    command: tuple[str, ...]
    directory: Path

    @property
    def settings_file(self) -> Path:
        """Return the path of a valid settings file."""
        return self.directory / "node.json"

    def environment(self) -> dict[str, str]:
        """Return environment variables without the virtual environment of the build."""
        interpreter = Path(sys.base_prefix, "bin")
        return {
            "PATH": f"{interpreter}:/usr/bin:/bin",
            "HOME": str(self.directory),
            "TMPDIR": str(self.directory),
            "SHIV_ROOT": str(self.directory / "unpacked"),
        }

    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the program until it exits."""
        return subprocess.run(
            [*self.command, *arguments],
            env=self.environment(),
            cwd=self.directory,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )

    @contextlib.contextmanager
    def run_node(self) -> Iterator[tuple[subprocess.Popen, dict]]:
        """Yield a started node and its addresses, then shut it down gracefully."""
        command = [*self.command, "node", "--settings", str(self.settings_file)]
        process = subprocess.Popen(
            command,
            env=self.environment(),
            cwd=self.directory,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            yield process, json.loads(process.stdout.readline())
            process.terminate()
            if process.wait(TIMEOUT_S) != 0:
                raise RuntimeError(f"node exited with code {process.returncode}")
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()
            process.stdout.close()


@contextlib.contextmanager
def install(command: tuple[str, ...]) -> Iterator[Installed]:
    """Yield an executable with a temporary directory and valid settings."""
    with tempfile.TemporaryDirectory(dir=WORK_DIRECTORY) as directory:
        installed = Installed(command, Path(directory))
        installed.settings_file.write_text(json.dumps(SETTINGS))
        (installed.directory / "cluster.key").write_text("0123456789abcdef" * 4)
        (installed.directory / "operator.token").write_text("selftest-token\n")
        yield installed


def list_processes(root: int) -> list[int]:
    """Return the ids of a process and all its descendants, read from /proc."""
    parents = {}
    for entry in os.listdir("/proc"):
        if entry.isdigit():
            with contextlib.suppress(OSError):
                fields = Path("/proc", entry, "stat").read_text().rpartition(")")[2]
                parents[int(entry)] = int(fields.split()[1])
    found = [root]
    for process in found:
        found += [child for child, parent in parents.items() if parent == process]
    return found


def resident_bytes(process: int) -> int:
    """Return the resident set size of a process in bytes."""
    pages = int(Path("/proc", str(process), "statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
