"""Tests of the partitioning of large fleets into groups."""

import unittest

from ..nodes.groups import GROUP_NODES, LARGEST_FLEET, divide, engines_of, may_use_cold

PLACES = ("a", "b", "c")


def fleet(count: int) -> dict[str, str]:
    """Return nodes in three data centres."""
    return {f"n{number}": PLACES[number % 3] for number in range(count)}


class GroupsTest(unittest.TestCase):
    """Guards against nodes that disagree on the groups, and engines without one."""

    def test_small_fleet(self):
        """A small fleet would be split into groups without need."""
        (group,) = divide(fleet(LARGEST_FLEET))
        self.assertEqual(len(group.nodes), LARGEST_FLEET)
        self.assertIsNone(engines_of(group, (group,), {"e1": "a"}))

    def test_large_fleet(self):
        """Groups, and with them broadcast cost, would grow with the fleet."""
        for count in (30, 81, 300, 370):
            groups = divide(fleet(count))
            names = [name for group in groups for name in group.nodes]
            self.assertEqual(sorted(names), sorted(fleet(count)))
            most = max(len(group.nodes) for group in groups)
            self.assertLessEqual(most, 1.5 * GROUP_NODES)

    def test_any_order(self):
        """Nodes that list the fleet in different order would disagree on the groups."""
        nodes = fleet(81)
        backwards = dict(reversed(list(nodes.items())))
        self.assertEqual(divide(nodes), divide(backwards))

    def test_one_more_node(self):
        """One added node would move most others to other groups."""
        before = {n: g.name for g in divide(fleet(81)) for n in g.nodes}
        after = {n: g.name for g in divide(fleet(82)) for n in g.nodes}
        moved = sum(after[name] != group for name, group in before.items())
        self.assertLess(moved, 8)

    def test_engines(self):
        """An engine would be assigned to no group, or to two, or unevenly."""
        groups = divide(fleet(81))
        engines = {f"e{number}": PLACES[number % 3] for number in range(60)}
        parts = [engines_of(group, groups, engines) for group in groups]
        self.assertEqual(sorted(e for part in parts for e in part), sorted(engines))
        sizes = [len(part) for part in parts]
        self.assertLessEqual(max(sizes) - min(sizes), 2)

    def test_data_centre_without_nodes(self):
        """Engines of a data centre without nodes would be assigned to no group."""
        groups = divide({n: p for n, p in fleet(81).items() if p != "c"})
        engines = {f"e{number}": PLACES[number % 3] for number in range(60)}
        parts = [engines_of(group, groups, engines) for group in groups]
        self.assertEqual(sorted(e for part in parts for e in part), sorted(engines))

    def test_data_centre_without_engines(self):
        """Groups of a data centre with few or no engines would get no fair share."""
        groups = divide(fleet(81))
        for left in (0, 5):
            engines = {f"e{number}": PLACES[number % 2] for number in range(40)}
            engines |= {f"c{number}": "c" for number in range(left)}
            parts = [engines_of(group, groups, engines) for group in groups]
            together = sorted(e for part in parts for e in part)
            self.assertEqual(together, sorted(engines))
            fair = len(engines) / len(groups)
            for part in parts:
                self.assertGreaterEqual(len(part), 0.7 * fair)
                self.assertLessEqual(len(part), 1.3 * fair)

    def test_like_data_centres(self):
        """Groups would get engines of other data centres though each has its own."""
        nodes = fleet(81)
        groups = divide(nodes)
        engines = {f"e{number}": PLACES[number % 3] for number in range(57)}
        for group in groups:
            part = engines_of(group, groups, engines)
            self.assertEqual({engines[each] for each in part}, {group.data_centre})

    def test_cold_engine(self):
        """Too many nodes would send requests to a cold engine."""
        (group,) = divide(fleet(12))
        users = [n for n in group.nodes if may_use_cold(n, group.nodes, "e1", 3)]
        self.assertEqual(len(users), 3)
