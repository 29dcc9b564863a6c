"""Test that logs and metrics contain no keys, prompts or answers."""

import signal
import unittest

import gevent
import urllib3

from ..bench.client import Caller
from ..local import (
    MEMBERS,
    MODEL,
    OPERATOR_TOKEN,
    LocalSystem,
    api_key,
    wait_for,
)

TOKENS = 16
LIMIT_S = 30.0
PROMPT = "confidential-prompt-text"
WRONG_KEY = "confidential-wrong-key"
JOB_KEY = "confidential-job-key"
JOB_BODY = b'{"tag": "confidential-job-body"}'
CLUSTER_KEY = "0" * 64


class PrivacyTest(unittest.TestCase):
    """Guards against API keys, prompts and answers in logs and metrics."""

    @classmethod
    def setUpClass(cls):
        cls.system = LocalSystem(
            nodes=2,
            engines=2,
            engine_arguments=("--prefill-tokens-per-s", "200000"),
            settings={"log_level": "debug"},
        )
        cls.addClassCleanup(cls.system.close)
        cls.system.start()

    def _open(self, index: int, key: str) -> Caller:
        caller = Caller(f"http://{self.system.node_addresses[index]}", key)
        self.addCleanup(caller.close)
        return caller

    def _ask(self, caller: Caller, number: int, deadline_ms: int = 20_000) -> str:
        headers = {"X-Deadline-Ms": str(deadline_ms)}
        return caller.complete(MODEL, f"{PROMPT}-{number}", TOKENS, headers).text

    def _send_load(self, part: str) -> set[str]:
        """Send requests, some past their deadline; return the words of all answers."""
        callers = [self._open(index, api_key("workshop")) for index in range(2)]
        tasks = [gevent.spawn(self._ask, callers[n % 2], n) for n in range(40)]
        tasks += [gevent.spawn(self._ask, callers[n % 2], n, 1) for n in range(4)]
        call = callers[0].call_service
        tasks += [
            gevent.spawn(call, "engraving_job", JOB_BODY, f"{JOB_KEY}-{part}-{n}")
            for n in range(4)
        ]
        gevent.joinall(tasks, timeout=LIMIT_S, raise_error=True)
        texts = [task.value for task in tasks if isinstance(task.value, str)]
        return {word for text in texts for word in text.split()}

    def _send_bad_requests(self) -> None:
        """Send invalid requests whose error messages might quote them."""
        self._ask(self._open(0, WRONG_KEY), 0)
        url = f"http://{self.system.node_addresses[0]}/v1/chat/completions"
        for key in (api_key("workshop"), WRONG_KEY):
            for body in (
                PROMPT.encode(),
                b'{"model": "m", "messages": "%s"}' % PROMPT.encode(),
                b'{"model": "m", "messages": [{"%s": 1}]}' % PROMPT.encode(),
            ):
                headers = {"Authorization": f"Bearer {key}"}
                urllib3.request("POST", url, body=body, headers=headers, retries=False)

    def _fail_engines(self) -> None:
        """Inject crossed, repeated and missing chunks, aborted streams and a crash."""
        faults = {"crossed": 5, "duplicate": 5, "gap": 2, "break_after": 8}
        self.system.post(self.system.engine_addresses[0], "/faults", faults)
        service = self.system.service_addresses[0]
        self.system.post(service, "/faults", {"crossed": 1, "die_after": 1})

    def test_logs_and_metrics(self):
        """Guards against logs and scrapes that leak a key, a prompt or an answer."""
        words = self._send_load("good")
        self.assertGreater(len(words), 0)
        self._fail_engines()
        words |= self._send_load("failing")
        self._send_bad_requests()
        metrics = [
            urllib3.request("GET", f"http://{address}/metrics").data.decode()
            for address in self.system.operator_addresses
        ]
        node = self.system.nodes[0]
        node.send_signal(signal.SIGTERM)
        wait_for(lambda: node.exit_code is not None, LIMIT_S, "exit")
        texts = {
            path.name: path.read_text("utf-8", "replace")
            for path in node.log_path.parent.glob("*.log")
        }
        nodes = texts["node-1.log"] + texts["node-2.log"]
        for event in ("PR1301", "PR1303", "PR1305"):
            self.assertIn(event, nodes)
        self.assertIn("requests_admitted", metrics[0])
        organisations = [name for m in MEMBERS.values() for name in m["organisations"]]
        secrets = {api_key(name) for name in organisations} | words
        secrets |= {word.split(":")[1] for word in words}
        secrets |= {PROMPT, WRONG_KEY, JOB_KEY, OPERATOR_TOKEN, CLUSTER_KEY}
        secrets |= {"confidential"}
        for name, text in (texts | dict(enumerate(metrics))).items():
            found = {secret for secret in secrets if secret in text}
            self.assertEqual(found, set(), name)
