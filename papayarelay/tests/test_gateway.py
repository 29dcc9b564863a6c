"""Tests of the gateway: routing, keys, retries, streams and shutdown."""

import contextlib
import http.client
import socket
import time
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import gevent
import gevent.event

from .. import scheduler as scheduler_module
from ..config import Organisation
from ..ejection import INITIAL_BACKOFF_S
from ..local import wait_for
from ..platform.config import MEMBER
from .gateway_system import (
    HOST,
    KEY,
    LAST_CHUNK,
    GatewaySystem,
    chunk,
    event,
    not_run_response,
    sealed_response,
    stream_head,
)
from .raw_server import reset, wait_until_closed

LIMIT_S = 5.0


def respond(body: bytes, status: bytes = b"200 OK", extra: bytes = b""):
    """Return a script that sends a complete response."""
    return lambda request: request.sock.sendall(
        sealed_response(request, body, status, extra)
    )


def refuse(request):
    """Respond that the request was not run."""
    request.sock.sendall(not_run_response(request))


def reset_connection(request):
    """Reset the connection without a response."""
    reset(request.sock)
    return False


def events(
    first: int, last: int, *, end: bool, seal: bytes = b"s1", partial: bytes = b""
):
    """Return a script that streams events, then ends the body or resets.

    ``partial`` is a partial event sent before the end.
    """

    def script(request):
        request.sock.sendall(stream_head(request, seal))
        for number in range(first, last + 1):
            request.sock.sendall(chunk(event(number)))
        if partial:
            request.sock.sendall(chunk(partial))
        if end:
            request.sock.sendall(LAST_CHUNK)
            return True
        gevent.sleep(0.02)
        return reset_connection(request)

    return script


def stream_body(first: int, last: int) -> bytes:
    """Return the body of a stream with the events ``first`` to ``last``."""
    return b"".join(event(number) for number in range(first, last + 1))


def refuse_for_other(request):
    """Reject a request and name another engine as the cause."""
    extra = b"At-Server: model-1\r\nX-Not-Executed: 1\r\n"
    status = b"503 Service Unavailable"
    request.sock.sendall(sealed_response(request, b"", status, extra))


class GatewayTestCase(unittest.TestCase):
    """Base class: a gateway with two servers for each service."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem())
        self.send = self.system.request


class RouteTest(GatewayTestCase):
    """Guards against wrong routing and wrong request headers at the backend."""

    def test_longest_prefix(self):
        """With overlapping prefixes, the longest one must match."""
        routes = self.system.config.routes
        deeper = replace(
            routes[0], name="deeper", prefix="/call/deep/", services=routes[3].services
        )
        self.system.apply(replace(self.system.config, routes=(*routes, deeper)))
        self.send("/call/deep/x")
        self.assertEqual(sum(len(s.requests) for s in self.system.engines), 1)
        self.send("/call/deeper")
        self.assertEqual(sum(len(s.requests) for s in self.system.plain), 1)

    def test_no_route(self):
        """A request without a matching route must get 404 and reach no server."""
        for path, host in (("/other/", HOST), ("/call/", "other.example"), ("/", HOST)):
            self.assertEqual(self.send(path, Host=host).status, 404)
        self.assertEqual(self.system.received_requests, [])

    def test_no_route_in_an_old_configuration(self):
        """With a stale configuration, a missing route must be a retryable error."""
        self.system.config_is_current = False
        reply = self.send("/other/")
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After", reply.headers)

    def test_forwarded_unchanged(self):
        """Method, target, body and headers must be forwarded unchanged."""
        self.send("/call/a/../b?x=%20;", "POST", b"\x00body", X_Other="1")
        (request,) = self.system.received_requests
        self.assertEqual(request.method, b"POST")
        self.assertEqual(request.target, b"/call/a/../b?x=%20;")
        self.assertEqual(request.body, b"\x00body")
        self.assertEqual(request.get(b"X-Other"), b"1")
        self.assertEqual(request.get(b"X-Attempt-Id"), b"a1")
        self.assertEqual(request.get(b"Host"), HOST.encode())

    def test_headers_set_by_gateway(self):
        """Callers must not be able to set the headers that the gateway sets."""
        self.send(
            "/call/",
            X_Tenant="other",
            X_Expect_Instance="plain-9",
            X_Helpers="10.0.0.1:1",
            X_Request_Priority="0",
        )
        (request,) = self.system.received_requests
        self.assertEqual(request.get(b"X-Tenant"), b"office")
        self.assertRegex(request.get(b"X-Expect-Instance").decode(), "^plain-[01]$")
        for name in (b"X-Helpers", b"X-Key", b"X-Request-Priority"):
            self.assertIsNone(request.get(name))

    def test_time_left(self):
        """Servers must get the remaining time, capped by the deadline of the kind."""
        self.send("/call/", X_Deadline_Ms="700")
        left_ms = int(self.system.received_requests[0].get(b"X-Deadline-Ms"))
        self.assertLessEqual(left_ms, 700)
        self.send("/call/", X_Deadline_Ms="60000")
        left_ms = int(self.system.received_requests[1].get(b"X-Deadline-Ms"))
        self.assertLessEqual(left_ms, 2000)

    def test_hop_by_hop_headers(self):
        """Hop-by-hop headers of a backend connection must not reach the caller."""
        extra = (
            b"Keep-Alive: timeout=9\r\nConnection: x-hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
        )
        self.system.set_scripts(respond(b"ok", extra=extra))
        reply = self.send("/call/")
        self.assertNotIn("Keep-Alive", reply.headers)
        self.assertNotIn("X-Hop", reply.headers)
        self.assertEqual(reply.headers["X-End"], "2")


class KeyTest(GatewayTestCase):
    """Guards against accepting missing, unknown or revoked API keys."""

    def test_unknown(self):
        """A missing or unknown key must get 401 and reach no server."""
        for key in ("", "other", KEY + "x"):
            self.assertEqual(self.send("/call/", X_Key=key).status, 401)
        self.assertEqual(self.system.received_requests, [])

    def test_public(self):
        """A public route needs no key; the caller can't choose its organisation."""
        reply = self.send("/open/", X_Key="", X_Tenant="office")
        self.assertEqual(reply.status, 200)
        self.assertIsNone(self.system.received_requests[0].get(b"X-Tenant"))

    def test_revoked(self):
        """A key must be rejected once a new configuration has revoked it."""
        members = dict(self.system.config.members)
        office = Organisation("office", 1.0, ())
        members[MEMBER] = replace(members[MEMBER], organisations={"office": office})
        self.system.apply(replace(self.system.config, members=members))
        self.assertEqual(self.send("/call/").status, 401)

    def test_stale_keys(self):
        """A node that can't check for revoked keys must reject requests."""
        self.system.keys_valid = False
        reply = self.send("/call/")
        self.assertEqual(reply.status, 503)
        # Other nodes can check the keys, so the caller may retry there at once.
        self.assertLess(float(reply.headers["Retry-After"]), 0.1)
        self.assertEqual(reply.headers["Connection"], "close")
        self.assertEqual(self.system.received_requests, [])

    def test_unknown_in_an_old_configuration(self):
        """With a stale configuration, an unknown key must be a retryable error."""
        self.system.config_is_current = False
        self.assertEqual(self.send("/call/", X_Key="new").status, 503)


class CallTest(GatewayTestCase):
    """Guards against duplicate execution and wrong outcomes of failed requests."""

    def test_idempotent_is_retried(self):
        """An idempotent request must be retried after a connection reset."""
        self.system.set_scripts(reset_connection, respond(b"second"))
        self.assertEqual(self.send("/call/").body, b"second")

    def test_non_idempotent_is_not_retried(self):
        """A non-idempotent request must not be retried if it may have run."""
        self.system.set_scripts(reset_connection, respond(b"second"))
        reply = self.send("/job/", "POST", b"x")
        self.assertEqual(reply.status, 502)
        self.assertNotIn("Retry-After", reply.headers)
        self.assertEqual(len(self.system.received_requests), 1)

    def test_not_run_is_retried(self):
        """A non-idempotent request must be retried if the server did not run it."""
        self.system.set_scripts(refuse, respond(b"done"))
        self.assertEqual(self.send("/job/", "POST", b"x").body, b"done")

    def test_refused_by_all(self):
        """If no server ran the request, the caller must get 503 with Retry-After."""
        self.system.set_scripts(refuse)
        reply = self.send("/job/", "POST", b"x")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["Retry-After"]), 0)

    def test_refused_after_it_may_have_run(self):
        """A rejected retry must not hide that the first attempt may have run."""
        self.system.set_scripts(reset_connection, refuse)
        self.assertEqual(self.send("/call/").status, 502)

    def test_unreachable(self):
        """If no server accepts a connection, the job must count as not run."""
        for server in self.system.plain:
            server.close()
        self.assertEqual(self.send("/job/", "POST", b"x").status, 503)

    def test_failure_of_the_server(self):
        """A 500 response must be retried, then forwarded with its body and seal."""
        self.system.set_scripts(respond(b"failed", b"500 Internal Server Error"))
        reply = self.send("/call/")
        self.assertEqual((reply.status, reply.body), (500, b"failed"))
        self.assertIn("X-Response-Seal", reply.headers)
        self.assertEqual(len(self.system.received_requests), 2)

    def test_success_without_seal(self):
        """A successful response without the server's seal must be rejected."""

        def script(request):
            plain = sealed_response(request, b"x").replace(
                b"X-Response-Seal", b"X-Other"
            )
            request.sock.sendall(plain)

        self.system.set_scripts(script)
        self.assertEqual(self.send("/job/", "POST", b"x").status, 502)

    def test_encoded_answer(self):
        """A body altered by a Content-Encoding must not reach the caller."""
        self.system.set_scripts(respond(b"x", extra=b"Content-Encoding: gzip\r\n"))
        self.assertEqual(self.send("/job/", "POST", b"x").status, 502)

    def test_truncated_response(self):
        """A truncated response must not be forwarded as complete."""

        def script(request):
            request.sock.sendall(sealed_response(request, b"whole")[:-2])
            return reset_connection(request)

        self.system.set_scripts(script)
        self.assertEqual(self.send("/job/", "POST", b"x").status, 502)

    def test_deadline(self):
        """A request must get 504 at the caller's deadline if the server hangs."""
        self.system.set_scripts(lambda request: gevent.sleep(LIMIT_S))
        for connection in ("", "close"):
            reply = self.send("/call/", X_Deadline_Ms="300", Connection=connection)
            self.assertEqual(reply.status, 504)
            self.assertLess(reply.seconds, 0.3 + 0.25)

    def test_other_instance(self):
        """A 421 from a server that took over the address must lead to a retry."""

        def misdirected(request):
            status = b"421 Misdirected Request"
            request.sock.sendall(sealed_response(request, b"", status))

        self.system.set_scripts(misdirected, respond(b"done"))
        self.assertEqual(self.send("/job/", "POST", b"x").body, b"done")


class UnavailableServerTest(GatewayTestCase):
    """Guards against retrying unavailable servers with every request."""

    def _send_many(self) -> list[int]:
        return [self.send("/job/", "POST", b"x").status for _ in range(10)]

    def test_replaced(self):
        """A server that was replaced at its address must get no more requests."""

        def script(request):
            if request.get(b"X-Expect-Instance") == b"plain-0":
                status = b"421 Misdirected Request"
                request.sock.sendall(sealed_response(request, b"", status))
            else:
                request.sock.sendall(sealed_response(request, b"ok"))

        self.system.set_scripts(script)
        self.assertEqual(self._send_many(), [200] * 10)
        self.assertLessEqual(len(self.system.plain[0].requests), 1)

    def test_unreachable(self):
        """An unreachable server must not be tried by every request."""
        self.system.plain[0].close()
        entry = self.system.serving.backends.get("plain-0")
        with mock.patch.object(entry.pool, "_open", wraps=entry.pool._open) as opened:
            self.assertEqual(self._send_many(), [200] * 10)
        self.assertLessEqual(opened.call_count, 2)

    def test_full(self):
        """A server at capacity must not be tried by every request."""
        self.system.plain[0].script = refuse
        self.system.plain[1].script = respond(b"ok")
        self.assertEqual(self._send_many(), [200] * 10)
        self.assertLessEqual(len(self.system.plain[0].requests), 2)

    def test_named_cause_is_another_engine(self):
        """An engine that names another one as the cause must stay in rotation."""
        self.system.engines[0].script = refuse_for_other
        backends = self.system.serving.backends
        backends.get("model-1").ejection.record_full(time.monotonic() + 0.05)
        self.send("/stream/", "POST", b"x", X_Token_Counts="10,1")
        now_s = time.monotonic()
        self.assertFalse(backends.get("model-0").ejection.is_ejected(now_s))

    def test_helper_that_is_gone(self):
        """An engine that is named as the cause must be taken out of rotation.

        Otherwise each long prompt would again be split over a helper that is gone.
        """
        self.system.engines[0].script = refuse_for_other
        self.system.engines[1].script = refuse
        headers = {"X_Token_Counts": "10,1", "X_Deadline_Ms": "100"}
        self.send("/stream/", "POST", b"x", **headers)
        ejection = self.system.serving.backends.get("model-1").ejection
        self.assertTrue(ejection.is_ejected(time.monotonic() + INITIAL_BACKOFF_S / 2))

    def test_many_unreachable(self):
        """A request must find the one reachable server among many closed ones."""
        with GatewaySystem(plain=24, engines=1) as system:
            for server in system.plain[:-1]:
                server.close()
            reply = system.request("/job/", "POST", b"x")
            self.assertEqual(reply.status, 200)
            self.assertEqual(len(system.received_requests), 1)

    def test_short_backoff(self):
        """A request must wait out the short backoff of unreachable servers."""
        now_s = time.monotonic()
        for entry in self.system.serving.backends.entries:
            entry.ejection.record_unreachable(now_s)
        reply = self.send("/job/", "POST", b"x")
        self.assertEqual(reply.status, 200)


class StreamTest(GatewayTestCase):
    """Guards against lost, duplicated or mixed events in streams."""

    def _post(self, path="/stream/", **headers):
        return self.send(path, "POST", b"prompt", X_Token_Counts="100,10", **headers)

    def test_whole(self):
        """A stream must be forwarded completely."""
        self.system.set_scripts(events(1, 3, end=True))
        reply = self._post()
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 3), True))

    def test_resumed(self):
        """A broken stream must be resumed elsewhere and keep the first seal."""
        second = events(3, 4, end=True, seal=b"s2")
        self.system.set_scripts(events(1, 2, end=False, seal=b"s1"), second)
        reply = self._post()
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 4), True))
        self.assertEqual(reply.headers["X-Response-Seal"], "s1")
        resumed = next(
            r for r in self.system.received_requests if r.get(b"Last-Event-Id")
        )
        self.assertEqual(resumed.get(b"Last-Event-Id"), b"2")

    def test_partial_event(self):
        """A partial event must be dropped when another engine resumes the stream."""
        first = events(1, 2, end=False, partial=event(3)[:7])
        self.system.set_scripts(first, events(3, 4, end=True))
        self.assertEqual(self._post().body, stream_body(1, 4))

    def test_repeated_events(self):
        """Events repeated by the engine that resumes a stream must be dropped."""
        self.system.set_scripts(events(1, 2, end=False), events(1, 4, end=True))
        self.assertEqual(self._post().body, stream_body(1, 4))

    def test_gap(self):
        """If the resuming engine skips an event, the stream must be aborted."""
        self.system.set_scripts(events(1, 1, end=False), events(3, 4, end=True))
        reply = self._post()
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 1), False))

    def test_not_resumable(self):
        """A stream of a non-idempotent kind must be aborted, not resumed."""
        self.system.set_scripts(events(1, 2, end=False), events(3, 4, end=True))
        reply = self._post("/once/")
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 2), False))
        self.assertEqual(len(self.system.received_requests), 1)

    def test_resumed_by_the_caller(self):
        """Events up to the caller's Last-Event-Id must not be sent again."""
        self.system.set_scripts(events(5, 6, end=True))
        reply = self._post(Last_Event_Id="4")
        self.assertEqual(reply.body, stream_body(5, 6))
        self.assertEqual(self.system.received_requests[0].get(b"Last-Event-Id"), b"4")

    def test_silent_engine(self):
        """A stream whose engine stalls must be resumed on another engine."""

        def silent(request):
            request.sock.sendall(stream_head(request, b"s1") + chunk(event(1)))
            gevent.sleep(LIMIT_S)

        self.system.set_scripts(silent, events(2, 3, end=True))
        reply = self._post()
        self.assertEqual(reply.body, stream_body(1, 3))
        # Callers of this kind disconnect after two seconds.
        self.assertLess(reply.seconds, 2.0)

    def test_deadline_within_a_stream(self):
        """A stream must be aborted at the caller's deadline."""

        def slow(request):
            request.sock.sendall(stream_head(request, b"s1"))
            for number in range(1, 100):
                request.sock.sendall(chunk(event(number)))
                gevent.sleep(0.05)

        self.system.set_scripts(slow)
        reply = self._post(X_Deadline_Ms="500")
        self.assertFalse(reply.whole)
        self.assertLess(reply.seconds, 0.5 + 0.25)

    def test_caller_leaves(self):
        """A caller's disconnect must close the connection to the engine."""
        at_engine = gevent.event.AsyncResult()

        def script(request):
            request.sock.sendall(stream_head(request, b"s1") + chunk(event(1)))
            closed = wait_until_closed(request.sock, LIMIT_S)
            at_engine.set((closed, time.monotonic()))
            return False

        self.system.set_scripts(script)
        sock = socket.create_connection(self.system.address)
        sock.sendall(
            b"POST /stream/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"
            b"X-Key: key-1\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertIn(b"piece 1", sock.recv(1000))
        left_s = time.monotonic()
        sock.close()
        closed, closed_s = at_engine.get(timeout=LIMIT_S)
        self.assertTrue(closed)
        self.assertLess(closed_s - left_s, 0.5)

    def test_no_engine_in_service(self):
        """With all circuits open, a request must fail at once, not at its deadline."""
        now_s = time.monotonic()
        for entry in self.system.serving.backends.entries:
            for _ in range(3):
                entry.circuit.record_failure(now_s)
        reply = self._post()
        self.assertEqual(reply.status, 503)
        self.assertLess(reply.seconds, 0.5)
        self.assertEqual(self.system.received_requests, [])


class ConnectionTest(GatewayTestCase):
    """Guards against malformed requests, slow or idle callers and bad framing."""

    def _open(self) -> socket.socket:
        sock = socket.create_connection(self.system.address)
        sock.settimeout(LIMIT_S)
        self.addCleanup(sock.close)
        return sock

    def _exchange(self, data: bytes) -> bytes:
        sock = self._open()
        sock.sendall(data)
        received = b""
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                received += part
        return received

    HEAD = (
        b"%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Key: key-1\r\n"
        b"X-Deadline-Ms: 2000\r\n"
    )

    def test_malformed(self):
        """A malformed request must get 400 and reach no server."""
        for data in (b"\x00\x01\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            self.assertIn(b" 400 ", self._exchange(data))
        self.assertEqual(self.system.received_requests, [])

    def test_conflicting_lengths(self):
        """Conflicting body lengths must get 400; they allow request smuggling."""
        for extra in (
            b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ):
            data = self._exchange(self.HEAD % b"POST /call/" + extra)
            self.assertIn(b" 400 ", data)
        self.assertEqual(self.system.received_requests, [])

    def test_large_headers(self):
        """Headers over the size limit must get 431."""
        data = self.HEAD % b"GET /call/" + b"X-Big: " + b"x" * 3000 + b"\r\n\r\n"
        self.assertIn(b" 431 ", self._exchange(data))

    def test_large_body(self):
        """A body over the size limit must get 413 and reach no server."""
        reply = self.send("/call/", "POST", b"x" * 200_000)
        self.assertEqual(reply.status, 413)
        self.assertEqual(self.system.received_requests, [])

    def test_slow_headers(self):
        """Headers that never end must get 408 after the header timeout."""
        sock = self._open()
        sock.sendall(b"GET /call/ HTTP/1.1\r\n")
        begun_s = time.monotonic()
        self.assertIn(b" 408 ", sock.recv(1000))
        self.assertLess(time.monotonic() - begun_s, 1.5)

    def test_idle(self):
        """An idle connection must be closed after the idle timeout, not before."""
        sock = self._open()
        begun_s = time.monotonic()
        self.assertEqual(sock.recv(1000), b"")
        self.assertGreater(time.monotonic() - begun_s, 0.8)

    def test_chunked_body(self):
        """A chunked request body must reach the server unchanged."""
        data = self.HEAD % b"POST /call/" + b"Transfer-Encoding: chunked\r\n"
        data += b"Connection: close\r\n\r\n" + chunk(b"ab") + chunk(b"c") + LAST_CHUNK
        self.assertIn(b" 200 ", self._exchange(data))
        self.assertEqual(self.system.received_requests[0].body, b"abc")

    def test_expected_continue(self):
        """A caller that waits for 100 Continue before its body must get it."""
        sock = self._open()
        head = self.HEAD % b"POST /call/" + b"Content-Length: 3\r\n"
        sock.sendall(head + b"Expect: 100-continue\r\n\r\n")
        self.assertIn(b" 100 ", sock.recv(1000))
        sock.sendall(b"abc")
        self.assertIn(b" 200 ", sock.recv(1000))
        self.assertIsNone(self.system.received_requests[0].get(b"Expect"))

    def test_pipelined_requests(self):
        """Pipelined requests must be answered in order."""
        one = self.HEAD % b"GET /call/1" + b"\r\n"
        two = self.HEAD % b"GET /call/2" + b"Connection: close\r\n\r\n"
        self.system.set_scripts(lambda r: r.sock.sendall(sealed_response(r, r.target)))
        data = self._exchange(one + two)
        self.assertLess(data.index(b"/call/1"), data.index(b"/call/2"))

    def test_kept_after_a_refusal(self):
        """The connection must be reusable after a rejected request."""
        sock = self._open()
        for _ in range(2):
            sock.sendall(self.HEAD % b"POST /other/" + b"Content-Length: 3\r\n\r\nabc")
            self.assertIn(b" 404 ", sock.recv(1000))


class UnexpectedErrorTest(GatewayTestCase):
    """Guards against an unexpected error that affects other requests."""

    def test_request_that_cannot_be_placed(self):
        """An exception in placement must fail that request, not block the queue."""
        place = scheduler_module.place

        def fail(policy, cost, views, now_s, rng):
            if cost.prefill_tokens == 7_777:
                raise ValueError("unexpected")
            return place(policy, cost, views, now_s, rng)

        with mock.patch.object(scheduler_module, "place", fail):
            bad = self.send("/stream/", X_Token_Counts="7777,10")
            self.assertEqual(bad.status, 500)
            for number in range(3):
                other = self.send("/call/", X_Attempt_Id=f"b{number}")
                self.assertEqual(other.status, 200)
        self.assertEqual(len(self.system.serving.scheduler.queue), 0)

    def test_queued_request_that_cannot_be_placed(self):
        """An error in placing a queued request must not fail a newer request.

        A new request also triggers the placement of those queued before it.
        """
        place, broken = scheduler_module.place, []

        def fail(policy, cost, views, now_s, rng):
            if cost.prefill_tokens != 7_777:
                return place(policy, cost, views, now_s, rng)
            if broken:
                raise ValueError("unexpected")
            return None

        with mock.patch.object(scheduler_module, "place", fail):
            waiting = gevent.spawn(self.send, "/stream/", X_Token_Counts="7777,10")
            gevent.sleep(0.1)
            broken.append(True)
            other = self.send("/call/", X_Attempt_Id="a2")
            self.assertEqual(other.status, 200)
            self.assertEqual(waiting.get(timeout=LIMIT_S).status, 500)


class ShutdownTest(GatewayTestCase):
    """Guards against a graceful shutdown that loses requests."""

    def test_in_flight(self):
        """A request in flight must complete, with Connection: close."""
        begun = gevent.event.Event()

        def slow(request):
            begun.set()
            gevent.sleep(0.3)
            request.sock.sendall(sealed_response(request, b"done"))

        self.system.set_scripts(slow)
        task = gevent.spawn(self.send, "/call/")
        begun.wait(LIMIT_S)
        stopping = self._shut_down()
        reply = task.get(timeout=LIMIT_S)
        self.assertEqual(reply.body, b"done")
        self.assertEqual(reply.headers["Connection"], "close")
        self.assertTrue(stopping.get(timeout=LIMIT_S))
        self.assertEqual(self.system.gate.inflight, 0)

    def test_open_connection(self):
        """A request that arrives during shutdown must get 503 and reach no server."""
        self.system.gate.shutting_down = True
        self.system.gate.close()
        reply = self.send("/job/", "POST", b"x")
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.system.received_requests, [])

    def _shut_down(self):
        """Shut down like a node; return the greenlet running ``shut_down``."""
        self.system.gate.shutting_down = True
        self.system.gate.close()
        return gevent.spawn(self.system.gateway.shut_down, LIMIT_S)

    def test_partly_received_request(self):
        """A partly received request must get a response during shutdown."""
        whole = (
            b"POST /job/ HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
            b"X-Attempt-Id: a1\r\nContent-Length: 1\r\n\r\nx"
        )
        head = len(whole) - 1
        for cut, status in ((1, 503), (30, 503), (head - 3, 503), (head, 200)):
            with self.subTest(cut=cut), GatewaySystem() as self.system:
                with socket.create_connection(self.system.address) as sock:
                    sock.sendall(whole[:cut])
                    gevent.sleep(0.05)
                    stopping = self._shut_down()
                    gevent.sleep(0.05)
                    sock.sendall(whole[cut:])
                    sock.settimeout(LIMIT_S)
                    line = sock.recv(1000).partition(b"\r\n")[0]
                    self.assertIn(b" %d " % status, line)
                self.assertTrue(stopping.get(timeout=LIMIT_S))

    def test_body_that_arrives_late(self):
        """A request must not be sent that the end of the shutdown would cut."""
        head = (
            b"POST /job/ HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
            b"X-Attempt-Id: a1\r\nContent-Length: 1\r\n\r\n"
        )
        with socket.create_connection(self.system.address) as sock:
            sock.sendall(head)
            gevent.sleep(0.05)
            self.system.gate.end_s = time.monotonic() + 1.0
            stopping = self._shut_down()
            gevent.sleep(0.05)
            sock.sendall(b"x")
            sock.settimeout(LIMIT_S)
            self.assertIn(b" 503 ", sock.recv(1000).partition(b"\r\n")[0])
        self.assertTrue(stopping.get(timeout=LIMIT_S))
        self.assertEqual(self.system.received_requests, [])

    def test_idle_connection(self):
        """Idle connections must be closed, as they would delay the shutdown."""
        with socket.create_connection(self.system.address) as sock:
            gevent.sleep(0.05)
            stopping = self._shut_down()
            self.assertTrue(wait_until_closed(sock, LIMIT_S))
            self.assertTrue(stopping.get(timeout=LIMIT_S))

    def test_under_load(self):
        """No request on an accepted connection may be lost during shutdown.

        Connections in the listen backlog count as accepted.
        """
        self.system.set_scripts(
            lambda request: (
                gevent.sleep(0.01)
                or request.sock.sendall(sealed_response(request, b"done"))
            )
        )
        outcomes, running = Counter(), [True]

        def call():
            while running:
                try:
                    outcomes[self.send("/job/", "POST", b"x").status] += 1
                except ConnectionRefusedError:
                    # Nothing was sent, so the caller can safely use another node.
                    outcomes["refused"] += 1
                    gevent.sleep(0.01)
                except (OSError, http.client.HTTPException) as error:
                    outcomes[type(error).__name__] += 1

        tasks = [gevent.spawn(call) for _ in range(40)]
        wait_for(lambda: outcomes[200] > 200, LIMIT_S, "load")
        stopping = self._shut_down()
        self.assertTrue(stopping.get(timeout=2 * LIMIT_S))
        wait_for(lambda: outcomes["refused"] > 100, LIMIT_S, "end")
        running.clear()
        gevent.joinall(tasks, timeout=LIMIT_S)
        self.assertEqual(set(outcomes) - {200, 503, "refused"}, set(), outcomes)
