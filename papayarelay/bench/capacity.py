"""The ``papayarelay capacity`` command: writes docs/CAPACITY.md.

It reads the measurement files, fits each slope by least squares and projects
it to the target size of section 1.3 of the design.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy

MEASUREMENTS = Path("docs/measurements")
PAGE = Path("docs/CAPACITY.md")

NODES = 370
ENGINES = 600
WATCHERS_PER_ENGINE = 2
DATA_CENTRES = 6
MODELS = 14
ORGANISATIONS = 1_300
REQUESTS_PER_S = 990.0
TOKENS_PER_S = 490_000.0
CHANGES_PER_DAY = 1_800
REPLACEMENTS_PER_DAY = 61
DAY_S = 86_400.0
# Section 3.1 of the design: one request in ten may be non-idempotent.
CLAIMS_PER_S = REQUESTS_PER_S / 10
WRITES_PER_CLAIM = 2
CONFIG_POLL_INTERVAL_S = 2.0
LOAD_POLL_INTERVAL_S = 1.0
# Traffic falls on five of six data centres while one is out of service.
REMAINING_SHARE = 5 / 6
SERVING_NODES = NODES * REMAINING_SHARE
# Marks for each engine that is restarted once a day and each replaced node.
MARKS_PER_DAY = 2 * ENGINES + 2 * REPLACEMENTS_PER_DAY

# Values of the variables of measurements at the target size, for one node.
TARGET: Mapping[str, float] = {
    "nodes": NODES,
    "engines": ENGINES,
    "links": 5.0,
    "changes_per_s": CHANGES_PER_DAY / DAY_S,
    "marks_per_s": MARKS_PER_DAY / DAY_S,
    "requests_per_s": REQUESTS_PER_S / SERVING_NODES,
    "tokens_per_s": TOKENS_PER_S / SERVING_NODES,
    "polls_per_s": ENGINES * WATCHERS_PER_ENGINE / NODES / LOAD_POLL_INTERVAL_S,
    "claims_per_s": CLAIMS_PER_S,
    "organisations": ORGANISATIONS,
    "models": MODELS,
}


class MeasurementError(Exception):
    """A line of a measurement file does not have the documented format."""


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measured value; the format is documented in docs/measurements."""

    quantity: str
    unit: str
    variables: dict[str, float | str]
    value: float
    command: str


def read_lines(directory: Path) -> list[Line]:
    """Return the lines of all ``*.jsonl`` files; raises ``MeasurementError``."""
    decoder = msgspec.json.Decoder(Line)
    lines = []
    for path in sorted(directory.glob("*.jsonl")):
        for number, text in enumerate(path.read_text("utf-8").splitlines(), start=1):
            try:
                lines.append(decoder.decode(text))
            except msgspec.DecodeError as error:
                raise MeasurementError(f"{path}:{number}: {error}") from error
    return lines


@dataclass(frozen=True)
class Fit:
    """A least-squares fit of a value over variables, with an intercept."""

    variables: tuple[str, ...]
    # Intercept first, then one slope for each variable.
    coefficients: tuple[float, ...]
    errors: tuple[float, ...]
    # Square root of the mean square of the residuals over degrees of freedom.
    residual: float
    points: int
    covariance: numpy.ndarray = field(repr=False, compare=False)

    def project(self, target: Mapping[str, float]) -> tuple[float, float]:
        """Return the value at the target and its standard error."""
        place = numpy.array([1.0] + [target[name] for name in self.variables])
        value = float(place @ numpy.array(self.coefficients))
        return value, float(numpy.sqrt(max(0.0, place @ self.covariance @ place)))


def fit(lines: Sequence[Line], variables: Iterable[str]) -> Fit | None:
    """Fit the values of lines over the variables that vary among them.

    Returns None when there are not more points than coefficients.
    """
    varying = tuple(
        v for v in variables if len({n.variables.get(v) for n in lines}) > 1
    )
    if len(lines) <= len(varying) + 1:
        return None
    matrix = numpy.array([[1.0, *_place(line, varying)] for line in lines])
    values = numpy.array([line.value for line in lines])
    solution, _, rank, _ = numpy.linalg.lstsq(matrix, values, rcond=None)
    if rank <= len(varying):
        return None
    residuals = values - matrix @ solution
    variance = float(residuals @ residuals) / (len(lines) - rank)
    covariance = variance * numpy.linalg.inv(matrix.T @ matrix)
    return Fit(
        varying,
        tuple(map(float, solution)),
        tuple(map(float, numpy.sqrt(numpy.diag(covariance)))),
        variance**0.5,
        len(lines),
        covariance,
    )


def _place(line: Line, variables: Iterable[str]) -> list[float]:
    return [float(line.variables[name]) for name in variables]


@dataclass(frozen=True)
class Row:
    """One line of the page: a measured quantity, or a calculated value."""

    role: str
    item: str
    unit: str
    mechanism: str
    quantity: str = ""
    variables: tuple[str, ...] = ()
    # Only lines with these values of variables are used.
    only: Mapping[str, float | str] = field(default_factory=dict)
    # Only lines with at least these values of variables are used.
    least: Mapping[str, float] = field(default_factory=dict)
    budget: float | None = None
    # For a value that follows from the target size and from constants.
    calculated: float | None = None
    formula: str = ""
    # For a value that is the sum of other rows, by their quantities.
    parts: tuple[str, ...] = ()
    # What would carry the row if it is over its budget.
    relief: str = ""


_CONTROL = ("nodes", "links", "changes_per_s", "marks_per_s")
_OVERLAY = {"policy": "fixed_overlay", "killed": 0.0}
_TARGET_ENGINES = {"engines": float(ENGINES)}
_CONTROL_ROLE = "Node control work"
_DATA_ROLE = "Node data path"
_WATCHER_ROLE = "Watcher"
_STORE_ROLE = "Table service"
_ENGINE_ROLE = "Engine control interface"

ROWS = (
    Row(
        _CONTROL_ROLE,
        "state",
        "records",
        "`nodes/spread.py`: versions per record; loads stay in the data centre",
        calculated=ENGINES / DATA_CENTRES + MODELS * DATA_CENTRES + NODES,
        formula="engines / data centres + models * data centres + peers",
    ),
    Row(
        _CONTROL_ROLE,
        "messages, sent and received",
        "bytes/s",
        "`nodes/spread.py` `Bucket`: counts frames with headers; loads wait",
        quantity="control_traffic",
        variables=_CONTROL,
        only=_OVERLAY | _TARGET_ENGINES,
        budget=3_000.0,
        relief="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "the same, busiest node",
        "bytes/s",
        "`nodes/overlay.py`: matchings give every node nearly the same links",
        quantity="control_traffic_worst_node",
        variables=("nodes", "changes_per_s", "marks_per_s"),
        only=_OVERLAY | _TARGET_ENGINES,
        # With fewer nodes the links of the data centres coincide.
        least={"nodes": 48.0},
        budget=3_000.0,
        relief="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "frames sent",
        "frames/s",
        "`nodes/links.py` `LinkTiming`: load records share a frame for `batch_s`",
        quantity="control_frames",
        variables=_CONTROL,
        only=_OVERLAY | _TARGET_ENGINES,
    ),
    Row(
        _CONTROL_ROLE,
        "processor",
        "core",
        "`nodes/overlay.py`: five links per node at any size",
        quantity="control_cpu",
        variables=_CONTROL,
        only=_OVERLAY | _TARGET_ENGINES,
        budget=0.012,
        relief="fewer frames by a longer `LinkTiming.batch_s`",
    ),
    Row(
        _CONTROL_ROLE,
        "memory of the process",
        "bytes",
        "`nodes/spread.py` `expire`, `nodes/view.py` `forget`",
        quantity="resident_memory",
        variables=("nodes",),
        only=_OVERLAY | _TARGET_ENGINES,
        budget=256e6,
        relief="shorter `KEEP_LOAD_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "delay of urgent records, worst node",
        "s",
        "`nodes/overlay.py` `FixedOverlay`: records flood at once",
        quantity="urgent_delay_worst",
        variables=("nodes",),
        only=_OVERLAY | _TARGET_ENGINES,
        budget=3.0,
        relief="a second matching in each data centre",
    ),
    Row(
        _CONTROL_ROLE,
        "the same after a tenth of the nodes has failed",
        "s",
        "`nodes/overlay.py` `FixedOverlay`: five links per node, three of them local",
        quantity="after_failure_urgent_delay_worst",
        variables=("nodes",),
        only={"policy": "fixed_overlay"},
        budget=3.0,
        relief="a second matching in each data centre",
    ),
    Row(
        _CONTROL_ROLE,
        "age of load records, 99th percentile",
        "s",
        "`nodes/exchange.py` `LOAD_RECORDS_PER_S`; `batch_s` per hop",
        quantity="load_record_age_p99",
        variables=("nodes",),
        # Many more changes than the target exhaust the bucket, and loads wait.
        only=_OVERLAY | _TARGET_ENGINES | {"marks_per_s": 0.2},
    ),
    Row(
        _CONTROL_ROLE,
        "messages by number of engines, 48 nodes",
        "bytes/s",
        "`nodes/exchange.py` `LOAD_RECORDS_PER_S`: a fixed rate per data centre",
        quantity="control_traffic",
        variables=("engines",),
        only=_OVERLAY | {"nodes": 48.0, "marks_per_s": 0.2, "seed": 1.0},
        budget=3_000.0,
        relief="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
    ),
    Row(
        _DATA_ROLE,
        "state",
        "organisations",
        "`admission.py`: a queue and a share per organisation",
        calculated=ORGANISATIONS,
        formula="organisations",
    ),
    Row(
        _DATA_ROLE,
        "messages",
        "tokens/s",
        "`callers/`: the platform's load balancer spreads callers over the nodes",
        calculated=TOKENS_PER_S / SERVING_NODES,
        formula="tokens/s / nodes of five data centres",
    ),
    Row(
        _DATA_ROLE,
        "processor",
        "core",
        "`dispatch.py`, `backends/stream.py`: one task per request",
        quantity="node_data_path_cpu",
        variables=("tokens_per_s",),
        budget=1.0,
        relief="several tokens of a stream in one write",
    ),
    Row(
        _DATA_ROLE,
        "memory",
        "bytes",
        "`callers/body.py`: bodies are bounded in number and size",
        quantity="node_data_path_memory",
        variables=("requests_per_s",),
    ),
    Row(
        _WATCHER_ROLE,
        "state",
        "engines",
        "`nodes/watch.py`: rendezvous hashing, two watchers for each engine",
        calculated=ENGINES * WATCHERS_PER_ENGINE / NODES,
        formula="2 * engines / nodes",
    ),
    Row(
        _WATCHER_ROLE,
        "messages",
        "polls/s",
        "`backends/watcher.py`: one poll per engine and second",
        calculated=TARGET["polls_per_s"],
        formula="2 * engines / nodes / 1 s",
    ),
    Row(
        _WATCHER_ROLE,
        "processor",
        "core",
        "`backends/watcher.py`",
        quantity="watcher_cpu",
        variables=("polls_per_s",),
        budget=0.012,
        relief="a poll interval that grows with the number of engines",
    ),
    Row(
        _WATCHER_ROLE,
        "processor, with node control work",
        "core",
        "sum of both roles of one process; its idle time is counted twice",
        parts=("control_cpu", "watcher_cpu"),
        budget=0.012,
        relief="a poll interval that grows with the number of engines",
    ),
    Row(
        _WATCHER_ROLE,
        "memory",
        "bytes",
        "`backends/table.py`",
        quantity="watcher_memory",
        variables=("engines",),
        budget=256e6,
    ),
    Row(
        _STORE_ROLE,
        "state",
        "claim rows",
        "`claim.py`: keys are kept for 24 h, sweeps are divided among the nodes",
        calculated=CLAIMS_PER_S * DAY_S,
        formula="claims/s * 24 h",
    ),
    Row(
        _STORE_ROLE,
        "writes for claims",
        "writes/s",
        "`claim.py`: a token bucket per node holds the reserved rate",
        calculated=CLAIMS_PER_S * WRITES_PER_CLAIM,
        formula="2 * claims/s",
        budget=200.0,
        relief="a lower share of non-idempotent requests",
    ),
    Row(
        _STORE_ROLE,
        "writes for configuration",
        "writes/s",
        "`store/sections.py`: one transaction per change",
        calculated=CHANGES_PER_DAY * 2 / DAY_S,
        formula="2 rows * changes/day / 86,400 s",
    ),
    Row(
        _STORE_ROLE,
        "reads for configuration",
        "reads/s",
        "`config_feed.py`: one row per poll; changes arrive from nodes",
        calculated=NODES / (CONFIG_POLL_INTERVAL_S * 0.85),
        formula="nodes / mean poll interval",
        budget=2_000.0,
        relief="a longer poll interval, because changes arrive from nodes",
    ),
    Row(
        _STORE_ROLE,
        "writes measured per request",
        "writes/s",
        "`claim.py`",
        quantity="store_claim_writes",
        variables=("claims_per_s",),
        budget=200.0,
        relief="a lower share of non-idempotent requests",
    ),
    Row(
        _STORE_ROLE,
        "processor and memory of the client",
        "core",
        "`store/client.py`",
        quantity="store_client_cpu",
        variables=("claims_per_s",),
    ),
    Row(
        _ENGINE_ROLE,
        "state",
        "watchers",
        "`nodes/watch.py`",
        calculated=WATCHERS_PER_ENGINE,
        formula="watchers per engine",
    ),
    Row(
        _ENGINE_ROLE,
        "messages per engine",
        "polls/s",
        "`backends/watcher.py`: only watchers poll",
        calculated=WATCHERS_PER_ENGINE / LOAD_POLL_INTERVAL_S,
        formula="watchers / 1 s",
    ),
    Row(
        _ENGINE_ROLE,
        "processor",
        "core",
        "`backends/engine.py`",
        quantity="engine_control_cpu",
        variables=("polls_per_s",),
    ),
    Row(
        _ENGINE_ROLE,
        "memory",
        "bytes",
        "reservations with an owner and an end time",
        quantity="engine_control_memory",
        variables=("polls_per_s",),
    ),
)


@dataclass(frozen=True)
class Result:
    """A row with its value at the target size."""

    row: Row
    value: float | None = None
    error: float | None = None
    state: str = "not measured"
    command: str = ""
    fit: Fit | None = None


def evaluate(row: Row, lines: Sequence[Line]) -> Result:
    """Return the value of a row at the target size."""
    if row.calculated is not None:
        state = _judge(row, row.calculated, 0.0, "calculated")
        return Result(row, row.calculated, None, state, row.formula)
    if row.parts:
        return _add(row, lines)
    used = [line for line in lines if line.quantity == row.quantity]
    used = [n for n in used if _matches(n, row)]
    if not used:
        return Result(row)
    command = used[-1].command
    fitted = fit(used, row.variables)
    if fitted is None:
        return _largest(row, used)
    value, error = fitted.project(TARGET)
    state = _judge(row, value, error, "within budget" if row.budget else "measured")
    return Result(row, value, error, state, command, fitted)


def _add(row: Row, lines: Sequence[Line]) -> Result:
    """Return the sum of other rows; it is not measured when one of them is not."""
    results = [evaluate(r, lines) for r in ROWS if r.quantity in row.parts]
    if any(result.value is None or result.error is None for result in results):
        return Result(row)
    value = sum(result.value for result in results)
    error = sum(result.error**2 for result in results) ** 0.5
    state = _judge(row, value, error, "within budget" if row.budget else "measured")
    return Result(row, value, error, state, " + ".join(row.parts))


def _matches(line: Line, row: Row) -> bool:
    has_variables = all(name in line.variables for name in row.variables)
    chosen = all(line.variables.get(k) == v for k, v in row.only.items())
    large = all(line.variables.get(k, 0) >= v for k, v in row.least.items())
    return has_variables and chosen and large


def _largest(row: Row, used: Sequence[Line]) -> Result:
    """Return the measured value nearest to the target, without a projection."""
    line = max(used, key=lambda n: _place(n, row.variables))
    place = ", ".join(f"{n} {_number(line.variables[n])}" for n in row.variables)
    state = f"slope not measured, {len(used)} points; value at {place}"
    if row.budget is not None and line.value > row.budget:
        state = f"OVER BUDGET at {place}: {row.relief}"
    return Result(row, line.value, None, state, line.command)


def _judge(row: Row, value: float, error: float, otherwise: str) -> str:
    if row.budget is None:
        return otherwise
    if value > row.budget:
        return f"OVER BUDGET: {row.relief}"
    if value + 2 * error > row.budget:
        return f"within budget, but not by two standard errors: {row.relief}"
    return otherwise


def render(lines: Sequence[Line]) -> str:
    """Return the page."""
    results = [evaluate(row, lines) for row in ROWS]
    parts = [_INTRODUCTION]
    for role in dict.fromkeys(row.role for row in ROWS):
        parts.append(f"## {role}\n")
        parts.append(_role_table([r for r in results if r.row.role == role]))
    parts += ["## Slopes\n", _SLOPES, _slope_table(results)]
    parts += ["## Overlay and gossip\n", _POLICIES, _policy_table(lines)]
    other = _other_table(lines)
    if other:
        parts += ["## Other measurements\n", _OTHER, other]
    return "\n".join(parts)


_INTRODUCTION = f"""# Capacity

This page is written by `papayarelay capacity` from the lines in
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
            "" if r.value is None else _value(r.value, r.error),
            r.row.unit,
            "" if r.row.budget is None else _number(r.row.budget),
            r.state,
            r.row.mechanism,
            f"`{r.command}`" if r.command else "",
        )
        for r in results
    ]
    head = ("item", "at target size", "unit", "budget", "result", "mechanism", "from")
    return _table(head, rows)


def _slope_table(results: Sequence[Result]) -> str:
    rows = []
    for result in results:
        if result.fit is None:
            continue
        rows.append((result.row.quantity, result.row.unit, *_fit_cells(result.fit)))
    head = ("quantity", "unit", "intercept", "slopes", "residual", "points")
    return _table(head, rows)


def _fit_cells(fitted: Fit) -> tuple[str, str, str, str]:
    pairs = list(zip(fitted.coefficients, fitted.errors, strict=True))
    slopes = [
        f"{name}: {_value(*pair)}"
        for name, pair in zip(fitted.variables, pairs[1:], strict=True)
    ]
    return (
        _value(*pairs[0]),
        "; ".join(slopes),
        _number(fitted.residual),
        str(fitted.points),
    )


def _policy_table(lines: Sequence[Line]) -> str:
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
        (_number(nodes), policy, *(_mean(values.get(q)) for q in quantities))
        for (nodes, policy), values in sorted(groups.items())
        if nodes in both
    ]
    return _table(("nodes", "policy", *quantities), rows)


def _mean(values: Sequence[float] | None) -> str:
    return "" if not values else _number(sum(values) / len(values))


def _other_table(lines: Sequence[Line]) -> str:
    used = {row.quantity for row in ROWS}
    groups: dict[str, list[Line]] = {}
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
            span = f"{_number(min(values))} to {_number(max(values))}"
            cells = (span, "", "", str(len(group)))
        else:
            cells = _fit_cells(fitted)
        rows.append((quantity, group[0].unit, *cells, f"`{group[-1].command}`"))
    if not rows:
        return ""
    head = ("quantity", "unit", "intercept", "slopes", "residual", "points", "from")
    return _table(head, rows)


def _fit_numeric(group: Sequence[Line]) -> Fit | None:
    """Fit over all numeric variables that every line has."""
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


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def _value(value: float, error: float | None) -> str:
    return _number(value) if error is None else f"{_number(value)} ± {_number(error)}"


def _number(value: float | str) -> str:
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
        page = render(read_lines(namespace.measurements))
        namespace.output.write_text(page, "utf-8")
    except (MeasurementError, OSError) as error:
        print(f"papayarelay capacity: {error}", file=sys.stderr)
        return 2
    print(f"wrote {namespace.output}")
    return 0
