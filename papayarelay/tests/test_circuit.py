"""Tests of the circuit breaker."""

import random
import unittest

from ..circuit import (
    FAILURE_THRESHOLD,
    MAX_OPEN_S,
    OPEN_S,
    PROBE_TIMEOUT_S,
    PROBES_TO_CLOSE,
    Circuit,
    CircuitState,
)


def opened(rng: random.Random | None = None) -> Circuit:
    """Return a circuit that opened at 0 s."""
    circuit = Circuit(rng)
    for _ in range(FAILURE_THRESHOLD):
        circuit.record_failure(0.0)
    return circuit


class CircuitTest(unittest.TestCase):
    def test_a_failing_server_gets_no_requests(self):
        """Guards against sending requests to a dead server again and again."""
        circuit = opened()
        self.assertFalse(circuit.allow(OPEN_S / 2))

    def test_a_few_failures_among_successes_do_not_open(self):
        """Guards against excluding a healthy server because of sporadic errors."""
        circuit = Circuit()
        for step in range(100):
            circuit.record_success(step * 0.1)
            circuit.record_success(step * 0.1)
            circuit.record_failure(step * 0.1)
        self.assertTrue(circuit.allow(10.0))

    def test_old_failures_do_not_count(self):
        """Guards against a circuit that opens on failures spread over a long time."""
        circuit = Circuit()
        for step in range(100):
            circuit.record_failure(step * 60.0)
        self.assertIs(circuit.state, CircuitState.CLOSED)

    def test_one_probe_at_a_time(self):
        """Guards against a thundering herd on a server that has just recovered."""
        circuit = opened()
        self.assertTrue(circuit.allow(OPEN_S))
        self.assertFalse(circuit.allow(OPEN_S))
        for _ in range(PROBES_TO_CLOSE - 1):
            circuit.record_success(OPEN_S)
            self.assertTrue(circuit.allow(OPEN_S))
        circuit.record_success(OPEN_S)
        self.assertIs(circuit.state, CircuitState.CLOSED)

    def test_asking_does_not_use_up_the_probe(self):
        """Guards against ``is_ready`` using up the probe, so that none is ever sent."""
        circuit = opened()
        self.assertTrue(circuit.is_ready(OPEN_S))
        self.assertTrue(circuit.is_ready(OPEN_S))
        self.assertTrue(circuit.allow(OPEN_S))

    def test_failed_probes_wait_longer_up_to_a_limit(self):
        """Guards against probing a server that stays down at a constant rate."""
        circuit = opened()
        now_s = 0.0
        for _ in range(12):
            now_s += MAX_OPEN_S
            self.assertTrue(circuit.allow(now_s))
            circuit.record_failure(now_s)
        self.assertFalse(circuit.allow(now_s + MAX_OPEN_S * 0.9))
        self.assertTrue(circuit.allow(now_s + MAX_OPEN_S))

    def test_a_lost_probe_does_not_keep_the_circuit_open(self):
        """Guards against a circuit that stays open after a probe without a result."""
        circuit = opened()
        self.assertTrue(circuit.allow(OPEN_S))
        self.assertTrue(circuit.allow(OPEN_S + PROBE_TIMEOUT_S))

    def test_answers_from_before_the_opening_do_not_close(self):
        """Guards against closing on answers to requests sent before the opening."""
        circuit = opened()
        for _ in range(10):
            circuit.record_success(OPEN_S / 2)
        self.assertFalse(circuit.allow(OPEN_S / 2))

    def test_nodes_do_not_probe_at_the_same_moment(self):
        """Guards against simultaneous probes from all nodes."""
        rng = random.Random(1)
        times = set()
        for _ in range(7):
            circuit = opened(rng)
            now_s = 0.0
            while not circuit.is_ready(now_s):
                now_s += 0.01
            times.add(round(now_s, 2))
        self.assertGreater(len(times), 3)
