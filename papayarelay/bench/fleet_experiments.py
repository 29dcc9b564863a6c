"""Compares policies of placing on fleets of engines, in virtual time.

``python -m papayarelay.bench.fleet_experiments`` prints the table of
docs/CAPACITY.md: the earned part of the worth, in all and by kind of request.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from ..placing import Packed
from ..routing import LeastRequests, PowerOfTwo, RoundRobin
from .fleet import FLEETS, Fleet, FleetReplay, Outcome, score

DEFAULT_SEEDS = 3
SPLITS = (1, 2, 4, 8, 16)
# A policy may keep what it has decided, so each replay gets its own.
POLICIES: dict[str, Callable[[], object]] = {
    "round robin": RoundRobin,
    "least requests": LeastRequests,
    "power of two choices": PowerOfTwo,
    **{f"packed, {n} parts at most": lambda n=n: Packed(max_parts=n) for n in SPLITS},
    "packed (today)": Packed,
}


@dataclass(frozen=True)
class Comparison:
    """What the callers of one fleet got under one policy, over all seeds.

    ``worth`` is by kind and ``all``; the times are of first events, in seconds.
    """

    fleet: str
    policy: str
    seeds: int
    worth: dict[str, float]
    short_median_s: float
    short_p99_s: float
    long_p90_s: float


def compare(
    fleet_name: str, policy_name: str, seeds: Sequence[int], load: float = 1.0
) -> Comparison:
    """Play a fleet under a policy with some seeds."""
    fleet = scale(FLEETS[fleet_name], load)
    outcomes: list[Outcome] = []
    for seed in seeds:
        outcomes += FleetReplay(fleet, POLICIES[policy_name](), seed).run()
    return Comparison(
        fleet_name,
        policy_name,
        len(seeds),
        score(outcomes),
        _first_s(outcomes, "short", 0.5),
        _first_s(outcomes, "short", 0.99),
        _first_s(outcomes, "long", 0.9),
    )


def scale(fleet: Fleet, load: float) -> Fleet:
    """Return a fleet whose phases bring ``load`` times the requests."""
    phases = tuple(
        (length_s, tuple(load * factor for factor in factors))
        for length_s, factors in fleet.phases
    )
    return replace(fleet, phases=phases)


def _first_s(outcomes: Sequence[Outcome], kind: str, quantile: float) -> float:
    """Return a quantile of the times to the first event; unanswered ones count."""
    times = sorted(o.first_s - o.sent_s for o in outcomes if o.kind.name == kind)
    return times[min(len(times) - 1, int(quantile * len(times)))] if times else math.nan


def format_comparisons(comparisons: Sequence[Comparison]) -> str:
    """Return the comparisons as a Markdown table."""
    lines = [
        "| fleet | policy | worth | short | medium | long "
        "| first event, short: median | 99th | long: 90th |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for each in comparisons:
        worth = [each.worth.get(k, 0.0) for k in ("all", "short", "medium", "long")]
        times = (each.short_median_s, each.short_p99_s, each.long_p90_s)
        cells = [
            each.fleet,
            each.policy,
            *(f"{value:.3f}" for value in worth),
            *(f"{value:.2f} s" if math.isfinite(value) else "none" for value in times),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="papayarelay.bench.fleet_experiments", description=__doc__.split("\n")[0]
    )
    parser.add_argument("--fleet", action="append", choices=sorted(FLEETS))
    parser.add_argument("--policy", action="append", choices=sorted(POLICIES))
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--load", type=float, default=1.0, help="times the requests")
    parser.add_argument("--json", type=Path, help="write the results here")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Print the table; return the process exit code."""
    namespace = parse_arguments(argv)
    seeds = range(1, namespace.seeds + 1)
    comparisons = [
        compare(fleet, policy, seeds, namespace.load)
        for fleet in namespace.fleet or FLEETS
        for policy in namespace.policy or POLICIES
    ]
    if namespace.json:
        text = json.dumps([asdict(each) for each in comparisons], indent=1)
        namespace.json.write_text(text + "\n", encoding="utf-8")
    print(format_comparisons(comparisons))
    return 0


if __name__ == "__main__":
    sys.exit(main())
