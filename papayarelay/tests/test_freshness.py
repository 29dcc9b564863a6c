"""Tests of the freshness of a table, by own reads and by reports of peers."""

import random
import unittest

from ..nodes.freshness import TableFreshness, TableReport, content_digest
from ..store.revision import Revision


def make_report(version: int, digest: int, age_s: float) -> TableReport:
    """Return a report on a store that was never restored."""
    return TableReport(Revision(0, version), digest, age_s)


class TableFreshnessTest(unittest.TestCase):
    """Guards against a copy of a table that is older than its reported age."""

    def setUp(self):
        self.known = TableFreshness()
        self.known.read(Revision(0, 10), 8, 100.0)

    def test_never_read(self):
        """A node that has not read a table would count as up to date."""
        known = TableFreshness()
        self.assertTrue(known.apply_report(make_report(10, 8, 0.0), 100.0))
        self.assertGreater(known.age_s(100.0), 1e9)

    def test_report(self):
        """A report's age would count from its arrival, not from the echoed time."""
        self.assertFalse(self.known.apply_report(make_report(12, 8, 0.5), 103.0))
        self.assertEqual(self.known.age_s(104.0), 1.5)

    def test_old_report(self):
        """A delayed report would change the age or version of a table."""
        self.known.apply_report(make_report(12, 8, 0.0), 103.0)
        self.known.apply_report(make_report(11, 8, 0.0), 104.0)
        self.assertEqual(self.known.age_s(104.0), 1.0)
        self.assertEqual(self.known.revision, Revision(0, 12))

    def test_change(self):
        """A table would count as up to date though a reported change was not read."""
        self.assertTrue(self.known.apply_report(make_report(12, 11, 0.0), 103.0))
        self.assertTrue(self.known.is_stale)
        self.assertEqual(self.known.age_s(103.0), 3.0)
        self.known.read(Revision(0, 13), 11, 103.5)
        self.assertFalse(self.known.is_stale)

    def test_digest(self):
        """Digests of the same content would differ between processes."""
        content = (3, [("e1", ("h:1", "ready", True))])
        self.assertEqual(content_digest(content), 66421935204334015)

    def test_random_reports(self):
        """Some order of reads and reports would hide a change for good.

        Nodes read and send reports at random; reports are lost and delayed, and rows
        change back.  No node may take its copy for newer than it is.
        """
        for seed in range(200):
            self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        # The content of the table by version, and when it was written.
        contents, written_s = [0], [0.0]
        nodes = [TableFreshness() for _ in range(4)]
        known = [0] * 4
        reports = []
        for step in range(200):
            now_s = step * 0.1
            if rng.random() < 0.3:
                change = rng.random() < 0.2
                contents.append(rng.randrange(3) if change else contents[-1])
                written_s.append(now_s)
            index = rng.randrange(4)
            if rng.random() < 0.3:
                known[index] = contents[-1]
                revision = Revision(0, len(contents))
                nodes[index].read(revision, content_digest(contents[-1]), now_s)
            else:
                report = nodes[index].report(now_s)
                for other in range(4):
                    if report and other != index and rng.random() < 0.7:
                        reports.append(
                            (now_s + rng.random(), other, report, now_s - 0.05)
                        )
            for due in [each for each in reports if each[0] <= now_s]:
                reports.remove(due)
                nodes[due[1]].apply_report(due[2], due[3])
            for number, each in enumerate(nodes):
                confirmed_s = now_s - each.age_s(now_s)
                # The contents of the table at that time or later.
                later = [
                    content
                    for version, content in enumerate(contents)
                    if version + 1 == len(contents)
                    or written_s[version + 1] >= confirmed_s - 1e-9
                ]
                if each.revision:
                    self.assertIn(known[number], later)
