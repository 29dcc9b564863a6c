"""Measures store reads and writes for idempotency claims, per request.

Starts a local system, sends requests at several rates and prints one JSON line
per rate and request class.  The counters of the simulated table service give
the reads and writes of rows with the prefix ``claim``, which excludes
configuration polling.  Run with ``python -m papayarelay.bench.claims``.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from ..local import MODEL, LocalSystem, api_key
from .client import Caller

RATES_PER_S = (5, 10, 20, 40)
DURATION_S = 4.0
THREADS = 32
ORGANISATION = "front_desk"
PREFIX = "claim"


@dataclass(frozen=True)
class StoreUse:
    """Store reads and writes for claims at one request rate."""

    requests: str
    rate_per_s: float
    sent: int
    completed: int
    reads_per_request: float
    writes_per_request: float


class ClaimBenchmark:
    """Sends requests to a local system and reads the counters of its store."""

    def __init__(self, system: LocalSystem, duration_s: float):
        self._system = system
        self._duration_s = duration_s
        self._callers = [
            Caller(f"http://{address}", api_key(ORGANISATION), THREADS)
            for address in system.node_addresses
        ]

    def close(self) -> None:
        """Close the client connections."""
        for caller in self._callers:
            caller.close()

    def run(self, rate_per_s: float) -> list[StoreUse]:
        """Measure new and repeated non-idempotent and idempotent requests."""
        return [
            self._measure("non_idempotent", rate_per_s, self._send_job),
            self._measure("repeat", rate_per_s, self._send_job),
            self._measure("idempotent", rate_per_s, self._send_check),
        ]

    def _measure(
        self, name: str, rate_per_s: float, send: Callable[[str, int], bool]
    ) -> StoreUse:
        count = round(rate_per_s * self._duration_s)
        before = self._read_counters()
        started_s = time.monotonic()
        with ThreadPoolExecutor(THREADS) as pool:
            answers = []
            for index in range(count):
                time.sleep(max(0.0, started_s + index / rate_per_s - time.monotonic()))
                answers.append(pool.submit(send, f"{rate_per_s}-{index}", index))
        after = self._read_counters()
        completed = sum(answer.result() for answer in answers)
        reads, writes = (
            (new - old) / count for new, old in zip(after, before, strict=True)
        )
        return StoreUse(name, rate_per_s, count, completed, reads, writes)

    def _send_job(self, key: str, index: int) -> bool:
        caller = self._callers[index % len(self._callers)]
        status, _ = caller.call_service("engraving_job", key.encode(), key)
        return status == 200

    def _send_check(self, key: str, index: int) -> bool:
        caller = self._callers[index % len(self._callers)]
        headers = {"X-Request-Kind": "tag_check", "Idempotency-Key": key}
        return caller.complete(MODEL, f"check {key}", 2, headers).finished

    def _read_counters(self) -> tuple[int, int]:
        counters = self._system.get(self._system.store_address, "/counters")
        return (
            counters["reads_by_prefix"].get(PREFIX, 0),
            counters["writes_by_prefix"].get(PREFIX, 0),
        )


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Measure the store use of claims.")
    parser.add_argument("--rate", type=float, nargs="*", default=RATES_PER_S)
    parser.add_argument("--duration-s", type=float, default=DURATION_S)
    parser.add_argument(
        "--output", type=Path, help="write lines as in docs/measurements/README.md"
    )
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Print the measurements; return 1 if idempotent requests used the store."""
    namespace = parse_arguments(argv)
    system = LocalSystem(nodes=2, engines=1, services=1)
    results = []
    try:
        system.start()
        bench = ClaimBenchmark(system, namespace.duration_s)
        for rate_per_s in namespace.rate:
            for result in bench.run(rate_per_s):
                print(json.dumps(asdict(result)), flush=True)
                results.append(result)
        bench.close()
    finally:
        system.close()
    if namespace.output is not None:
        lines = [json.dumps(line) for r in results for line in _measurements(r)]
        namespace.output.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return int(any(_uses_store(result) for result in results))


def _measurements(result: StoreUse) -> Iterator[dict]:
    """Yield the measurement-file lines of one result, as rates per second."""
    per_s = {
        "store_claim_writes": ("writes/s", result.writes_per_request),
        "store_claim_reads": ("reads/s", result.reads_per_request),
    }
    for quantity, (unit, per_request) in per_s.items():
        name = quantity
        if result.requests != "non_idempotent":
            name = f"{quantity}_{result.requests}"
        yield {
            "quantity": name,
            "unit": unit,
            "variables": {"claims_per_s": result.rate_per_s},
            "value": round(per_request * result.rate_per_s, 4),
            "command": "python -m papayarelay.bench.claims",
        }


def _uses_store(result: StoreUse) -> bool:
    used = result.reads_per_request or result.writes_per_request
    return result.requests == "idempotent" and bool(used)


if __name__ == "__main__":
    sys.exit(main())
