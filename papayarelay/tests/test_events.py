"""Tests of the catalogue of log events."""

import re
import unittest
from pathlib import Path

from ..events import Event

CATALOGUE = Path(__file__).parent.parent.parent / "docs" / "events.md"
OPERATORS = CATALOGUE.parent / "operators.md"
ROW = re.compile(r"\| (PR\d+) \| (\w+) \| (.+?) \| (.+?) \|")


class EventsTest(unittest.TestCase):
    def test_numbers_are_unique_and_in_order(self):
        """Guards against two events with the same number, or out of order."""
        ids = [event.id for event in Event]
        self.assertEqual(ids, sorted(set(ids)))
        for event in Event:
            self.assertRegex(event.id, r"^PR\d{4}$")
            self.assertIn(event.level, ("debug", "info", "warning", "error"))

    def test_catalogue_lists_every_event(self):
        """Guards against a documented catalogue that differs from the code."""
        rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
        expected = [
            (event.id, event.level, event.text, event.meaning) for event in Event
        ]
        self.assertEqual(rows, expected)

    def test_operators_are_told_what_to_do(self):
        """Guards against a warning or error missing on the operators' page."""
        page = OPERATORS.read_text(encoding="utf-8")
        for event in Event:
            if event.level in ("warning", "error"):
                self.assertIn(f"| {event.id} {event.text} |", page)
