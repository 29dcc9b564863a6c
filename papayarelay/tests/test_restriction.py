"""Tests of servers that signal that they are leaving or pause requests."""

import time
import unittest
from dataclasses import replace

import gevent

from ..backends.protocol import ServerSignals
from ..backends.restriction import Incarnation
from ..platform.wire import PlatformProtocol, parse_retry_after_s
from ..reservations import reserve
from .gateway_system import (
    LAST_CHUNK,
    GatewaySystem,
    chunk,
    event,
    sealed_response,
    stream_head,
)

LEAVING = b"Server-Leaving: 1\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
REFUSED = b"503 Service Unavailable"
# Far longer than an immediate refusal takes, far shorter than the queueing limit.
IMMEDIATE_S = 0.6


def pause_headers(seconds: bytes) -> bytes:
    """Return the headers with which a server pauses requests."""
    return NOT_RUN + b"Retry-After: %s\r\n" % seconds


class RestrictionTestCase(unittest.TestCase):
    """Base class: a gateway in front of two plain servers and two engines."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem())
        self.send = self.system.request

    def _arrivals(self, servers) -> list[int]:
        return [len(server.requests) for server in servers]

    def _answer_once(self, server, status: bytes, extra: bytes) -> None:
        """Add headers to the first response of a server only."""
        answers = [sealed_with(status, extra)]

        def script(request):
            plain = sealed_with(b"200 OK", b"")
            (answers.pop() if answers else plain)(request)

        server.script = script

    def _remove_and_add_again(self, server_id: str) -> None:
        """Remove a server from the configuration and add the same entry again."""
        whole = self.system.config
        without = dict(whole.backends)
        del without[server_id]
        self.system.apply(replace(whole, backends=without))
        self.system.apply(replace(whole, version=2))

    def _use_only(self, server_id: str) -> None:
        """Remove all other servers from the configuration."""
        kept = {server_id: self.system.config.backends[server_id]}
        self.system.apply(replace(self.system.config, backends=kept))

    def _send_until_reached(self, server, path: str) -> None:
        for _ in range(50):
            if server.requests:
                return
            self.send(path)
        self.fail("the server got no request")


def sealed_with(status: bytes, extra: bytes):
    """Return a script that responds with a status and extra headers."""
    return lambda request: request.sock.sendall(
        sealed_response(request, b"ok", status, extra)
    )


class LeavingTest(RestrictionTestCase):
    """Guards against new requests to a server that signalled that it is leaving."""

    def test_any_answer(self):
        """Guards against ignoring the signal in responses of some status."""
        for status, extra in (
            (b"200 OK", b""),
            (b"500 Error", b""),
            (REFUSED, NOT_RUN),
            (b"421 Misdirected Request", b""),
        ):
            with self.subTest(status=status), GatewaySystem() as system:
                leaving, other = system.plain
                self._answer_once(leaving, status, extra + LEAVING)
                self.send = system.request
                self._send_until_reached(leaving, "/call/")
                before = len(other.requests)
                for _ in range(10):
                    self.assertEqual(self.send("/call/").status, 200)
                self.assertEqual(len(leaving.requests), 1)
                self.assertEqual(len(other.requests), before + 10)

    def test_answer_to_another_request(self):
        """Guards against ignoring the signal in a skipped stale response."""
        leaving, other = self.system.plain

        def script(request):
            stray = sealed_response(request, b"old", b"200 OK", LEAVING)
            stray = stray.replace(request.get(b"X-Attempt-Id"), b"zz")
            request.sock.sendall(stray + sealed_response(request, b"ok"))

        leaving.script = script
        self._send_until_reached(leaving, "/call/")
        for _ in range(10):
            self.assertEqual(self.send("/call/").body, b"ok")
        self.assertEqual(len(leaving.requests), 1)

    def test_stream(self):
        """Guards against ignoring the signal in the head of a stream.

        The engine would get new streams and partial prefills.
        """
        leaving, other = self.system.engines

        def stream(extra: bytes):
            def script(request):
                head = stream_head(request, b"s").replace(b"\r\n\r\n", extra)
                request.sock.sendall(head + chunk(event(1)) + LAST_CHUNK)

            return script

        leaving.script = stream(b"\r\n" + LEAVING + b"\r\n")
        other.script = stream(b"\r\n\r\n")
        self._send_until_reached(leaving, "/stream/")
        for _ in range(10):
            self.assertEqual(self.send("/stream/").status, 200)
        self.assertEqual(len(leaving.requests), 1)
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_response_to_a_command(self):
        """Guards against ignoring the signal in the response to a reservation.

        The engine would be used for partial prefills.
        """
        helper = self.system.engines[0]
        reply = b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}" % LEAVING
        helper.script = lambda request: request.sock.sendall(reply)
        pool = self.system.serving.backends.get("model-0").pool
        reserve(PlatformProtocol(), pool, "name", 100, 1.0)
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_last_server(self):
        """Guards against requests that queue although all servers are leaving."""
        self.system.set_scripts(sealed_with(b"200 OK", LEAVING))
        while not all(self._arrivals(self.system.plain)):
            self.assertEqual(self.send("/call/").status, 200)
        reply = self.send("/call/")
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After", reply.headers)
        self.assertLess(reply.seconds, IMMEDIATE_S)

    def test_stale_list_entry(self):
        """Guards against a stale entry of the list that clears the signal."""
        leaving = self.system.plain[0]
        self._answer_once(leaving, b"200 OK", LEAVING)
        self._send_until_reached(leaving, "/call/")
        self._remove_and_add_again("plain-0")
        for _ in range(10):
            self.assertEqual(self.send("/call/").status, 200)
        self.assertEqual(len(leaving.requests), 1)

    def test_next_incarnation(self):
        """Guards against a restriction that outlives its server incarnation.

        A server restarted at the same address would get no requests.
        """
        leaving, other = self.system.plain
        self._answer_once(leaving, b"200 OK", LEAVING)
        self._send_until_reached(leaving, "/call/")
        backends = dict(self.system.config.backends)
        backends["plain-0"] = replace(backends["plain-0"], started=7)
        self.system.apply(replace(self.system.config, backends=backends))
        other.close()
        self._answer_once(leaving, b"200 OK", b"")
        for _ in range(5):
            self.send("/call/")
        self.assertGreater(len(leaving.requests), 1)

    def test_reported_by_peer(self):
        """Guards against ignoring a peer's report that a server is leaving."""
        table = self.system.serving.backends
        now_s = time.monotonic()
        table.record_peer_leaving(
            [Incarnation("plain-0", 0), Incarnation("plain-1", 99)]
        )
        views = table.views("service", "plain", now_s)
        self.assertEqual([view.id for view in views], ["plain-1"])
        # Reports of peers are not forwarded.
        self.assertEqual(table.leaving_to_announce(now_s), ())

    def test_peers_are_notified(self):
        """Guards against a leaving server of which peers are not notified."""
        leaving = self.system.plain[0]
        self._answer_once(leaving, b"200 OK", LEAVING)
        self._send_until_reached(leaving, "/call/")
        table = self.system.serving.backends
        now_s = time.monotonic()
        self.assertEqual(table.leaving_to_announce(now_s), (Incarnation("plain-0", 0),))
        self.assertEqual(table.leaving_to_announce(now_s + 60.0), ())


class PauseTest(RestrictionTestCase):
    """Guards against requests to a server that has paused them (Retry-After)."""

    def test_other_servers(self):
        """Guards against requests to a server before its pause ends."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, pause_headers(b"30"))
        for _ in range(30):
            self.assertEqual(self.send("/call/").status, 200)
        self.assertEqual(len(busy.requests), 1)

    def test_concurrent_requests(self):
        """Guards against concurrent requests that each try the paused server."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, pause_headers(b"30"))
        self._send_until_reached(busy, "/call/")
        tasks = [gevent.spawn(self.send, "/call/") for _ in range(40)]
        gevent.joinall(tasks)
        self.assertEqual({task.value.status for task in tasks}, {200})
        self.assertEqual(len(busy.requests), 1)

    def test_placed_before(self):
        """Guards against sending a request that was placed before the pause."""
        pool = self.system.serving.backends.get("plain-0").pool
        busy = self.system.plain[0]
        busy.script = sealed_with(REFUSED, pause_headers(b"30"))
        while not busy.requests:
            self.send("/call/")
        with self.assertRaises(Exception) as caught:
            pool.send(None, b"", 1.0)
        self.assertEqual(caught.exception.fault.value, "barred")

    def test_end_of_pause(self):
        """Guards against a server excluded after its pause, and misread fractions."""
        busy = self.system.plain[0]
        self._use_only("plain-0")
        self._answer_once(busy, REFUSED, pause_headers(b"0.4"))
        reply = self.send("/call/")
        self.assertEqual(reply.status, 503)
        wait_s = float(reply.headers["Retry-After"])
        self.assertAlmostEqual(wait_s, 0.4, delta=0.15)
        gevent.sleep(wait_s + 0.05)
        self.assertEqual(self.send("/call/").status, 200)

    def test_values(self):
        """Guards against an invalid Retry-After that excludes a server for ever."""
        for value, pause_s in (
            (b"2", 2.0),
            (b" 0.25 ", 0.25),
            (b"-1", 0.0),
            (b"nan", 0.0),
            (b"inf", 0.0),
            (b"1e9", 0.0),
            (b"", 0.0),
            (b"Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
            (b"9" * 400, 0.0),
            (b"99999999", 3600.0),
        ):
            self.assertEqual(parse_retry_after_s(value), pause_s, value)

    def test_all_servers_paused(self):
        """Guards against callers queued, or without Retry-After, if all are paused."""
        self.system.set_scripts(sealed_with(REFUSED, pause_headers(b"7")))
        first = self.send("/job/", "POST", b"x")
        for _ in range(10):
            reply = self.send("/call/")
            self.assertEqual(reply.status, 503)
            self.assertLess(reply.seconds, IMMEDIATE_S)
            self.assertAlmostEqual(float(reply.headers["Retry-After"]), 7, delta=1)
        self.assertEqual(first.status, 503)
        self.assertEqual(sum(self._arrivals(self.system.plain)), 2)

    def test_queued_stream(self):
        """Guards against a queued stream that fails with 500 once all are paused."""
        pools = [self.system.serving.backends.get(f"model-{n}").pool for n in range(2)]

        def pause(pause_s: float) -> None:
            for pool in pools:
                pool.on_signals(ServerSignals(pause_s=pause_s), None)

        pause(0.1)
        gevent.spawn_later(0.05, pause, 7.0)
        reply = self.send("/stream/")
        self.assertEqual(reply.status, 503)
        self.assertLess(reply.seconds, IMMEDIATE_S)
        self.assertAlmostEqual(float(reply.headers["Retry-After"]), 7, delta=1)

    def test_queued_twice(self):
        """Guards against a queued request that never ends if its id is used again."""
        for number in range(2):
            pool = self.system.serving.backends.get(f"plain-{number}").pool
            pool.on_signals(ServerSignals(pause_s=0.1), None)
        tasks = [gevent.spawn(self.send, "/call/") for _ in range(2)]
        gevent.joinall(tasks)
        statuses = sorted(task.value.status for task in tasks)
        self.assertEqual(statuses, [200, 409])

    def test_helper(self):
        """Guards against KV cache reservations on a paused engine."""
        busy = self.system.engines[0]
        busy.script = sealed_with(REFUSED, pause_headers(b"30"))
        while not busy.requests:
            self.send("/stream/", X_Deadline_Ms="300")
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_kept_while_the_list_changes(self):
        """Guards against a configuration change that ends the pause."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, pause_headers(b"30"))
        self._send_until_reached(busy, "/call/")
        self._remove_and_add_again("plain-0")
        for _ in range(10):
            self.send("/call/")
        self.assertEqual(len(busy.requests), 1)
