"""The ``papayarelay bench`` command."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from tqdm import tqdm

from ..routing import POLICIES
from . import traces
from .experiments import SCENARIOS, STEADY_S, Setup, prompt_length_curve
from .report import (
    BUILD_DIRECTORY,
    Result,
    format_outcomes,
    format_table,
    plot,
    read_outcomes,
)

DEFAULT_SEEDS = 10
DEFAULT_LOADS = {"steady": 0.7, "drain": 0.6, "cold": 0.6, "overload": 2.0}


def add_arguments(subparsers: argparse._SubParsersAction) -> None:
    """Add the ``bench`` subcommand."""
    parser = subparsers.add_parser(
        "bench", help="replay traces in virtual time and compare policies"
    )
    parser.add_argument(
        "--scenario", action="append", choices=sorted(SCENARIOS), default=None
    )
    parser.add_argument(
        "--policy", action="append", choices=sorted(POLICIES), default=None
    )
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument(
        "--load", type=float, default=None, help="fraction of the capacity"
    )
    parser.add_argument(
        "--deployment", choices=sorted(traces.DEPLOYMENTS), default="dentists"
    )
    parser.add_argument("--trace", type=Path, help="trace to replay (JSON lines)")
    parser.add_argument("--outcomes", type=Path, help="expected outcomes (JSON)")
    parser.add_argument(
        "--results",
        type=Path,
        nargs="*",
        default=[],
        help="earlier results to include (JSON)",
    )
    parser.add_argument("--json", type=Path, help="file to write the results to")
    parser.add_argument("--plots", action="store_true", help="write plots to build/")
    parser.add_argument("--quiet", action="store_true", help="no progress bar")
    parser.set_defaults(run=run)


def run(namespace: argparse.Namespace) -> int:
    """Run the experiments; return 1 if an expected outcome is missed."""
    try:
        outcomes = read_outcomes(namespace.outcomes) if namespace.outcomes else []
        recorded = tuple(traces.read(namespace.trace)) if namespace.trace else ()
        results = [each for path in namespace.results for each in _read_results(path)]
    except (OSError, ValueError) as error:
        print(f"papayarelay bench: {error}", file=sys.stderr)
        return 2
    if not namespace.results or namespace.scenario:
        results += _run_experiments(namespace, recorded)
    if namespace.json:
        text = json.dumps([asdict(each) for each in results], indent=1)
        namespace.json.write_text(text + "\n", encoding="utf-8")
    print(format_table(results))
    if namespace.plots:
        _plot(namespace, recorded, results)
    text, met = format_outcomes(results, outcomes)
    if text:
        print(text)
    return 0 if met else 1


def _run_experiments(namespace: argparse.Namespace, recorded: tuple) -> list[Result]:
    results = []
    scenarios = namespace.scenario or ["steady"]
    policies = namespace.policy or list(POLICIES)
    total = len(scenarios) * len(policies) * namespace.seeds
    with tqdm(total=total, disable=namespace.quiet, file=sys.stderr) as bar:
        for scenario in scenarios:
            load = namespace.load or DEFAULT_LOADS[scenario]
            for policy in policies:
                for index in range(namespace.seeds):
                    seed = namespace.first_seed + index
                    bar.set_description(f"{scenario} {policy}")
                    setup = _make_setup(namespace, policy, load, seed, recorded)
                    figures = SCENARIOS[scenario](setup)
                    results.append(Result(scenario, policy, load, seed, figures))
                    bar.update()
    return results


def _make_setup(
    namespace: argparse.Namespace,
    policy: str,
    load: float,
    seed: int,
    recorded: tuple = (),
) -> Setup:
    deployment = traces.DEPLOYMENTS[namespace.deployment]
    return Setup(deployment, policy, load, seed, recorded=recorded)


def _read_results(path: Path) -> list[Result]:
    try:
        return [Result(**each) for each in json.loads(path.read_text("utf-8"))]
    except TypeError as error:
        raise ValueError(f"{path}: {error}") from error


def _plot(
    namespace: argparse.Namespace, recorded: tuple, results: list[Result]
) -> None:
    """Plot time to first token by prompt length and slowdown by load."""
    policies = namespace.policy or list(POLICIES)
    load = namespace.load or DEFAULT_LOADS["steady"]
    curves = {}
    for policy in policies:
        setup = _make_setup(namespace, policy, load, 1, recorded)
        curves[policy] = prompt_length_curve(setup.replay(setup.trace(STEADY_S)))
    plot(
        f"Time to first token, 95th percentile, load {load}, seed 1",
        "prompt tokens (lower bound)",
        "seconds",
        curves,
        BUILD_DIRECTORY / "ttft_by_prompt_length.png",
        x_log=True,
    )
    slowdown: dict[str, list[tuple[float, float]]] = {}
    for each in results:
        if each.scenario == "steady":
            point = (each.load, each.figures["short_ttft_ratio"])
            slowdown.setdefault(each.policy, []).append(point)
    if slowdown:
        plot(
            "Slowdown of short requests beside long ones",
            "load",
            "ratio of 95th percentiles of time to first token",
            {name: sorted(points) for name, points in slowdown.items()},
            BUILD_DIRECTORY / "short_slowdown.png",
        )
