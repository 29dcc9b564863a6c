"""Measures the latency overhead of a node and its CPU usage under load.

Probes of 1,000 tokens go alternately through a node and directly to the same
engines, while background streams load the node.  The overhead is the difference
between quantiles of the two time-to-first-token distributions of the same run.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import json
import os
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import gevent

from ..demo import make_prompt
from ..local import MODEL, LocalSystem, api_key, write_config
from .client import Caller

PROBE_MODEL = "probe"
PROBE_ENGINES = 2
# Number of language-model engines in the smaller deployment.
BACKGROUND_ENGINES = 20
PROBES_PER_S = 30.0
PROBE_TOKENS = 1_000
PROBE_OUTPUT_TOKENS = 4
BACKGROUND_OUTPUT_TOKENS = 128
LOAD_PROCESSES = 3
# Each iteration gives a stream one token; this overhead yields about 25 tokens/s.
BACKGROUND_ENGINE_ARGUMENTS = ("--step-overhead-s", "0.04", "--max-running", "256")
PROBE_ENGINE_ARGUMENTS = (
    "--step-overhead-s",
    "0.002",
    "--prefill-tokens-per-s",
    "400000",
)
TOKENS_PER_STREAM_S = 25.0
SETTLE_S = 4.0
TOKEN_RATES = (0, 3_500, 7_000, 14_000)
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class LoadLevelResult:
    """Results at one level of background load."""

    tokens_per_s: float
    requests_per_s: float
    node_cpu: float
    node_memory_bytes: int
    direct_s: tuple[float, ...]
    proxied_s: tuple[float, ...]


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="per step")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--rates",
        type=int,
        nargs="+",
        default=TOKEN_RATES,
        help="background load of each level (tokens/s)",
    )
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the measurement; print one JSON line per metric."""
    namespace = parse_arguments(argv)
    with _running_system() as system:
        steps = [
            _measure(system, rate, namespace.seconds, namespace.seed)
            for rate in namespace.rates
        ]
    command = "python -m papayarelay.bench.latency"
    for step in steps:
        for quantity, unit, value in _figures(step):
            line = {
                "quantity": quantity,
                "unit": unit,
                "variables": {
                    "tokens_per_s": round(step.tokens_per_s),
                    "requests_per_s": round(step.requests_per_s, 1),
                },
                "value": value,
                "command": command,
            }
            print(json.dumps(line), flush=True)
    return 0


@contextmanager
def _running_system() -> Iterator[LocalSystem]:
    system = LocalSystem(
        nodes=1,
        engines=BACKGROUND_ENGINES,
        services=0,
        engine_arguments=BACKGROUND_ENGINE_ARGUMENTS,
    )
    try:
        system.start()
        _add_probe_engines(system)
        yield system
    finally:
        system.close()


def _add_probe_engines(system: LocalSystem) -> None:
    """Start dedicated engines for the probes, so that they share only the node."""
    document = system.document()
    probes = [
        system.start_engine(*PROBE_ENGINE_ARGUMENTS) for _ in range(PROBE_ENGINES)
    ]
    for index, address in enumerate(probes):
        document["backends"][f"probe-{index + 1}"] = {
            "target": "engine",
            "data_centre": "dc1",
            "url": f"http://{address}",
            "models": [PROBE_MODEL],
        }
    document["models"][PROBE_MODEL] = {"context_tokens": 100_000}
    write_config(f"http://{system.store_address}", document, version=2)
    operator = system.operator_addresses[0]
    system.wait_for_version(operator, 2)
    system.engine_addresses.extend(probes)


def _measure(
    system: LocalSystem, rate: float, seconds: float, seed: int
) -> LoadLevelResult:
    """Measure with a background load of about ``rate`` tokens/s."""
    loads = _start_loads(system, rate, SETTLE_S + seconds)
    gevent.sleep(SETTLE_S)
    cpu_before_s = _read_cpu_s(system.nodes[0].pid)
    started_s = time.monotonic()
    direct, through = _probe(system, seconds, seed)
    elapsed_s = time.monotonic() - started_s
    cpu_s = _read_cpu_s(system.nodes[0].pid) - cpu_before_s
    memory_bytes = read_memory_bytes(str(system.nodes[0].pid))
    results = [json.loads(load.communicate()[0]) for load in loads]
    if any(result["wrong"] for result in results):
        raise RuntimeError(f"incorrect responses under load: {results}")
    tokens = sum(result["tokens"] for result in results) / (SETTLE_S + seconds)
    requests = sum(result["requests"] for result in results) / (SETTLE_S + seconds)
    return LoadLevelResult(
        tokens + PROBES_PER_S / 2 * PROBE_OUTPUT_TOKENS,
        requests + PROBES_PER_S / 2,
        cpu_s / elapsed_s,
        memory_bytes,
        tuple(direct),
        tuple(through),
    )


def _start_loads(
    system: LocalSystem, rate: float, seconds: float
) -> list[subprocess.Popen]:
    streams = round(rate / TOKENS_PER_STREAM_S / LOAD_PROCESSES)
    if not streams:
        return []
    command = [
        sys.executable,
        "-m",
        "papayarelay.bench.load",
        *("--url", f"http://{system.node_addresses[0]}"),
        *("--key", api_key("front_desk")),
        *("--model", MODEL),
        *("--streams", str(streams)),
        *("--tokens", str(BACKGROUND_OUTPUT_TOKENS)),
        *("--seconds", str(seconds)),
    ]
    return [
        subprocess.Popen([*command, "--seed", str(seed)], stdout=subprocess.PIPE)
        for seed in range(LOAD_PROCESSES)
    ]


def _probe(
    system: LocalSystem, seconds: float, seed: int
) -> tuple[list[float], list[float]]:
    """Return the times to first token: (direct, through the node)."""
    rng = random.Random(seed)
    engines = [
        Caller(f"http://{address}", "")
        for address in system.engine_addresses[-PROBE_ENGINES:]
    ]
    node = Caller(f"http://{system.node_addresses[0]}", api_key("office"))
    times: tuple[list[float], list[float]] = ([], [])
    tasks = []
    for index in range(round(seconds * PROBES_PER_S)):
        through = index % 2
        caller = node if through else engines[index // 2 % PROBE_ENGINES]
        prompt = make_prompt(PROBE_TOKENS, rng)
        tasks.append(gevent.spawn(_send, caller, prompt, times[through]))
        gevent.sleep(rng.expovariate(PROBES_PER_S))
    gevent.joinall(tasks, raise_error=True)
    return times


def _send(caller: Caller, prompt: str, times: list[float]) -> None:
    answer = caller.complete(PROBE_MODEL, prompt, PROBE_OUTPUT_TOKENS)
    if not answer.is_correct(prompt, PROBE_OUTPUT_TOKENS):
        raise RuntimeError(
            f"incorrect response: status {answer.status}, error {answer.error}"
        )
    times.append(answer.first_token_s)


def _figures(step: LoadLevelResult) -> Iterator[tuple[str, str, float]]:
    for name, share in (("median", 0.5), ("p99", 0.99)):
        direct = _quantile(step.direct_s, share)
        through = _quantile(step.proxied_s, share)
        yield f"node_added_first_token_{name}", "ms", round((through - direct) * 1e3, 3)
    yield (
        "direct_first_token_median",
        "ms",
        round(statistics.median(step.direct_s) * 1e3, 3),
    )
    yield "node_data_path_cpu", "core", round(step.node_cpu, 4)
    yield "node_data_path_memory", "bytes", step.node_memory_bytes


def _quantile(values: tuple[float, ...], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def read_memory_bytes(pid: str) -> int:
    """Return the resident memory of a process; ``self`` means the current one."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _read_cpu_s(pid: int) -> float:
    """Return the CPU time (user and system) of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


if __name__ == "__main__":
    sys.exit(main())
