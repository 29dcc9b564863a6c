"""Tests of the simulation that compares versioning schemes for configuration."""

import random
import unittest

from ..bench import revisions


class ModelTest(unittest.TestCase):
    def run_day(self, scheme):
        sizes = revisions.measure_sizes()
        event_queue = revisions.EventQueue()
        model = scheme(event_queue, sizes, random.Random(2))
        edits = revisions.plan_edits(random.Random(1), 60.0)
        for edit in edits:
            event_queue.schedule(
                edit.read_s, lambda edit=edit: model.read(edit, edit.store_s)
            )
        event_queue.run()
        return model, edits

    def test_tree_loses_no_edit(self):
        """Guards against a revision tree that is cheap because it loses edits."""
        model, edits = self.run_day(revisions.RevisionTree)
        for section, tree in model._trees.items():
            expected = {edit.id for edit in edits if edit.section == section}
            self.assertEqual(tree.winner.edits, expected)
            self.assertEqual(len(tree.leaves), 1)

    def test_revision_per_section_accepts_each_edit_once(self):
        """Guards against schemes that are compared on different numbers of edits."""
        model, edits = self.run_day(revisions.RevisionPerSection)
        self.assertEqual(model.finish().edits, len(edits))
        self.assertEqual(sum(model._versions.values()), len(edits))
        self.assertEqual(model.metrics.reverted, 0)
