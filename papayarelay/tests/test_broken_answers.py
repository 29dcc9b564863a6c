"""Tests of truncated, duplicated and lost responses from backend servers."""

import socket
import unittest

import gevent

from ..circuit import Circuit
from ..errors import BackendError
from .gateway_system import (
    LAST_CHUNK,
    GatewaySystem,
    chunk,
    event,
    not_run_response,
    sealed_response,
    stream_head,
)
from .raw_server import reset

NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENTS = 3
JOB_DEADLINE_MS = 4000


def unframed(request, body: bytes) -> bytes:
    """Return a response whose body is delimited by the end of the connection."""
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n\r\n%s" % (
        request.get(b"X-Attempt-Id"),
        body,
    )


def chunked(request, body: bytes) -> bytes:
    """Return a chunked response with two chunks and a trailer."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%s%s0\r\nX-End: 1\r\n\r\n"
        % (request.get(b"X-Attempt-Id"), chunk(body[:2]), chunk(body[2:]))
    )


def streamed(request, body: bytes) -> bytes:
    """Return a complete event stream."""
    events = b"".join(chunk(event(number + 1)) for number in range(EVENTS))
    return stream_head(request, b"s") + events + LAST_CHUNK


def truncate(data: bytes, end):
    """Return a script that sends a truncated response and ends the connection."""

    def script(request):
        request.sock.sendall(data)
        # An immediate RST would discard bytes that the peer has not read yet.
        gevent.sleep(0.002)
        end(request.sock)
        return False

    return script


class FakeRequest:
    """A stand-in for a request, to build its response before it is sent."""

    def get(self, name: bytes) -> bytes:
        """Return the attempt id that all requests of a gateway system have."""
        return b"a1"

    connection = 1


class TruncatedResponseTest(unittest.TestCase):
    """Guards against a truncated response that reaches a caller as complete.

    The servers end the connection, with FIN or RST, at many positions of a response.
    """

    def setUp(self):
        self.requests = 0

    def _send_truncated(
        self, path: str, data: bytes, end, method: str = "GET", deadline_ms=400
    ):
        """Send a request whose attempts all fail; return the reply and their number."""
        self.system.set_scripts(truncate(data, end))
        for entry in self.system.serving.backends.entries:
            # Failures of earlier attempts must not have opened the circuit.
            entry.circuit = Circuit()
        before = len(self.system.received_requests)
        body = b"x" if method == "POST" else None
        # The same request again would be rejected, as one that crashes servers.
        self.requests += 1
        target = f"{path}{self.requests}"
        try:
            reply = self.system.request(
                target, method, body, X_Deadline_Ms=str(deadline_ms)
            )
        except OSError:
            reply = None
        return reply, len(self.system.received_requests) - before

    def test_calls(self):
        """Guards against a truncated call that counts as complete or runs twice."""
        for make in (sealed_response, chunked, unframed):
            whole = make(FakeRequest(), b"answer")
            ends = (reset,) if make is unframed else (reset, socket.socket.close)
            for end in ends:
                with GatewaySystem() as self.system:
                    for cut in range(len(whole)):
                        with self.subTest(make=make, end=end, cut=cut):
                            # Only the deadline may end a job in another way.
                            reply, runs = self._send_truncated(
                                "/job/", whole[:cut], end, "POST", JOB_DEADLINE_MS
                            )
                            self.assertEqual(runs, 1)
                            self.assertEqual(reply.status, 502)

    def test_reads(self):
        """Guards against a truncated idempotent call that counts as complete.

        Nor may the caller be told that it has not run.
        """
        for make in (sealed_response, chunked):
            whole = make(FakeRequest(), b"answer")
            with GatewaySystem(plain=6) as self.system:
                for cut in range(0, len(whole), 7):
                    with self.subTest(make=make, cut=cut):
                        reply, _ = self._send_truncated("/call/", whole[:cut], reset)
                        self.assertNotEqual(reply.status, 200)
                        self.assertNotIn(reply.status, NOT_RUN_STATUSES)

    def test_streams(self):
        """Guards against a truncated stream that looks complete or runs twice."""
        whole = streamed(FakeRequest(), b"")
        wanted = b"".join(event(number + 1) for number in range(EVENTS))
        for end in (reset, socket.socket.close):
            with GatewaySystem() as self.system:
                for cut in range(0, len(whole)):
                    with self.subTest(end=end, cut=cut):
                        reply, runs = self._send_truncated("/once/", whole[:cut], end)
                        self.assertEqual(runs, 1)
                        if reply is None or reply.status != 200:
                            continue
                        self.assertFalse(reply.whole)
                        self.assertTrue(wanted.startswith(reply.body))


class LostResponseTest(unittest.TestCase):
    """Guards against a lost response reported to the caller as "not run"."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem())

    def test_no_response(self):
        """Guards against a job without a response that is reported as not run."""
        self.system.set_scripts(lambda request: gevent.sleep(1.0))
        reply = self.system.request("/job/", "POST", b"x", X_Deadline_Ms="300")
        self.assertNotIn(reply.status, NOT_RUN_STATUSES)
        self.assertEqual(len(self.system.received_requests), 1)

    def test_refused_after_lost_response(self):
        """Guards against a refused retry that is reported as if nothing had run.

        The response of the first server was lost, so that attempt may have run.
        """
        scripts = [lambda r: reset(r.sock) or False]

        def script(request):
            if scripts:
                return scripts.pop()(request)
            return request.sock.sendall(not_run_response(request))

        for server in self.system.plain:
            server.script = script
        reply = self.system.request("/call/")
        self.assertNotIn(reply.status, NOT_RUN_STATUSES)


class DuplicateResponseTest(unittest.TestCase):
    """Guards against a duplicate response that is taken for the next response."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem(plain=1))
        self.server = self.system.plain[0]

    def _send(self, request_id: str):
        return self.system.request("/call/", X_Attempt_Id=request_id)

    def _prepend_duplicate(self, first):
        """Repeat the previous response of a connection before each new one."""
        earlier = {}

        def script(request):
            body = b"for " + request.get(b"X-Attempt-Id")
            copy = earlier.pop(request.connection, b"")
            earlier[request.connection] = first(request, body)
            request.sock.sendall(copy + sealed_response(request, body))

        self.server.script = script

    def test_late_duplicate(self):
        """Guards against a duplicate delivered to the connection's next caller."""
        self._prepend_duplicate(sealed_response)
        for number in range(5):
            reply = self._send(f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"for r%d" % number))

    def test_late_duplicate_without_id(self):
        """Guards against a duplicate without a request id that is delivered."""

        def bare(request, body):
            whole = sealed_response(request, body)
            return whole.replace(
                b"X-Attempt-Id: %s\r\n" % request.get(b"X-Attempt-Id"), b""
            )

        self._prepend_duplicate(bare)
        for number in range(5):
            reply = self._send(f"r{number}")
            if reply.status == 200:
                self.assertEqual(reply.body, b"for r%d" % number)

    def test_duplicate_refusal(self):
        """Guards against a duplicate refusal that fails the next attempt."""
        refused = []

        def script(request):
            if not refused:
                refused.append(request)
                request.sock.sendall(not_run_response(request))
                return
            copy = not_run_response(request) if request.sock is refused[0].sock else b""
            request.sock.sendall(copy + sealed_response(request, b"ran"))

        self.server.script = script
        reply = self.system.request("/job/", "POST", b"x")
        self.assertEqual((reply.status, reply.body), (200, b"ran"))

    def test_duplicate_stream(self):
        """Guards against bytes after a stream that are taken for the next stream."""

        def script(request):
            whole = streamed(request, b"")
            request.sock.sendall(whole)
            gevent.sleep(0.05)
            request.sock.sendall(whole)

        self.system.set_scripts(script)
        wanted = b"".join(event(number + 1) for number in range(EVENTS))
        for number in range(6):
            reply = self.system.request("/stream/", X_Attempt_Id=f"s{number}")
            self.assertEqual((reply.status, reply.body), (200, wanted))


class ErrorIsolationTest(unittest.TestCase):
    """Guards against an error that leaks from one exchange into another."""

    def test_error_does_not_leak(self):
        """Guards against an exchange that fails because the one before it did."""
        with GatewaySystem() as system:
            pool = system.serving.backends.get("plain-0").pool
            system.plain[0].script = truncate(b"HTTP/1.1 2", reset)
            with self.assertRaises(BackendError):
                pool.request("GET", "/")
            system.plain[0].script = lambda r: r.sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            )
            self.assertEqual(pool.request("GET", "/").read_all(), b"ok")
