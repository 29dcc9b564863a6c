"""Compares two versioning schemes for configuration sections.

``RevisionPerSection`` uses optimistic concurrency control, as
``store/sections.py`` does: an edit of a stale revision is rejected and its editor
repeats it.  ``RevisionTree`` keeps a revision tree per section, as document
databases do: an edit of a stale revision creates a branch, the deepest branch
(ties: the highest revision id) is the provisional winner, and an operator merges
the branches later.  Both process the same edits of one day.  Run with
``python -m papayarelay.bench.revisions``.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

import msgspec

from ..store.sections import Edit, unified_diff

DAY_S = 24 * 3600.0
EDITS_PER_DAY = 1800
THINK_S = (5.0, 60.0, 600.0)
REWORK_S = 30.0
# Mean time until an operator merges conflicting branches.
MERGE_S = 600.0
SEEDS = 10
# Per section: number of entries at the target size and fraction of the edits.
ENTRIES = {
    "members": 1300,
    "kinds": 20,
    "data_centres": 6,
    "backends": 600,
    "models": 14,
    "limits": 1,
}
EDIT_FRACTIONS = {
    "members": 0.40,
    "kinds": 0.03,
    "data_centres": 0.05,
    "backends": 0.45,
    "models": 0.05,
    "limits": 0.02,
}
VERSION_BYTES = 6
# Size of a revision in a tree row: revision id, parent and state.
REVISION_BYTES = 72
# Maximum number of revisions in a tree row.
TREE_LIMIT = 1000


@dataclass
class Metrics:
    """Cost and conflict metrics of a versioning scheme over one day."""

    transactions: int = 0
    row_writes: int = 0
    bytes_written: int = 0
    rows_stored: int = 0
    bytes_stored: int = 0
    edits: int = 0
    refused: int = 0
    # Number of times that an accepted edit dropped out of the winning branch.
    reverted: int = 0
    # Edits that were not on the winning branch when they were accepted.
    not_in_force: int = 0

    def write(self, *sizes: int) -> None:
        """Count a transaction that writes rows of these sizes; size 0 is a delete."""
        self.transactions += 1
        self.row_writes += len(sizes)
        self.bytes_written += sum(sizes)


@dataclass(frozen=True)
class PlannedEdit:
    """An edit of a section and the times at which it is read and stored."""

    id: int
    section: str
    read_s: float
    store_s: float


class EventQueue:
    """Event loop in virtual time."""

    def __init__(self):
        self.now_s = 0.0
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._actions, (time_s, next(self._order), action))

    def run(self) -> None:
        """Run all scheduled actions in order of time."""
        while self._actions:
            self.now_s, _, action = heapq.heappop(self._actions)
            action()


class RevisionPerSection:
    """One current revision per section; edits of a stale revision are rejected."""

    def __init__(self, event_queue: EventQueue, sizes: Sizes, rng: random.Random):
        self._event_queue = event_queue
        self._sizes = sizes
        self._rng = rng
        self._versions = dict.fromkeys(ENTRIES, 0)
        self.metrics = Metrics()

    def read(self, edit: PlannedEdit, store_s: float) -> None:
        """Read the current revision and schedule the store of the edit."""
        base = self._versions[edit.section]
        self._event_queue.schedule(store_s, lambda: self._store(edit, base))

    def _store(self, edit: PlannedEdit, base: int) -> None:
        if base != self._versions[edit.section]:
            self.metrics.refused += 1
            now_s = self._event_queue.now_s
            self.read(edit, now_s + self._rng.expovariate(1 / REWORK_S))
            return
        self._versions[edit.section] += 1
        self.metrics.edits += 1
        size = self._sizes.text[edit.section]
        self.metrics.write(size, VERSION_BYTES, self._sizes.history)

    def finish(self) -> Metrics:
        """Return the metrics with what is stored at the end."""
        texts = sum(self._sizes.text.values())
        edits = self.metrics.edits
        self.metrics.rows_stored = len(ENTRIES) + 1 + edits
        self.metrics.bytes_stored = texts + VERSION_BYTES + edits * self._sizes.history
        return self.metrics


@dataclass(frozen=True)
class Leaf:
    """The leaf of a branch and the ids of the edits that the branch contains."""

    depth: int
    revision: int
    edits: frozenset[int] = frozenset()


@dataclass
class Tree:
    """The revision tree of a section, represented by its leaves."""

    leaves: list[Leaf] = field(default_factory=lambda: [Leaf(0, 0)])
    revisions: int = 0
    merging: bool = False

    @property
    def winner(self) -> Leaf:
        """Return the provisional winner, which is the same for every reader."""
        return max(self.leaves, key=lambda leaf: (leaf.depth, leaf.revision))


class RevisionTree:
    """A revision tree per section; every edit is accepted."""

    def __init__(self, event_queue: EventQueue, sizes: Sizes, rng: random.Random):
        self._event_queue = event_queue
        self._sizes = sizes
        self._rng = rng
        self._trees = {section: Tree() for section in ENTRIES}
        self.metrics = Metrics()

    def read(self, edit: PlannedEdit, store_s: float) -> None:
        """Read the provisional winner and schedule the store of the edit."""
        base = self._trees[edit.section].winner
        self._event_queue.schedule(store_s, lambda: self._store(edit, base))

    def _store(self, edit: PlannedEdit, base: Leaf) -> None:
        tree = self._trees[edit.section]
        leaf = self._make_leaf(base.depth + 1, base.edits | {edit.id})
        size = self._sizes.text[edit.section]
        if base in tree.leaves:
            # The text of the parent is no longer needed.
            self._replace_leaves(edit.section, [base], leaf, [size, 0])
        else:
            self._replace_leaves(edit.section, [], leaf, [size])
        self.metrics.edits += 1
        self.metrics.not_in_force += edit.id not in tree.winner.edits
        if len(tree.leaves) > 1 and not tree.merging:
            tree.merging = True
            delay_s = self._rng.expovariate(1 / MERGE_S)
            merge_s = self._event_queue.now_s + delay_s
            self._event_queue.schedule(merge_s, lambda: self._merge(edit.section))

    def _merge(self, section: str) -> None:
        tree = self._trees[section]
        tree.merging = False
        edits = frozenset().union(*(leaf.edits for leaf in tree.leaves))
        leaf = self._make_leaf(tree.winner.depth + 1, edits)
        losing = len(tree.leaves) - 1
        # Each losing branch gets a tombstone revision, and its text is deleted.
        tree.revisions += losing
        size = self._sizes.text[section]
        self._replace_leaves(
            section, list(tree.leaves), leaf, [size] + [0] * (losing + 1)
        )

    def _make_leaf(self, depth: int, edits: frozenset[int]) -> Leaf:
        return Leaf(depth, self._rng.getrandbits(64), edits)

    def _replace_leaves(
        self, section: str, old: list[Leaf], new: Leaf, sizes: list[int]
    ) -> None:
        tree = self._trees[section]
        before = tree.winner.edits
        tree.leaves = [leaf for leaf in tree.leaves if leaf not in old] + [new]
        tree.revisions += 1
        self.metrics.reverted += len(before - tree.winner.edits)
        tree_bytes = min(tree.revisions, TREE_LIMIT) * REVISION_BYTES
        self.metrics.write(*sizes, tree_bytes, VERSION_BYTES)

    def finish(self) -> Metrics:
        """Return the metrics with what is stored at the end."""
        self.metrics.bytes_stored = VERSION_BYTES
        self.metrics.rows_stored = 1
        for section, tree in self._trees.items():
            revisions = min(tree.revisions, TREE_LIMIT)
            texts = len(tree.leaves) * self._sizes.text[section]
            self.metrics.bytes_stored += texts + revisions * REVISION_BYTES
            self.metrics.rows_stored += len(tree.leaves) + 1
        return self.metrics


@dataclass(frozen=True)
class Sizes:
    """Sizes in bytes of the text of each section and of a history row."""

    text: dict[str, int]
    history: int


def measure_sizes() -> Sizes:
    """Measure generated section texts and the history row of one edit."""
    texts = {name: _section_text(count) for name, count in ENTRIES.items()}
    old = texts["backends"]
    new = old.replace('"entry-300": {"state": "active"', '"entry-300": {"state": "x"')
    difference = unified_diff(old, new)
    edit = Edit(1, 1.7e9, "operator", "backends", "0" * 32, difference)
    sizes = {name: len(text.encode()) for name, text in texts.items()}
    return Sizes(sizes, len(msgspec.json.encode(edit)))


def _section_text(count: int) -> str:
    entries = [
        f'  "entry-{index}": {{"state": "active", "data_centre": "dc{index % 6}",\n'
        f'    "url": "http://10.0.{index // 250}.{index % 250}:9000", "models": ["m"]}}'
        for index in range(count)
    ]
    return "{\n" + ",\n".join(entries) + "\n}"


def plan_edits(rng: random.Random, think_s: float) -> list[PlannedEdit]:
    """Return the edits of a day, with a mean time ``think_s`` from read to store."""
    names, parts = list(EDIT_FRACTIONS), list(EDIT_FRACTIONS.values())
    edits = []
    for index in range(EDITS_PER_DAY):
        read_s = rng.uniform(0, DAY_S)
        store_s = read_s + rng.expovariate(1 / think_s)
        section = rng.choices(names, parts)[0]
        edits.append(PlannedEdit(index, section, read_s, store_s))
    return edits


def run_day(scheme: type, sizes: Sizes, seed: int, think_s: float) -> Metrics:
    """Simulate the edits of one day with a versioning scheme."""
    event_queue = EventQueue()
    model = scheme(event_queue, sizes, random.Random(seed + 1))
    for edit in plan_edits(random.Random(seed), think_s):
        event_queue.schedule(
            edit.read_s, lambda edit=edit: model.read(edit, edit.store_s)
        )
    event_queue.run()
    return model.finish()


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        description="Compare one revision per section with revision trees."
    )
    parser.add_argument("--seeds", type=int, default=SEEDS)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Print the mean and the range of each metric over the seeds."""
    namespace = parse_arguments(argv)
    sizes = measure_sizes()
    print(json.dumps(asdict(sizes)))
    for think_s in THINK_S:
        for scheme in (RevisionPerSection, RevisionTree):
            days = [
                asdict(run_day(scheme, sizes, seed, think_s))
                for seed in range(namespace.seeds)
            ]
            line = {"way": scheme.__name__, "think_s": think_s}
            for name in days[0]:
                values = [day[name] for day in days]
                line[name] = [round(statistics.mean(values)), min(values), max(values)]
            print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
