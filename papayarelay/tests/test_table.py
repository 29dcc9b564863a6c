"""Tests of the registry of backend servers."""

import random
import unittest
from dataclasses import replace

from ..backends.load_report import LoadReport
from ..backends.table import BackendTable
from ..config import Backend, Config, DataCentre, Model
from ..cost import Cost

NOW_S = 100.0


def make_config(**states: str) -> Config:
    """Return a configuration with one engine per data centre, given their states."""
    centres = {name: DataCentre(name, "r1", state) for name, state in states.items()}
    backends = {
        f"engine-{name}": Backend(
            f"engine-{name}", "engine", name, f"http://127.0.0.1:{9000 + n}", ("m",)
        )
        for n, name in enumerate(centres)
    }
    return Config(1, {}, {}, centres, backends, {"m": Model("m", 1000)})


class BackendTableTest(unittest.TestCase):
    """Guards against work for servers that are out of service or overloaded."""

    def setUp(self):
        self.table = BackendTable(random.Random(1))
        self.addCleanup(self.table.close)
        self.table.apply(make_config(a="active", b="active"))

    def _ids(self) -> list[str]:
        return [view.id for view in self.table.views("engine", "m", NOW_S)]

    def test_mark(self):
        """Guards against a drain that has no effect until the configuration changes."""
        self.table.override_drain("data_centre/a", True)
        self.assertEqual(self._ids(), ["engine-b"])
        self.table.override_drain("data_centre/a", False)
        self.assertEqual(self._ids(), ["engine-a", "engine-b"])

    def test_return_does_not_overrule_configuration(self):
        """Guards against an old return that overrides a later configured drain."""
        self.table.override_drain("data_centre/a", False)
        self.table.apply(make_config(a="drained", b="active"))
        self.assertEqual(self._ids(), ["engine-b"])
        self.assertEqual(self.table.drained, ["data_centre/a"])

    def test_adopted_drain(self):
        """Guards against a stale drain row that undoes a return from a peer."""
        self.table.override_drain("backend/engine-a", False)
        self.table.drain_unless_overridden("backend/engine-a")
        self.assertEqual(self._ids(), ["engine-a", "engine-b"])

    def test_own_work(self):
        """Guards against views without the work sent since the last load report.

        The engine would look idle, and more and more work would be routed to it.
        """
        entry = self.table.get("engine-a")
        self.table.record_load("engine-a", LoadReport(boot_id="1"), NOW_S)
        before = self.table.hold(entry, Cost(100, 10), NOW_S - 1)
        after = self.table.hold(entry, Cost(5000, 10), NOW_S + 1)
        view, _ = self.table.views("engine", "m", NOW_S)
        self.assertEqual(view.own_inflight, 2)
        self.assertEqual(view.sent_prefill_tokens, 5000)
        self.assertEqual(view.own_prefill_by_size, (100, 5000, 0))
        self.table.mark_prefilled(entry, before)
        self.table.release(entry, after)
        view, _ = self.table.views("engine", "m", NOW_S)
        self.assertEqual(view.own_prefill_by_size, (0, 0, 0))
        self.assertEqual(view.own_tokens, 110)

    def test_restart_is_cold(self):
        """Guards against a restarted engine that gets as much work as a warm one."""
        self.table.set_watched(["engine-a"], NOW_S)
        first = LoadReport(boot_id="1")
        self.assertFalse(self.table.record_load("engine-a", first, NOW_S))
        second = replace_boot(first, "2")
        self.assertTrue(self.table.record_load("engine-a", second, NOW_S + 1))
        view, _ = self.table.views("engine", "m", NOW_S)
        self.assertEqual(view.own_tokens_limit, 4096)

    def test_new_watcher_of_cold_engine(self):
        """Guards against a new watcher that sends a cold engine unlimited work.

        Without a ramp-up, the engine would never be reported as warm either.
        """
        self.table.mark_cold("engine-a", True, NOW_S)
        view, _ = self.table.views("engine", "m", NOW_S)
        self.assertEqual(view.own_tokens_limit, 0)
        self.table.set_watched(["engine-a"], NOW_S)
        view, _ = self.table.views("engine", "m", NOW_S)
        self.assertEqual(view.own_tokens_limit, 4096)

    def test_mark_from_other_watcher(self):
        """Guards against ignoring another watcher's report of a cold engine."""
        self.table.set_watched(["engine-a"], NOW_S)
        self.table.mark_cold("engine-a", True, NOW_S)
        self.assertTrue(self.table.get("engine-a").warm_up.cold)

    def test_old_report(self):
        """Guards against an expired report of a full engine that blocks it."""
        full = LoadReport("1", "warm", 1000, 1000, queued_prefill_tokens=10**6)
        self.table.record_load("engine-a", full, NOW_S)
        view, _ = self.table.views("engine", "m", NOW_S + 1)
        self.assertEqual(view.kv_used_tokens, 1000)
        view, _ = self.table.views("engine", "m", NOW_S + 60)
        self.assertEqual((view.kv_used_tokens, view.queued_prefill_tokens), (0, 0))

    def test_started_again(self):
        """Guards against a restarted server that inherits the state of the old one."""
        config = make_config(a="active")
        self.table.apply(config)
        entry = self.table.get("engine-a")
        entry.ejection.record_replaced()
        self.table.hold(entry, Cost(100, 10), NOW_S)
        self.assertEqual(self._ids(), [])
        again = replace(config.backends["engine-a"], started=5)
        self.table.apply(replace(config, backends={"engine-a": again}))
        self.assertEqual(self._ids(), ["engine-a"])
        self.assertEqual(self.table.own_work(NOW_S), {})


def replace_boot(report: LoadReport, boot_id: str) -> LoadReport:
    """Return the load report of the same engine after a restart."""
    return LoadReport(boot_id, report.state, report.kv_capacity_tokens)
