"""Measures the longest event-loop stall of a node that receives very long prompts.

Prompts of different sizes, up to a million tokens, are sent to a node one after
another.  After each, the metric ``event_loop_stall_seconds`` gives the longest
stall since the previous scrape.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import random
import re
import statistics
import sys
from collections.abc import Callable

import urllib3

from ..local import MODEL, LocalSystem, api_key, write_config
from .client import Caller

# The requirement of docs/design.md, section 2.3.
BOUND_S = 0.020
OUTPUT_TOKENS = 4
# The longest prompts have twice the bytes that the estimate of four bytes per
# token gives for a million tokens.
CONTEXT_TOKENS = 4_000_000
ENGINE_ARGUMENTS = (
    *("--prefill-tokens-per-s", "20000000"),
    *("--step-prefill-tokens", "1000000"),
    *("--kv-capacity-tokens", "8000000"),
)
HEADERS = {"X-Request-Kind": "archive_review"}
METRIC = re.compile(r"^papayarelay_event_loop_stall_seconds\S* (\S+)$", re.MULTILINE)


def _plain(size: int, rng: random.Random) -> str:
    word = f"{rng.randrange(10**7):07d} "
    return word * (size // len(word))


def _escaped(size: int, rng: random.Random) -> str:
    """Return a text in which JSON escapes every character with two bytes."""
    return rng.choice(("\n", "\t", '"')) * (size // 2)


def _two_byte(size: int, rng: random.Random) -> str:
    return rng.choice("čšž") * (size // 2)


# (name, size in the request in bytes, text generator)
PROMPTS: tuple[tuple[str, int, Callable[[int, random.Random], str]], ...] = (
    ("4 kB", 4_000, _plain),
    ("4 MB", 4_000_000, _plain),
    ("8 MB", 8_000_000, _plain),
    ("8 MB escaped", 8_000_000, _escaped),
    ("8 MB two-byte", 8_000_000, _two_byte),
)


def main(argv: list[str] | None = None) -> int:
    """Measure and print the stalls; return 1 if one exceeds ``BOUND_S``."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    namespace = parser.parse_args(argv)
    system = LocalSystem(
        nodes=1, engines=1, services=0, engine_arguments=ENGINE_ARGUMENTS
    )
    try:
        system.start()
        document = system.document()
        document["models"] = {MODEL: {"context_tokens": CONTEXT_TOKENS}}
        write_config(f"http://{system.store_address}", document, version=2)
        system.wait_for_version(system.operator_addresses[0], 2)
        stalls_s = _measure(system, namespace.seeds)
    finally:
        system.close()
    return _report(stalls_s)


def _measure(system: LocalSystem, seeds: int) -> dict[str, list[float]]:
    caller = Caller(f"http://{system.node_addresses[0]}", api_key("workshop"))
    stalls_s: dict[str, list[float]] = {name: [] for name, _, _ in PROMPTS}
    for seed in range(seeds):
        for name, size, make in PROMPTS:
            prompt = make(size, random.Random(seed))
            _scrape_stall_s(system)
            answer = caller.complete(MODEL, prompt, OUTPUT_TOKENS, HEADERS)
            if not answer.is_correct(prompt, OUTPUT_TOKENS):
                raise RuntimeError(f"{name}: {answer.status} {answer.error}")
            stalls_s[name].append(_scrape_stall_s(system))
    caller.close()
    return stalls_s


def _scrape_stall_s(system: LocalSystem) -> float:
    url = f"http://{system.operator_addresses[0]}/metrics"
    text = urllib3.request("GET", url).data.decode()
    return float(METRIC.search(text)[1])


def _report(stalls_s: dict[str, list[float]]) -> int:
    print(f"{'prompt':<14} {'runs':>5} {'median (ms)':>12} {'longest (ms)':>13}")
    for name, values in stalls_s.items():
        median_ms, worst_ms = statistics.median(values) * 1000, max(values) * 1000
        print(f"{name:<14} {len(values):>5} {median_ms:>12.1f} {worst_ms:>13.1f}")
    worst_s = max(value for values in stalls_s.values() for value in values)
    met = worst_s <= BOUND_S
    print(f"bound {BOUND_S * 1000:.0f} ms: {'met' if met else 'missed'}")
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
