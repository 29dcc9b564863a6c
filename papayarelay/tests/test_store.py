"""Tests of the table service client against its stand-in."""

import unittest

from ..errors import CheckFailedError, StoreUnavailableError
from ..standins.tables import TablesStandIn
from ..store.client import Check, Row, TableClient, Write


class StoreCase(unittest.TestCase):
    """Starts a stand-in and a client."""

    def setUp(self):
        self.tables = TablesStandIn()
        self.tables.start()
        self.addCleanup(self.tables.close)
        self.client = self.open_client()

    def open_client(self, **arguments):
        client = TableClient(f"http://{self.tables.address}", **arguments)
        client.start()
        self.addCleanup(client.close)
        return client


class TransactTest(StoreCase):
    def test_write_read_delete(self):
        """Guards against a client that misreads rows, versions or absence."""
        self.assertIsNone(self.client.get("a/ä&=1"))
        version = self.client.transact(
            [Check("a/ä&=1", 0)], [Write("a/ä&=1", b"\x00\xff"), Write("a/2", b"")]
        )
        row = Row("a/ä&=1", b"\x00\xff", version)
        self.assertEqual(self.client.get("a/ä&=1"), row)
        self.assertEqual(self.client.scan("a/", 10), [Row("a/2", b"", version), row])
        self.assertEqual(self.client.scan("a/", 1), [Row("a/2", b"", version)])
        self.client.transact([Check("a/2", version)], [Write("a/2", None)])
        self.assertIsNone(self.client.get("a/2"))

    def test_failed_check_applies_nothing(self):
        """Guards against a transaction that is applied in part."""
        self.client.transact([], [Write("a", b"1")])
        with self.assertRaises(CheckFailedError):
            self.client.transact([Check("a", 0)], [Write("a", b"2"), Write("b", b"2")])
        self.assertEqual(self.client.get("a").value, b"1")
        self.assertIsNone(self.client.get("b"))

    def test_refused_connection_is_not_applied(self):
        """Guards against treating an unsent transaction as possibly applied."""
        self.tables.close()
        with self.assertRaises(StoreUnavailableError):
            self.client.transact([], [Write("a", b"1")])
        with self.assertRaises(StoreUnavailableError):
            self.client.get("a")

    def test_rate_limit(self):
        """Guards against a client that exceeds its share of the store."""
        now_s = [0.0]
        client = self.open_client(reads_per_s=1, writes_per_s=2, clock=lambda: now_s[0])
        for _ in range(4):
            client.transact([], [Write("a", b"1")])
        with self.assertRaises(StoreUnavailableError) as caught:
            client.transact([], [Write("a", b"1")])
        self.assertAlmostEqual(caught.exception.retry_after_s, 0.5)
        now_s[0] = 0.5
        client.transact([], [Write("a", b"1")])
