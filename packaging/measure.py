"""Benchmarks the build variants of the executable against the source tree."""

from __future__ import annotations

import statistics
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from build import ROOT, build_pyinstaller, build_shiv
from running import Installed, install, list_processes, resident_bytes

ROUNDS = 15
MIB = 2**20


def time_version(installed: Installed) -> float:
    """Return the run time of ``--version`` in seconds."""
    started_s = time.perf_counter()
    if installed.run("--version").returncode != 0:
        raise RuntimeError(f"{installed.command} --version failed")
    return time.perf_counter() - started_s


@dataclass(frozen=True)
class NodeFigures:
    """Number of processes, resident memory and unpacked files of a running node."""

    processes: int
    resident_mib: float
    unpacked_mib: float


def measure_node(installed: Installed) -> NodeFigures:
    """Start a node and measure it."""
    with installed.run_node() as (process, _):
        processes = list_processes(process.pid)
        resident = sum(resident_bytes(number) for number in processes)
        unpacked = used_bytes(installed.directory)
        return NodeFigures(len(processes), resident / MIB, unpacked / MIB)


def used_bytes(directory: Path) -> int:
    """Return the size of all files under a directory."""
    return sum(path.stat().st_size for path in directory.rglob("*") if path.is_file())


def main() -> int:
    """Build all variants, measure them and print a Markdown table."""
    with tempfile.TemporaryDirectory() as directory:
        source = ("env", f"PYTHONPATH={ROOT}", sys.executable, "-m", "papayarelay")
        commands = {"source tree": source}
        for name, build in (("shiv", build_shiv), ("PyInstaller", build_pyinstaller)):
            output = Path(directory, name)
            build(output)
            commands[name] = (str(output),)
        print(
            "| variant | size MiB | processes | resident MiB | unpacked MiB |", end=""
        )
        print(" first start | later starts (spread) |")
        print("| --- | --- | --- | --- | --- | --- | --- |")
        report(commands)
    return 0


def report(commands: dict[str, tuple[str, ...]]) -> None:
    """Print one row per variant; start times are relative to the source tree."""
    with ExitStack() as stack:
        programs = {
            name: stack.enter_context(install(command))
            for name, command in commands.items()
        }
        first = {name: time_version(program) for name, program in programs.items()}
        times: dict[str, list[float]] = {name: [] for name in programs}
        for _ in range(ROUNDS):
            for name, program in programs.items():
                times[name].append(time_version(program))
        reference = statistics.median(times["source tree"])
        for name, program in programs.items():
            ratios = sorted(value / reference for value in times[name])
            print_row(name, program, first[name] / reference, ratios)


def print_row(name: str, program: Installed, first: float, ratios: list[float]) -> None:
    """Print the row of one variant; ``ratios`` are sorted."""
    figures = measure_node(program)
    is_file = len(program.command) == 1
    size = Path(program.command[0]).stat().st_size / MIB if is_file else 0
    middle = statistics.median(ratios)
    cells = (
        name,
        f"{size:.1f}",
        str(figures.processes),
        f"{figures.resident_mib:.0f}",
        f"{figures.unpacked_mib:.0f}",
        f"{first:.2f}",
        f"{middle:.2f} ({ratios[0]:.2f} to {ratios[-1]:.2f})",
    )
    print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
