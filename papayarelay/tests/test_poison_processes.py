"""Tests of requests that crash engines, with several node processes."""

import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

import gevent

from .soak.client import Client, PoisonClient
from .soak.environment import Environment

NODES = 3
CLIENTS = 6
START_LIMIT_S = 20.0
# Longer than nodes have after the fifth crash, by a margin for a slow machine.
DURATION_S = 9.0
CALM_S = 3.0


class PoisonTest(unittest.TestCase):
    """Guards against requests that crash one engine after the other."""

    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.environment = Environment(1, Path(directory))
        self.addCleanup(self.environment.close)
        self.environment.start(NODES)
        end_s = time.monotonic() + START_LIMIT_S
        while not all(map(self.environment.ready, self.environment.nodes)):
            self.assertLess(time.monotonic(), end_s, "the nodes are not ready")
            gevent.sleep(0.1)
        self.clients = [Client(self.environment, n) for n in range(CLIENTS)]
        for client in self.clients:
            self.addCleanup(client.close)
            client.start()

    def _served_ratio(self, duration_s: float) -> float:
        before = sum((client.results for client in self.clients), Counter())
        gevent.sleep(duration_s)
        after = sum((client.results for client in self.clients), Counter())
        return (after[200] - before[200]) / (after.total() - before.total())

    def test_segment_that_crashes_engines(self):
        """Guards against a request that each node learns of by a crash of its own."""
        gevent.sleep(CALM_S)
        poison = self.environment.poison
        poison.begin("bad")
        client = PoisonClient(self.environment, CLIENTS)
        self.addCleanup(client.close)
        client.start()
        gevent.sleep(DURATION_S)
        # Requests that share the other segments are served meanwhile.
        self.assertGreater(self._served_ratio(CALM_S), 0.9)
        self.assertGreater(poison.crashes, 0)
        self.assertEqual(sorted(set(self.environment.record.violations)), [])
