"""Tests of connections to backend servers, at the level of bytes on the wire."""

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
    """Guards against responses that are incomplete or belong to another request."""

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
            head(request_id, target, len(body)),
            body,
            LIMIT_S,
            request_id_header=ID,
            **options,
        )
        return answer.read_all()

    def _assert_unknown(self, **options):
        with self.assertRaises(BackendError) as caught:
            self._send(**options)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_target_is_unchanged(self):
        """Guards against a request target that the client normalises."""
        target = b"/a/../b//%7e%2F?x=%20&&y=;"
        self._send(target=target)
        self.assertEqual(self.server.requests[0].target, target)

    def test_connection_is_reused(self):
        """Guards against one new connection per request."""
        self.assertEqual([self._send(), self._send(b"r2")], [b"ok", b"ok"])
        self.assertEqual(self.server.connections, 1)

    def test_new_connection(self):
        """Guards against a non-idempotent request on a pooled connection.

        The server may close that just as the request is sent.
        """
        self._send()
        self._send(b"r2", new_connection=True)
        self.assertEqual(self.server.connections, 2)

    def test_closed_while_pooled(self):
        """Guards against reuse of a pooled connection that the server has closed."""
        self.server.script = lambda r: r.sock.sendall(WHOLE % r.get(ID)) or False
        self._send()
        gevent.sleep(0.05)
        self.assertEqual(self._send(b"r2"), b"ok")

    def test_announced_idle_limit(self):
        """Guards against reuse beyond the timeout in the Keep-Alive header."""
        answer = WHOLE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=0\r\n\r\n")
        self.server.script = lambda r: r.sock.sendall(answer % r.get(ID))
        self._send()
        self._send(b"r2")
        self.assertEqual(self.server.connections, 2)

    def test_late_response_to_another_request(self):
        """Guards against a late response that is taken for the next one."""

        def script(request):
            stray = WHOLE % b"r0" if request.get(ID) == b"r2" else b""
            request.sock.sendall(stray + WHOLE.replace(b"ok", b"in") % request.get(ID))

        self.server.script = script
        self.assertEqual([self._send(), self._send(b"r2")], [b"in", b"in"])
        self.assertEqual(self._send(b"r3"), b"in")

    def test_bytes_after_response(self):
        """Guards against reuse of a connection with unexpected bytes left in it."""
        self.server.script = lambda r: r.sock.sendall(2 * (WHOLE % r.get(ID)))
        self._send()
        self.assertEqual(self._send(b"r2"), b"ok")
        self.assertEqual(self.server.connections, 2)

    def test_truncated_response(self):
        """Guards against a truncated response that counts as complete."""
        truncated = (WHOLE % b"r1")[:-1]
        for end in (socket.socket.close, reset):

            def script(request, end=end):
                request.sock.sendall(truncated)
                end(request.sock)
                return False

            self.server.script = script
            self._assert_unknown()

    def test_response_without_length(self):
        """Guards against rejecting a response delimited by the connection's end."""
        plain = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it"
        self.server.script = lambda r: r.sock.sendall(plain) or False
        self.assertEqual(self._send(), b"all of it")

    def test_reset_response_without_length(self):
        """Guards against a reset that counts as the end of an unframed response."""
        plain = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of"

        def script(request):
            request.sock.sendall(plain)
            gevent.sleep(0.05)
            reset(request.sock)
            return False

        self.server.script = script
        self._assert_unknown()

    def test_invalid_http(self):
        """Guards against invalid HTTP that is passed on as a response."""
        self.server.script = lambda r: r.sock.sendall(b"\x00\xffgarbage\r\n\r\n")
        self._assert_unknown()

    def test_refused_connection(self):
        """Guards against outcome ``unknown`` for a request that was never sent."""
        self.server.close()
        with self.assertRaises(BackendError) as caught:
            self._send()
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)

    def test_closed_before_response(self):
        """Guards against outcome ``not_run`` for a request that was sent."""
        self.server.script = lambda r: False
        self._assert_unknown()

    def test_early_response(self):
        """Guards against reuse after a response that arrived before the whole body.

        The server would parse the next request as the rest of that body.
        """
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
