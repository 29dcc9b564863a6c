"""End-to-end tests of nodes with stand-in backends, through the caller API."""

import json
import random
import socket
import unittest
from collections.abc import Callable

import gevent
import openai
import urllib3

from ..bench.client import Caller, expected_tokens
from ..demo import make_prompt
from ..local import api_key
from ..node import Node
from ..standins.tables import Faults
from .system import MODEL, System, wait_for

# Long enough that all requests of a test are in flight at the same time.
QUEUED_TOKENS = 300
TOKENS = 8
SEED = 5
LIMIT_S = 30.0


def make_prompts(count: int) -> list[str]:
    """Return distinct prompts."""
    return [make_prompt(50, random.Random(f"{SEED}-{n}")) for n in range(count)]


class OpenAIClientTest(unittest.TestCase):
    """Guards against wrong, mixed up or truncated responses to the OpenAI client."""

    def setUp(self):
        self.system = self.enterContext(System(engines=3))
        self.client = openai.OpenAI(
            base_url=f"{self.system.url()}/v1",
            api_key=api_key("front_desk"),
            max_retries=0,
        )
        self.addCleanup(self.client.close)

    def _create(self, prompt: str, **options):
        return self.client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": prompt}],
            max_tokens=TOKENS,
            **options,
        )

    def _is_correct(self, prompt: str, stream: bool) -> bool:
        if not stream:
            answer = self._create(prompt)
            text = answer.choices[0].message.content
            request_id = answer.id
        else:
            chunks = list(self._create(prompt, stream=True))
            text = "".join(c.choices[0].delta.content or "" for c in chunks)
            request_id = chunks[0].id
        return text.split() == expected_tokens(request_id, prompt, TOKENS)

    def test_models_are_listed(self):
        """The model list must contain the configured models."""
        self.assertEqual([model.id for model in self.client.models.list()], [MODEL])

    def test_completions(self):
        """The legacy completions endpoint must return the right text."""
        answer = self.client.completions.create(
            model=MODEL, prompt="one two", max_tokens=TOKENS
        )
        expected = expected_tokens(answer.id, "one two", TOKENS)
        self.assertEqual(answer.choices[0].text.split(), expected)

    def test_crossed_and_late_answers(self):
        """Chunks of other requests, duplicates and late ones must be dropped."""
        for engine in self.system.engines:
            engine.faults.crossed = 60
            engine.faults.duplicate = 60
            engine.faults.late = 20
            engine.faults.late_s = 0.2
        prompts = make_prompts(300)
        tasks = [
            gevent.spawn(self._is_correct, prompt, bool(index % 2))
            for index, prompt in enumerate(prompts)
        ]
        gevent.joinall(tasks, timeout=LIMIT_S, raise_error=True)
        self.assertEqual([task.value for task in tasks], [True] * len(prompts))
        counters = self.system.nodes[0].dispatcher.counters
        self.assertGreater(counters.other_request, 0)
        self.assertGreater(counters.duplicate, 0)

    def test_wrong_key(self):
        """An unknown API key must be rejected."""
        client = openai.OpenAI(
            base_url=f"{self.system.url()}/v1", api_key="wrong", max_retries=0
        )
        self.addCleanup(client.close)
        with self.assertRaises(openai.AuthenticationError) as caught:
            client.models.list()
        self.assertEqual(caught.exception.body["step"], "authenticate")


class BrokenStreamTest(unittest.TestCase):
    """Guards against lost or duplicated tokens when a stream breaks."""

    def setUp(self):
        self.system = self.enterContext(System(engines=2))
        self.system.wait_for_loads()
        self.caller = Caller(self.system.url(), api_key("front_desk"))
        self.addCleanup(self.caller.close)

    def _assert_answered(self, prompt: str) -> None:
        answer = self.caller.complete(MODEL, prompt, TOKENS)
        self.assertTrue(answer.is_correct(prompt, TOKENS), answer)

    def _inject_fault(self, fault: str) -> None:
        for engine in self.system.engines:
            setattr(engine.faults, fault, 1)
            engine.faults.fault_after = 3

    def test_gap(self):
        """A gap in an engine's stream must not reach the caller."""
        self._inject_fault("gap")
        self._assert_answered("some prompt")

    def test_silent(self):
        """A stream that stalls while open must be retried before its deadline."""
        self._inject_fault("silent")
        self._assert_answered("some prompt")
        self.assertGreater(self.system.nodes[0].dispatcher.retries, 0)

    def test_broken_connection(self):
        """The response must be complete although an engine breaks its connections."""
        self.system.engines[0].faults.break_after = 3
        for prompt in make_prompts(10):
            self._assert_answered(prompt)

    def test_engine_gone(self):
        """Requests routed to a stopped engine must be retried on another one."""
        self.system.engines[0].close()
        for prompt in make_prompts(10):
            self._assert_answered(prompt)

    def test_no_engine(self):
        """With all engines stopped, a request must fail with outcome not_run."""
        for engine in self.system.engines:
            engine.close()
        answer = self.caller.complete(
            MODEL, "some prompt", TOKENS, {"X-Deadline-Ms": "3000"}
        )
        self.assertIn(answer.status, (502, 503, 504))
        self.assertEqual(answer.outcome, "not_run")

    def test_caller_gone(self):
        """A caller's disconnect must cancel its request at the engine."""
        for engine in self.system.engines:
            engine.faults.silent = 1
        body = json.dumps(
            {
                "model": MODEL,
                "stream": True,
                "messages": [{"role": "user", "content": "x"}],
            }
        )
        host, port = self.system.nodes[0].caller_address.split(":")
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {api_key('front_desk')}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall((head + body).encode())
            connection.recv(1)
        node = self.system.nodes[0]
        wait_for(lambda: node.gate.inflight == 0, LIMIT_S, "end of the request")
        wait_for(
            lambda: all(
                e.model.load(self.system.now_s()).running == 0
                for e in self.system.engines
            ),
            LIMIT_S,
            "cancel at the engine",
        )


class ServiceTest(unittest.TestCase):
    """Guards against jobs that run twice and wrong outcomes of failed jobs."""

    def setUp(self):
        self.system = self.enterContext(System(nodes=2, engines=1))
        self.service = self.system.services[0]
        self.callers = [
            Caller(self.system.url(index), api_key("workshop")) for index in range(2)
        ]

    def _call(self, key: str | None, index: int = 0) -> tuple[int, dict]:
        return self.callers[index].call_service("engraving_job", b"{}", key)

    def test_duplicates_at_two_nodes(self):
        """A job sent to two nodes at the same time must run once."""
        keys = [f"job-{n}" for n in range(10)]
        tasks = [
            gevent.spawn(self._call, key, index) for key in keys for index in (0, 1)
        ]
        gevent.joinall(tasks, timeout=LIMIT_S, raise_error=True)
        self.assertEqual(self.service.counts(), dict.fromkeys(keys, 1))
        self.assertEqual({task.value[0] for task in tasks}, {200})

    def test_key_is_needed(self):
        """A job needs an idempotency key; its retries could not be detected else."""
        status, body = self._call(None)
        self.assertEqual((status, body["error"]["outcome"]), (400, "not_run"))
        self.assertEqual(self.service.counts(), {})

    def test_service_dies_after_execution(self):
        """A job that ran without a response must not be rerun or count as not run."""
        self.service.faults.die_after = 1
        status, body = self._call("job")
        self.assertEqual((status, body["error"]["outcome"]), (502, "unknown"))
        self.assertEqual(self.service.counts(), {"job": 1})

    def test_crossed_answer(self):
        """A response that belongs to another job must be rejected."""
        self.service.faults.crossed = 1
        status, body = self._call("job")
        self.assertEqual((status, body["error"]["outcome"]), (502, "unknown"))

    def test_refused_connection(self):
        """A job must be reported as not run if the service refuses connections."""
        self.service.close()
        status, body = self._call("job")
        self.assertIn(status, (502, 503))
        self.assertEqual(body["error"]["outcome"], "not_run")
        self.assertEqual(body["error"]["retry_key"], "new")
        self.service.start()
        status, body = self._call("job")
        self.assertEqual(body["error"]["outcome"], "not_run")
        self.assertEqual(self.service.counts(), {})

    def test_store_down(self):
        """A job must not run without a claim while the table service is down."""
        self.system.tables.set_faults(Faults(outage="hang"))
        self.addCleanup(self.system.tables.set_faults, Faults())
        status, body = self._call("job")
        self.assertEqual((status, body["error"]["outcome"]), (503, "unknown"))
        self.assertEqual(body["error"]["retry_key"], "same")
        self.assertGreater(body["error"]["retry_after_s"], 0)
        self.assertEqual(self.service.counts(), {})
        answer = self.callers[0].complete(MODEL, "some prompt", TOKENS)
        self.assertTrue(answer.is_correct("some prompt", TOKENS), answer)


class SharedStateTest(unittest.TestCase):
    """Guards against nodes that lack the state shared by other nodes."""

    def setUp(self):
        self.system = self.enterContext(System(nodes=2, engines=2, services=0))
        self.system.wait_for_loads()
        self.callers = [
            Caller(self.system.url(index), api_key("office")) for index in range(2)
        ]

    def _views(self, index: int) -> dict[str, int | None]:
        node = self.system.nodes[index]
        views = node.backends.views("engine", MODEL, self.system.now_s())
        return {view.id: view.own_tokens_limit for view in views}

    def test_cold_engine(self):
        """A cold engine must get requests only from the nodes that watch it."""
        engine = self.system.engines[0]
        engine.model.turn_cold(self.system.now_s())
        other = 1
        wait_for(lambda: self._views(other)["engine-1"] == 0, LIMIT_S, "cold mark")
        self.assertGreater(self._views(0)["engine-1"], 0)

        rng = random.Random(SEED)

        def warm() -> bool:
            prompt = make_prompt(3000, rng)
            answer = self.callers[0].complete(MODEL, prompt, TOKENS)
            self.assertTrue(answer.finished, answer)
            return self._views(other)["engine-1"] is None

        wait_for(warm, LIMIT_S, "end of the cold mark")

    def test_stop_with_cold_engines(self):
        """Queued requests must complete in a shutdown although all engines are cold."""
        self._stop_with_cold_engines(lambda node: None)

    def test_stop_with_cold_engines_while_nodes_change(self):
        """The same must hold if cold engines are reassigned during the shutdown.

        In 1 of 3 CI runs, 8 streams did not end within 30 s because a node of an
        earlier test was detected as lost during the shutdown.
        """
        self._stop_with_cold_engines(lambda node: node._repartition_work())

    def _stop_with_cold_engines(self, during_stop: Callable[[Node], None]) -> None:
        node = self.system.nodes[0]
        for engine in self.system.engines:
            engine.model.turn_cold(self.system.now_s())
        wait_for(
            lambda: all(entry.load.state == "cold" for entry in node.backends.entries),
            LIMIT_S,
            "cold reports",
        )
        rng = random.Random(SEED)
        prompts = [make_prompt(500, rng) for _ in range(40)]
        tasks = [
            gevent.spawn(self.callers[0].complete, MODEL, prompt, QUEUED_TOKENS)
            for prompt in prompts
        ]
        wait_for(lambda: node.gate.inflight == 40, LIMIT_S, "requests")
        stopper = gevent.spawn(node.stop)
        gevent.sleep(0.1)
        during_stop(node)
        gevent.joinall([stopper, *tasks], timeout=LIMIT_S, raise_error=True)
        answers = [task.value for task in tasks]
        right = [
            answer is not None and answer.is_correct(prompt, QUEUED_TOKENS)
            for answer, prompt in zip(answers, prompts, strict=True)
        ]
        self.assertEqual(right, [True] * len(prompts))

    def test_drain_is_kept(self):
        """A drain must also apply to a node that starts later."""
        self.system.nodes[0].set_drained("dc1", True)
        wait_for(lambda: "engine-1" not in self._views(1), 3.0, "drain on the peer")
        node = self.system.start_node(2)
        wait_for(lambda: node.backends.drained == ["data_centre/dc1"], LIMIT_S, "drain")
        self.system.nodes[1].set_drained("dc1", False)
        wait_for(lambda: "engine-1" in self._views(0), 3.0, "return on the peer")
        self.assertEqual(self.system.nodes[1].drains.unsaved, [])

    def test_drain_while_store_is_down(self):
        """A drain must apply at once and be stored when the table service is back."""
        self.system.tables.set_faults(Faults(outage="reject"))
        answer = self.system.nodes[0].set_drained("engine-1", True)
        self.assertFalse(answer["stored"])
        wait_for(lambda: "engine-1" not in self._views(1), 3.0, "drain on the peer")
        self.system.tables.set_faults(Faults())
        wait_for(lambda: not self.system.nodes[0].drains.unsaved, LIMIT_S, "row")


class MalformedRequestTest(unittest.TestCase):
    """Guards against malformed requests that crash or block a node."""

    def setUp(self):
        self.system = self.enterContext(System(engines=1, services=0))
        self.http = urllib3.PoolManager(retries=False, timeout=LIMIT_S)
        self.addCleanup(self.http.clear)

    def _post(self, body: bytes, **headers: str) -> urllib3.BaseHTTPResponse:
        return self.http.request(
            "POST",
            f"{self.system.url()}/v1/chat/completions",
            body=body,
            headers={"Authorization": f"Bearer {api_key('front_desk')}", **headers},
        )

    def test_bodies(self):
        """A malformed body must get 400, not an internal error."""
        bodies = (
            b"",
            b"{",
            b"[]",
            b"null",
            b'{"model": 1}',
            b'{"model": "prompt-1m", "messages": 3}',
            b'{"model": "prompt-1m", "messages": [], "max_tokens": -1}',
            b'{"model": "prompt-1m", "messages": [], "n": 2}',
            b'{"model": "\xff", "messages": []}',
        )
        for body in bodies:
            with self.subTest(body=body):
                response = self._post(body)
                self.assertEqual(response.status, 400)
                error = response.json()["error"]
                self.assertEqual(error["outcome"], "not_run")

    def test_body_too_large(self):
        """A Content-Length over the limit must be rejected before reading the body."""
        response = self._post(b"", **{"Content-Length": str(1 << 40)})
        self.assertEqual(response.status, 413)

    def test_half_closed(self):
        """A caller that half-closes early must get 400, not block a greenlet."""
        host, port = self.system.nodes[0].caller_address.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n"
                b"Authorization: Bearer "
                + api_key("front_desk").encode()
                + b"\r\n\r\n{"
            )
            connection.shutdown(socket.SHUT_WR)
            answer = connection.recv(4096)
        self.assertIn(b" 400 ", answer.split(b"\r\n")[0] + b" ")
        self.assertEqual(self.system.nodes[0].gate.inflight, 0)

    def test_body_memory(self):
        """A body over the limit for all bodies together must get 503.

        Many large bodies at a time would otherwise exhaust the memory of a node.
        """
        node = self.system.nodes[0]
        with node.body_memory.reserve(node.settings.body_memory_bytes - 10):
            response = self._post(b"x" * 100)
        self.assertEqual(response.status, 503)
        self.assertEqual(node.body_memory.reserved_bytes, 0)
