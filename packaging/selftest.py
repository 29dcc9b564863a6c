"""Checks that a built executable runs without its build environment."""

from __future__ import annotations

import argparse
import json
import sys
import urllib.request
from pathlib import Path

from running import Installed, install, list_processes

ROOT = Path(__file__).resolve().parent.parent


def check_version(installed: Installed) -> None:
    """Guard against an executable that fails to start or imports the source tree."""
    found = installed.run("--version")
    expect(found.returncode == 0 and found.stdout.strip(), found.stderr)
    expect(str(ROOT) not in found.stdout + found.stderr, found.stderr)


def check_settings(installed: Installed) -> None:
    """Guard against missing dependencies of the settings parser."""
    found = installed.run("settings", "check", "--json", str(installed.settings_file))
    expect(found.returncode == 0, found.stderr)
    expect(json.loads(found.stdout)["name"] == "selftest", found.stdout)


def check_node(installed: Installed) -> None:
    """Guard against a node that lacks dependencies or spawns further processes."""
    with installed.run_node() as (process, addresses):
        processes = list_processes(process.pid)
        expect(len(processes) == 1, f"one node runs {len(processes)} processes")
        maps = Path("/proc", str(process.pid), "maps").read_text()
        expect(
            str(ROOT) not in maps, "the process maps libraries of the build environment"
        )
        url = f"http://{addresses['operators']}/healthz"
        with urllib.request.urlopen(url, timeout=10) as response:
            expect(response.status == 200, f"/healthz returned {response.status}")


def expect(condition: object, message: str) -> None:
    """Raise AssertionError unless the condition holds."""
    if not condition:
        raise AssertionError(message)


def main(argv: list[str] | None = None) -> int:
    """Check an executable; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", type=Path)
    program = parser.parse_args(argv).program.resolve()
    with install((str(program),)) as installed:
        for check in (check_version, check_settings, check_node):
            check(installed)
            print(f"{check.__name__}: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
