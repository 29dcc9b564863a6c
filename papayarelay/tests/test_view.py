"""Tests of the peer view, the overlay and the selection of watchers."""

import random
import unittest

from ..nodes import overlay, watch
from ..nodes.view import FORGET_AFTER_S, Peer, PeerState, PeerView


def entry(name, data_centre="dc1", state="live", address="h:1"):
    """Return an entry of the VM list."""
    return {
        "name": name,
        "address": address,
        "data_centre": data_centre,
        "region": "r1",
        "state": state,
    }


def make_nodes(count):
    """Return nodes in 2 regions with 3 data centres each."""
    return [
        Peer(f"n{number:03}", "h:1", f"dc{number % 6}", f"r{number % 6 // 3}")
        for number in range(count)
    ]


class PeerViewTest(unittest.TestCase):
    def setUp(self):
        self.view = PeerView("own")
        self.view.merge_vm_list([entry("own"), entry("a"), entry("b")], 0.0)

    def state(self, name):
        return self.view.get(name).state

    def test_stale_vm_list(self):
        """Guards against a VM list that revives a suspect or leaving node."""
        self.view.suspect("a", 1.0)
        self.view.merge(Peer("b", "h:1", "dc1", "r1", PeerState.LEAVING, 9), 1.0)
        self.view.merge_vm_list([entry("a"), entry("b")], 2.0)
        self.assertEqual(self.state("a"), PeerState.SUSPECT)
        self.assertEqual(self.state("b"), PeerState.LEAVING)
        self.assertEqual(self.view.live(), [])

    def test_heard_again(self):
        """Guards against a peer that stays suspect after its link has recovered."""
        self.view.record_frame("a", 5, 1.0)
        self.view.suspect("a", 10.0)
        self.view.record_frame("a", 5, 11.0)
        self.assertEqual(self.state("a"), PeerState.LIVE)

    def test_stale_peer_record(self):
        """Guards against an old peer record that overrides a newer one."""
        self.view.record_frame("a", 5, 1.0)
        stale = Peer("a", "h:1", "dc1", "r1", PeerState.SUSPECT, 4, 8)
        self.assertFalse(self.view.merge(stale, 2.0))
        refuted = Peer("a", "h:1", "dc1", "r1", PeerState.LIVE, 5, 2)
        suspect = Peer("a", "h:1", "dc1", "r1", PeerState.SUSPECT, 5, 1)
        self.assertTrue(self.view.merge(refuted, 2.0))
        self.assertFalse(self.view.merge(suspect, 2.0))
        self.assertEqual(self.state("a"), PeerState.LIVE)

    def test_restart_under_the_same_name(self):
        """Guards against a restarted node that inherits the leaving state."""
        self.view.merge(Peer("a", "h:1", "dc1", "r1", PeerState.LEAVING, 5, 3), 1.0)
        self.view.merge_hello(Peer("a", "h:2", "dc1", "r1", PeerState.LIVE, 6), 2.0)
        self.assertEqual(self.state("a"), PeerState.LIVE)
        self.assertEqual(self.view.get("a").address, "h:2")

    def test_forgets_unlisted(self):
        """Guards against a view that grows with every replaced VM."""
        self.view.merge_vm_list([entry("b")], 1.0)
        self.view.forget(FORGET_AFTER_S + 2.0)
        self.assertEqual([peer.name for peer in self.view.peers()], ["b"])

    def test_unknown_sender(self):
        """Guards against an error when a node is heard before it is listed."""
        self.view.record_frame("new", 5, 1.0)
        self.view.merge_hello(Peer("new", "h:3", "dc1", "r1", PeerState.LIVE, 5), 1.0)
        self.assertEqual(self.state("new"), PeerState.LIVE)


class OverlayTest(unittest.TestCase):
    def links(self, nodes, without=frozenset()):
        """Return the links of the live nodes, in both directions."""
        live = [node for node in nodes if node.name not in without]
        links = {node.name: set() for node in live}
        policy = overlay.FixedOverlay()
        for node in live:
            others = [other for other in nodes if other is not node]
            for name in overlay.neighbours(policy, node, others, 1, random.Random(1)):
                if name in links:
                    links[node.name].add(name)
                    links[name].add(node.name)
        return links

    def reached(self, links):
        start = next(iter(links))
        seen, edge, hops = {start}, {start}, 0
        while edge:
            edge = {name for node in edge for name in links[node]} - seen
            seen |= edge
            hops += bool(edge)
        return len(seen), hops

    def test_connected_with_bounded_links(self):
        """Guards against partitions of the overlay and nodes with too many links."""
        for count in (2, 3, 7, 12, 61, 192, 370):
            links = self.links(make_nodes(count))
            reached, hops = self.reached(links)
            self.assertEqual(reached, count)
            self.assertLessEqual(max(map(len, links.values())), 10)
            # A hop takes well under 0.2 s, so 3 s allow 15 hops.
            self.assertLessEqual(hops, 15)

    def test_reaches_other_data_centres(self):
        """Guards against nodes without links to other regions and data centres."""
        nodes = {node.name: node for node in make_nodes(60)}
        for name, linked in self.links(list(nodes.values())).items():
            own = nodes[name]
            others = [nodes[other] for other in linked]
            self.assertTrue(any(o.region != own.region for o in others))
            same_region = [o for o in others if o.region == own.region]
            self.assertTrue(any(o.data_centre != own.data_centre for o in same_region))

    def test_failure_before_detection(self):
        """Guards against nodes cut off before a failed data centre is detected."""
        nodes = make_nodes(120)
        lost = {node.name for node in nodes if node.data_centre == "dc3"}
        reached, _ = self.reached(self.links(nodes, lost))
        self.assertEqual(reached, 100)


class WatchTest(unittest.TestCase):
    def test_few_engines_move(self):
        """Guards against reassignment of all engines when one node leaves."""
        nodes = [f"n{number}" for number in range(20)]
        engines = [f"e{number}" for number in range(300)]
        before = {engine: watch.select_watchers(engine, nodes) for engine in engines}
        after = {engine: watch.select_watchers(engine, nodes[1:]) for engine in engines}
        moved = [engine for engine in engines if before[engine] != after[engine]]
        self.assertEqual(moved, [e for e in engines if "n0" in before[e]])
        self.assertTrue(all(len(set(pair)) == 2 for pair in after.values()))
