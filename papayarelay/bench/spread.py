"""Measures state dissemination between nodes in real processes on loopback.

Each node is a process that runs an ``Exchange`` and simulates the watcher of its
share of the engines with random load reports.  The coordinator publishes urgent
records through random nodes and compares the times at which the nodes receive
them (all processes of one machine share the monotonic clock).

Run with ``python -m papayarelay.bench.spread --nodes 48``.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent
from gevent.socket import wait_read

from ..nodes.exchange import (
    DrainState,
    Exchange,
    ExchangeSettings,
    Handlers,
    LoadRecord,
)

MAX_NODES = 200
MODELS = 14
REGIONS = 2
DATA_CENTRES = 6
POLL_INTERVAL_S = 1.0
SETTLE_S = 12.0
EVENT_SPACING_S = 1.0
# TCP and IP headers with timestamps, and the length prefix of nng.
SEGMENT_BYTES = 52
NNG_HEADER_BYTES = 8
KEY = b"benchmark key, not a secret 0123"


class Worker:
    """One node process; reads commands as JSON lines from standard input."""

    def __init__(self, options: dict[str, Any]):
        self._engines = options["engines"]
        self._rng = random.Random(options["seed"])
        self._receipts: list[list[Any]] = []
        settings = ExchangeSettings(
            options["name"],
            options["data_centre"],
            options["region"],
            KEY,
            policy=options["policy"],
        )
        handlers = Handlers(
            on_config=lambda version, _: self._record_receipt(f"config/{version}"),
            on_cold=lambda engine, cold: self._record_receipt(f"cold/{engine}/{cold}"),
            on_drain=lambda target, state: self._record_receipt(
                f"drain/{target}/{int(state)}"
            ),
        )
        self._exchange = Exchange(settings, self._rng, handlers)
        self._loads = dict.fromkeys(self._engines, 0.5)

    def run(self) -> None:
        """Execute commands until ``stop`` or the end of the input."""
        self._exchange.start()
        self._reply({"address": self._exchange.address})
        watcher = gevent.spawn(self._watch)
        for command in self._commands():
            if command["do"] == "stop":
                break
            getattr(self, f"_do_{command['do']}")(command)
        watcher.kill()
        self._exchange.close()

    def _commands(self):
        buffer = b""
        while True:
            wait_read(0)
            data = os.read(0, 65_536)
            if not data:
                return
            *lines, buffer = (buffer + data).split(b"\n")
            yield from map(json.loads, lines)

    def _reply(self, answer: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()

    def _record_receipt(self, what: str) -> None:
        self._receipts.append([what, time.monotonic()])

    def _do_peers(self, command: dict[str, Any]) -> None:
        self._exchange.set_peers(command["peers"], time.monotonic())
        self._exchange.publish_config(1, command["sections"])

    def _do_config(self, command: dict[str, Any]) -> None:
        self._record_receipt(f"config/{command['version']}")
        section = dict(self._exchange.config[1]["backends"])
        section[command["entry"]] = {"state": f"state {command['version']}"}
        self._exchange.publish_config(command["version"], {"backends": section})

    def _do_cold(self, command: dict[str, Any]) -> None:
        self._record_receipt(f"cold/{command['engine']}/{command['cold']}")
        now_s = time.monotonic()
        self._exchange.publish_cold(command["engine"], command["cold"], now_s)

    def _do_drain(self, command: dict[str, Any]) -> None:
        self._record_receipt(f"drain/{command['target']}/{command['state']}")
        state = DrainState(command["state"])
        self._exchange.publish_drain(command["target"], state, time.monotonic())

    def _do_report(self, command: dict[str, Any]) -> None:
        status = self._exchange.status(time.monotonic())
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._reply(
            {
                "at_s": time.monotonic(),
                "cpu_s": usage.ru_utime + usage.ru_stime,
                "rss_bytes": _resident_bytes(),
                "counters": status["counters"],
                "refused": status["refused"],
                "links": len(status["links"]),
                "suspects": sum(p["state"] == "suspect" for p in status["peers"]),
                "config_version": status["config_version"],
                "ages_s": self._ages_s(),
                "seen": self._receipts if command["with_seen"] else [],
            }
        )

    def _ages_s(self) -> list[float]:
        """Return the ages of the load records that this node holds."""
        now_s = time.monotonic()
        records = [self._exchange.load(engine) for engine in self._engines]
        return [round(now_s - r.reported_s, 3) for r in records if r is not None]

    def _watch(self) -> None:
        gevent.sleep(self._rng.uniform(0, POLL_INTERVAL_S))
        while True:
            now_s = time.monotonic()
            for engine in self._exchange.watched_engines(self._engines, now_s):
                self._exchange.publish_load(
                    self._next_load_record(engine, now_s), now_s
                )
            self._publish_summaries(now_s)
            gevent.sleep(POLL_INTERVAL_S)

    def _next_load_record(self, engine: str, now_s: float) -> LoadRecord:
        level = self._loads[engine] + self._rng.uniform(-0.2, 0.2)
        level = self._loads[engine] = min(1.0, max(0.0, level))
        return LoadRecord(
            engine, "warm", 1_000_000, int(level * 1_000_000), int(level * 80_000),
            int(level * 60), 8_000.0, now_s,
        )  # fmt: skip

    def _publish_summaries(self, now_s: float) -> None:
        own = self._exchange.status(now_s)["name"].split("-")[0]
        for number in range(MODELS):
            model = f"model-{number}"
            if self._exchange.publishes_summary(model):
                level = self._rng.random()
                record = LoadRecord("", "warm", 9_000_000, int(level * 9_000_000))
                self._exchange.publish_summary(own, model, record, now_s)


def _resident_bytes() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


@dataclass
class WorkerHandle:
    """The coordinator's handle of a worker process."""

    name: str
    data_centre: str
    region: str
    process: subprocess.Popen
    address: str = ""
    before: dict[str, Any] = field(default_factory=dict)
    after: dict[str, Any] = field(default_factory=dict)

    def send(self, command: dict[str, Any]) -> None:
        """Send a command to the worker."""
        self.process.stdin.write(json.dumps(command) + "\n")
        self.process.stdin.flush()

    def receive(self) -> dict[str, Any]:
        """Read one reply from the worker."""
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} exited with status {self.process.poll()}")
        return json.loads(line)


@dataclass(frozen=True)
class Options:
    """Parameters of one measurement; events are counted over the window."""

    nodes: int
    engines: int = 600
    policy: str = "fixed_overlay"
    window_s: float = 30.0
    changes: int = 5
    marks: int = 6
    # Fraction of the nodes killed before the last changes are published.
    kill: float = 0.0
    seed: int = 1

    def command(self) -> str:
        """Return the command that repeats the measurement."""
        return (
            f"python -m papayarelay.bench.spread --nodes {self.nodes} --engines "
            f"{self.engines} --policy {self.policy} --window {self.window_s:g} "
            f"--changes {self.changes} --marks {self.marks} --kill {self.kill:g} "
            f"--seed {self.seed}"
        )


class SpreadBenchmark:
    """Starts the node processes, publishes events and collects the results."""

    def __init__(self, options: Options):
        self._options = options
        self._rng = random.Random(options.seed)
        self._nodes: list[WorkerHandle] = []
        self._version = 1

    def run(self) -> list[dict[str, Any]]:
        """Run the measurement; return the results as lines of a measurement file."""
        try:
            self._start()
            time.sleep(SETTLE_S)
            for node in self._nodes:
                node.before = self._report(node, with_seen=False)
            events = self._events()
            for node in self._nodes:
                node.after = self._report(node, with_seen=True)
            lines = self._lines(events)
            if self._options.kill:
                lines = self._after_failure()
            return lines
        finally:
            self._stop()

    def _start(self) -> None:
        for number in range(self._options.nodes):
            place = number % DATA_CENTRES
            region = f"r{place * REGIONS // DATA_CENTRES}"
            name = f"dc{place}-node{number:03}"
            engines = range(place, self._options.engines, DATA_CENTRES)
            arguments = {
                "name": name,
                "data_centre": f"dc{place}",
                "region": region,
                "engines": [f"engine-{engine}" for engine in engines],
                "policy": self._options.policy,
                "seed": self._options.seed * 1_000 + number,
            }
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    __spec__.name,
                    "--worker",
                    json.dumps(arguments),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            self._nodes.append(WorkerHandle(name, f"dc{place}", region, process))
        for node in self._nodes:
            node.address = node.receive()["address"]
        peers = [
            {
                "name": node.name,
                "address": node.address,
                "data_centre": node.data_centre,
                "region": node.region,
                "state": "live",
            }
            for node in self._nodes
        ]
        sections = {"backends": {"engine-0": {"state": "active"}}}
        for node in self._nodes:
            node.send({"do": "peers", "peers": peers, "sections": sections})

    def _stop(self) -> None:
        for node in self._nodes:
            if node.process.poll() is None:
                node.process.stdin.close()
        for node in self._nodes:
            try:
                node.process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                node.process.kill()
                node.process.wait()

    def _report(self, node: WorkerHandle, with_seen: bool) -> dict[str, Any]:
        node.send({"do": "report", "with_seen": with_seen})
        return node.receive()

    def _events(self) -> list[str]:
        options = self._options
        kinds = ["config"] * options.changes
        kinds += [("cold", "drain")[i % 2] for i in range(options.marks)]
        self._rng.shuffle(kinds)
        started_s = time.monotonic()
        spacing_s = options.window_s / (len(kinds) + 1)
        events = []
        for number, kind in enumerate(kinds):
            time.sleep(max(0.0, started_s + number * spacing_s - time.monotonic()))
            events.append(self._publish(kind, number, self._nodes))
        time.sleep(max(0.0, started_s + options.window_s - time.monotonic()))
        return events

    def _publish(self, kind: str, number: int, nodes: Sequence[WorkerHandle]) -> str:
        node = self._rng.choice(nodes)
        if kind == "config":
            self._version += 1
            entry = f"engine-{number}"
            node.send({"do": "config", "version": self._version, "entry": entry})
            return f"config/{self._version}"
        if kind == "cold":
            node.send({"do": "cold", "engine": f"engine-{number}", "cold": True})
            return f"cold/engine-{number}/True"
        target = f"backend/engine-{number}"
        node.send({"do": "drain", "target": target, "state": 2})
        return f"drain/{target}/2"

    def _after_failure(self) -> list[dict[str, Any]]:
        count = round(self._options.kill * len(self._nodes))
        killed = self._rng.sample(self._nodes, count)
        for node in killed:
            node.process.kill()
        live = [node for node in self._nodes if node not in killed]
        events = []
        for number in range(5):
            events.append(self._publish("config", 100 + number, live))
            time.sleep(EVENT_SPACING_S)
        time.sleep(5)
        for node in live:
            node.after = self._report(node, with_seen=True)
        self._nodes = live
        lines = self._delay_lines(events, "after_failure_")
        for node in killed:
            node.process.wait()
        return lines

    def _lines(self, events: Sequence[str]) -> list[dict[str, Any]]:
        values: dict[str, tuple[str, float]] = {}
        for name, unit, function in _QUANTITIES:
            values[name] = (unit, statistics.fmean(function(n) for n in self._nodes))
        for name, unit, function in _QUANTITIES:
            if name in ("control_traffic", "control_cpu", "resident_memory"):
                worst = max(function(n) for n in self._nodes)
                values[f"{name}_worst_node"] = (unit, worst)
        ages = [age for node in self._nodes for age in node.after["ages_s"]]
        if ages:
            ages.sort()
            values["load_record_age_median"] = ("s", statistics.median(ages))
            values["load_record_age_p99"] = ("s", ages[int(len(ages) * 0.99)])
        lines = [self._line(n, unit, value) for n, (unit, value) in values.items()]
        return lines + self._delay_lines(events, "")

    def _delay_lines(self, events: Sequence[str], prefix: str) -> list[dict[str, Any]]:
        if not events:
            return []
        seen: dict[str, list[float]] = {event: [] for event in events}
        for node in self._nodes:
            # A node can log an event twice, the second time after fetching its
            # content; the first time counts.
            for what, at_s in dict(reversed(node.after["seen"])).items():
                if what in seen:
                    seen[what].append(at_s)
        missing = sum(len(self._nodes) - len(times) for times in seen.values())
        delays = [t - min(times) for times in seen.values() for t in times]
        values = {
            "urgent_delay_median": ("s", statistics.median(delays)),
            "urgent_delay_worst": ("s", max(delays)),
            "urgent_not_received": ("records", float(missing)),
        }
        return [self._line(prefix + n, u, value) for n, (u, value) in values.items()]

    def _line(self, quantity: str, unit: str, value: float) -> dict[str, Any]:
        options = self._options
        links = [node.after["links"] for node in self._nodes]
        return {
            "quantity": quantity,
            "unit": unit,
            "variables": {
                "nodes": options.nodes,
                "engines": options.engines,
                "data_centres": DATA_CENTRES,
                "links": round(statistics.fmean(links), 3),
                "changes_per_s": round(options.changes / options.window_s, 4),
                "marks_per_s": round(options.marks / options.window_s, 4),
                "killed": options.kill,
                "policy": options.policy,
                "seed": options.seed,
            },
            "value": round(value, 6),
            "command": options.command(),
        }


def _rate(node: WorkerHandle, function) -> float:
    elapsed_s = node.after["at_s"] - node.before["at_s"]
    return (function(node.after) - function(node.before)) / elapsed_s


def _counter(name: str):
    return lambda report: report["counters"].get(name, 0)


def _sent_bytes(report: dict[str, Any]) -> float:
    """Return the bytes sent, with estimated headers and acknowledgements."""
    counters = report["counters"]
    frames = counters.get("sent_frames", 0) * (SEGMENT_BYTES + NNG_HEADER_BYTES)
    acknowledgements = counters.get("received_frames", 0) * SEGMENT_BYTES
    return counters.get("sent_bytes", 0) + frames + acknowledgements


def _received_bytes(report: dict[str, Any]) -> float:
    counters = report["counters"]
    frames = counters.get("received_frames", 0) * (SEGMENT_BYTES + NNG_HEADER_BYTES)
    acknowledgements = counters.get("sent_frames", 0) * SEGMENT_BYTES
    return counters.get("received_bytes", 0) + frames + acknowledgements


_QUANTITIES = (
    ("control_sent", "bytes/s", lambda n: _rate(n, _sent_bytes)),
    ("control_received", "bytes/s", lambda n: _rate(n, _received_bytes)),
    (
        "control_traffic",
        "bytes/s",
        lambda n: _rate(n, _sent_bytes) + _rate(n, _received_bytes),
    ),
    ("control_frames", "frames/s", lambda n: _rate(n, _counter("sent_frames"))),
    ("new_records", "records/s", lambda n: _rate(n, _counter("new_records"))),
    ("known_records", "records/s", lambda n: _rate(n, _counter("known_records"))),
    ("control_cpu", "core", lambda n: _rate(n, lambda report: report["cpu_s"])),
    ("resident_memory", "bytes", lambda n: n.after["rss_bytes"]),
    ("suspects", "peers", lambda n: n.after["suspects"]),
    ("refused_frames", "frames", lambda n: sum(n.after["refused"].values())),
)


def parse_arguments(argv: Sequence[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="papayarelay.bench.spread")
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--engines", type=int, default=600)
    parser.add_argument("--policy", default="fixed_overlay")
    parser.add_argument("--window", type=float, default=30.0, help="duration (s)")
    parser.add_argument(
        "--changes", type=int, default=5, help="configuration changes in the window"
    )
    parser.add_argument(
        "--marks", type=int, default=6, help="cold and drain records in the window"
    )
    parser.add_argument("--kill", type=float, default=0.0, help="fraction of the nodes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", help="JSON lines file to append to")
    parser.add_argument("--worker", help=argparse.SUPPRESS)
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a measurement, or one node process of it (``--worker``)."""
    arguments = parse_arguments(argv)
    if arguments.worker:
        Worker(json.loads(arguments.worker)).run()
        return 0
    if not 2 <= arguments.nodes <= MAX_NODES:
        raise SystemExit(f"--nodes must be between 2 and {MAX_NODES}")
    options = Options(
        nodes=arguments.nodes,
        engines=arguments.engines,
        policy=arguments.policy,
        window_s=arguments.window,
        changes=arguments.changes,
        marks=arguments.marks,
        kill=arguments.kill,
        seed=arguments.seed,
    )
    lines = SpreadBenchmark(options).run()
    text = "".join(json.dumps(line) + "\n" for line in lines)
    if arguments.output:
        with Path(arguments.output).open("a") as output:
            output.write(text)
    for line in lines:
        print(f"{line['quantity']:32} {line['value']:16.6f} {line['unit']}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
