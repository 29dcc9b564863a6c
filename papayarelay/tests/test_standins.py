"""Tests of the simulated backends and platform services."""

import json
import signal
import subprocess
import sys
import time
import unittest

import gevent
import openai
import urllib3

from ..standins.answers import digest_of
from ..standins.engine import CHAT_PATH, COMPLETION_PATH, EngineStandIn
from ..standins.model import EngineSettings
from ..standins.service import ServiceStandIn
from ..standins.streams import OTHER_ID
from ..standins.vms import VmListStandIn

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.1
POLL_INTERVAL_S = 0.002
FAST = EngineSettings(step_overhead_s=0.001, restart_s=0.05)
# Prefill of a 1,000-token prompt takes 50 s.
STUCK = EngineSettings(prefill_tokens_per_s=20.0, step_prefill_tokens=1)
LONG_PROMPT = "word " * 800
COMMAND = [sys.executable, "-m", "papayarelay", "standin"]


class StandInTest(unittest.TestCase):
    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self.addCleanup(self.http.clear)
        watchdog = gevent.Timeout.start_new(3 * TIMEOUT_S)
        self.addCleanup(watchdog.close)

    def run_standin(self, standin):
        standin.start()
        self.addCleanup(standin.close)
        return standin

    def wait_until(self, condition):
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end_s, "condition not met in time")
            gevent.sleep(POLL_INTERVAL_S)

    def set_faults(self, standin, **faults):
        answer = self.call(standin, "POST", "/faults", faults)
        self.assertEqual(answer.status, 200, answer.data)

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

    def counts(self):
        return self.call(self.service, "GET", "/executions").json()

    def test_counts_executions(self):
        """Guards against a second execution of a key that is not counted."""
        for key in ("a", "b", "a"):
            answer = self.post(key).json()
            self.assertEqual((answer["id"], answer["key"]), ("r-" + key, key))
        self.assertEqual(self.counts(), {"a": 2, "b": 1})

    def test_death_after_execution(self):
        """Guards against ``die_after`` sending a response or skipping the execution."""
        self.set_faults(self.service, die_after=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post("a")
        self.assertEqual(self.counts(), {"a": 1})
        self.assertEqual(self.post("b").status, 200)

    def test_refused_and_hung_requests_do_not_run(self):
        """Guards against ``refuse`` or ``hang`` executing the request."""
        self.set_faults(self.service, refuse=1)
        self.assertEqual(self.post("a").status, 503)
        self.set_faults(self.service, hang=1)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.post("a", timeout=SHORT_TIMEOUT_S)
        self.assertEqual(self.counts(), {})
        self.set_faults(self.service, hang_after=1)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.post("a", timeout=SHORT_TIMEOUT_S)
        self.assertEqual(self.counts(), {"a": 1})

    def test_crossed_and_late_answers(self):
        """Guards against response faults that change the recorded execution."""
        self.set_faults(self.service, crossed=1, answer_delay_s=0.01)
        self.assertEqual(self.post("a").headers["X-Request-Id"], "other-request")
        answer = self.post("b")
        self.assertEqual(answer.headers["X-Request-Id"], "r-b")
        self.assertEqual(answer.json()["id"], "r-b")
        self.assertEqual(self.counts(), {"a": 1, "b": 1})

    def test_refused_connections(self):
        """Guards against a request that is executed while connections are refused."""
        self.service.refuse_connections(TIMEOUT_S)
        self.http.clear()
        with self.assertRaises(urllib3.exceptions.NewConnectionError):
            self.post("a")
        self.assertEqual(self.service.counts(), {})

    def test_listens_again(self):
        """Guards against a server that does not listen again after ``refuse_s``."""
        self.set_faults(self.service, refuse_s=0.02)
        self.http.clear()
        retries = urllib3.Retry(connect=20, backoff_factor=0.01)
        self.assertEqual(self.post("a", retries=retries).status, 200)

    def test_unknown_fault(self):
        """Guards against an unknown fault name that is silently ignored."""
        answer = self.call(self.service, "POST", "/faults", {"dye": 1})
        self.assertEqual(answer.status, 400)

    def test_frozen_connections(self):
        """Guards against a frozen connection that responds, or a new one that hangs."""
        host, port = self.service.address.split(":")
        connection = urllib3.HTTPConnectionPool(host, int(port), retries=False)
        self.addCleanup(connection.close)
        connection.request("GET", "/load")
        self.set_faults(self.service, freeze=True)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            connection.request("GET", "/load", timeout=SHORT_TIMEOUT_S)
        self.assertEqual(connection.request("GET", "/load").status, 200)

    def test_hung_request_ends_with_its_connection(self):
        """Guards against a hung request that survives its client."""
        self.set_faults(self.service, hang=1)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.post("a", timeout=SHORT_TIMEOUT_S)
        self.wait_until(lambda: self.running() == 0)

    def running(self):
        return self.call(self.service, "GET", "/load").json()["running"]


class EngineTest(StandInTest):
    def run_engine(self, settings=FAST):
        return self.run_standin(EngineStandIn(settings=settings))

    def ask(self, engine, request_id="r1", prompt="hello", count=5, **options):
        """Request a stream; ``headers`` are sent in addition to the request id."""
        headers = {"X-Request-Id": request_id, **options.pop("headers", {})}
        body = {"model": "m", "stream": True, "max_tokens": count}
        body["messages"] = [{"role": "user", "content": prompt}]
        options.setdefault("preload_content", False)
        return self.call(engine, "POST", CHAT_PATH, body, headers, **options)

    def read(self, answer):
        """Return the chunks of a stream and whether it ended with [DONE]."""
        lines = b"".join(answer.stream()).decode().split("\n\n")
        data = [line[6:] for line in lines if line.startswith("data: ")]
        chunks = [json.loads(line) for line in data if line != "[DONE]"]
        return chunks, "[DONE]" in data

    def text(self, chunks):
        deltas = [chunk["choices"][0]["delta"] for chunk in chunks]
        return "".join(delta.get("content", "") for delta in deltas)

    def expected(self, request_id, prompt, offsets):
        digest = digest_of(request_id, prompt)
        return " ".join(f"w{offset}:{digest}" for offset in offsets)

    def used_tokens(self, engine):
        return self.call(engine, "GET", "/load").json()["kv_used_tokens"]

    def test_stream(self):
        """Guards against an incomplete stream, or tokens of another request."""
        engine = self.run_engine()
        chunks, done = self.read(self.ask(engine))
        self.assertTrue(done)
        self.assertEqual({chunk["id"] for chunk in chunks}, {"r1"})
        self.assertEqual([chunk["offset"] for chunk in chunks], list(range(6)))
        self.assertEqual(self.text(chunks), self.expected("r1", "hello", range(5)))
        self.assertEqual(chunks[-1]["choices"][0]["finish_reason"], "length")
        self.assertEqual(chunks[-1]["usage"]["completion_tokens"], 5)

    def test_resumed_stream(self):
        """Guards against a resumed stream that repeats or skips tokens."""
        engine = self.run_engine()
        chunks, _ = self.read(self.ask(engine, headers={"X-Resume-From": "3"}))
        self.assertEqual([chunk["offset"] for chunk in chunks], [3, 4, 5])
        text = " " + self.expected("r1", "hello", (3, 4))
        self.assertEqual(self.text(chunks), text)

    def test_client_library(self):
        """Guards against responses that the OpenAI client cannot parse."""
        engine = self.run_engine()
        url = f"http://{engine.address}/v1"
        client = openai.OpenAI(base_url=url, api_key="k", max_retries=0)
        self.addCleanup(client.close)
        options = {"model": "m", "max_tokens": 3}
        options["extra_headers"] = {"X-Request-Id": "r2"}
        expected = self.expected("r2", "one\ntwo", range(3))
        prompts = [{"role": "user", "content": text} for text in ("one", "two")]
        chat = client.chat.completions.create(messages=prompts, **options)
        self.assertEqual(chat.choices[0].message.content, expected)
        self.assertEqual(chat.usage.completion_tokens, 3)
        plain = client.completions.create(prompt="one\ntwo", **options)
        self.assertEqual(plain.choices[0].text, expected)
        options["stream"] = True
        chunks = client.chat.completions.create(messages=prompts, **options)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
        self.assertEqual(text, expected)
        chunks = client.completions.create(prompt="one\ntwo", **options)
        text = "".join(chunk.choices[0].text for chunk in chunks)
        self.assertEqual(text, expected)

    def test_keep_alive(self):
        """Guards against missing keep-alive comments during a long prefill."""
        engine = self.run_engine(STUCK)
        stream = self.ask(engine, prompt=LONG_PROMPT).stream()
        self.assertEqual([next(stream), next(stream)], [b": keep-alive\n\n"] * 2)

    def test_malformed_requests(self):
        """Guards against a malformed request that is accepted."""
        engine = self.run_engine()
        for body in ({}, {"messages": [1]}, [], {"prompt": "x", "max_tokens": -1}):
            with self.subTest(body=body):
                answer = self.call(engine, "POST", COMPLETION_PATH, body)
                self.assertEqual(answer.status, 400)
        answer = self.ask(engine, count=EngineSettings.kv_capacity_tokens)
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["error"]["code"], "memory")

    def test_cancel_disconnect_and_deadline_free_memory(self):
        """Guards against KV cache that stays reserved after its request has ended."""
        engine = self.run_engine(STUCK)
        for how in ("cancel", "disconnect", "deadline"):
            with self.subTest(how=how):
                headers = {"X-Deadline-Ms": "50"} if how == "deadline" else {}
                answer = self.ask(engine, prompt=LONG_PROMPT, headers=headers)
                if how != "deadline":
                    self.wait_until(lambda: self.used_tokens(engine) > 0)
                if how == "disconnect":
                    answer.close()
                elif how == "cancel":
                    found = self.call(engine, "POST", "/v1/cancel", {"id": "r1"}).json()
                    self.assertTrue(found["cancelled"])
                self.wait_until(lambda: self.used_tokens(engine) == 0)
                if how != "disconnect":
                    chunks, done = self.read(answer)
                    self.assertFalse(done)
                    self.assertIn("error", chunks[-1])

    def test_chunk_faults(self):
        """Guards against chunk faults at the wrong offset or for the wrong request."""
        engine = self.run_engine()
        self.set_faults(engine, crossed=1, fault_after=2)
        chunks, done = self.read(self.ask(engine))
        ids = [chunk["id"] for chunk in chunks]
        self.assertEqual(ids, ["r1", "r1", OTHER_ID, "r1", "r1", "r1", "r1"])
        self.assertTrue(done)
        self.set_faults(engine, duplicate=1, fault_after=2)
        chunks, _ = self.read(self.ask(engine))
        offsets = [chunk["offset"] for chunk in chunks]
        self.assertEqual(offsets, [0, 1, 1, 2, 3, 4, 5])
        self.set_faults(engine, gap=1, fault_after=2)
        chunks, _ = self.read(self.ask(engine))
        self.assertEqual([chunk["offset"] for chunk in chunks], [0, 1, 3, 4, 5])
        chunks, _ = self.read(self.ask(engine))
        self.assertEqual(len(chunks), 6)

    def test_crossed_chunk_of_a_request_in_flight(self):
        """Guards against crossed chunks that never come from a real request."""
        engine = self.run_engine()
        other = self.ask(engine, "r2", "other prompt", 100_000)
        self.set_faults(engine, crossed=1, fault_after=0)
        chunks, done = self.read(self.ask(engine))
        self.assertTrue(done)
        self.assertEqual((chunks[0]["id"], chunks[0]["offset"]), ("r2", 0))
        text = self.text(chunks[:1])
        self.assertEqual(text, self.expected("r2", "other prompt", (0,)))
        other.close()

    def test_cancelled_whole_answer(self):
        """Guards against a cancelled answer that is returned as complete."""
        engine = self.run_engine(STUCK)
        headers = {"X-Request-Id": "r1"}
        body = {"prompt": LONG_PROMPT}
        task = gevent.spawn(self.call, engine, "POST", COMPLETION_PATH, body, headers)
        self.wait_until(lambda: engine.cancel("r1"))
        answer = task.get(timeout=TIMEOUT_S)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.json()["error"]["code"], "cancelled")

    def test_crossed_whole_answer(self):
        """Guards against a crossed response with the request's own id or tokens."""
        engine = self.run_engine()
        self.set_faults(engine, crossed=1)
        headers = {"X-Request-Id": "r1"}
        body = {"prompt": "hello", "max_tokens": 2}
        for request_id in (OTHER_ID, "r1"):
            answer = self.call(engine, "POST", COMPLETION_PATH, body, headers).json()
            self.assertEqual(answer["id"], request_id)
            own = answer["choices"][0]["text"] == self.expected("r1", "hello", (0, 1))
            self.assertEqual(own, request_id == "r1")

    def test_broken_stream(self):
        """Guards against a cut stream that looks complete to the client."""
        engine = self.run_engine()
        self.set_faults(engine, break_after=2)
        answer, received = self.ask(engine), []
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            received.extend(answer.stream())
        self.assertEqual(b"".join(received).count(b"offset"), 2)

    def test_silent_stream(self):
        """Guards against a silent stream that ends, or whose KV cache is not freed."""
        engine = self.run_engine()
        self.set_faults(engine, silent=1)
        answer = self.ask(engine, count=100_000)
        answer.connection.sock.settimeout(SHORT_TIMEOUT_S)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            list(answer.stream())
        answer.close()
        self.wait_until(lambda: self.used_tokens(engine) == 0)
        self.assertTrue(self.read(self.ask(engine))[1])

    def test_late_answer(self):
        """Guards against a ``late`` fault that does not delay, or loses the answer."""
        engine = self.run_engine()
        self.set_faults(engine, late=1, late_s=3 * SHORT_TIMEOUT_S, fault_after=0)
        answer = self.ask(engine)
        start_s = time.monotonic()
        self.assertTrue(self.read(answer)[1])
        self.assertGreater(time.monotonic() - start_s, SHORT_TIMEOUT_S)

    def test_frozen_stream(self):
        """Guards against a stream that continues on a frozen connection."""
        engine = self.run_engine()
        answer = self.ask(engine, count=100_000)
        answer.connection.sock.settimeout(SHORT_TIMEOUT_S)
        lines = answer.stream()
        next(lines)
        self.set_faults(engine, freeze=True)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            list(lines)
        self.assertTrue(self.read(self.ask(engine))[1])

    def test_refusal_counts_requests_only(self):
        """Guards against a load poll that consumes a fault meant for a request."""
        engine = self.run_engine()
        self.set_faults(engine, refuse=1)
        self.assertEqual(self.call(engine, "GET", "/load").status, 200)
        self.assertEqual(self.ask(engine).status, 503)
        self.assertEqual(self.call(engine, "GET", "/requests").json(), {})
        self.assertTrue(self.read(self.ask(engine))[1])
        self.assertEqual(self.call(engine, "GET", "/requests").json(), {"r1": 1})

    def test_kill(self):
        """Guards against a crash that keeps streams, KV cache or the boot id."""
        engine = self.run_engine()
        boot_id = self.call(engine, "GET", "/load").json()["boot_id"]
        answer = self.ask(engine, count=100_000)
        self.wait_until(lambda: self.used_tokens(engine) > 0)
        self.set_faults(engine, kill=True)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            list(answer.stream())
        retries = urllib3.Retry(connect=20, read=20, backoff_factor=0.01)
        report = self.call(engine, "GET", "/load", retries=retries).json()
        self.assertNotEqual(report["boot_id"], boot_id)
        self.assertEqual(report["kv_used_tokens"], 0)
        self.assertNotEqual(report["state"], "ready")

    def test_cold_overload(self):
        """Guards against a cold engine that does not crash under overload."""
        engine = self.run_engine()
        self.set_faults(engine, turn_cold=True)
        self.assertEqual(self.call(engine, "GET", "/load").json()["state"], "cold")
        self.assertTrue(self.read(self.ask(engine))[1])
        answer = self.ask(engine, count=100_000)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            list(answer.stream())
        self.assertEqual(engine.model.crashes, 1)

    def test_memory_and_report_faults(self):
        """Guards against memory and lag faults that are not applied to the model."""
        engine = self.run_engine()
        self.set_faults(engine, memory_tokens=500, report_lag_s=TIMEOUT_S)
        self.assertEqual(self.used_tokens(engine), 0)
        self.set_faults(engine, report_lag_s=0.0)
        self.assertEqual(self.used_tokens(engine), 500)

    def test_blocks_move_between_engines(self):
        """Guards against KV block transfers without owner check or expiry."""
        one, two = self.run_engine(), self.run_engine()
        self.read(self.ask(one, prompt=LONG_PROMPT))
        wanted = {"owner": "n1", "ttl_s": 60.0, "prompt": LONG_PROMPT}
        self.assertEqual(self.call(two, "POST", "/kv/export", wanted).status, 404)
        hold = self.call(one, "POST", "/kv/export", wanted).json()
        self.assertEqual((len(hold["blocks"]), hold["tokens"]), (3, 768))
        blocks = {"owner": "n1", "ttl_s": 0.02, "blocks": hold["blocks"]}
        taken = self.call(two, "POST", "/kv/import", blocks).json()
        self.assertEqual(taken["tokens"], 768)
        self.wait_until(lambda: self.used_tokens(two) == 0)
        for owner, released in (("n2", False), ("n1", True), ("n1", False)):
            request = {"hold": hold["hold"], "owner": owner}
            answer = self.call(one, "POST", "/kv/release", request).json()
            self.assertEqual(answer, {"released": released})
        self.assertEqual(self.used_tokens(one), 0)
        events = self.call(two, "GET", "/events?after=1").json()["events"]
        self.assertEqual([event["number"] for event in events], [2, 3])

    def test_commands(self):
        """Guards against a command with a stale fencing token that is applied."""
        engine = self.run_engine()
        for fencing, status in ((5, 200), (4, 409), (6, 200)):
            order = {"order": "load_model", "value": f"m{fencing}", "fencing": fencing}
            answer = self.call(engine, "POST", "/orders", order)
            self.assertEqual(answer.status, status)
        orders = self.call(engine, "GET", "/orders").json()
        self.assertEqual(orders["models"], ["m5", "m6"])

    def test_close(self):
        """Guards against streams or KV cache that survive the close of the engine."""
        engine = self.run_engine()
        address, boot_id = engine.address, engine.model.boot_id
        answer = self.ask(engine, count=100_000)
        engine.close()
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            list(answer.stream())
        self.http.clear()
        with self.assertRaises(urllib3.exceptions.NewConnectionError):
            self.ask(engine)
        engine.start()
        self.assertEqual(engine.address, address)
        report = self.call(engine, "GET", "/load").json()
        self.assertEqual(report["kv_used_tokens"], 0)
        self.assertNotEqual(report["boot_id"], boot_id)


class VmListTest(StandInTest):
    def test_list(self):
        """Guards against list changes that are lost, invalid or visible too early."""
        vms = self.run_standin(VmListStandIn())
        vm = {"address": "127.0.0.1:1", "data_centre": "dc1", "region": "r1"}
        self.assertEqual(self.call(vms, "PUT", "/vms/a", vm).status, 200)
        leaving = vm | {"state": "leaving"}
        self.assertEqual(self.call(vms, "PUT", "/vms/b", leaving).status, 200)
        expected = [vm | {"name": "a", "state": "live"}, leaving | {"name": "b"}]
        self.assertEqual(self.call(vms, "GET", "/vms").json(), expected)
        bad = vm | {"state": "gone"}
        self.assertEqual(self.call(vms, "PUT", "/vms/c", bad).status, 400)
        self.set_faults(vms, lag_s=TIMEOUT_S)
        self.assertEqual(self.call(vms, "DELETE", "/vms/a").status, 200)
        self.assertEqual(self.call(vms, "DELETE", "/vms/a").status, 404)
        self.assertEqual(self.call(vms, "GET", "/vms").json(), expected)
        self.set_faults(vms, lag_s=0.0)
        self.assertEqual(self.call(vms, "GET", "/vms").json(), expected[1:])


class ProgramTest(StandInTest):
    def test_start_and_stop(self):
        """Guards against a process that prints no address or ignores a signal."""
        for kind, number in (
            (["engine", "--starts-cold", "--models", "a", "b"], signal.SIGTERM),
            (["service"], signal.SIGINT),
            (["tables"], signal.SIGINT),
            (["vms"], signal.SIGTERM),
        ):
            with self.subTest(kind=kind):
                process = subprocess.Popen([*COMMAND, *kind], stdout=subprocess.PIPE)
                self.addCleanup(process.stdout.close)
                self.addCleanup(process.kill)
                address = json.loads(process.stdout.readline())["listening"]
                answer = self.http.request("GET", f"http://{address}/unknown")
                self.assertEqual(answer.status, 404)
                process.send_signal(number)
                self.assertEqual(process.wait(TIMEOUT_S), 0)

    def test_bad_options(self):
        """Guards against a traceback, or a start with invalid options."""
        for options in (
            ["service", "--listen", "nowhere"],
            ["service", "--listen", "127.0.0.1:1x"],
            ["engine", "--merged-steps", "0"],
        ):
            with self.subTest(options=options):
                result = subprocess.run(
                    [*COMMAND, *options],
                    capture_output=True,
                    text=True,
                    timeout=TIMEOUT_S,
                    check=False,
                )
                self.assertNotEqual(result.returncode, 0)
                self.assertEqual(result.stdout, "")
                self.assertNotIn("Traceback", result.stderr)
                self.assertTrue(result.stderr)
