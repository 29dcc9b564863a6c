"""Compares placement policies on simulated fleets of engines.

``python -m papayarelay.bench.fleet_experiments`` prints the table of
docs/CAPACITY.md: the earned fraction of the value, in total and by kind of request.
"""

from __future__ import annotations

import argparse
import json
import math
import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from ..placement import PackAndSplit
from ..routing import LeastRequests, PowerOfTwo, RoundRobin
from .fleet import FLEETS, Fleet, FleetSimulation, RequestOutcome, score

DEFAULT_SEEDS = 3
MAX_PARTS = (1, 2, 4, 8, 16)
# Policies may be stateful, so each replay creates its own instance.
POLICIES: dict[str, Callable[[], object]] = {
    "round robin": RoundRobin,
    "least requests": LeastRequests,
    "power of two choices": PowerOfTwo,
    **{
        f"packed, {n} parts at most": lambda n=n: PackAndSplit(max_parts=n)
        for n in MAX_PARTS
    },
    "packed (today)": PackAndSplit,
}


@dataclass(frozen=True)
class Comparison:
    """Results of one fleet under one policy, pooled over all seeds.

    ``worth`` is the earned fraction of the value by kind and for ``all``; the
    times are times to the first event.
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
    """Simulate a fleet under a policy once per seed."""
    fleet = scale_load(FLEETS[fleet_name], load)
    outcomes: list[RequestOutcome] = []
    for seed in seeds:
        outcomes += FleetSimulation(fleet, POLICIES[policy_name](), seed).run()
    return Comparison(
        fleet_name,
        policy_name,
        len(seeds),
        score(outcomes),
        _first_event_quantile_s(outcomes, "short", 0.5),
        _first_event_quantile_s(outcomes, "short", 0.99),
        _first_event_quantile_s(outcomes, "long", 0.9),
    )


def scale_load(fleet: Fleet, load: float) -> Fleet:
    """Return a fleet whose arrival rates are multiplied by ``load``."""
    phases = tuple(
        (length_s, tuple(load * factor for factor in factors))
        for length_s, factors in fleet.phases
    )
    return replace(fleet, phases=phases)


def _first_event_quantile_s(
    outcomes: Sequence[RequestOutcome], kind: str, quantile: float
) -> float:
    """Return a quantile of the time to first event; no event counts as infinite."""
    times = sorted(o.first_event_s - o.sent_s for o in outcomes if o.kind.name == kind)
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
    parser.add_argument(
        "--load", type=float, default=1.0, help="factor on the arrival rates"
    )
    parser.add_argument("--json", type=Path, help="file to write the results to")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Print the table and return the exit code."""
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
