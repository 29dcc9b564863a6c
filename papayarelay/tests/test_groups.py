"""Tests of the partitioning of large fleets into groups."""

import unittest

from ..nodes.groups import (
    MAX_SINGLE_GROUP_NODES,
    TARGET_GROUP_NODES,
    divide_into_groups,
    group_engines,
)

DATA_CENTRES = ("a", "b", "c")


def fleet(count: int) -> dict[str, str]:
    """Return nodes in three data centres."""
    return {f"n{number}": DATA_CENTRES[number % 3] for number in range(count)}


class GroupsTest(unittest.TestCase):
    """Guards against nodes that disagree on the groups, and engines without one."""

    def test_small_fleet(self):
        """A small fleet would be split into groups without need."""
        (group,) = divide_into_groups(fleet(MAX_SINGLE_GROUP_NODES))
        self.assertEqual(len(group.nodes), MAX_SINGLE_GROUP_NODES)
        self.assertIsNone(group_engines(group, (group,), {"e1": "a"}))

    def test_large_fleet(self):
        """Groups, and with them broadcast cost, would grow with the fleet."""
        for count in (30, 81, 300, 370):
            groups = divide_into_groups(fleet(count))
            names = [name for group in groups for name in group.nodes]
            self.assertEqual(sorted(names), sorted(fleet(count)))
            most = max(len(group.nodes) for group in groups)
            self.assertLessEqual(most, 1.5 * TARGET_GROUP_NODES)

    def test_any_order(self):
        """Nodes that list the fleet in different order would disagree on the groups."""
        nodes = fleet(81)
        backwards = dict(reversed(list(nodes.items())))
        self.assertEqual(divide_into_groups(nodes), divide_into_groups(backwards))

    def test_one_more_node(self):
        """One added node would move most others to other groups."""
        before = {n: g.name for g in divide_into_groups(fleet(81)) for n in g.nodes}
        after = {n: g.name for g in divide_into_groups(fleet(82)) for n in g.nodes}
        moved = sum(after[name] != group for name, group in before.items())
        self.assertLess(moved, 8)

    def test_engines(self):
        """An engine would be assigned to no group, or to two, or unevenly."""
        groups = divide_into_groups(fleet(81))
        engines = {f"e{number}": DATA_CENTRES[number % 3] for number in range(60)}
        parts = [group_engines(group, groups, engines) for group in groups]
        self.assertEqual(sorted(e for part in parts for e in part), sorted(engines))
        sizes = [len(part) for part in parts]
        self.assertLessEqual(max(sizes) - min(sizes), 2)

    def test_data_centre_without_nodes(self):
        """Engines of a data centre without nodes would be assigned to no group."""
        groups = divide_into_groups({n: p for n, p in fleet(81).items() if p != "c"})
        engines = {f"e{number}": DATA_CENTRES[number % 3] for number in range(60)}
        parts = [group_engines(group, groups, engines) for group in groups]
        self.assertEqual(sorted(e for part in parts for e in part), sorted(engines))

    def test_data_centre_without_engines(self):
        """Groups of a data centre with few or no engines would get no fair share."""
        groups = divide_into_groups(fleet(81))
        for left in (0, 5):
            engines = {f"e{number}": DATA_CENTRES[number % 2] for number in range(40)}
            engines |= {f"c{number}": "c" for number in range(left)}
            parts = [group_engines(group, groups, engines) for group in groups]
            together = sorted(e for part in parts for e in part)
            self.assertEqual(together, sorted(engines))
            fair = len(engines) / len(groups)
            for part in parts:
                self.assertGreaterEqual(len(part), 0.7 * fair)
                self.assertLessEqual(len(part), 1.3 * fair)

    def test_like_data_centres(self):
        """Groups would get engines of other data centres though each has its own."""
        nodes = fleet(81)
        groups = divide_into_groups(nodes)
        engines = {f"e{number}": DATA_CENTRES[number % 3] for number in range(57)}
        for group in groups:
            part = group_engines(group, groups, engines)
            self.assertEqual({engines[each] for each in part}, {group.data_centre})
