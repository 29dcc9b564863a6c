"""Tests of servers that name a rate limit for all nodes together."""

import itertools
import math
import time
import unittest
from dataclasses import replace

import gevent

from ..backends.connection import ResponseHead
from ..backends.protocol import read_signals
from ..backends.server_limit import KnownLimit
from ..platform.wire import PlatformProtocol, parse_limit_per_s
from .gateway_system import (
    LAST_CHUNK,
    GatewaySystem,
    chunk,
    event,
    sealed_response,
    stream_head,
)

WINDOW_S = 4.0
# Far longer than an immediate refusal takes.
IMMEDIATE_S = 0.6


def limit_header(value: bytes) -> bytes:
    """Return the header with which a server names its limit."""
    return b"Server-Limit: %s\r\n" % value


def read_limit(*headers: tuple[bytes, bytes], status: int = 200) -> float | None:
    """Return the limit that the node reads in a response."""
    head = ResponseHead(status, headers)
    return read_signals(PlatformProtocol(), head).limit_per_s


class HeaderTest(unittest.TestCase):
    """Guards against a limit that is misread."""

    def test_values(self):
        """Guards against an invalid value that stops or frees a server."""
        for value, per_s in (
            (b"1.2", 1.2),
            (b" 30 ", 30.0),
            (b"0", 0.0),
            (b"0.05", 0.05),
            (b".5", 0.5),
            (b"2.", 2.0),
            (b"9" * 60, 1e6),
            (b"9" * 400, None),
            (b"-1", None),
            (b"+1", None),
            (b"1e3", None),
            (b"nan", None),
            (b"inf", None),
            (b"1,5", None),
            (b"0x10", None),
            (b"\xb2", None),
            (b"", None),
        ):
            self.assertEqual(parse_limit_per_s(value), per_s, value)

    def test_missing_and_invalid(self):
        """Guards against an invalid header taken for a missing one."""
        self.assertEqual(read_limit(), math.inf)
        self.assertIsNone(read_limit((b"server-limit", b"soon")))

    def test_several(self):
        """Guards against a header that an earlier one with a higher limit hides."""
        names = ((b"Server-Limit", b"8"), (b"SERVER-LIMIT", b"x"))
        self.assertEqual(read_limit(*names, (b"server-limit", b"3")), 3.0)

    def test_other_server(self):
        """Guards against a limit of the next server that counts for its predecessor."""
        self.assertIsNone(read_limit(status=421))
        self.assertIsNone(read_limit((b"Server-Limit", b"3"), status=421))
        head = ResponseHead(421, ((b"Server-Limit", b"3"),))
        signals = read_signals(PlatformProtocol(), head)
        self.assertEqual(signals.successor_limit_per_s, 3.0)


class KnownLimitTest(unittest.TestCase):
    """Guards against a limit that ends, or changes, by a response that is too old."""

    def setUp(self):
        self.limit = KnownLimit()

    def test_named(self):
        """Guards against a limit that is not learnt, or without its source and age."""
        self.assertFalse(self.limit.is_limited)
        self.assertTrue(self.limit.record_response(2.0, 9.9, 10.0))
        self.assertFalse(self.limit.record_response(2.0, 10.1, 10.3))
        self.assertTrue(self.limit.is_limited)
        self.assertEqual(self.limit.source, "response")
        self.assertAlmostEqual(self.limit.age_s(12.5), 2.5)

    def test_late_response_without_a_limit(self):
        """Guards against a response made before the naming that ends the limit."""
        self.limit.record_response(2.0, 9.9, 10.0)
        self.assertFalse(self.limit.record_response(math.inf, 9.95, 10.2))
        self.assertFalse(self.limit.record_response(math.inf, None, 10.3))
        self.assertEqual(self.limit.current.per_s, 2.0)

    def test_end(self):
        """Guards against a limit that is kept after the server stopped naming it."""
        self.limit.record_response(2.0, 9.9, 10.0)
        self.assertTrue(self.limit.record_response(math.inf, 10.1, 10.3))
        self.assertFalse(self.limit.is_limited)

    def test_end_after_the_last_naming(self):
        """Guards against an end by a response older than the last naming."""
        self.limit.record_response(2.0, 9.9, 10.0)
        self.limit.record_response(2.0, 10.5, 11.0)
        self.assertFalse(self.limit.record_response(math.inf, 10.4, 11.2))
        self.assertTrue(self.limit.record_response(math.inf, 11.1, 11.3))

    def test_rise_and_fall(self):
        """Guards against a late response that raises a limit."""
        self.limit.record_response(2.0, 9.9, 10.0)
        self.assertFalse(self.limit.record_response(5.0, 9.95, 10.1))
        self.assertTrue(self.limit.record_response(1.0, 9.95, 10.2))
        self.assertTrue(self.limit.record_response(5.0, 10.3, 10.4))
        self.assertEqual(self.limit.current.version, 3)


class LearningTest(unittest.TestCase):
    """Guards against a limit in a response that the node does not learn."""

    def test_any_response(self):
        """Guards against a limit that is read in responses of some status only."""
        not_run = b"X-Not-Executed: 1\r\n"
        for status, extra in (
            (b"200 OK", b""),
            (b"500 Error", b""),
            (b"503 Service Unavailable", not_run),
            (b"429 Too Many Requests", not_run),
        ):
            with self.subTest(status=status), GatewaySystem() as system:
                self._answer(system, status, extra + limit_header(b"1.5"))
                system.request("/call/")
                self.assertIn(1.5, self._limits(system))

    def test_truncated_response(self):
        """Guards against a limit in the head of a response that breaks off."""
        with GatewaySystem() as system:

            def script(request):
                data = sealed_response(request, b"ok", extra=limit_header(b"4"))
                request.sock.sendall(data[:-1])
                return False

            system.set_scripts(script)
            system.request("/call/")
            self.assertIn(4.0, self._limits(system))

    def test_response_to_another_request(self):
        """Guards against a limit in a skipped response of an earlier request."""
        with GatewaySystem() as system:

            def script(request):
                stray = sealed_response(request, b"old", extra=limit_header(b"6"))
                stray = stray.replace(request.get(b"X-Attempt-Id"), b"zz")
                request.sock.sendall(stray + sealed_response(request, b"ok"))

            system.set_scripts(script)
            self.assertEqual(system.request("/call/").body, b"ok")
            self.assertIn(6.0, self._limits(system))

    @staticmethod
    def _answer(system, status: bytes, extra: bytes) -> None:
        system.set_scripts(
            lambda request: request.sock.sendall(
                sealed_response(request, b"ok", status, extra)
            )
        )

    @staticmethod
    def _limits(system) -> set[float]:
        entries = system.serving.backends.entries
        return {entry.pool.restriction.limit.current.per_s for entry in entries}


def call_script(extra: bytes, status: bytes = b"200 OK"):
    """Return a script of a plain service that adds headers to each response."""
    return lambda request: request.sock.sendall(
        sealed_response(request, b"ok", status, extra)
    )


def stream_script(extra: bytes):
    """Return a script of an engine that adds headers to each stream."""

    def script(request):
        if request.get(b"X-Attempt-Id") is None:
            accepted = b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}" % extra
            request.sock.sendall(accepted)
            return
        head = stream_head(request, b"s").replace(b"\r\n", b"\r\n" + extra, 1)
        request.sock.sendall(head + chunk(event(1)) + LAST_CHUNK)

    return script


class GatewayTest(unittest.TestCase):
    """Guards against a node that sends a limited server too much, or nothing."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem(engines=3))
        self.numbers = itertools.count()
        self.arrivals: dict[object, list[float]] = {}

    def send(self, path: str, method: str = "GET", body: bytes = b"", **headers):
        """Send a request with an id of its own."""
        attempt = f"a{next(self.numbers)}"
        return self.system.request(path, method, body, X_Attempt_Id=attempt, **headers)

    def _limit(self, server, per_s: bytes, script=call_script) -> None:
        """Let a server name a limit, and record the times of its requests."""
        times = self.arrivals[server] = []
        answer = script(limit_header(per_s))

        def record(request):
            times.append(time.monotonic())
            return answer(request)

        server.script = record

    def _send_for(
        self, duration_s: float, path: str, per_s: float, **headers: str
    ) -> list:
        """Send requests at a rate; return the replies."""
        tasks = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            tasks.append(gevent.spawn(self.send, path, **headers))
            gevent.sleep(1 / per_s)
        gevent.joinall(tasks)
        return [task.value for task in tasks]

    def _check(self, server, per_s: float) -> None:
        """Check that no window has more requests than the limit allows."""
        times = self.arrivals[server]
        most = max(sum(t <= x < t + WINDOW_S for x in times) for t in times)
        self.assertLessEqual(most, 1.5 * WINDOW_S * per_s + 5)

    def test_one_limited_server(self):
        """Guards against requests that wait although another server is free."""
        limited, other = self.system.plain
        self._limit(limited, b"1")
        replies = self._send_for(2.5, "/call/", 20.0)
        self.assertEqual({reply.status for reply in replies}, {200})
        self.assertLess(max(reply.seconds for reply in replies), IMMEDIATE_S)
        self._check(limited, 1.0)
        self.assertGreaterEqual(len(self.arrivals[limited]), 2)

    def test_all_limited(self):
        """Guards against callers that wait, or get no time to come back.

        Guards also against servers that are left idle.
        """
        for server in self.system.plain:
            self._limit(server, b"1")
        self._send_for(1.0, "/call/", 10.0)
        replies = self._send_for(3.0, "/call/", 20.0)
        served = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status == 503]
        self.assertEqual(len(served) + len(refused), len(replies))
        self.assertGreaterEqual(len(served), 4)
        for reply in refused:
            self.assertLess(reply.seconds, 1.2)
            self.assertGreater(float(reply.headers["Retry-After"]), 0.0)
        for server in self.system.plain:
            self._check(server, 1.0)

    def test_burst(self):
        """Guards against waiting requests that are all sent at once."""
        for server in self.system.plain:
            self._limit(server, b"2")
        self.send("/call/")
        self.send("/call/")
        gevent.sleep(1.0)
        tasks = [gevent.spawn(self.send, "/call/") for _ in range(60)]
        gevent.joinall(tasks)
        for server in self.system.plain:
            self._check(server, 2.0)
        refused = [task.value for task in tasks if task.value.status == 503]
        self.assertGreater(len(refused), 40)

    def test_non_idempotent(self):
        """Guards against a refused job that runs, or a job that is not refused."""
        for server in self.system.plain:
            self._limit(server, b"0.5")
        replies = [self.send("/job/", "POST", b"x") for _ in range(20)]
        ran = sum(len(times) for times in self.arrivals.values())
        self.assertEqual(ran, sum(reply.status == 200 for reply in replies))
        self.assertLess(ran, 10)

    def test_rejected_requests(self):
        """Guards against rejected requests that are not counted, and their retries."""
        limited, other = self.system.plain
        refuse = b"503 Service Unavailable"
        self._limit(
            limited,
            b"1",
            lambda extra: call_script(b"X-Not-Executed: 1\r\n" + extra, refuse),
        )
        replies = self._send_for(2.5, "/call/", 20.0)
        self.assertEqual({reply.status for reply in replies}, {200})
        self._check(limited, 1.0)

    def test_streams(self):
        """Guards against streams that ignore the limit of their engine."""
        for engine in self.system.engines:
            self._limit(engine, b"1", stream_script)
        self._send_for(2.5, "/stream/", 20.0)
        for engine in self.system.engines:
            self._check(engine, 1.0)
            self.assertGreaterEqual(len(self.arrivals[engine]), 2)

    def test_end(self):
        """Guards against a server that is held to a limit that has ended."""
        limited, other = self.system.plain
        other.close()
        self._limit(limited, b"2")
        self._send_for(1.5, "/call/", 5.0)
        limited.script = call_script(b"")
        self._send_for(1.5, "/call/", 5.0)
        replies = self._send_for(1.0, "/call/", 30.0)
        self.assertEqual({reply.status for reply in replies}, {200})

    def test_next_incarnation(self):
        """Guards against a new process that is held by its predecessor's limit."""
        limited, other = self.system.plain
        other.close()
        self._limit(limited, b"0.2")
        self.send("/call/")
        limited.script = call_script(b"")
        backends = dict(self.system.config.backends)
        backends["plain-0"] = replace(backends["plain-0"], started=7)
        self.system.apply(replace(self.system.config, backends=backends))
        replies = self._send_for(0.5, "/call/", 30.0)
        self.assertEqual({reply.status for reply in replies}, {200})

    def test_limit_in_a_misdirected_response(self):
        """Guards against a limit that the next server named before it was listed."""
        limited, other = self.system.plain
        misdirected = b"421 Misdirected Request"
        limited.script = call_script(limit_header(b"0.2"), misdirected)
        for _ in range(20):
            self.send("/call/")
        self._limit(limited, b"0.2")
        backends = dict(self.system.config.backends)
        backends["plain-0"] = replace(backends["plain-0"], started=7)
        self.system.apply(replace(self.system.config, backends=backends))
        for _ in range(20):
            self.send("/call/")
        self.assertLessEqual(len(self.arrivals[limited]), 1)

    def test_commands(self):
        """Guards against commands and reports that do not count."""
        engine = self.system.engines[0]
        self._limit(engine, b"2", stream_script)
        pool = self.system.serving.backends.get("model-0").pool
        while not pool.restriction.limit.is_limited:
            self.send("/stream/")
        for _ in range(20):
            pool.request("GET", "/papayarelay/report").read_all()
        before = len(self.arrivals[engine])
        for _ in range(10):
            self.send("/stream/")
        self.assertEqual(len(self.arrivals[engine]), before)

    def test_parts_of_split_prompts(self):
        """Guards against parts of prompts that ignore the limits of helpers."""
        engines = {engine.address: engine for engine in self.system.engines}
        for engine in engines.values():
            self._limit(engine, b"1", stream_script)
            count = engine.script

            def script(request, count=count):
                helpers = (request.get(b"X-Helpers") or b"").decode()
                for item in filter(None, helpers.split(",")):
                    helper = engines[item.partition("/")[0]]
                    self.arrivals[helper].append(time.monotonic())
                return count(request)

            engine.script = script
        self._send_for(1.0, "/stream/", 10.0)
        self._send_for(2.5, "/stream/", 20.0, X_Token_Counts="60000,10")
        self.assertGreater(sum(map(len, self.arrivals.values())), 10)
        for engine in engines.values():
            self._check(engine, 1.0)
