"""Tests of limits that several node processes must keep together."""

import tempfile
import time
import unittest
from pathlib import Path

import gevent

from .soak.client import Client
from .soak.environment import Environment

NODES = 3
CLIENTS = 6
START_LIMIT_S = 20.0
# Three times the limit's window, after the time in which it takes effect.
DURATION_S = 15.0


class LimitedServerTest(unittest.TestCase):
    """Guards against a server that gets more than the limit that it named."""

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

    def test_requests_of_all_nodes_together(self):
        """Guards against nodes that each keep to the limit alone, or not at all."""
        limited = self.environment.backends[0]
        limited.limit.name(1.0, time.monotonic())
        gevent.sleep(DURATION_S)
        self.assertEqual(sorted(set(self.environment.record.violations)), [])
