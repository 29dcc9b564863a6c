"""Tests of the polling of load reports."""

import random
import unittest
from unittest import mock

import gevent
from gevent.event import Event

from ..backends import watcher
from ..backends.load_report import LoadReport
from ..backends.table import BackendTable
from ..local import wait_for
from .test_table import NOW_S, make_config

LIMIT_S = 5.0


class ReadSoonTest(unittest.TestCase):
    """Guards against missing or excess polls after a failed request."""

    def setUp(self):
        table = BackendTable(random.Random(1))
        self.addCleanup(table.close)
        table.apply(make_config(a="active", b="active"))
        self.reports: list[str] = []
        self.answer = Event()
        self.read = self.enterContext(
            mock.patch.object(watcher, "read_load", side_effect=self._read_load)
        )
        self.enterContext(mock.patch.object(watcher, "POLL_INTERVAL_S", 3600.0))
        self.watcher = watcher.Watcher(
            table, self._report, random.Random(1), lambda: NOW_S
        )
        self.addCleanup(self.watcher.close)
        self.watcher.watch(["engine-a"])

    def _read_load(self, pool) -> LoadReport:
        self.answer.wait(LIMIT_S)
        return LoadReport()

    def _report(self, backend_id: str, load: LoadReport, now_s: float) -> None:
        self.reports.append(backend_id)

    def test_watched(self):
        """Guards against one load request per failure when many fail at once."""
        for _ in range(10):
            self.watcher.poll_now("engine-a")
        gevent.idle()
        self.answer.set()
        wait_for(lambda: self.reports, LIMIT_S, "report")
        self.assertEqual(self.reports, ["engine-a"])
        self.assertEqual(self.read.call_count, 1)

    def test_not_watched(self):
        """Guards against load requests from nodes that don't watch the server."""
        self.watcher.poll_now("engine-b")
        self.watcher.poll_now("unknown")
        gevent.idle()
        self.assertEqual(self.read.call_count, 0)
