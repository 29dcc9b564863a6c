"""Tests of the table service client against its stand-in."""

import contextlib
import unittest

import gevent
import urllib3
from gevent.server import StreamServer

from ..errors import (
    CheckFailedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..standins.tables import TablesStandIn
from ..store.client import Check, Row, TableClient, Write


class StoreCase(unittest.TestCase):
    """Base of the tests: a stand-in of the table service and a client."""

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
        """Guards against a transaction that is partly applied after a failed check."""
        self.client.transact([], [Write("a", b"1")])
        with self.assertRaises(CheckFailedError):
            self.client.transact([Check("a", 0)], [Write("a", b"2"), Write("b", b"2")])
        self.assertEqual(self.client.get("a").value, b"1")
        self.assertIsNone(self.client.get("b"))

    def test_refused_connection_is_not_applied(self):
        """Guards against reporting an unsent transaction as possibly applied."""
        self.tables.close()
        with self.assertRaises(StoreUnavailableError):
            self.client.transact([], [Write("a", b"1")])
        with self.assertRaises(StoreUnavailableError):
            self.client.get("a")

    def test_rate_limit(self):
        """Guards against a client that exceeds its rate limit for writes."""
        now_s = [0.0]
        client = self.open_client(reads_per_s=1, writes_per_s=2, clock=lambda: now_s[0])
        for _ in range(4):
            client.transact([], [Write("a", b"1")])
        with self.assertRaises(StoreUnavailableError) as caught:
            client.transact([], [Write("a", b"1")])
        self.assertAlmostEqual(caught.exception.retry_after_s, 0.5)
        now_s[0] = 0.5
        client.transact([], [Write("a", b"1")])


class FaultsTest(StoreCase):
    def post_faults(self, **faults):
        answer = urllib3.request(
            "POST", f"http://{self.tables.address}/faults", json=faults
        )
        self.assertEqual(answer.status, 200, answer.data)

    def counters(self):
        url = f"http://{self.tables.address}/counters"
        return urllib3.request("GET", url).json()

    def await_row(self, key):
        with gevent.Timeout(5):
            while self.tables.tables.get(key) is None:
                gevent.idle()

    def test_lost_answer(self):
        """Guards against reporting a write as not applied when its response is lost."""
        self.post_faults(lost_answers=1)
        with self.assertRaises(StoreOutcomeUnknownError):
            self.client.transact([Check("a", 0)], [Write("a", b"1")])
        self.assertEqual(self.client.get("a").value, b"1")
        self.client.transact([], [Write("b", b"1")])

    def test_delayed_effect(self):
        """Guards against reporting a write as not applied that takes effect later."""
        self.post_faults(delayed_effects=1, effect_delay_s=0.3)
        with self.assertRaises(StoreOutcomeUnknownError):
            self.client.transact([], [Write("a", b"1")], timeout_s=0.05)
        self.assertIsNone(self.client.get("a"))
        self.await_row("a")

    def test_refused_port_opens_again(self):
        """Guards against a refused connection that counts as possibly applied.

        The port then opens again, and the client has to reconnect.
        """
        self.client.get("a")
        self.post_faults(outage="refuse", outage_s=0.2)
        with self.assertRaises(StoreUnavailableError):
            self.client.transact([], [Write("a", b"1")])
        with gevent.Timeout(5):
            while True:
                try:
                    self.assertIsNone(self.client.get("a"))
                    break
                except StoreUnavailableError:
                    gevent.sleep(0.01)

    def test_hang_and_reject(self):
        """Guards against a call that exceeds its timeout, and a wrong outcome."""
        self.post_faults(outage="hang")
        with self.assertRaises(StoreOutcomeUnknownError):
            self.client.transact([], [Write("a", b"1")], timeout_s=0.05)
        with self.assertRaises(StoreUnavailableError):
            self.client.get("a", timeout_s=0.05)
        self.post_faults(outage="reject")
        with self.assertRaises(StoreUnavailableError):
            self.client.transact([], [Write("a", b"1")])
        self.post_faults()
        self.assertIsNone(self.client.get("a"))

    def test_latency_beyond_the_limit(self):
        """Guards against a slow store that blocks a caller beyond its timeout."""
        self.post_faults(latency_s=0.2)
        with self.assertRaises(StoreOutcomeUnknownError):
            self.client.transact([], [Write("a", b"1")], timeout_s=0.05)
        self.await_row("a")

    def test_counters(self):
        """Guards against store counters that miss a read or a write."""
        self.client.transact([], [Write("a", b"1"), Write("b", b"1")])
        self.client.get("a")
        self.client.scan("", 10)
        with self.assertRaises(CheckFailedError):
            self.client.transact([Check("a", 0)], [Write("a", b"2")])
        counters = self.counters()
        self.assertEqual(counters["reads"], 2)
        self.assertEqual(counters["rows_read"], 3)
        self.assertEqual(counters["writes"], 2)
        self.assertEqual(counters["rows_written"], 2)
        self.assertEqual(counters["failed_checks"], 1)
        self.assertEqual(counters["reads_by_prefix"], {"a": 1, "": 1})
        self.assertEqual(counters["writes_by_prefix"], {"a": 2})


class SlowResponseTest(unittest.TestCase):
    def test_call_is_bounded_as_a_whole(self):
        """Guards against a response that arrives byte by byte without an end.

        Each byte restarts urllib3's read timeout, so the call would never time out.
        """

        def drip(connection, _):
            with contextlib.suppress(OSError):
                while True:
                    connection.sendall(b"H")
                    gevent.sleep(0.02)

        server = StreamServer(("127.0.0.1", 0), drip)
        server.start()
        self.addCleanup(server.stop)
        client = TableClient(f"http://127.0.0.1:{server.server_port}", 0.1)
        client.start()
        self.addCleanup(client.close)
        with gevent.Timeout(5), self.assertRaises(StoreOutcomeUnknownError):
            client.transact([], [Write("a", b"1")])
