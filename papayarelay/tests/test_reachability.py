"""Tests of the detection of unreachable data centres."""

import random
import time
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

from ..backends import pool as pool_module
from ..backends import reachability as reachability_module
from ..backends.reachability import (
    MIN_TIMED_OUT_SERVERS,
    TIMEOUT_WINDOW_S,
    Reachability,
    ReachabilityProbe,
)
from ..config import DataCentre
from .gateway_system import GatewaySystem, sealed_response

UNREACHABLE_SERVERS = 6
REQUESTS = 30


class ReachabilityTest(unittest.TestCase):
    """Guards against missed and false detection of unreachable data centres."""

    def setUp(self):
        self.reach = Reachability()

    def _time_out(self, now_s: float, count: int = MIN_TIMED_OUT_SERVERS) -> None:
        for number in range(count):
            self.reach.record_timeout("b", f"e{number}", now_s)

    def test_one_server(self):
        """Guards against one failed server that makes its data centre unreachable."""
        for now_s in (0.0, 0.1, 0.2):
            self.reach.record_timeout("b", "e1", now_s)
            self.assertFalse(self.reach.is_unreachable("b"))

    def test_partition(self):
        """Guards against an undetected partition, where each server costs a timeout."""
        self._time_out(10.0)
        self.assertTrue(self.reach.is_unreachable("b"))
        self.assertFalse(self.reach.is_unreachable("a"))

    def test_old_timeouts(self):
        """Guards against old timeouts that count together with a new one."""
        self.reach.record_timeout("b", "e1", 10.0)
        self.reach.record_timeout("b", "e2", 10.1 + TIMEOUT_WINDOW_S)
        self.assertFalse(self.reach.is_unreachable("b"))

    def test_response_between_timeouts(self):
        """Guards against excluding a data centre that responded between timeouts."""
        self.reach.record_timeout("b", "e1", 10.0)
        self.reach.record_response("b")
        self.reach.record_timeout("b", "e2", 10.1)
        self.assertFalse(self.reach.is_unreachable("b"))

    def test_reachable_again(self):
        """Guards against a data centre that stays excluded after a response."""
        self._time_out(10.0)
        self.assertTrue(self.reach.record_response("b"))
        self.assertFalse(self.reach.is_unreachable("b"))
        self.reach.record_timeout("b", "e1", 10.1)
        self.assertFalse(self.reach.is_unreachable("b"))


class ProbeTest(unittest.TestCase):
    """Guards against probes that restore a data centre wrongly or never."""

    def _probe(self, outcome) -> list[str]:
        reached = []
        probe = ReachabilityProbe(
            Reachability(),
            lambda place: [("127.0.0.1", 9)],
            reached.append,
            random.Random(1),
        )
        with mock.patch.object(reachability_module, "connect", side_effect=outcome):
            probe.probe("b")
        return reached

    def test_timeout(self):
        """Guards against restoring a data centre whose probes time out."""
        self.assertEqual(self._probe(TimeoutError()), [])
        self.assertEqual(self._probe(OSError(113, "no route")), [])

    def test_accepted_or_refused(self):
        """Guards against ignoring an accepted or refused probe connection."""
        self.assertEqual(self._probe(ConnectionRefusedError()), ["b"])
        self.assertEqual(self._probe([mock.Mock()]), ["b"])

    def test_no_server(self):
        """Guards against endless probing of a data centre without servers."""
        probe = ReachabilityProbe(
            Reachability(), lambda place: [], lambda place: None, None
        )
        probe.probe("b")


class PartitionTest(unittest.TestCase):
    """Guards against failed or delayed requests while a data centre is unreachable.

    Connections to most servers time out, as in a network partition.
    """

    def setUp(self):
        self.system = self.enterContext(GatewaySystem(plain=2 + UNREACHABLE_SERVERS))
        silent = self.system.plain[2:]
        backends = dict(self.system.config.backends)
        for number in range(2, 2 + UNREACHABLE_SERVERS):
            name = f"plain-{number}"
            backends[name] = replace(backends[name], data_centre="dc2")
        places = {**self.system.config.data_centres, "dc2": DataCentre("dc2", "r1")}
        self.system.apply(
            replace(self.system.config, backends=backends, data_centres=places)
        )
        for server in self.system.plain:
            server.script = lambda r: r.sock.sendall(sealed_response(r, b"ok"))
        self.ports = {int(each.address.rpartition(":")[2]) for each in silent}
        self.tried: Counter = Counter()
        self.partitioned = True
        connect = pool_module.connect

        def reach(counts: bool):
            def open_connection(host, port, timeout_s):
                if self.partitioned and port in self.ports:
                    self.tried[port] += counts
                    raise TimeoutError
                return connect(host, port, timeout_s)

            return open_connection

        for module in (pool_module, reachability_module):
            # Probes delay no request, so they are not counted.
            replaced = reach(module is pool_module)
            patch = mock.patch.object(module, "connect", replaced)
            patch.start()
            self.addCleanup(patch.stop)

    def test_partition(self):
        """Guards against a connect timeout for each unreachable server."""
        for _ in range(REQUESTS):
            self.assertEqual(self.send("/job/", "POST", b"x").status, 200)
        self.assertLessEqual(self.tried.total(), MIN_TIMED_OUT_SERVERS)

    def test_reachable_again(self):
        """Guards against reachable servers that stay excluded after a partition."""
        for _ in range(REQUESTS):
            self.send("/call/")
        self.partitioned = False
        end_s = time.monotonic() + 5.0
        while time.monotonic() < end_s:
            self.send("/call/")
            if sum(bool(s.requests) for s in self.system.plain[2:]) > 1:
                return
        self.fail("the data centre got no requests")

    @property
    def send(self):
        """Return the function that sends a request to the gateway."""
        return self.system.request
