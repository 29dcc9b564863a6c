"""Tests of a store that is restored from a backup."""

import unittest

import gevent

from ..local import wait_for
from ..platform.feed import PlatformFeed
from ..platform.store import StoreClient
from .platform_documents import make_document, make_entry
from .store_standin import StoreStandIn
from .test_platform import load_settings

LIMIT_S = 5.0


class RestoredStoreTest(unittest.TestCase):
    """Guards against a configuration or server list that misses a restore."""

    def setUp(self):
        self.standin = StoreStandIn()
        self.addCleanup(self.standin.close)
        self.standin.put("op", "config", make_document(3))
        self.standin.put("servers", "e1", make_entry())
        client = StoreClient(self.standin.address)
        client.start()
        self.addCleanup(client.close)
        self.feed = PlatformFeed(
            client,
            load_settings().bounds,
            lambda config: None,
            lambda name, left_s: None,
        )
        self.feed.start()
        self.addCleanup(self.feed.close)
        self._await_version(3)

    def _await_version(self, version: int) -> None:
        wait_for(
            lambda: self.feed.config.version == version, LIMIT_S, f"version {version}"
        )

    def test_change_after_restore(self):
        """A change after a restore would not be in force until the numbers catch up."""
        backup = self.standin.back_up()
        for number in range(100):
            self.standin.put("servers", "e1", make_entry(sequence=number))
        self.standin.put("op", "config", make_document(4))
        self._await_version(4)
        self.standin.restore(backup)
        self.standin.put("op", "config", make_document(4))
        gevent.sleep(1.0)
        self.standin.put("op", "config", make_document(5))
        with gevent.Timeout(load_settings().bounds.config_s):
            self._await_version(5)

    def test_calls_after_restore(self):
        """A node would read whole tables again and again after a restore."""
        backup = self.standin.back_up()
        for number in range(100):
            self.standin.put("servers", "e1", make_entry(sequence=number))
        gevent.sleep(1.0)
        self.standin.restore(backup)
        before = self.standin.calls.count("rows-get")
        gevent.sleep(3.0)
        self.assertLessEqual(self.standin.calls.count("rows-get") - before, 2)
