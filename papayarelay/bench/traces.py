"""Request traces: seeded generator, reader and writer.

A trace is a file of JSON lines, one request each, ordered by arrival:

=================  ========================================================
``arrival_s``      arrival time in seconds since the start of the trace
``member``         member (customer)
``organisation``   organisation of the member
``kind``           name of the request kind
``prompt_tokens``  length of the prompt in tokens
``output_tokens``  number of tokens that the engine generates
``prefix_group``   requests of one group share a prompt prefix; "" for none
``prefix_tokens``  length of the shared prefix in tokens
=================  ========================================================
"""

from __future__ import annotations

import bisect
import itertools
import json
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path

from ..request import RequestKind

SHORT_TOKENS = 4_000
LONG_TOKENS = 100_000
MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000
LONG_FRACTION = 0.02
LONG_SHAPE = 1.2
PROMPT_MEDIAN = 2_200
PROMPT_SIGMA = 0.8
OUTPUT_MEDIAN = 200
OUTPUT_SIGMA = 0.7
MAX_OUTPUT_TOKENS = 2_000
MIN_OUTPUT_TOKENS = 8
PREFIX_FRACTION = 0.5
PREFIX_SHARE = 0.5
GROUPS_PER_ORGANISATION = 4
MAX_PREFIX_TOKENS = 4_000


class TraceError(ValueError):
    """Raised for a malformed line of a trace."""


@dataclass(frozen=True)
class TraceRequest:
    """One request of a trace; the module docstring describes the fields."""

    arrival_s: float
    member: str
    organisation: str
    kind: str
    prompt_tokens: int
    output_tokens: int
    prefix_group: str = ""
    prefix_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the sum of prompt and output tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def short(self) -> bool:
        """Return whether the prompt counts as short."""
        return self.prompt_tokens <= SHORT_TOKENS

    @property
    def long(self) -> bool:
        """Return whether the prompt counts as long."""
        return self.prompt_tokens > LONG_TOKENS


KINDS = {
    kind.name: kind
    for kind in (
        RequestKind("tag_text", deadline_s=60.0, priority=0),
        RequestKind("catalogue", deadline_s=120.0, priority=1),
        RequestKind("archive", deadline_s=900.0, priority=2),
        RequestKind("note", deadline_s=60.0, priority=0),
        RequestKind("summary", deadline_s=120.0, priority=1),
        RequestKind("history", deadline_s=900.0, priority=2),
    )
}
KINDS_BY_MEMBER = {
    "engravers": ("tag_text", "catalogue", "archive"),
    "dentists": ("note", "summary", "history"),
}


@dataclass(frozen=True)
class Deployment:
    """Size of a deployment, from section 1.1 of the design page."""

    name: str
    members: tuple[str, ...]
    data_centres: tuple[str, ...]
    engines: int
    nodes: int
    organisations: int = 10


DEPLOYMENTS = {
    each.name: each
    for each in (
        Deployment("dentists", ("dentists", "engravers"), ("dc1", "dc2", "dc3"), 25, 7),
        Deployment(
            "engravers", ("engravers", "dentists"), ("dc1", "dc2", "dc3"), 20, 6
        ),
    )
}


def generate(
    deployment: Deployment,
    requests_per_s: float,
    duration_s: float,
    seed: int,
    *,
    long_fraction: float = LONG_FRACTION,
    max_prompt_tokens: int = MAX_PROMPT_TOKENS,
    start_s: float = 0.0,
) -> list[TraceRequest]:
    """Return a trace with Poisson arrivals at a constant mean rate.

    Prompt lengths are log-normal, except for ``long_fraction`` of them, which
    exceed ``LONG_TOKENS`` and follow a truncated Pareto distribution.  The
    organisations follow a Zipf distribution (weights 1, 1/2, 1/3, ...).
    """
    rng = random.Random(f"{seed}/{start_s}")
    weights = [1 / (index + 1) for index in range(deployment.organisations)]
    ends = list(itertools.accumulate(weights))
    trace = []
    now_s = start_s
    while True:
        now_s += rng.expovariate(requests_per_s)
        if now_s >= start_s + duration_s:
            return trace
        member = rng.choice(deployment.members)
        index = bisect.bisect(ends, rng.random() * ends[-1])
        prompt = _draw_prompt(rng, long_fraction, max_prompt_tokens)
        output = round(rng.lognormvariate(math.log(OUTPUT_MEDIAN), OUTPUT_SIGMA))
        group, prefix = "", 0
        if rng.random() < PREFIX_FRACTION:
            group = f"{member}/{index}/{rng.randrange(GROUPS_PER_ORGANISATION)}"
            prefix = min(MAX_PREFIX_TOKENS, int(PREFIX_SHARE * prompt))
        trace.append(
            TraceRequest(
                arrival_s=now_s,
                member=member,
                organisation=f"org{index}",
                kind=_kind(member, prompt),
                prompt_tokens=prompt,
                output_tokens=min(MAX_OUTPUT_TOKENS, max(MIN_OUTPUT_TOKENS, output)),
                prefix_group=group,
                prefix_tokens=prefix,
            )
        )


def only_short(trace: Iterable[TraceRequest]) -> list[TraceRequest]:
    """Return the short requests of a trace with unchanged arrival times."""
    return [request for request in trace if request.short]


def without_long(trace: Iterable[TraceRequest]) -> list[TraceRequest]:
    """Return a trace without the prompts that exceed ``LONG_TOKENS``."""
    return [request for request in trace if not request.long]


def merge(*traces: Iterable[TraceRequest]) -> list[TraceRequest]:
    """Merge several traces into one, ordered by arrival time."""
    return sorted(itertools.chain(*traces), key=lambda request: request.arrival_s)


def shift(trace: Iterable[TraceRequest], seconds: float) -> list[TraceRequest]:
    """Return a trace with all arrivals delayed by ``seconds``."""
    return [replace(each, arrival_s=each.arrival_s + seconds) for each in trace]


def write(trace: Iterable[TraceRequest], path: Path) -> None:
    """Write a trace as JSON lines."""
    with path.open("w", encoding="utf-8") as file:
        for request in trace:
            file.write(json.dumps(asdict(request)) + "\n")


def read(path: Path) -> list[TraceRequest]:
    """Read a trace; raises TraceError, with the line number, if it is malformed."""
    with path.open(encoding="utf-8") as file:
        return merge(_parse(file))


def _parse(lines: Iterable[str]) -> Iterator[TraceRequest]:
    types = {field.name: field.type for field in fields(TraceRequest)}
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            values = json.loads(line)
            request = TraceRequest(**values)
            for name, expected in types.items():
                allowed = {"float": (int, float), "int": int, "str": str}[expected]
                if not isinstance(getattr(request, name), allowed):
                    raise TypeError(f"{name} must be of type {expected}")
            if request.kind not in KINDS:
                raise ValueError(f"unknown kind {request.kind!r}")
            if request.prompt_tokens < 1 or request.output_tokens < 1:
                raise ValueError("prompt_tokens and output_tokens must be at least 1")
        except (TypeError, ValueError) as error:
            raise TraceError(f"line {number}: {error}") from error
        yield request


def _draw_prompt(rng: random.Random, long_fraction: float, limit: int) -> int:
    if rng.random() >= long_fraction:
        drawn = rng.lognormvariate(math.log(PROMPT_MEDIAN), PROMPT_SIGMA)
        return round(min(LONG_TOKENS, max(MIN_PROMPT_TOKENS, drawn)))
    # Inverse transform sampling of a Pareto distribution truncated at the limit.
    tail = (LONG_TOKENS / limit) ** LONG_SHAPE
    uniform = 1 - rng.random() * (1 - tail)
    return min(limit, math.ceil(LONG_TOKENS * uniform ** (-1 / LONG_SHAPE)) + 1)


def _kind(member: str, prompt_tokens: int) -> str:
    short, medium, long = KINDS_BY_MEMBER[member]
    if prompt_tokens <= SHORT_TOKENS:
        return short
    return medium if prompt_tokens <= 32_000 else long
