"""Tests of concurrent edits of the shared configuration under store faults."""

import json
import random
import unittest
from collections import Counter
from unittest import mock

from ..errors import StoreOutcomeUnknownError, StoreUnavailableError
from ..standins.tables import Faults, Tables, TablesStandIn
from ..store import sections
from ..store.client import TableClient, Write
from ..store.sections import (
    SectionConflictError,
    apply_section,
    read_history,
    read_sections,
)
from .claim_simulation import FakeTable, RandomTable, Simulation

SCHEDULES = 1000
NAMES = ("members", "models", "limits")


def section_text(name, marker):
    """Return a valid section text that contains a given marker."""
    if name == "limits":
        return f"// {marker}\n{{}}"
    if name == "models":
        return json.dumps({f"m{marker}": {"context_tokens": 1000}}, indent=1)
    organisation = {"weight": 1, "key_sha256": []}
    member = {"share": 1.0, "organisations": {f"o{marker}": organisation}}
    return json.dumps({"dentists": member}, indent=1)


class EditSchedule:
    """Simulates concurrent editors on a failing store; reproducible from a seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.simulation = Simulation()
        self.tables = Tables()
        self.accepted = []
        self.rejected = Counter()
        self.violations = []

    def run(self):
        for index in range(self.rng.randrange(2, 6)):
            self.simulation.spawn(self.rng.choice([0.0, 0.01, 1.0]), self.editor(index))
        self.simulation.run()
        self.check()
        return self.violations

    def editor(self, index):
        table = RandomTable(self.simulation, self.tables, self.rng, [])
        table.failure_rate = self.rng.choice([0.0, 0.2, 0.5, 0.9])

        def edit():
            for turn in range(3):
                name = self.rng.choice(NAMES)
                text = section_text(name, f"{index}_{turn}")
                try:
                    base = read_sections(table)[1]
                    self.simulation.wait(self.rng.choice([0.0, 0.05, 5.0]))
                    version = apply_section(
                        table,
                        name,
                        text,
                        base,
                        "e",
                        0.0,
                        wait=self.simulation.wait,
                        rng=self.rng,
                    )
                except (
                    SectionConflictError,
                    StoreUnavailableError,
                    StoreOutcomeUnknownError,
                ) as error:
                    self.rejected[type(error).__name__] += 1
                    self.record_rejection(error, name, text)
                else:
                    self.accepted.append((version, name, text, base))

        return edit

    def record_rejection(self, error, name, text):
        if not isinstance(error, StoreOutcomeUnknownError):
            self.accepted.append((None, name, text, None))

    def check(self):
        table = FakeTable(self.simulation, self.tables)
        edits = read_history(table, 1000)[::-1]
        versions = [edit.version for edit in edits]
        if versions != list(range(1, len(edits) + 1)):
            self.violations.append(f"versions {versions}")
        stored, version = read_sections(table)
        if version != len(edits):
            self.violations.append(f"version {version} after {len(edits)} edits")
        last = {edit.section: edit.version for edit in edits}
        for version, name, text, base in self.accepted:
            applied = [e.version for e in edits if adds_marker(e, name, text)]
            if applied != [version] * (version is not None):
                self.violations.append(f"returned {version}, applied as {applied}")
            elif version is not None:
                between = range(base + 1, version)
                if any(e.version in between and e.section == name for e in edits):
                    self.violations.append(f"{version} replaced an unread edit")
                if last[name] == version and stored[name] != text:
                    self.violations.append(f"the text of {version} is lost")


def adds_marker(edit, name, text):
    """Return whether an edit added the line of a text with the marker."""
    marker = next(line for line in text.splitlines() if "_" in line)
    return edit.section == name and f"+{marker}" in edit.difference.splitlines()


class EditScheduleTest(unittest.TestCase):
    def test_races_and_lost_answers(self):
        """Guards against lost edits and versions that repeat or decrease.

        Editors race on the same sections while responses of the store are lost.
        """
        rejected = Counter()
        accepted = 0
        for seed in range(SCHEDULES):
            schedule = EditSchedule(seed)
            self.assertEqual(schedule.run(), [], f"seed {seed}")
            rejected.update(schedule.rejected)
            accepted += sum(version is not None for version, *_ in schedule.accepted)
        # The checks above prove little unless conflicts and lost responses occur.
        self.assertGreater(accepted, SCHEDULES)
        for error in (SectionConflictError, StoreOutcomeUnknownError):
            self.assertGreater(rejected[error.__name__], SCHEDULES / 20, rejected)

    def test_schedules_find_seeded_faults(self):
        """Guards against checks that pass whatever the code does.

        Each variant breaks the protocol in one place, which the checks must detect.
        """
        edit_class = sections._PendingEdit
        send = edit_class._send

        def send_without_version_check(self, snapshot):
            self._client = mock.Mock(wraps=self._client)
            transact = self._client.transact
            self._client.transact = lambda checks, writes: transact(checks[:1], writes)
            return send(self, snapshot)

        def count_unknown_as_applied(self, snapshot):
            try:
                return send(self, snapshot)
            except StoreOutcomeUnknownError:
                return snapshot.version + 1

        variants = {
            "no check of the base version": (
                "_is_unchanged",
                lambda self, snapshot: True,
            ),
            "no check of the version row": ("_send", send_without_version_check),
            "unknown outcome counts as applied": ("_send", count_unknown_as_applied),
            "unknown outcome counts as failed": (
                "_is_applied",
                lambda self, version: False,
            ),
        }
        for name, (method, variant) in variants.items():
            with (
                self.subTest(variant=name),
                mock.patch.object(edit_class, method, variant),
            ):
                found = any(EditSchedule(seed).run() for seed in range(SCHEDULES))
                self.assertTrue(found)


class ApplyTest(unittest.TestCase):
    def setUp(self):
        self.tables = TablesStandIn()
        self.tables.start()
        self.addCleanup(self.tables.close)
        self.client = TableClient(f"http://{self.tables.address}")
        self.client.start()
        self.addCleanup(self.client.close)

    def apply(self, name, marker, base):
        text = section_text(name, marker)
        return apply_section(self.client, name, text, base, "ana", 5.0)

    def test_different_sections_from_one_base(self):
        """Guards against rejecting an edit because another section has changed."""
        self.assertEqual(self.apply("members", "_1", 0), 1)
        self.assertEqual(self.apply("models", "_1", 0), 2)
        stored, version = read_sections(self.client)
        self.assertEqual(stored["models"], section_text("models", "_1"))
        self.assertEqual((list(stored), version), (["members", "models"], 2))
        edit = read_history(self.client, 1)[0]
        self.assertEqual((edit.version, edit.editor, edit.time_s), (2, "ana", 5.0))

    def test_conflict(self):
        """Guards against a conflict error without the current version and the diff."""
        self.apply("limits", "mine_1", 0)
        for base in (0, 7):
            with self.assertRaises(SectionConflictError) as caught:
                self.apply("limits", "other_2", base)
            self.assertEqual(caught.exception.version, 1)
            self.assertIn("-// mine_1\n+// other_2", str(caught.exception))
        self.assertEqual(self.apply("limits", "other_2", 1), 2)

    def test_version_without_history(self):
        """Guards against edits across a version that has no history row.

        A document written as a whole leaves none, so any section may have changed.
        """
        rows = {"version": "3", "limits": "{}", "models": "{}"}
        self.client.transact([], [Write(f"config/{k}", rows[k].encode()) for k in rows])
        with self.assertRaises(SectionConflictError):
            self.apply("limits", "_1", 2)
        self.assertEqual(self.apply("limits", "_1", 3), 4)
        self.assertEqual(self.apply("models", "_1", 3), 5)

    def test_invalid_configuration_changes_nothing(self):
        """Guards against storing a section that makes the configuration invalid."""
        for name, text in (("members", "{"), ("version", "9"), ("members", "[]")):
            with self.assertRaises(ExceptionGroup):
                apply_section(self.client, name, text, 0, "ana", 5.0)
        self.assertEqual(read_sections(self.client), ({}, 0))

    def test_stored_text_makes_no_version(self):
        """Guards against a new version for an edit that changes nothing."""
        self.apply("limits", "_1", 0)
        self.assertEqual(self.apply("limits", "_1", 0), 1)

    def test_lost_answer(self):
        """Guards against an edit that is applied twice or reported as failed.

        The store applies the transaction, but its response is lost.
        """
        self.tables.set_faults(Faults(lost_answers=1))
        self.assertEqual(self.apply("limits", "_1", 0), 1)
        self.assertEqual(len(read_history(self.client, 10)), 1)
