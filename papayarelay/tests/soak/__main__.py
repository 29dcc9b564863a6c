"""Command line of the soak test: ``python -m papayarelay.tests.soak --seeds 50``."""

from gevent import monkey

monkey.patch_all()

import argparse
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import gevent

from .client import Client
from .environment import Environment
from .injector import Injector

NODES = 3
CLIENTS = 8
START_LIMIT_S = 20.0
RECOVERY_S = 6.0
# Minimum fraction of requests that succeed once all faults have ended.
MIN_SUCCESS_RATIO = 0.9


def run_seed(seed: int, duration_s: float, directory: Path) -> list[str]:
    """Run one seed; return the violated invariants."""
    environment = Environment(seed, directory)
    try:
        environment.start(NODES)
        _wait_until_ready(environment)
        clients = [Client(environment, number) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        injector = Injector(environment)
        injector.run(duration_s)
        _check_recovery(environment, clients)
        for client in clients:
            client.close()
        _check_leaks(environment)
        results = sum((client.results for client in clients), Counter())
        print(environment.describe(), dict(results), flush=True)
        violations = sorted(set(environment.record.violations))
        if violations:
            (directory / "faults.txt").write_text(
                "\n".join([*injector.log, *violations])
            )
        return violations
    finally:
        environment.close()


def _wait_until_ready(environment: Environment) -> None:
    end_s = time.monotonic() + START_LIMIT_S
    while not all(environment.ready(node) for node in environment.nodes):
        if time.monotonic() > end_s:
            raise TimeoutError("the nodes did not become ready")
        gevent.sleep(0.1)


def _check_recovery(environment: Environment, clients: list[Client]) -> None:
    """Check that requests succeed again once the faults have ended."""
    gevent.sleep(RECOVERY_S)
    before = sum((client.results for client in clients), Counter())
    gevent.sleep(RECOVERY_S / 2)
    after = sum((client.results for client in clients), Counter())
    total = after.total() - before.total()
    served = after[200] - before[200]
    if not total or served < MIN_SUCCESS_RATIO * total:
        results = dict(after - before)
        environment.record.add_violation(
            f"RECOVER {served} of {total} served at the end: {results}"
        )


def _check_leaks(environment: Environment) -> None:
    """Check that no engine keeps a reservation that no request uses."""
    gevent.sleep(5.0)
    for backend in environment.backends:
        for name in backend.leaked(4.5):
            environment.record.add_violation(f"LEAK {name} on {backend.id}")


def main(argv: list[str] | None = None) -> int:
    """Run the seeds; return 1 when an invariant was violated."""
    parser = argparse.ArgumentParser(
        description="randomized soak test of node processes"
    )
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of the fault injection per seed",
    )
    parser.add_argument("--keep", type=Path, help="keep the logs of failed seeds here")
    namespace = parser.parse_args(argv)
    failed_seeds = 0
    for seed in range(namespace.first, namespace.first + namespace.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"papayarelay-soak-{seed}-"))
        violations = run_seed(seed, namespace.seconds, directory)
        for violation in violations:
            print(f"seed {seed}: {violation}", flush=True)
        failed_seeds += bool(violations)
        if violations and namespace.keep:
            shutil.copytree(directory, namespace.keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(directory)
    print(f"{namespace.seeds} seeds, {failed_seeds} with a violation")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
