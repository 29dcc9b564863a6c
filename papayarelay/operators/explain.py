"""The explain command: traces one request through the logs of all nodes."""

from __future__ import annotations

import argparse
import datetime
import json
import sys
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from .command import CommandError, add_json_option, add_parser, print_result

# Context events are included from this long before the first line of a request.
CONTEXT_S = 5.0
COMMON_FIELDS = frozenset({"time", "level", "event", "text", "node"})
# Context events: process, configuration, store, nodes and logging.
CONTEXT_EVENTS = ("PR10", "PR11", "PR14", "PR15", "PR19")
BACKEND_EVENTS = "PR12"
PLACED = "PR1307"
ATTEMPT_FAILED = "PR1308"
ENDS = {
    "PR1301": "finished",
    "PR1302": "failed",
    "PR1303": "refused",
    "PR1304": "caller gone",
    "PR1305": "failed, outcome unknown",
    "PR1310": "not admitted",
}
HELD_BACK = "PR1312"
# What was done with a request that may crash engines.
SUSPICIONS = {
    "PR1313": "rejected",
    "PR1314": "held",
    "PR1315": "sent apart from others",
    "PR1316": "let through as a trial",
}
NOT_IN_END = frozenset({"request", "member", "kind"})


@dataclass(frozen=True)
class Line:
    """One log line; ``fields`` are those not common to all lines."""

    time_s: float
    node: str
    event: str
    text: str
    fields: dict[str, object] = field(default_factory=dict)

    def describe(self, start_s: float) -> str:
        """Return the line as text, with its time relative to ``start_s``."""
        values = " ".join(f"{name}={value}" for name, value in self.fields.items())
        at = f"{self.time_s - start_s:+9.3f} s"
        return f"{at}  {self.node}  {self.event} {self.text}  {values}".rstrip()


@dataclass(frozen=True)
class RequestTrace:
    """The log lines of a request and the context events of its nodes."""

    request: str
    lines: tuple[Line, ...]
    context_lines: tuple[Line, ...]

    @property
    def end(self) -> str:
        """Return how the request ended, with the fields of its last line."""
        ends = [line for line in self.lines if line.event in ENDS]
        if not ends:
            return "no end in these logs: the node was killed, or lines were dropped"
        last = ends[-1]
        fields = {k: v for k, v in last.fields.items() if k not in NOT_IN_END}
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{ENDS[last.event]} at {last.node}: {values}"

    @property
    def attempts(self) -> tuple[str, ...]:
        """Return the server of each attempt, and how the attempt failed."""
        found = []
        for line in self.lines:
            if line.event == PLACED:
                found.append(str(line.fields.get("backend")))
            elif line.event == ATTEMPT_FAILED and found:
                reason = line.fields.get("reason")
                found[-1] += f" ({reason}, outcome {line.fields.get('outcome')})"
        return tuple(found)

    @property
    def held_back(self) -> tuple[str, ...]:
        """Return the rate limits that held the request back."""
        return tuple(
            f"{line.fields.get('backend')}: {line.fields.get('limit_per_s')} a second "
            f"for all nodes, learnt {line.fields.get('limit_age_s')} s before from "
            f"{line.fields.get('reason')}; {line.fields.get('peer')} issued "
            f"{line.fields.get('issued_per_s')} a second, the next in "
            f"{line.fields.get('next_free_s')} s"
            for line in self.lines
            if line.event == HELD_BACK
        )

    @property
    def suspicions(self) -> tuple[str, ...]:
        """Return what of the request may crash engines: prompt segments, or all."""
        return tuple(
            f"{SUSPICIONS[line.event]} for {line.fields.get('reason', 'segment')} "
            f"{line.fields.get('segment')}, known "
            f"for {line.fields.get('age_s')} s: {line.fields.get('crashes_count')} "
            f"crashes, of {_join(line.fields.get('backends'))}, seen by "
            f"{_join(line.fields.get('peers'))}"
            for line in self.lines
            if line.event in SUSPICIONS
        )


def _join(names: object) -> str:
    return ", ".join(map(str, names)) if isinstance(names, list) else str(names)


def parse_line(text: str) -> Line | None:
    """Parse a log line, also after a prefix; return None for other text."""
    start = text.find("{")
    try:
        values = json.loads(text[start:]) if start >= 0 else None
        moment = datetime.datetime.fromisoformat(values["time"])
        head = [str(values[name]) for name in ("node", "event", "text")]
    except (ValueError, KeyError, TypeError):
        return None
    fields = {
        k: v for k, v in values.items() if k not in COMMON_FIELDS and v is not None
    }
    return Line(moment.timestamp(), *head, fields)


def trace_request(request: str, texts: Iterable[str]) -> RequestTrace | None:
    """Return the trace of a request, or None if no line contains its id."""
    lines = [line for text in texts if (line := parse_line(text)) is not None]
    request_lines = [line for line in lines if line.fields.get("request") == request]
    if not request_lines:
        return None
    request_lines.sort(key=lambda line: line.time_s)
    start_s, end_s = request_lines[0].time_s - CONTEXT_S, request_lines[-1].time_s
    nodes = {line.node for line in request_lines}
    backends = {line.fields.get("backend") for line in request_lines} - {None}
    segments = {s for line in request_lines for s in line.fields.get("segments", ())}
    segments |= {line.fields.get("digest") for line in request_lines} - {None}
    context_lines = [
        line
        for line in lines
        if line.node in nodes
        and start_s <= line.time_s <= end_s
        and "request" not in line.fields
        and _is_context(line, backends, segments)
    ]
    context_lines.sort(key=lambda line: line.time_s)
    return RequestTrace(request, tuple(request_lines), tuple(context_lines))


def _is_context(
    line: Line, backends: set[object], segments: Collection[object]
) -> bool:
    if line.fields.get("segment") in segments:
        return True
    if line.event.startswith(BACKEND_EVENTS):
        return line.fields.get("backend") in backends
    return line.event.startswith(CONTEXT_EVENTS)


def describe(trace: RequestTrace) -> Iterator[str]:
    """Yield a trace as lines of text."""
    start_s = trace.lines[0].time_s
    yield f"request {trace.request}"
    for line in trace.lines:
        yield line.describe(start_s)
    if trace.context_lines:
        yield f"other events of its nodes, from {CONTEXT_S:g} s before the request"
        for line in trace.context_lines:
            yield line.describe(start_s)
    for text in trace.held_back:
        yield f"held back by the limit of {text}"
    yield from trace.suspicions
    yield f"sent to: {', '.join(trace.attempts) or 'no server'}"
    yield f"end: {trace.end}"


def add_arguments(subparsers) -> None:
    """Add the command to the command line."""
    parser = add_parser(
        subparsers,
        "explain",
        "trace one request through the logs of all nodes",
        "papayarelay explain 5f0c2a91 n1.log n2.log",
    )
    parser.add_argument("request", metavar="ID", help="id of the request")
    parser.add_argument(
        "logs",
        metavar="LOG",
        nargs="*",
        help="log files of nodes (default: standard input)",
    )
    add_json_option(parser)


def run(namespace: argparse.Namespace) -> int:
    """Run the command; return its exit code."""
    trace = trace_request(namespace.request, _read(namespace.logs))
    if trace is None:
        raise CommandError(
            f"no line contains the request id {namespace.request}",
            "Pass the logs of all nodes, and check them for PR1903 (dropped lines).",
        )
    result = {
        "request": trace.request,
        "end": trace.end,
        "attempts": trace.attempts,
        "held_back": trace.held_back,
        "suspicions": trace.suspicions,
        "lines": [line.describe(trace.lines[0].time_s) for line in trace.lines],
        "beliefs": [
            line.describe(trace.lines[0].time_s) for line in trace.context_lines
        ],
    }
    print_result(namespace, result, describe(trace))
    return 0


def _read(paths: Iterable[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with Path(path).open(errors="replace") as file:
                yield from file
        except OSError as error:
            raise CommandError(f"cannot read {path}", "Correct the path.") from error
