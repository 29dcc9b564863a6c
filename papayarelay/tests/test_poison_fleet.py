"""Tests of requests that crash engines, in front of many simulated nodes."""

import unittest

from ..bench.poison import FIRST_CALLER, SHARED, PoisonSimulation

# Sizes of the deployments, with the one in two years.
SIZES = (6, 67, 195, 370)
CONTACT_S = 3.0
ALLOWED_LATE = 3
HARMFUL, OTHER_HARMFUL = 2, 3
# Digest of a request as a whole.
DEADLY = 900
BEGIN_S = 4.0
END_S = 16.0
HOUR_S = 3600.0


class PoisonFleetTestCase(unittest.TestCase):
    """Base class: runs simulations and checks what engines and callers got."""

    def _start(self, nodes=6, seed=1, loss=0.0, per_node_s=2.0) -> PoisonSimulation:
        simulation = PoisonSimulation(nodes, 3 * nodes, seed, loss)
        simulation.offer_ordinary_load(per_node_s * nodes, 0.0, END_S)
        simulation.harmful = {HARMFUL}
        return simulation

    def _offer_harmful(self, simulation, per_s, segment=HARMFUL, begin_s=BEGIN_S):
        segments = (SHARED, FIRST_CALLER, segment)
        simulation.offer_load(segments, per_s, begin_s, END_S)

    def _check(self, simulation, excused=()):
        late = simulation.late_arrivals(CONTACT_S, excused)
        self.assertLessEqual(late, ALLOWED_LATE)

    def _check_served(self, simulation, from_s=BEGIN_S + CONTACT_S):
        """Check that ordinary requests begin at the first attempt from a time on."""
        simulation.run(from_s)
        before = simulation.results()
        simulation.run(END_S)
        found = simulation.results() - before
        harmful = simulation.harmful_offered(from_s)
        ordinary = found.total() - found["begun again"] - harmful
        self.assertGreater(found["begun"], 0.95 * ordinary)


class SizeTest(PoisonFleetTestCase):
    def test_sizes(self):
        """Guards against crashes that each node counts by itself."""
        for nodes in SIZES:
            with self.subTest(nodes=nodes):
                self._run(nodes, 0.05)

    def test_shares(self):
        """Guards against crashes that come rarely, or of all engines at once."""
        for nodes, ratio in ((6, 0.02), (6, 0.5), (195, 0.02), (195, 0.5)):
            with self.subTest(nodes=nodes, ratio=ratio):
                self._run(nodes, ratio)

    def _run(self, nodes: int, ratio: float) -> None:
        simulation = self._start(nodes)
        self._offer_harmful(simulation, ratio * 2.0 * nodes)
        self._check_served(simulation)
        self._check(simulation)

    def test_lost_datagrams(self):
        """Guards against a node that misses a single datagram for good."""
        for nodes in (6, 195):
            with self.subTest(nodes=nodes):
                simulation = self._start(nodes, loss=0.3)
                self._offer_harmful(simulation, 0.1 * nodes)
                self._check_served(simulation)
                self._check(simulation)


class EvidenceTest(PoisonFleetTestCase):
    def test_two_segments_at_once(self):
        """Guards against evidence of one segment that hides another."""
        simulation = self._start()
        simulation.harmful = {HARMFUL, OTHER_HARMFUL}
        self._offer_harmful(simulation, 1.0)
        self._offer_harmful(simulation, 1.0, OTHER_HARMFUL)
        self._check_served(simulation)
        self.assertLess(len(simulation.crashes), 12)

    def test_segments_that_share_all_crashes(self):
        """Guards against the verdict on a sound segment that stood in each crash."""
        simulation = PoisonSimulation(6, 18, seed=4)
        simulation.harmful = {HARMFUL}
        self._offer_harmful(simulation, 2.0, begin_s=1.0)
        # The sound requests of the same caller begin after the first crashes.
        simulation.offer_load((SHARED, FIRST_CALLER), 3.0, 5.0, END_S)
        simulation.run(END_S)
        found = simulation.results()
        sound = END_S - 5.0
        self.assertGreater(found["begun"], 0.8 * 3.0 * sound)
        self._check(simulation)

    def test_engines_of_a_data_centre_crash(self):
        """Guards against segments that are blamed for a power failure."""
        simulation = self._start(67, per_node_s=4.0)
        simulation.harmful = set()
        for at_s in (5.0, 5.3, 9.0, 9.4):
            simulation.schedule(at_s, lambda: self._crash_third(simulation))
        simulation.run(END_S)
        found = simulation.results()
        self.assertEqual(found["rejected"], 0)
        self.assertGreater(found["begun"], 0.9 * 4.0 * 67 * END_S)

    def _crash_third(self, simulation):
        for engine in simulation.engines[::3]:
            if engine.is_up:
                simulation.crash(engine)

    def test_all_engines_crash(self):
        """Guards against a verdict on what all requests share, while none is served."""
        simulation = self._start(6)
        simulation.harmful = set()
        for at_s in (5.0, 8.5, 12.0):
            simulation.schedule(
                at_s, lambda: [simulation.crash(each) for each in simulation.engines]
            )
        simulation.run(END_S)
        self.assertEqual(simulation.results()["rejected"], 0)


class RequestTest(PoisonFleetTestCase):
    """Requests that crash engines as a whole, sent again and again."""

    def _offer_request(self, simulation, per_s, digest=DEADLY, end_s=END_S):
        segments = (SHARED, FIRST_CALLER)
        simulation.harmful.add(digest)
        simulation.offer_load(segments, per_s, BEGIN_S, end_s, digest=digest)

    def _check_request(self, simulation):
        late = simulation.late_arrivals(CONTACT_S, free_crashes=3)
        self.assertLessEqual(late, ALLOWED_LATE)

    def test_sizes_and_shares(self):
        """Guards against a request that each node learns of by itself."""
        for nodes, ratio in ((6, 0.01), (6, 0.2), (67, 0.05), (195, 0.05), (370, 0.05)):
            with self.subTest(nodes=nodes, ratio=ratio):
                simulation = self._start(nodes)
                self._offer_request(simulation, ratio * 2.0 * nodes)
                self._check_served(simulation)
                self._check_request(simulation)

    def test_beside_a_harmful_segment(self):
        """Guards against evidence of a segment that hides a request."""
        simulation = self._start()
        self._offer_harmful(simulation, 1.0)
        self._offer_request(simulation, 1.0)
        self._check_served(simulation)
        self.assertLess(len(simulation.crashes), 14)

    def test_two_requests(self):
        """Guards against evidence of one request that hides another."""
        simulation = self._start()
        self._offer_request(simulation, 1.0)
        self._offer_request(simulation, 1.0, DEADLY + 1)
        self._check_served(simulation)
        self.assertLess(len(simulation.crashes), 10)

    def test_hour(self):
        """Guards against trials of one request that crash engines over and over."""
        simulation = PoisonSimulation(6, 18, seed=5)
        self._offer_request(simulation, 0.4, end_s=HOUR_S)
        simulation.offer_load((SHARED, FIRST_CALLER), 0.5, 1.0, HOUR_S)
        simulation.run(HOUR_S)
        self._check_request(simulation)
        self.assertGreater(simulation.results()["begun"], 0.45 * HOUR_S)

    def test_same_sound_request_beside_crashes(self):
        """Guards against requests without a body that are blamed for other crashes."""
        simulation = self._start(6)
        simulation.harmful = set()
        segments = (SHARED, FIRST_CALLER)
        simulation.offer_load(segments, 4.0, 0.0, END_S, digest=DEADLY)
        for number in range(8):
            engines = simulation.engines[number::8]
            simulation.schedule(
                5.0 + number,
                lambda engines=engines: [
                    simulation.crash(each) for each in engines if each.is_up
                ],
            )
        simulation.run(END_S)
        self.assertEqual(simulation.results()["rejected"], 0)


class NodeTest(PoisonFleetTestCase):
    def test_node_that_was_paused(self):
        """Guards against a node that comes back with what it knew before."""
        simulation = self._start()
        self._offer_harmful(simulation, 3.0)
        simulation.run(BEGIN_S - 0.1)
        simulation.nodes["n1"].freeze(4.0)
        simulation.run(END_S)
        self._check(simulation, ("n1",))
        late = [at_s for at_s, n in simulation.arrivals if n == "n1" and at_s > 11.0]
        self.assertEqual(late, [])

    def test_restarted_node_learns_from_others(self):
        """Guards against a new process that has to crash engines itself."""
        simulation = self._start(67)
        self._offer_harmful(simulation, 6.0)
        simulation.run(10.0)
        simulation.restart("n3")
        simulation.greet("n3")
        crashes = len(simulation.crashes)
        simulation.run(12.0)
        self.assertLessEqual(len(simulation.crashes), crashes)
        self.assertGreater(len(simulation.nodes["n3"].guard.evidence), 0)

    def test_all_nodes_restart(self):
        """Guards against evidence that is lost with all processes at once."""
        simulation = self._start(6)
        self._offer_harmful(simulation, 1.5)
        simulation.run(10.0)
        for name in list(simulation.nodes):
            simulation.restart(name)
        crashes = len(simulation.crashes)
        simulation.run(END_S)
        late = sum(at_s > 10.0 + CONTACT_S for at_s, _ in simulation.arrivals)
        self.assertLessEqual(late, ALLOWED_LATE)
        self.assertLessEqual(len(simulation.crashes) - crashes, 6)

    def test_partition_heals(self):
        """Guards against a side that never learns what the other one has seen."""
        simulation = self._start(67)
        simulation.partition = frozenset(f"n{n}" for n in range(20))
        self._offer_harmful(simulation, 6.0)
        simulation.run(9.0)
        simulation.partition = frozenset()
        simulation.run(END_S)
        digests = {node.guard.evidence.digest for node in simulation.nodes.values()}
        self.assertEqual(len(digests), 1)

    def test_segment_that_is_harmful_for_an_hour(self):
        """Guards against trials that crash engines over and over."""
        for nodes, per_s in ((6, 0.4), (67, 4.0)):
            with self.subTest(nodes=nodes):
                simulation = PoisonSimulation(nodes, 3 * nodes, seed=5)
                simulation.harmful = {HARMFUL}
                segments = (SHARED, FIRST_CALLER, HARMFUL)
                simulation.offer_load(segments, per_s, 1.0, HOUR_S)
                simulation.offer_load((SHARED, FIRST_CALLER), 0.5, 1.0, HOUR_S)
                simulation.run(HOUR_S)
                self._check(simulation)
                self.assertGreater(simulation.results()["begun"], 0.45 * HOUR_S)

    def test_repaired_segment_is_served_again(self):
        """Guards against a verdict that outlasts its cause."""
        simulation = self._start(6)
        self._offer_harmful(simulation, 2.0)
        simulation.run(6.0)
        simulation.harmful = set()
        simulation.run(12.0)
        before = simulation.results()
        simulation.run(END_S)
        found = simulation.results() - before
        self.assertEqual(found["rejected"], 0)
