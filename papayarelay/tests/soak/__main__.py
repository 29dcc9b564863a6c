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
from .faults import Injector
from .world import World

NODES = 3
CLIENTS = 8
START_LIMIT_S = 20.0
CALM_S = 6.0
# Minimum fraction of requests that succeed once all faults have ended.
SERVED_AT_END = 0.9


def play(seed: int, length_s: float, directory: Path) -> list[str]:
    """Run one seed; return the violated invariants."""
    world = World(seed, directory)
    try:
        world.start(NODES)
        _wait_until_ready(world)
        clients = [Client(world, number) for number in range(CLIENTS)]
        for client in clients:
            client.start()
        injector = Injector(world)
        injector.run(length_s)
        _end_calmly(world, clients)
        for client in clients:
            client.close()
        _check_memory(world)
        ends = sum((client.ends for client in clients), Counter())
        print(world.describe(), dict(ends), flush=True)
        faults = sorted(set(world.ledger.faults))
        if faults:
            (directory / "faults.txt").write_text("\n".join([*injector.log, *faults]))
        return faults
    finally:
        world.close()


def _wait_until_ready(world: World) -> None:
    end_s = time.monotonic() + START_LIMIT_S
    while not all(world.ready(node) for node in world.nodes):
        if time.monotonic() > end_s:
            raise TimeoutError("the nodes did not become ready")
        gevent.sleep(0.1)


def _end_calmly(world: World, clients: list[Client]) -> None:
    """Check that requests succeed again once the faults have ended."""
    gevent.sleep(CALM_S)
    before = sum((client.ends for client in clients), Counter())
    gevent.sleep(CALM_S / 2)
    after = sum((client.ends for client in clients), Counter())
    total = after.total() - before.total()
    served = after[200] - before[200]
    if not total or served < SERVED_AT_END * total:
        ends = dict(after - before)
        world.ledger.note(f"RECOVER {served} of {total} served at the end: {ends}")


def _check_memory(world: World) -> None:
    """Check that no engine keeps a reservation that no request uses."""
    gevent.sleep(5.0)
    for backend in world.backends:
        for name in backend.leaked(4.5):
            world.ledger.note(f"LEAK {name} on {backend.id}")


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
    bad = 0
    for seed in range(namespace.first, namespace.first + namespace.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"papayarelay-soak-{seed}-"))
        faults = play(seed, namespace.seconds, directory)
        for fault in faults:
            print(f"seed {seed}: {fault}", flush=True)
        bad += bool(faults)
        if faults and namespace.keep:
            shutil.copytree(directory, namespace.keep / str(seed), dirs_exist_ok=True)
        shutil.rmtree(directory)
    print(f"{namespace.seeds} seeds, {bad} with a violation")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
