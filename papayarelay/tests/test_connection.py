"""Tests of the connections to backend servers, byte for byte."""

import socket
import unittest

import gevent
from gevent.event import Event

from ..backends.connection import RequestHead
from ..backends.pool import BackendPool
from ..errors import BackendError, Outcome
from .raw_server import RawServer, reset

LIMIT_S = 5.0
ID = b"x-id"
WHOLE = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok"


def head(request_id: bytes, target: bytes = b"/", size: int = 0) -> RequestHead:
    """Return the head of a request."""
    headers = ((b"Host", b"h.example"), (b"X-Id", request_id))
    if size:
        headers += ((b"Content-Length", b"%d" % size),)
    return RequestHead(b"POST" if size else b"GET", target, headers)


class ConnectionTest(unittest.TestCase):
    """Guards against answers that are not whole or belong to another request."""

    def setUp(self):
        self.server = RawServer(self._answer)
        self.addCleanup(self.server.close)
        self.pool = BackendPool("engine-1", f"http://{self.server.address}")
        self.addCleanup(self.pool.close)
        self.pool.start()

    def _answer(self, request):
        request.sock.sendall(WHOLE % request.get(ID))

    def _send(self, request_id=b"r1", target=b"/", body=b"", **options) -> bytes:
        answer = self.pool.send(
            head(request_id, target, len(body)), body, LIMIT_S, answers=ID, **options
        )
        return answer.read_all()

    def _assert_unknown(self, **options):
        with self.assertRaises(BackendError) as caught:
            self._send(**options)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_target_is_unchanged(self):
        """A path would be normalised on its way."""
        target = b"/a/../b//%7e%2F?x=%20&&y=;"
        self._send(target=target)
        self.assertEqual(self.server.requests[0].target, target)

    def test_connection_is_kept(self):
        """Each request would open a connection of its own."""
        self.assertEqual([self._send(), self._send(b"r2")], [b"ok", b"ok"])
        self.assertEqual(self.server.connections, 1)

    def test_fresh_connection(self):
        """A request that must not repeat would go on a connection that may close."""
        self._send()
        self._send(b"r2", fresh=True)
        self.assertEqual(self.server.connections, 2)

    def test_closed_while_idle(self):
        """A request would be sent on a connection that is closed already."""
        self.server.script = lambda r: r.sock.sendall(WHOLE % r.get(ID)) or False
        self._send()
        gevent.sleep(0.05)
        self.assertEqual(self._send(b"r2"), b"ok")

    def test_announced_idle_limit(self):
        """A request would be sent just as the server closes the connection."""
        answer = WHOLE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n")
        self.server.script = lambda r: r.sock.sendall(answer % r.get(ID))
        self._send()
        self._send(b"r2")
        self.assertEqual(self.server.connections, 2)

    def test_late_answer_to_another_request(self):
        """A caller would get the answer to a request before its own."""

        def script(request):
            stray = WHOLE % b"r0" if request.get(ID) == b"r2" else b""
            request.sock.sendall(stray + WHOLE.replace(b"ok", b"in") % request.get(ID))

        self.server.script = script
        self.assertEqual([self._send(), self._send(b"r2")], [b"in", b"in"])
        self.assertEqual(self._send(b"r3"), b"in")

    def test_bytes_after_an_answer(self):
        """A second answer would be taken for that to the next request."""
        self.server.script = lambda r: r.sock.sendall(2 * (WHOLE % r.get(ID)))
        self._send()
        self.assertEqual(self._send(b"r2"), b"ok")
        self.assertEqual(self.server.connections, 2)

    def test_torn_answer(self):
        """Half an answer would count as a whole one."""
        torn = (WHOLE % b"r1")[:-1]
        for end in (socket.socket.close, reset):

            def script(request, end=end):
                request.sock.sendall(torn)
                end(request.sock)
                return False

            self.server.script = script
            self._assert_unknown()

    def test_answer_without_length(self):
        """An answer that ends with its connection would be refused."""
        plain = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it"
        self.server.script = lambda r: r.sock.sendall(plain) or False
        self.assertEqual(self._send(), b"all of it")

    def test_reset_answer_without_length(self):
        """An answer without a length that was reset would count as whole."""
        plain = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of"

        def script(request):
            request.sock.sendall(plain)
            gevent.sleep(0.05)
            reset(request.sock)
            return False

        self.server.script = script
        self._assert_unknown()

    def test_no_answer(self):
        """Bytes that are no answer would reach a caller."""
        self.server.script = lambda r: r.sock.sendall(b"\x00\xffgarbage\r\n\r\n")
        self._assert_unknown()

    def test_refused_connection(self):
        """A request that was never sent would count as perhaps run."""
        self.server.close()
        with self.assertRaises(BackendError) as caught:
            self._send()
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_closed_before_the_answer(self):
        """A request that was sent would count as surely not run."""
        self.server.script = lambda r: False
        self._assert_unknown()

    def test_early_answer(self):
        """The rest of a body would be taken for the next request."""
        answered = Event()

        def serve(sock, address):
            sock.recv(1000)
            sock.sendall(WHOLE % b"r1")
            answered.wait(LIMIT_S)
            sock.close()

        self.server._server.set_handle(serve)
        self.assertEqual(self._send(body=b"x" * (8 << 20)), b"ok")
        answered.set()
        self.assertEqual(self.pool._idle, [])
