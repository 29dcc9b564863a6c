"""Compares two ways to keep versions of configuration sections.

``RevisionPerSection`` is what ``store/sections.py`` does: an edit on an old base
is refused, and its editor repeats it.  ``RevisionTree`` keeps a tree of revisions
for each section, as document databases do: an edit on an old base becomes a
branch, the deepest branch (then the highest revision id) is the interim winner,
and an operator merges branches later.  Both see the same edits of one day.  Run
it with ``python -m papayarelay.bench.revisions``.
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

from ..store.sections import Edit, describe_difference

DAY_S = 24 * 3600.0
EDITS_PER_DAY = 1800
THINK_S = (5.0, 60.0, 600.0)
REWORK_S = 30.0
# Mean time until an operator has merged branches.
MERGE_S = 600.0
SEEDS = 10
# Entries at the target size and the part of the edits for each section.
ENTRIES = {
    "members": 1300,
    "kinds": 20,
    "data_centres": 6,
    "backends": 600,
    "models": 14,
    "limits": 1,
}
EDIT_PARTS = {
    "members": 0.40,
    "kinds": 0.03,
    "data_centres": 0.05,
    "backends": 0.45,
    "models": 0.05,
    "limits": 0.02,
}
VERSION_BYTES = 6
# Revision id, parent and state of one revision in a tree row.
REVISION_BYTES = 72
# Revisions kept in a tree row.
TREE_LIMIT = 1000


@dataclass
class Figures:
    """What a way of versioning cost and did in one day."""

    transactions: int = 0
    row_writes: int = 0
    bytes_written: int = 0
    rows_stored: int = 0
    bytes_stored: int = 0
    edits: int = 0
    refused: int = 0
    # Accepted edits that left the configuration in force, each time counted.
    reverted: int = 0
    # Accepted edits that were not in force when they were accepted.
    not_in_force: int = 0

    def write(self, *sizes: int) -> None:
        """Count one transaction that writes rows of these sizes; 0 deletes."""
        self.transactions += 1
        self.row_writes += len(sizes)
        self.bytes_written += sum(sizes)


@dataclass(frozen=True)
class PlannedEdit:
    """An edit: what is changed, and when the editor reads and stores it."""

    id: int
    section: str
    read_s: float
    store_s: float


class Timeline:
    """Runs actions in the order of their times."""

    def __init__(self):
        self.now_s = 0.0
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._actions, (time_s, next(self._order), action))

    def run(self) -> None:
        """Run all actions."""
        while self._actions:
            self.now_s, _, action = heapq.heappop(self._actions)
            action()


class RevisionPerSection:
    """One present text for each section; edits on an old base are refused."""

    def __init__(self, timeline: Timeline, sizes: Sizes, rng: random.Random):
        self._timeline = timeline
        self._sizes = sizes
        self._rng = rng
        self._versions = dict.fromkeys(ENTRIES, 0)
        self.figures = Figures()

    def read(self, edit: PlannedEdit, store_s: float) -> None:
        """Read the section now and store the edit later."""
        base = self._versions[edit.section]
        self._timeline.at(store_s, lambda: self._store(edit, base))

    def _store(self, edit: PlannedEdit, base: int) -> None:
        if base != self._versions[edit.section]:
            self.figures.refused += 1
            now_s = self._timeline.now_s
            self.read(edit, now_s + self._rng.expovariate(1 / REWORK_S))
            return
        self._versions[edit.section] += 1
        self.figures.edits += 1
        size = self._sizes.text[edit.section]
        self.figures.write(size, VERSION_BYTES, self._sizes.history)

    def finish(self) -> Figures:
        """Return the figures with what is stored at the end."""
        texts = sum(self._sizes.text.values())
        edits = self.figures.edits
        self.figures.rows_stored = len(ENTRIES) + 1 + edits
        self.figures.bytes_stored = texts + VERSION_BYTES + edits * self._sizes.history
        return self.figures


@dataclass(frozen=True)
class Leaf:
    """The end of a branch and the edits that it contains."""

    depth: int
    revision: int
    edits: frozenset[int] = frozenset()


@dataclass
class Tree:
    """The branches of a section."""

    leaves: list[Leaf] = field(default_factory=lambda: [Leaf(0, 0)])
    revisions: int = 0
    merging: bool = False

    @property
    def winner(self) -> Leaf:
        """Return the interim winner, the same on every reader."""
        return max(self.leaves, key=lambda leaf: (leaf.depth, leaf.revision))


class RevisionTree:
    """A tree of revisions for each section; every edit is accepted."""

    def __init__(self, timeline: Timeline, sizes: Sizes, rng: random.Random):
        self._timeline = timeline
        self._sizes = sizes
        self._rng = rng
        self._trees = {section: Tree() for section in ENTRIES}
        self.figures = Figures()

    def read(self, edit: PlannedEdit, store_s: float) -> None:
        """Read the interim winner now and store the edit later."""
        base = self._trees[edit.section].winner
        self._timeline.at(store_s, lambda: self._store(edit, base))

    def _store(self, edit: PlannedEdit, base: Leaf) -> None:
        tree = self._trees[edit.section]
        leaf = self._leaf(base.depth + 1, base.edits | {edit.id})
        size = self._sizes.text[edit.section]
        if base in tree.leaves:
            # The text of the parent is no longer needed.
            self._replace(edit.section, [base], leaf, [size, 0])
        else:
            self._replace(edit.section, [], leaf, [size])
        self.figures.edits += 1
        self.figures.not_in_force += edit.id not in tree.winner.edits
        if len(tree.leaves) > 1 and not tree.merging:
            tree.merging = True
            delay_s = self._rng.expovariate(1 / MERGE_S)
            merge_s = self._timeline.now_s + delay_s
            self._timeline.at(merge_s, lambda: self._merge(edit.section))

    def _merge(self, section: str) -> None:
        tree = self._trees[section]
        tree.merging = False
        edits = frozenset().union(*(leaf.edits for leaf in tree.leaves))
        leaf = self._leaf(tree.winner.depth + 1, edits)
        losers = len(tree.leaves) - 1
        # Each loser gets a tombstone revision and its text is deleted.
        tree.revisions += losers
        size = self._sizes.text[section]
        self._replace(section, list(tree.leaves), leaf, [size] + [0] * (losers + 1))

    def _leaf(self, depth: int, edits: frozenset[int]) -> Leaf:
        return Leaf(depth, self._rng.getrandbits(64), edits)

    def _replace(
        self, section: str, old: list[Leaf], new: Leaf, sizes: list[int]
    ) -> None:
        tree = self._trees[section]
        before = tree.winner.edits
        tree.leaves = [leaf for leaf in tree.leaves if leaf not in old] + [new]
        tree.revisions += 1
        self.figures.reverted += len(before - tree.winner.edits)
        tree_bytes = min(tree.revisions, TREE_LIMIT) * REVISION_BYTES
        self.figures.write(*sizes, tree_bytes, VERSION_BYTES)

    def finish(self) -> Figures:
        """Return the figures with what is stored at the end."""
        self.figures.bytes_stored = VERSION_BYTES
        self.figures.rows_stored = 1
        for section, tree in self._trees.items():
            revisions = min(tree.revisions, TREE_LIMIT)
            texts = len(tree.leaves) * self._sizes.text[section]
            self.figures.bytes_stored += texts + revisions * REVISION_BYTES
            self.figures.rows_stored += len(tree.leaves) + 1
        return self.figures


@dataclass(frozen=True)
class Sizes:
    """Bytes of the text of each section and of a history row."""

    text: dict[str, int]
    history: int


def measure_sizes() -> Sizes:
    """Return the sizes of generated texts and of the history row of an edit."""
    texts = {name: _section_text(count) for name, count in ENTRIES.items()}
    old = texts["backends"]
    new = old.replace('"entry-300": {"state": "active"', '"entry-300": {"state": "x"')
    difference = describe_difference(old, new)
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
    """Return the edits of a day; the editor thinks ``think_s`` on average."""
    names, parts = list(EDIT_PARTS), list(EDIT_PARTS.values())
    edits = []
    for index in range(EDITS_PER_DAY):
        read_s = rng.uniform(0, DAY_S)
        store_s = read_s + rng.expovariate(1 / think_s)
        section = rng.choices(names, parts)[0]
        edits.append(PlannedEdit(index, section, read_s, store_s))
    return edits


def run_day(way: type, sizes: Sizes, seed: int, think_s: float) -> Figures:
    """Run the edits of one day."""
    timeline = Timeline()
    model = way(timeline, sizes, random.Random(seed + 1))
    for edit in plan_edits(random.Random(seed), think_s):
        timeline.at(edit.read_s, lambda edit=edit: model.read(edit, edit.store_s))
    timeline.run()
    return model.finish()


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        description="Compare revisions per section with a revision tree."
    )
    parser.add_argument("--seeds", type=int, default=SEEDS)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Print the mean and the range of each figure over the seeds."""
    namespace = parse_arguments(argv)
    sizes = measure_sizes()
    print(json.dumps(asdict(sizes)))
    for think_s in THINK_S:
        for way in (RevisionPerSection, RevisionTree):
            days = [
                asdict(run_day(way, sizes, seed, think_s))
                for seed in range(namespace.seeds)
            ]
            line = {"way": way.__name__, "think_s": think_s}
            for name in days[0]:
                values = [day[name] for day in days]
                line[name] = [round(statistics.mean(values)), min(values), max(values)]
            print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
