"""Tests of rate limits that many simulated nodes keep together."""

import math
import unittest

from ..bench.limits import LimitSimulation

# Sizes of the deployments, with the one in two years.
SIZES = (6, 67, 195, 370)
WINDOW_S = 4.0
CONTACT_S = 3.0
# After this time, permits are issued evenly.
STEADY_S = 6.0


def allowed(per_s: float) -> float:
    """Return how many requests a server may get in the window."""
    return 1.5 * WINDOW_S * per_s + 5


class LimitFleetTestCase(unittest.TestCase):
    """Base class: runs simulations and checks what the servers got."""

    def _check(self, server, start_s: float, end_s: float, excused=frozenset()):
        """Check the rule in the windows that end between two times."""
        most = server.largest_count(WINDOW_S, start_s, end_s, excused)
        self.assertLessEqual(most, allowed(server.per_s))

    def _check_used(self, server, start_s: float, end_s: float, part=0.85):
        """Check that a server is not left idle."""
        used = server.count(start_s, end_s) / (end_s - start_s)
        self.assertGreaterEqual(used, part * server.per_s)

    def _first_issuer(self, simulation, server) -> str:
        node = next(iter(simulation.nodes.values()))
        return node.permits.issuer(server.incarnation)


class SizeTest(LimitFleetTestCase):
    """Guards against a limit that is divided wrongly at some size."""

    def test_limits_and_sizes(self):
        """Guards against too many requests, and against a server left idle."""
        for nodes in SIZES:
            for per_s in (0.5, 1.0, 2.5, 20.0):
                with self.subTest(nodes=nodes, per_s=per_s):
                    simulation = LimitSimulation(nodes, seed=2)
                    server = simulation.add_server(per_s)
                    simulation.offer_load(server, 4 * per_s + 4, 0.0, 25.0)
                    simulation.run(25.0)
                    self._check(server, CONTACT_S, 25.0)
                    self._check_used(server, STEADY_S, 25.0)

    def test_one_busy_node(self):
        """Guards against shares that other nodes leave unused."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=3)
                server = simulation.add_server(4.0)
                busy = simulation.nodes["n5"]
                for step in range(400):
                    simulation.schedule(
                        step * 0.05,
                        lambda b=busy, s=server, sim=simulation: sim.offer_burst(
                            b, s, 1
                        ),
                    )
                simulation.run(20.0)
                self._check(server, CONTACT_S, 20.0)
                self._check_used(server, STEADY_S, 20.0)

    def test_limit_below_the_number_of_nodes(self):
        """Guards against requests of every node to a server that takes few."""
        simulation = LimitSimulation(370, seed=4)
        server = simulation.add_server(0.3)
        simulation.offer_load(server, 200.0, 0.0, 20.0)
        simulation.run(20.0)
        self._check(server, CONTACT_S, 20.0)

    def test_no_requests_accepted(self):
        """Guards against a server that takes none, and against giving it up."""
        simulation = LimitSimulation(67, seed=5)
        server = simulation.add_server(0.0)
        simulation.offer_load(server, 30.0, 0.0, 30.0)
        simulation.schedule(20.0, lambda: server.name(math.inf, 20.0))
        simulation.run(30.0)
        self._check(server, CONTACT_S, 20.0) if server.per_s == 0 else None
        self.assertLessEqual(server.largest_count(WINDOW_S, CONTACT_S, 20.0), 5)
        self.assertGreater(server.count(25.0, 30.0), 100)

    def test_burst(self):
        """Guards against waiting requests that are all sent once a share is free."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=6)
                server = simulation.add_server(2.0)
                simulation.offer_burst(simulation.nodes["n0"], server, 1)
                simulation.run(1.0)
                for node in simulation.nodes.values():
                    simulation.offer_burst(node, server, 10)
                simulation.run(6.0)
                self._check(server, 1.0, 6.0)

    def test_lost_datagrams(self):
        """Guards against limits that hold only without loss."""
        simulation = LimitSimulation(67, seed=7, loss_ratio=0.1)
        server = simulation.add_server(5.0)
        simulation.offer_load(server, 40.0, 0.0, 25.0)
        simulation.run(25.0)
        self._check(server, CONTACT_S, 25.0)
        self._check_used(server, STEADY_S, 25.0, part=0.7)


class ChangeTest(LimitFleetTestCase):
    """Guards against limits that are out of date."""

    def test_fall(self):
        """Guards against permits of a higher limit that are used after a fall."""
        simulation = LimitSimulation(67, seed=8)
        server = simulation.add_server(50.0)
        simulation.offer_load(server, 200.0, 0.0, 25.0)
        simulation.schedule(10.0, lambda: server.name(1.0, 10.0))
        simulation.run(25.0)
        self._check(server, 10.0 + WINDOW_S + 1.0, 25.0)
        self._check_used(server, 16.0, 25.0)

    def test_rise(self):
        """Guards against a server that is held to its earlier limit."""
        simulation = LimitSimulation(67, seed=9)
        server = simulation.add_server(0.5)
        simulation.offer_load(server, 60.0, 0.0, 25.0)
        simulation.schedule(10.0, lambda: server.name(20.0, 10.0))
        simulation.run(25.0)
        self._check(server, 10.0, 25.0)
        self._check_used(server, 15.0, 25.0)

    def test_end(self):
        """Guards against nodes that keep to a limit that has ended."""
        simulation = LimitSimulation(195, seed=10)
        server = simulation.add_server(1.0)
        simulation.offer_load(server, 40.0, 0.0, 20.0)
        simulation.schedule(10.0, lambda: server.name(math.inf, 10.0))
        simulation.run(20.0)
        self.assertGreater(server.count(14.0, 20.0), 0.9 * 40.0 * 6.0)

    def test_named_under_load(self):
        """Guards against requests that go on after a busy server names a limit."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=11)
                server = simulation.add_server()
                simulation.offer_load(server, 30.0, 0.0, 20.0)
                simulation.schedule(10.0, lambda s=server: s.name(8.0, 10.0))
                simulation.run(20.0)
                self._check(server, 10.0 + CONTACT_S, 20.0)
                self._check_used(server, 15.0, 20.0)

    def test_successor_at_the_address(self):
        """Guards against a new process that is held by its predecessor's limit."""
        simulation = LimitSimulation(6, seed=12)
        server = simulation.add_server(0.5)
        simulation.offer_load(server, 10.0, 0.0, 10.0)
        simulation.run(10.0)
        successor = simulation.add_server()
        simulation.offer_load(successor, 10.0, 10.0, 15.0)
        simulation.run(16.0)
        self.assertGreater(successor.count(10.0, 16.0), 40)


class MembershipTest(LimitFleetTestCase):
    """Guards against two nodes that issue the whole limit, or none."""

    def test_killed_issuer(self):
        """Guards against permits that nobody issues, or two nodes, after a crash."""
        for nodes in (6, 195):
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=13)
                server = simulation.add_server(10.0)
                simulation.offer_load(server, 60.0, 0.0, 30.0)
                simulation.run(10.0)
                first = self._first_issuer(simulation, server)
                simulation.kill(first)
                simulation.run(20.0)
                simulation.restart(first)
                simulation.run(30.0)
                self._check(server, CONTACT_S, 30.0)
                self._check_used(server, 12.0, 20.0)
                self._check_used(server, 22.0, 30.0)

    def test_many_killed(self):
        """Guards against a fleet in which most nodes in the list are gone."""
        simulation = LimitSimulation(67, seed=14)
        server = simulation.add_server(6.0)
        simulation.offer_load(server, 60.0, 0.0, 25.0)
        simulation.run(8.0)
        for number in range(0, 67, 2):
            simulation.kill(f"n{number}")
        simulation.run(25.0)
        self._check(server, CONTACT_S, 25.0)
        self._check_used(server, 12.0, 20.0, part=0.3)
        self._check_used(server, 20.0, 25.0)

    def test_all_killed_at_once(self):
        """Guards against a limit that all nodes have forgotten."""
        for nodes in (6, 195):
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=15)
                server = simulation.add_server(2.0)
                simulation.offer_load(server, 30.0, 0.0, 20.0)
                simulation.run(8.0)
                for name in list(simulation.nodes):
                    simulation.restart(name)
                simulation.run(20.0)
                self._check(server, 8.0 + CONTACT_S, 20.0)
                self._check_used(server, 12.0, 20.0)

    def test_paused_issuer(self):
        """Guards against an issuer that comes back with an old belief."""
        simulation = LimitSimulation(67, seed=16)
        server = simulation.add_server(10.0)
        simulation.offer_load(server, 60.0, 0.0, 25.0)
        simulation.run(8.0)
        first = self._first_issuer(simulation, server)
        simulation.nodes[first].freeze(5.0)
        simulation.run(25.0)
        self._check(server, CONTACT_S, 25.0)
        self._check_used(server, 10.0, 25.0)

    def test_partition(self):
        """Guards against sides of a partition that each issue the whole limit."""
        simulation = LimitSimulation(12, seed=17)
        server = simulation.add_server(10.0)
        simulation.offer_load(server, 60.0, 0.0, 25.0)
        simulation.run(8.0)
        first = self._first_issuer(simulation, server)
        simulation.partition = frozenset((first, "n1", "n2"))
        simulation.run(16.0)
        simulation.partition = frozenset()
        simulation.run(25.0)
        self._check(server, CONTACT_S, 25.0)
        self._check_used(server, 10.0, 25.0)

    def test_isolated_nodes(self):
        """Guards against cut nodes that each issue the whole limit."""
        simulation = LimitSimulation(12, seed=18)
        server = simulation.add_server(10.0)
        simulation.offer_load(server, 60.0, 0.0, 8.0)
        simulation.run(8.0)
        simulation.partition = frozenset(("n3",))
        alone = simulation.nodes["n3"]
        for step in range(100):
            simulation.schedule(
                0.1 * step, lambda: simulation.offer_burst(alone, server, 2)
            )
        simulation.run(18.0)
        self.assertLess(server.count(10.0, 18.0, frozenset(("n3",))), 2 * 8)

    def test_unknown_node(self):
        """Guards against a new node, unknown to most, that issues beside another."""
        for known_by in ((), ("n1", "n2", "n3")):
            with self.subTest(known_by=known_by):
                simulation = LimitSimulation(67, seed=19)
                server = simulation.add_server(10.0)
                simulation.offer_load(server, 60.0, 0.0, 30.0)
                simulation.run(8.0)
                for number in range(100, 130):
                    simulation.add_node(f"n{number}", known_by)
                simulation.run(30.0)
                self._check(server, CONTACT_S, 30.0)
                self._check_used(server, STEADY_S, 30.0, part=0.8)

    def test_removed_nodes_in_the_list(self):
        """Guards against a list of nodes most of which never answer."""
        simulation = LimitSimulation(40, seed=20)
        for number in range(25):
            simulation.kill(f"n{number}")
        server = simulation.add_server(5.0)
        simulation.offer_load(server, 40.0, 0.0, 25.0)
        simulation.run(25.0)
        self._check(server, CONTACT_S, 25.0)


class ColdStartTest(LimitFleetTestCase):
    """Guards against cold servers that get too much, or are left idle.

    The limit is that of a second; nodes use 0.8 of it.
    """

    PER_S = 36.0

    def _run(self, nodes: int, offer) -> float:
        """Run a cold start of 3 s; return the requests per second that it got."""
        simulation = LimitSimulation(nodes, seed=22)
        server = simulation.add_server()
        simulation.start_cold(server, 0.8 * self.PER_S, 3.0, 0.0)
        offer(simulation, server)
        simulation.run(3.0)
        most = server.largest_count(1.0, 0.0, 3.0)
        self.assertLessEqual(most, 1.5 * self.PER_S + 5)
        return server.count(0.0, 3.0) / 3.0

    def test_load_of_all_nodes(self):
        """Guards against more requests than a cold server takes from all nodes."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                used = self._run(nodes, lambda sim, s: sim.offer_load(s, 300, 0, 3))
                self.assertGreaterEqual(used, 0.6 * self.PER_S)

    def test_end(self):
        """Guards against requests that fail, or wait, when a cold start ends."""
        simulation = LimitSimulation(6, seed=23)
        server = simulation.add_server()
        simulation.start_cold(server, 2.0, 1.0, 0.0)
        simulation.offer_load(server, 200.0, 0.0, 3.0)
        simulation.run(4.0)
        self.assertGreater(server.count(1.2, 3.1), 0.9 * 200.0 * 1.8)

    def test_load_of_one_node(self):
        """Guards against shares of a cold server that other nodes leave unused."""

        def offer(simulation, server):
            busy = simulation.nodes["n2"]
            for step in range(300):
                simulation.schedule(
                    0.01 * step, lambda: simulation.offer_burst(busy, server, 1)
                )

        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                self.assertGreaterEqual(self._run(nodes, offer), 0.6 * self.PER_S)


class CostTest(LimitFleetTestCase):
    """Guards against messages that grow with the nodes and the servers."""

    def test_messages(self):
        """Guards against more than 3 KB/s for a node, the bound for its control."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                simulation = LimitSimulation(nodes, seed=21)
                servers = [simulation.add_server(2.0) for _ in range(10)]
                for server in servers:
                    simulation.offer_load(server, 10.0, 0.0, 10.0)
                simulation.run(10.0)
                sent = [n.sent_bytes / 10.0 for n in simulation.nodes.values()]
                self.assertLess(sum(sent) / len(sent), 3000.0)
                for server in servers:
                    self._check(server, CONTACT_S, 10.0)
