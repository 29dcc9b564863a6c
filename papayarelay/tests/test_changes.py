"""System tests of configuration changes and drains, with nodes as processes."""

import signal
import time
import unittest
from collections.abc import Callable

import gevent
import urllib3

from ..bench.client import Caller, StreamedResponse
from ..local import MODEL, LocalSystem, api_key, wait_for, write_config

NODES = 3
LIMIT_S = 30.0
# Invariants I4 and I10: a change is applied on every node within this time.
CHANGE_LIMIT_S = 3.0
TOKENS = 10
CALLERS = 12
REQUESTS_AFTER_CHANGE = 90
PROMPT = "some prompt"
NO_FAULTS = {"outage": ""}


class ChangeTest(unittest.TestCase):
    """Base of the tests: one node and one engine in each of three data centres."""

    @classmethod
    def setUpClass(cls):
        cls.system = LocalSystem(
            nodes=NODES,
            engines=NODES,
            services=0,
            engine_arguments=("--prefill-tokens-per-s", "200000"),
        )
        cls.addClassCleanup(cls.system.close)
        cls.system.start()
        cls.version = 1

    def status(self, index: int) -> dict:
        """Return the status of a node."""
        return self.system.get(
            self.system.operator_addresses[index], "/operator/status"
        )

    def set_store_faults(self, **faults: object) -> None:
        """Set faults of the table service until the end of the test."""
        address = self.system.store_address
        self.addCleanup(self.system.post, address, "/faults", NO_FAULTS)
        self.system.post(address, "/faults", faults)


class ConfigChangeTest(ChangeTest):
    """Guards against configuration changes that are late or reverted."""

    def setUp(self):
        self._seen: list[list[int]] = [[] for _ in range(NODES)]
        tasks = [gevent.spawn(self._record, index) for index in range(NODES)]
        self.addCleanup(gevent.killall, tasks)

    def _record(self, index: int) -> None:
        """Record the versions that a node reports."""
        while True:
            try:
                self._seen[index].append(self.status(index)["config_version"])
            except urllib3.exceptions.HTTPError:
                # A paused node does not respond.
                continue
            gevent.sleep(0.05)

    def _write(self) -> None:
        """Write the next configuration version, which adds a model."""
        type(self).version += 1
        document = self.system.document()
        document["models"][f"model-{self.version}"] = {"context_tokens": 1000}
        store_url = f"http://{self.system.store_address}"
        write_config(store_url, document, self.version)

    def _is_in_force(self, index: int) -> bool:
        seen = self._seen[index]
        return bool(seen) and seen[-1] == self.version

    def _wait_until_in_force(self, indexes: range, limit_s: float) -> None:
        wait_for(
            lambda: all(self._is_in_force(index) for index in indexes),
            limit_s,
            f"version {self.version} on nodes {list(indexes)}",
        )

    def _assert_versions_increase(self) -> None:
        for seen in self._seen:
            self.assertEqual(seen, sorted(seen))

    def _models(self, index: int) -> set[str]:
        response = urllib3.request(
            "GET",
            f"http://{self.system.node_addresses[index]}/v1/models",
            headers={"Authorization": f"Bearer {api_key('front_desk')}"},
        )
        return {model["id"] for model in response.json()["data"]}

    def test_change(self):
        """A change would be applied late or only on some nodes."""
        for _ in range(3):
            self._write()
            self._wait_until_in_force(range(NODES), CHANGE_LIMIT_S)
            for index in range(NODES):
                self.assertEqual(self._models(index), {MODEL, f"model-{self.version}"})
        self._assert_versions_increase()

    def test_paused_node(self):
        """A node resumed after a pause would spread or keep an old version."""
        self._write()
        self._wait_until_in_force(range(NODES), CHANGE_LIMIT_S)
        paused = self.system.nodes[-1]
        paused.send_signal(signal.SIGSTOP)
        self.addCleanup(paused.send_signal, signal.SIGCONT)
        for _ in range(2):
            self._write()
            self._wait_until_in_force(range(NODES - 1), CHANGE_LIMIT_S)
        paused.send_signal(signal.SIGCONT)
        self._wait_until_in_force(range(NODES), CHANGE_LIMIT_S)
        self._write()
        self._wait_until_in_force(range(NODES), CHANGE_LIMIT_S)
        self._assert_versions_increase()

    def test_store_down_after_change(self):
        """A change that one node has read would not reach the others in an outage."""
        self._write()
        wait_for(
            lambda: any(self._is_in_force(index) for index in range(NODES)),
            CHANGE_LIMIT_S,
            "the change on one node",
        )
        self.set_store_faults(outage="hang")
        self._wait_until_in_force(range(NODES), CHANGE_LIMIT_S)
        self._assert_versions_increase()


class DrainTest(ChangeTest):
    """Guards against requests to a drained data centre and against lost requests."""

    DRAINED = 1

    def setUp(self):
        self.answers: list[StreamedResponse] = []
        self.system.post(self.system.store_address, "/faults", NO_FAULTS)
        self._running = True
        self._tasks = [
            gevent.spawn(self._send, index % NODES) for index in range(CALLERS)
        ]
        self.addCleanup(gevent.killall, self._tasks)

    def _send(self, index: int) -> None:
        """Send requests to one node until the end of the test."""
        address = self.system.node_addresses[index]
        caller = Caller(f"http://{address}", api_key("front_desk"))
        while self._running:
            self.answers.append(caller.complete(MODEL, PROMPT, TOKENS))
        caller.close()

    def _requests(self) -> set[str]:
        """Return the ids of the requests that the drained engine has received."""
        address = self.system.engine_addresses[self.DRAINED]
        return set(self.system.get(address, "/requests"))

    def _wait_for(self, condition: Callable[[], bool], what: str) -> None:
        wait_for(condition, LIMIT_S, what)

    def _wait_for_answers(self) -> None:
        goal = len(self.answers) + REQUESTS_AFTER_CHANGE
        self._wait_for(lambda: len(self.answers) >= goal, "answers")

    def _change(self, action: str, node: int) -> None:
        status = self.system.post(
            self.system.operator_addresses[node],
            f"/operator/{action}",
            {"name": f"dc{self.DRAINED + 1}"},
        )
        self.assertEqual(status, 200)

    def _assert_drained_and_returned(self, node: int) -> None:
        self._wait_for(lambda: bool(self._requests()), "work before the drain")
        self._change("drain", node)
        end_s = time.monotonic() + CHANGE_LIMIT_S
        self._wait_for(lambda: time.monotonic() > end_s, "the limit of a drain")
        before = self._requests()
        self._wait_for_answers()
        self.assertEqual(self._requests() - before, set())
        self._change("return", node)
        self._wait_for(lambda: self._requests() != before, "work after the return")
        self._wait_for_answers()
        self._running = False
        gevent.joinall(self._tasks, timeout=LIMIT_S, raise_error=True)
        failed = [each for each in self.answers if not each.is_correct(PROMPT, TOKENS)]
        self.assertEqual(failed, [])

    def test_store_up(self):
        """A drain through one node would not reach the others."""
        self._assert_drained_and_returned(0)

    def test_store_down(self):
        """A drain would fail or stay local during an outage of the table service."""
        self.set_store_faults(outage="hang")
        self._assert_drained_and_returned(2)
