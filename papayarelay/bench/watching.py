"""Measures CPU usage of load-report polling and memory usage of the backend table.

Each size runs in a separate process.  Prints JSON lines in the format of
docs/measurements/README.md.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import json
import random
import subprocess
import sys
import time
from collections.abc import Iterator

import gevent

from ..backends.load_report import LoadReport
from ..backends.table import BackendTable
from ..backends.watcher import POLL_INTERVAL_S, Watcher
from ..config import Backend, Config, DataCentre, Model
from ..local import LocalSystem
from .latency import read_memory_bytes

POLLED_ENGINES = (3, 10, 20, 40)
TABLE_ENGINES = (75, 150, 300, 600)
SETTLE_S = 2.0
COMMAND = "python -m papayarelay.bench.watching"


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="per size")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--poll", type=int, help="measure one size (internal)")
    parser.add_argument("--hold", type=int, help="measure one size (internal)")
    parser.add_argument("--url", default="http://127.0.0.1:9", help="engine to poll")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Measure all sizes, or a single one in this process."""
    namespace = parse_arguments(argv)
    if namespace.poll:
        _measure_polling(namespace)
    elif namespace.hold:
        _measure_table(namespace)
    else:
        _run_sizes(namespace)
    return 0


def _run_sizes(namespace: argparse.Namespace) -> None:
    system = LocalSystem(nodes=0, engines=1, services=0)
    try:
        system.start()
        url = f"http://{system.engine_addresses[0]}"
        for size in POLLED_ENGINES:
            _run_size("--poll", size, url, namespace)
        for size in TABLE_ENGINES:
            _run_size("--hold", size, url, namespace)
    finally:
        system.close()


def _run_size(option: str, size: int, url: str, namespace: argparse.Namespace) -> None:
    command = [sys.executable, "-m", "papayarelay.bench.watching", option, str(size)]
    options = ["--seconds", str(namespace.seconds), "--seed", str(namespace.seed)]
    subprocess.run([*command, *options, "--url", url], check=True)


def _measure_polling(namespace: argparse.Namespace) -> None:
    rng = random.Random(namespace.seed)
    table = BackendTable(rng)
    table.apply(_make_config(namespace.poll, namespace.url))
    polls = 0

    def report(backend_id: str, load: LoadReport, now_s: float) -> None:
        nonlocal polls
        polls += 1
        table.record_load(backend_id, load, now_s)

    watcher = Watcher(table, report, rng, time.monotonic)
    watcher.watch(entry.id for entry in table.entries)
    gevent.sleep(SETTLE_S)
    before_s, started_s, polls = time.process_time(), time.monotonic(), 0
    gevent.sleep(namespace.seconds)
    elapsed_s = time.monotonic() - started_s
    cpu = (time.process_time() - before_s) / elapsed_s
    watcher.close()
    _print_line("watcher_cpu", "core", {"polls_per_s": polls / elapsed_s}, cpu)


def _measure_table(namespace: argparse.Namespace) -> None:
    table = BackendTable(random.Random(namespace.seed))
    table.apply(_make_config(namespace.hold, namespace.url))
    variables = {"engines": float(namespace.hold)}
    _print_line("watcher_memory", "bytes", variables, read_memory_bytes("self"))
    table.close()


def _make_config(engines: int, url: str) -> Config:
    backends: Iterator[Backend] = (
        Backend(f"engine-{n}", "engine", "dc1", url, ("m",)) for n in range(engines)
    )
    return Config(
        version=1,
        data_centres={"dc1": DataCentre("dc1", "r1")},
        backends={backend.id: backend for backend in backends},
        models={"m": Model("m", 1_000_000)},
    )


def _print_line(quantity: str, unit: str, variables: dict, value: float) -> None:
    rounded = {name: round(number, 3) for name, number in variables.items()}
    line = {
        "quantity": quantity,
        "unit": unit,
        "variables": rounded,
        "value": round(value, 6),
        "command": f"{COMMAND} (poll interval {POLL_INTERVAL_S:g} s)",
    }
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    sys.exit(main())
