"""The ``papayarelay capacity`` command: writes docs/CAPACITY.md.

It reads the measurement files, fits each quantity by least squares and projects
the fit to the target size in section 1.3 of the design.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from .capacity_rows import (
    CHANGES_PER_DAY,
    DATA_CENTRES,
    ENGINES,
    MODELS,
    NODES,
    ORGANISATIONS,
    REPLACEMENTS_PER_DAY,
    REQUESTS_PER_S,
    ROWS,
    TARGET,
    TOKENS_PER_S,
    Row,
)
from .fits import (
    Fit,
    Measurement,
    MeasurementError,
    fit,
    read_measurements,
    variable_values,
)

MEASUREMENTS = Path("docs/measurements")
PAGE = Path("docs/CAPACITY.md")
# Results of the users' platform benchmark, appended to the computed page.
PLATFORM_FILE = "platform.md"


@dataclass(frozen=True)
class Result:
    """A row of the page with its value at the target size."""

    row: Row
    value: float | None = None
    error: float | None = None
    state: str = "not measured"
    command: str = ""
    fit: Fit | None = None


def evaluate(row: Row, lines: Sequence[Measurement]) -> Result:
    """Return the value of a row at the target size."""
    if row.calculated is not None:
        state = _budget_state(row, row.calculated, 0.0, "calculated")
        return Result(row, row.calculated, None, state, row.formula)
    if row.summands:
        return _sum_rows(row, lines)
    used = [line for line in lines if line.quantity == row.quantity]
    used = [n for n in used if _matches(n, row)]
    if not used:
        return Result(row)
    command = used[-1].command
    fitted = fit(used, row.variables)
    if fitted is None:
        return _largest_measured(row, used)
    value, error = fitted.project(TARGET)
    state = _budget_state(
        row, value, error, "within budget" if row.budget else "measured"
    )
    return Result(row, value, error, state, command, fitted)


def _sum_rows(row: Row, lines: Sequence[Measurement]) -> Result:
    """Return the sum of other rows, or "not measured" if one of them is missing."""
    results = [evaluate(r, lines) for r in ROWS if r.quantity in row.summands]
    if any(result.value is None or result.error is None for result in results):
        return Result(row)
    value = sum(result.value for result in results)
    error = sum(result.error**2 for result in results) ** 0.5
    state = _budget_state(
        row, value, error, "within budget" if row.budget else "measured"
    )
    return Result(row, value, error, state, " + ".join(row.summands))


def _matches(line: Measurement, row: Row) -> bool:
    has_variables = all(name in line.variables for name in row.variables)
    chosen = all(line.variables.get(k) == v for k, v in row.exact_values.items())
    large = all(line.variables.get(k, 0) >= v for k, v in row.minimum_values.items())
    return has_variables and chosen and large


def _largest_measured(row: Row, used: Sequence[Measurement]) -> Result:
    """Return the value measured at the largest size, without a projection."""
    line = max(used, key=lambda n: variable_values(n, row.variables))
    place = ", ".join(f"{n} {_format_number(line.variables[n])}" for n in row.variables)
    state = f"slope not measured, {len(used)} points; value at {place}"
    if row.budget is not None and line.value > row.budget:
        state = f"OVER BUDGET at {place}: {row.mitigation}"
    return Result(row, line.value, None, state, line.command)


def _budget_state(row: Row, value: float, error: float, otherwise: str) -> str:
    if row.budget is None:
        return otherwise
    if value > row.budget:
        return f"OVER BUDGET: {row.mitigation}"
    if value + 2 * error > row.budget:
        return f"within budget, but not by two standard errors: {row.mitigation}"
    return otherwise


def render(lines: Sequence[Measurement]) -> str:
    """Return the page as Markdown."""
    results = [evaluate(row, lines) for row in ROWS]
    sections = [_INTRODUCTION]
    for role in dict.fromkeys(row.role for row in ROWS):
        sections.append(f"## {role}\n")
        sections.append(_role_table([r for r in results if r.row.role == role]))
    sections += ["## Slopes\n", _SLOPES, _slope_table(results)]
    sections += ["## Overlay and gossip\n", _POLICIES, _policy_table(lines)]
    other = _other_table(lines)
    if other:
        sections += ["## Other measurements\n", _OTHER, other]
    return "\n".join(sections)


_INTRODUCTION = f"""# Capacity

This page is written by `papayarelay capacity` from the files in
docs/measurements; do not edit it. It projects measured slopes to the target
size: {NODES} nodes, {ENGINES} engines, {REQUESTS_PER_S:,.0f} requests/s,
{TOKENS_PER_S:,.0f} tokens/s, {ORGANISATIONS:,} organisations, {MODELS} models,
{CHANGES_PER_DAY:,} configuration changes and {REPLACEMENTS_PER_DAY} node
replacements a day. Values of the data path are per node while one of
{DATA_CENTRES} data centres is out of service.

A value is the projection of a least-squares fit with its standard error;
"calculated" values follow from the target size and constants in the code.
"not measured" means that no measurement file has the slope yet. All figures
come from one shared machine, with nodes on loopback. Bytes include estimated
TCP and IP headers and acknowledgements (52 bytes each); the measurement counts
sent and received bytes together. Processor times of `bench.spread` include the
exchange and random loads, but not the polls of watched engines, which the
watcher's row holds; both share the budget of 0.012 cores, see "processor, with
node control work".
"""

_SLOPES = """The fits behind the projections: the intercept and each slope with its
standard error, and the root mean square residual.
"""

_POLICIES = """Mean over the runs with the same number of nodes. `random_gossip` draws
new peers every 10 s and exchanges the same frames; `fixed_overlay` floods a ring
with matchings. Both run by name: `--policy`.
"""

_OTHER = """Quantities that no row above uses, fitted over the variables that vary. No
projection is made.
"""


def _role_table(results: Sequence[Result]) -> str:
    rows = [
        (
            r.row.item,
            "" if r.value is None else _format_value(r.value, r.error),
            r.row.unit,
            "" if r.row.budget is None else _format_number(r.row.budget),
            r.state,
            r.row.mechanism,
            f"`{r.command}`" if r.command else "",
        )
        for r in results
    ]
    header = ("item", "at target size", "unit", "budget", "result", "mechanism", "from")
    return _table(header, rows)


def _slope_table(results: Sequence[Result]) -> str:
    rows = []
    for result in results:
        if result.fit is None:
            continue
        rows.append((result.row.quantity, result.row.unit, *_fit_cells(result.fit)))
    header = ("quantity", "unit", "intercept", "slopes", "residual", "points")
    return _table(header, rows)


def _fit_cells(fitted: Fit) -> tuple[str, str, str, str]:
    pairs = list(zip(fitted.coefficients, fitted.standard_errors, strict=True))
    slopes = [
        f"{name}: {_format_value(*pair)}"
        for name, pair in zip(fitted.variables, pairs[1:], strict=True)
    ]
    return (
        _format_value(*pairs[0]),
        "; ".join(slopes),
        _format_number(fitted.residual),
        str(fitted.points),
    )


def _policy_table(lines: Sequence[Measurement]) -> str:
    quantities = (
        "urgent_delay_median",
        "urgent_delay_worst",
        "urgent_not_received",
        "control_traffic",
        "control_cpu",
        "load_record_age_p99",
    )
    groups: dict[tuple, dict[str, list[float]]] = {}
    for line in lines:
        variables = line.variables
        plain = variables.get("killed") == 0 and variables.get("engines") == ENGINES
        if line.quantity in quantities and plain and "policy" in variables:
            key = (variables["nodes"], variables["policy"])
            groups.setdefault(key, {}).setdefault(line.quantity, []).append(line.value)
    both = {n for n, p in groups if p != "fixed_overlay"}
    rows = [
        (_format_number(nodes), policy, *(_mean(values.get(q)) for q in quantities))
        for (nodes, policy), values in sorted(groups.items())
        if nodes in both
    ]
    return _table(("nodes", "policy", *quantities), rows)


def _mean(values: Sequence[float] | None) -> str:
    return "" if not values else _format_number(sum(values) / len(values))


def _other_table(lines: Sequence[Measurement]) -> str:
    used = {row.quantity for row in ROWS}
    groups: dict[str, list[Measurement]] = {}
    for line in lines:
        if line.quantity not in used and line.variables.get("killed", 0) == 0:
            if line.variables.get("policy", "fixed_overlay") != "fixed_overlay":
                continue
            groups.setdefault(line.quantity, []).append(line)
    rows = []
    for quantity, group in sorted(groups.items()):
        fitted = _fit_numeric(group)
        if fitted is None:
            values = [line.value for line in group]
            span = f"{_format_number(min(values))} to {_format_number(max(values))}"
            cells = (span, "", "", str(len(group)))
        else:
            cells = _fit_cells(fitted)
        rows.append((quantity, group[0].unit, *cells, f"`{group[-1].command}`"))
    if not rows:
        return ""
    header = ("quantity", "unit", "intercept", "slopes", "residual", "points", "from")
    return _table(header, rows)


def _fit_numeric(group: Sequence[Measurement]) -> Fit | None:
    """Fit over the numeric variables that all measurements have in common.

    Drops the last variable until the fit is determined.
    """
    names = [
        name
        for name in group[0].variables
        if name not in ("seed", "data_centres")
        and all(isinstance(n.variables.get(name), float | int) for n in group)
    ]
    while names:
        fitted = fit(group, names)
        if fitted is not None and fitted.variables:
            return fitted
        names.pop()
    return None


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def _format_value(value: float, error: float | None) -> str:
    return (
        _format_number(value)
        if error is None
        else f"{_format_number(value)} ± {_format_number(error)}"
    )


def _format_number(value: float | str) -> str:
    if isinstance(value, str):
        return value
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def add_arguments(subparsers: argparse._SubParsersAction) -> None:
    """Add the ``capacity`` subcommand."""
    parser = subparsers.add_parser(
        "capacity", help="compute the capacity page from measured slopes"
    )
    parser.add_argument(
        "--measurements", type=Path, default=MEASUREMENTS, help="directory to read"
    )
    parser.add_argument("--output", type=Path, default=PAGE, help="page to write")
    parser.set_defaults(run=run)


def run(namespace: argparse.Namespace) -> int:
    """Write the page; return 2 when a measurement file is malformed."""
    try:
        page = render(read_measurements(namespace.measurements))
        platform = namespace.measurements / PLATFORM_FILE
        if platform.exists():
            page += f"\n{platform.read_text('utf-8')}"
        namespace.output.write_text(page, "utf-8")
    except (MeasurementError, OSError) as error:
        print(f"papayarelay capacity: {error}", file=sys.stderr)
        return 2
    print(f"wrote {namespace.output}")
    return 0
