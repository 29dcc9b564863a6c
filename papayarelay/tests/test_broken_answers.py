"""Tests of answers that break off, come twice, or are lost."""

import socket
import unittest

import gevent

from ..circuit import Circuit
from ..errors import BackendError
from .gateway_system import (
    END,
    GatewaySystem,
    chunk,
    event,
    refusal,
    sealed,
    stream_head,
)
from .raw_server import reset

PROMISES = (408, 421, 429, 503)
EVENTS = 3


def unframed(request, body: bytes) -> bytes:
    """Return an answer that ends with its connection."""
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n\r\n%s" % (
        request.get(b"X-Attempt-Id"),
        body,
    )


def chunked(request, body: bytes) -> bytes:
    """Return an answer in two chunks, with a trailer."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%s%s0\r\nX-End: 1\r\n\r\n"
        % (request.get(b"X-Attempt-Id"), chunk(body[:2]), chunk(body[2:]))
    )


def streamed(request, body: bytes) -> bytes:
    """Return a whole stream of events."""
    events = b"".join(chunk(event(number + 1)) for number in range(EVENTS))
    return stream_head(request, b"s") + events + END


def break_off(data: bytes, end):
    """Return a script that sends a part of an answer and ends the connection."""

    def script(request):
        request.sock.sendall(data)
        # A reset that comes at once would discard the bytes before it.
        gevent.sleep(0.002)
        end(request.sock)
        return False

    return script


class Example:
    """A request whose answer is made before the request is sent."""

    def get(self, name: bytes) -> bytes:
        """Return the id of all requests of a gateway system."""
        return b"a1"

    connection = 1


class BrokenOffTest(unittest.TestCase):
    """Guards against half an answer that reaches a caller as a whole one."""

    def _break(self, path: str, data: bytes, end, method: str = "GET"):
        """Send a request whose every attempt breaks off; return the answer."""
        self.system.set_scripts(break_off(data, end))
        for entry in self.system.serving.backends.entries:
            # The servers are not to be left out for the attempts before.
            entry.circuit = Circuit()
        before = len(self.system.arrivals)
        body = b"x" if method == "POST" else None
        try:
            reply = self.system.request(path, method, body, X_Deadline_Ms="400")
        except OSError:
            reply = None
        return reply, len(self.system.arrivals) - before

    def test_calls(self):
        """A call that broke off at some byte would count as whole, or run twice."""
        for make in (sealed, chunked, unframed):
            whole = make(Example(), b"answer")
            ends = (reset,) if make is unframed else (reset, socket.socket.close)
            for end in ends:
                with GatewaySystem() as self.system:
                    for cut in range(len(whole)):
                        with self.subTest(make=make, end=end, cut=cut):
                            reply, runs = self._break("/job/", whole[:cut], end, "POST")
                            self.assertEqual(runs, 1)
                            self.assertEqual(reply.status, 502)

    def test_reads(self):
        """A read that broke off at some byte would count as whole."""
        for make in (sealed, chunked):
            whole = make(Example(), b"answer")
            with GatewaySystem(plain=6) as self.system:
                for cut in range(0, len(whole), 7):
                    with self.subTest(make=make, cut=cut):
                        reply, _ = self._break("/call/", whole[:cut], reset)
                        self.assertNotEqual(reply.status, 200)
                        self.assertNotIn(reply.status, PROMISES)

    def test_streams(self):
        """A stream that broke off at some byte would look complete."""
        whole = streamed(Example(), b"")
        wanted = b"".join(event(number + 1) for number in range(EVENTS))
        for end in (reset, socket.socket.close):
            with GatewaySystem() as self.system:
                for cut in range(0, len(whole)):
                    with self.subTest(end=end, cut=cut):
                        reply, runs = self._break("/once/", whole[:cut], end)
                        self.assertEqual(runs, 1)
                        if reply is None or reply.status != 200:
                            continue
                        self.assertFalse(reply.whole)
                        self.assertTrue(wanted.startswith(reply.body))


class LostAnswerTest(unittest.TestCase):
    """Guards against work that runs again, or is said not to have run."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem())

    def test_answer_that_never_comes(self):
        """A caller would be told that a job has not run."""
        self.system.set_scripts(lambda request: gevent.sleep(1.0))
        reply = self.system.request("/job/", "POST", b"x", X_Deadline_Ms="300")
        self.assertNotIn(reply.status, PROMISES)
        self.assertEqual(len(self.system.arrivals), 1)

    def test_refused_after_a_lost_answer(self):
        """A refusal by a second server would be told as that of the first."""
        scripts = [lambda r: reset(r.sock) or False]

        def script(request):
            if scripts:
                return scripts.pop()(request)
            return request.sock.sendall(refusal(request))

        for server in self.system.plain:
            server.script = script
        reply = self.system.request("/call/")
        self.assertNotIn(reply.status, PROMISES)


class SecondCopyTest(unittest.TestCase):
    """Guards against a late second copy that is taken for another answer."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem(plain=1))
        self.server = self.system.plain[0]

    def _send(self, request_id: str):
        return self.system.request("/call/", X_Attempt_Id=request_id)

    def _answer_with_copy_of(self, first):
        """Send a copy of the answer before on a connection as it is used again."""
        earlier = {}

        def script(request):
            body = b"for " + request.get(b"X-Attempt-Id")
            copy = earlier.pop(request.connection, b"")
            earlier[request.connection] = first(request, body)
            request.sock.sendall(copy + sealed(request, body))

        self.server.script = script

    def test_late_copy(self):
        """The next caller on the connection would get the answer of the last."""
        self._answer_with_copy_of(sealed)
        for number in range(5):
            reply = self._send(f"r{number}")
            self.assertEqual((reply.status, reply.body), (200, b"for r%d" % number))

    def test_late_copy_without_an_id(self):
        """A copy that names no request would be taken for the next answer."""

        def bare(request, body):
            whole = sealed(request, body)
            return whole.replace(
                b"X-Attempt-Id: %s\r\n" % request.get(b"X-Attempt-Id"), b""
            )

        self._answer_with_copy_of(bare)
        for number in range(5):
            reply = self._send(f"r{number}")
            if reply.status == 200:
                self.assertEqual(reply.body, b"for r%d" % number)

    def test_copy_of_a_refusal(self):
        """A refusal that comes twice would refuse the attempt after it."""
        refused = []

        def script(request):
            if not refused:
                refused.append(request)
                request.sock.sendall(refusal(request))
                return
            copy = refusal(request) if request.sock is refused[0].sock else b""
            request.sock.sendall(copy + sealed(request, b"ran"))

        self.server.script = script
        reply = self.system.request("/job/", "POST", b"x")
        self.assertEqual((reply.status, reply.body), (200, b"ran"))

    def test_copy_in_the_middle_of_a_stream(self):
        """Bytes after a stream would be taken for the next one."""

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


class UnaskedTest(unittest.TestCase):
    """Guards against the error of one exchange that reaches another one."""

    def test_error_is_of_its_exchange(self):
        """An exchange after a broken one would fail with it."""
        with GatewaySystem() as system:
            pool = system.serving.backends.get("plain-0").pool
            system.plain[0].script = break_off(b"HTTP/1.1 2", reset)
            with self.assertRaises(BackendError):
                pool.request("GET", "/")
            system.plain[0].script = lambda r: r.sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            )
            self.assertEqual(pool.request("GET", "/").read_all(), b"ok")
