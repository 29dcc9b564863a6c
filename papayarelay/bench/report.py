"""Tables, plots and checks of experiment results."""

from __future__ import annotations

import json
import math
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

BUILD_DIRECTORY = Path("build")


@dataclass(frozen=True)
class Result:
    """Metrics (``figures``) of one run, identified by the other fields."""

    scenario: str
    policy: str
    load: float
    seed: int
    figures: dict[str, float]


@dataclass(frozen=True)
class ExpectedOutcome:
    """An expected bound on the median or worst value of a metric over all seeds.

    ``figure`` names the metric; ``statistic`` is ``median`` or ``worst``.
    """

    scenario: str
    policy: str
    load: float
    figure: str
    statistic: str
    at_most: float | None = None
    at_least: float | None = None

    def check(self, values: Sequence[float]) -> bool:
        """Return whether the values meet the bound; False if there are none."""
        if not values or any(map(math.isnan, values)):
            return False
        if self.statistic == "median":
            value = statistics.median(values)
        else:
            value = max(values) if self.at_most is not None else min(values)
        if self.at_most is not None and value > self.at_most:
            return False
        return self.at_least is None or value >= self.at_least

    def __str__(self) -> str:
        bound = (
            f"at most {self.at_most}"
            if self.at_most is not None
            else f"at least {self.at_least}"
        )
        place = f"{self.scenario} {self.policy} load {self.load}"
        return f"{place}: {self.statistic} {self.figure} {bound}"


def read_outcomes(path: Path) -> list[ExpectedOutcome]:
    """Read a JSON list of expected outcomes; raises ValueError if one is malformed."""
    outcomes = []
    for index, values in enumerate(json.loads(path.read_text(encoding="utf-8"))):
        try:
            outcome = ExpectedOutcome(**values)
        except TypeError as error:
            raise ValueError(f"outcome {index}: {error}") from error
        if outcome.statistic not in ("median", "worst"):
            raise ValueError(f"outcome {index}: statistic must be median or worst")
        if (outcome.at_most is None) == (outcome.at_least is None):
            raise ValueError(
                f"outcome {index}: exactly one of at_most and at_least is required"
            )
        outcomes.append(outcome)
    return outcomes


def select_values(results: Iterable[Result], outcome: ExpectedOutcome) -> list[float]:
    """Return the values of the metric that an outcome constrains."""
    return [
        each.figures[outcome.figure]
        for each in results
        if each.scenario == outcome.scenario
        and each.policy == outcome.policy
        and abs(each.load - outcome.load) < 1e-9
        and outcome.figure in each.figures
    ]


def format_table(results: Sequence[Result]) -> str:
    """Return a Markdown table per scenario and load: median (lowest-highest)."""
    lines = []
    groups = dict.fromkeys((each.scenario, each.load) for each in results)
    for scenario, load in groups:
        chosen = [
            each for each in results if (each.scenario, each.load) == (scenario, load)
        ]
        policies = list(dict.fromkeys(each.policy for each in chosen))
        seeds = len({each.seed for each in chosen})
        lines.append(f"{scenario}, load {load}, {seeds} seeds: median (lowest-highest)")
        lines.append("")
        lines.append("| figure | " + " | ".join(policies) + " |")
        lines.append("| --- |" + " --- |" * len(policies))
        for figure in chosen[0].figures:
            cells = [_cell(chosen, policy, figure) for policy in policies]
            lines.append(f"| {figure} | " + " | ".join(cells) + " |")
        lines.append("")
    return "\n".join(lines)


def format_outcomes(
    results: Sequence[Result], outcomes: Sequence[ExpectedOutcome]
) -> tuple[str, bool]:
    """Return one line per expected outcome, and whether all are met."""
    lines = []
    met_all = True
    for outcome in outcomes:
        values = select_values(results, outcome)
        met = outcome.check(values)
        met_all = met_all and met
        shown = f"{min(values):.3g}-{max(values):.3g}" if values else "no values"
        lines.append(f"{'met' if met else 'missed'}: {outcome} ({shown})")
    return "\n".join(lines), met_all


def plot(
    title: str,
    x_label: str,
    y_label: str,
    curves: dict[str, Sequence[tuple[float, float]]],
    path: Path,
    *,
    x_log: bool = False,
) -> None:
    """Write a line plot with one curve per policy."""
    # Imported here: matplotlib's import takes longer than many experiments.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=(7, 4.5))
    axes = figure.add_subplot()
    for name, points in curves.items():
        axes.plot(*zip(*points, strict=True), marker="o", label=name)
    if x_log:
        axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(True, alpha=0.3)
    axes.legend()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path)


def _cell(results: Sequence[Result], policy: str, figure: str) -> str:
    values = [
        each.figures[figure]
        for each in results
        if each.policy == policy and figure in each.figures
    ]
    if not values:
        return "-"
    median = statistics.median(values)
    return f"{median:.4g} ({min(values):.4g}-{max(values):.4g})"
