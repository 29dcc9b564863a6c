"""Rows of the capacity page and the target size for their projection."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

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
# Design, section 3.1: up to one request in ten is non-idempotent.
CLAIMS_PER_S = REQUESTS_PER_S / 10
WRITES_PER_CLAIM = 2
CONFIG_POLL_INTERVAL_S = 2.0
LOAD_POLL_INTERVAL_S = 1.0
# With one data centre out of service, the other five of six carry the traffic.
REMAINING_SHARE = 5 / 6
SERVING_NODES = NODES * REMAINING_SHARE
# Two cold or drain records per daily restart of an engine and per replaced node.
MARKS_PER_DAY = 2 * ENGINES + 2 * REPLACEMENTS_PER_DAY

# Measurement variables at the target size, per node.
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


@dataclass(frozen=True)
class Row:
    """One row of the page: a measured, a calculated or a summed quantity."""

    role: str
    item: str
    unit: str
    mechanism: str
    quantity: str = ""
    variables: tuple[str, ...] = ()
    # Uses only measurements whose variables have these values.
    exact_values: Mapping[str, float | str] = field(default_factory=dict)
    # Uses only measurements whose variables have at least these values.
    minimum_values: Mapping[str, float] = field(default_factory=dict)
    budget: float | None = None
    # Set for a value that follows from the target size and from constants.
    calculated: float | None = None
    formula: str = ""
    # Quantities of the rows to add up, for a row that is a sum.
    summands: tuple[str, ...] = ()
    # Mitigation if the row exceeds its budget.
    mitigation: str = ""


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
        "`nodes/dissemination.py`: versions per record; loads stay in the data centre",
        calculated=ENGINES / DATA_CENTRES + MODELS * DATA_CENTRES + NODES,
        formula="engines / data centres + models * data centres + peers",
    ),
    Row(
        _CONTROL_ROLE,
        "messages, sent and received",
        "bytes/s",
        "`nodes/dissemination.py` `ByteBucket`: counts frames with headers; loads wait",
        quantity="control_traffic",
        variables=_CONTROL,
        exact_values=_OVERLAY | _TARGET_ENGINES,
        budget=3_000.0,
        mitigation="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "the same, busiest node",
        "bytes/s",
        "`nodes/overlay.py`: matchings give every node nearly the same links",
        quantity="control_traffic_worst_node",
        variables=("nodes", "changes_per_s", "marks_per_s"),
        exact_values=_OVERLAY | _TARGET_ENGINES,
        # With fewer nodes the overlay links of the data centres coincide.
        minimum_values={"nodes": 48.0},
        budget=3_000.0,
        mitigation="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "frames sent",
        "frames/s",
        "`nodes/links.py` `LinkTiming`: load records share a frame for `batch_s`",
        quantity="control_frames",
        variables=_CONTROL,
        exact_values=_OVERLAY | _TARGET_ENGINES,
    ),
    Row(
        _CONTROL_ROLE,
        "processor",
        "core",
        "`nodes/overlay.py`: five links per node at any size",
        quantity="control_cpu",
        variables=_CONTROL,
        exact_values=_OVERLAY | _TARGET_ENGINES,
        budget=0.012,
        mitigation="fewer frames by a longer `LinkTiming.batch_s`",
    ),
    Row(
        _CONTROL_ROLE,
        "memory of the process",
        "bytes",
        "`nodes/dissemination.py` `expire`, `nodes/view.py` `forget`",
        quantity="resident_memory",
        variables=("nodes",),
        exact_values=_OVERLAY | _TARGET_ENGINES,
        budget=256e6,
        mitigation="shorter `LOAD_TTL_S`",
    ),
    Row(
        _CONTROL_ROLE,
        "delay of urgent records, worst node",
        "s",
        "`nodes/overlay.py` `FixedOverlay`: records flood at once",
        quantity="urgent_delay_worst",
        variables=("nodes",),
        exact_values=_OVERLAY | _TARGET_ENGINES,
        budget=3.0,
        mitigation="a second matching in each data centre",
    ),
    Row(
        _CONTROL_ROLE,
        "the same after a tenth of the nodes has failed",
        "s",
        "`nodes/overlay.py` `FixedOverlay`: five links per node, three of them local",
        quantity="after_failure_urgent_delay_worst",
        variables=("nodes",),
        exact_values={"policy": "fixed_overlay"},
        budget=3.0,
        mitigation="a second matching in each data centre",
    ),
    Row(
        _CONTROL_ROLE,
        "age of load records, 99th percentile",
        "s",
        "`nodes/exchange.py` `LOAD_RECORDS_PER_S`; `batch_s` per hop",
        quantity="load_record_age_p99",
        variables=("nodes",),
        # Rates far above the target exhaust the token bucket and delay load records.
        exact_values=_OVERLAY | _TARGET_ENGINES | {"marks_per_s": 0.2},
    ),
    Row(
        _CONTROL_ROLE,
        "messages by number of engines, 48 nodes",
        "bytes/s",
        "`nodes/exchange.py` `LOAD_RECORDS_PER_S`: a fixed rate per data centre",
        quantity="control_traffic",
        variables=("engines",),
        exact_values=_OVERLAY | {"nodes": 48.0, "marks_per_s": 0.2, "seed": 1.0},
        budget=3_000.0,
        mitigation="longer `LinkTiming.batch_s` and lower `LOAD_RECORDS_PER_S`",
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
        mitigation="several tokens of a stream in one write",
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
        mitigation="a poll interval that grows with the number of engines",
    ),
    Row(
        _WATCHER_ROLE,
        "processor, with node control work",
        "core",
        "sum of both roles of one process; its idle time is counted twice",
        summands=("control_cpu", "watcher_cpu"),
        budget=0.012,
        mitigation="a poll interval that grows with the number of engines",
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
        mitigation="a lower share of non-idempotent requests",
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
        mitigation="a longer poll interval, because changes arrive from nodes",
    ),
    Row(
        _STORE_ROLE,
        "writes measured per request",
        "writes/s",
        "`claim.py`",
        quantity="store_claim_writes",
        variables=("claims_per_s",),
        budget=200.0,
        mitigation="a lower share of non-idempotent requests",
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
