"""Tests of the stand-ins."""

import json
import unittest

import gevent
import urllib3

from ..standins.service import ServiceStandIn

BOUND_S = 10.0


class StandInTest(unittest.TestCase):
    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, timeout=BOUND_S)
        self.addCleanup(self.http.clear)
        watchdog = gevent.Timeout.start_new(3 * BOUND_S)
        self.addCleanup(watchdog.close)

    def run_standin(self, standin):
        standin.start()
        self.addCleanup(standin.close)
        return standin

    def call(self, standin, method, path, body=None, headers=None, **options):
        url = f"http://{standin.address}{path}"
        data = None if body is None else json.dumps(body)
        return self.http.request(method, url, body=data, headers=headers, **options)


class ServiceTest(StandInTest):
    def setUp(self):
        super().setUp()
        self.service = self.run_standin(ServiceStandIn())

    def post(self, key, **options):
        headers = {"Idempotency-Key": key, "X-Request-Id": "r-" + key}
        return self.call(self.service, "POST", "/jobs", {}, headers, **options)

    def set_faults(self, **faults):
        answer = self.call(self.service, "POST", "/faults", faults)
        self.assertEqual(answer.status, 200)

    def counts(self):
        return self.call(self.service, "GET", "/executions").json()

    def test_counts_executions(self):
        """Guards against a stand-in that hides a second execution of a key."""
        for key in ("a", "b", "a"):
            answer = self.post(key).json()
            self.assertEqual((answer["id"], answer["key"]), ("r-" + key, key))
        self.assertEqual(self.counts(), {"a": 2, "b": 1})

    def test_death_after_execution(self):
        """Guards against an answer, or no execution, when the service dies."""
        self.set_faults(die_after=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post("a")
        self.assertEqual(self.counts(), {"a": 1})
        self.assertEqual(self.post("b").status, 200)

    def test_refused_and_hung_requests_do_not_run(self):
        """Guards against an execution that a refusal or a hang hides."""
        self.set_faults(refuse=1)
        self.assertEqual(self.post("a").status, 503)
        self.set_faults(hang=1)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.post("a", timeout=0.05)
        self.assertEqual(self.counts(), {})
        self.set_faults(hang_after=1)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.post("a", timeout=0.05)
        self.assertEqual(self.counts(), {"a": 1})

    def test_refused_connections(self):
        """Guards against a refused connection that reaches the service."""
        self.service.refuse_connections(BOUND_S)
        self.http.clear()
        with self.assertRaises(urllib3.exceptions.NewConnectionError):
            self.post("a")
        self.assertEqual(self.service.counts(), {})

    def test_listens_again(self):
        """Guards against a stand-in that is lost after it refused connections."""
        self.set_faults(refuse_s=0.02)
        self.http.clear()
        retries = urllib3.Retry(connect=20, backoff_factor=0.01)
        self.assertEqual(self.post("a", retries=retries).status, 200)

    def test_unknown_fault(self):
        """Guards against a misspelt fault that is silently ignored."""
        answer = self.call(self.service, "POST", "/faults", {"dye": 1})
        self.assertEqual(answer.status, 400)
