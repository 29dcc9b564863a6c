"""Tests of peers that send endless data, fast or a few bytes at a time."""

import contextlib
import itertools
import time
import unittest
from unittest import mock

import gevent

from ..backends.connection import MAX_BYTES_BEFORE_RESPONSE, RequestHead
from ..backends.pool import BackendPool
from ..backends.protocol import StreamCounters
from ..backends.stream import EngineStream, StreamLimits
from ..errors import BackendError, Outcome
from ..platform.wire import EventReader
from .gateway_system import GatewaySystem, chunk, event, sealed_response, stream_head
from .raw_server import RawServer

LIMIT_S = 0.6
# Upper bound on the duration of an exchange, with scheduling delays on a busy machine.
MAX_DURATION_S = 3.0
SEND_INTERVAL_S = 0.005
HEAD = RequestHead(b"GET", b"/", ((b"Host", b"h.example"), (b"X-Id", b"r1")))
WHOLE = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n"
ENDLESS = {
    "informational responses": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "a header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 50),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "the body of a response to another request": (
        WHOLE % b"r0" + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "a chunk extension": (
        WHOLE % b"r1" + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"e" * 50,
    ),
    "a body": (WHOLE % b"r1" + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
    "trailers": (
        WHOLE % b"r1" + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: b\r\n",
    ),
    "a body without a length": (WHOLE % b"r1" + b"\r\n", b"x"),
    "responses to other requests": (b"", WHOLE % b"r0" + b"Content-Length: 0\r\n\r\n"),
    "invalid HTTP": (b"", b"\x00\xff\x17"),
}


def endless(begin: bytes, more: bytes, pause_s: float, times: int = 1):
    """Return a script that sends data until the peer closes the connection."""

    def script(request):
        with contextlib.suppress(OSError):
            request.sock.sendall(begin)
            while True:
                request.sock.sendall(more * times)
                gevent.sleep(pause_s)
        request.disconnected.set()
        return False

    return script


class ExchangeTest(unittest.TestCase):
    """Guards against exchanges without a limit in time or memory."""

    def setUp(self):
        self.server = RawServer(lambda request: None)
        self.addCleanup(self.server.close)
        self.pool = BackendPool("engine-1", f"http://{self.server.address}")
        self.addCleanup(self.pool.close)
        self.pool.start()

    def _fail(self) -> float:
        """Run an exchange that must fail; return its duration."""
        started_s = time.monotonic()
        with self.assertRaises(BackendError) as caught:
            self.pool.send(HEAD, b"", LIMIT_S, request_id_header=b"x-id").read_all()
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)
        return time.monotonic() - started_s

    def test_slow(self):
        """Guards against a time limit that each received byte extends."""
        for name, (begin, more) in ENDLESS.items():
            with self.subTest(name):
                self.server.script = endless(begin, more, SEND_INTERVAL_S)
                with gevent.Timeout(4 * MAX_DURATION_S):
                    self.assertLess(self._fail(), MAX_DURATION_S)
                self.assertTrue(
                    self.server.requests[-1].disconnected.wait(MAX_DURATION_S)
                )

    def test_fast(self):
        """Guards against memory exhausted by a server that sends at full speed."""
        for name, (begin, more) in ENDLESS.items():
            with self.subTest(name):
                self.server.script = endless(begin, more, 0.0, 100)
                with gevent.Timeout(4 * MAX_DURATION_S):
                    self.assertLess(self._fail(), MAX_DURATION_S)

    def test_bytes_before_the_answer(self):
        """Guards against unlimited data in front of the expected response."""
        connections = []
        opened = self.pool._open

        def keep(limit_s):
            connections.append(opened(limit_s))
            return connections[-1]

        begin, more = ENDLESS["informational responses"]
        self.server.script = endless(begin, more, 0.0, 1000)
        with (
            mock.patch.object(self.pool, "_open", keep),
            gevent.Timeout(MAX_DURATION_S),
            self.assertRaises(BackendError),
        ):
            self.pool.send(HEAD, b"", 60.0, request_id_header=b"x-id")
        self.assertLess(connections[0].received_bytes, 2 * MAX_BYTES_BEFORE_RESPONSE)

    def test_slow_reader(self):
        """Guards against a server that stalls a request by reading it very slowly."""
        stalled = RawServer(lambda request: None)
        self.addCleanup(stalled.close)

        def read_slowly(sock, address):
            with contextlib.suppress(OSError):
                while sock.recv(1):
                    gevent.sleep(SEND_INTERVAL_S)

        stalled._server.set_handle(read_slowly)
        pool = BackendPool("engine-2", f"http://{stalled.address}")
        self.addCleanup(pool.close)
        body = b"x" * (16 << 20)
        headers = ((b"Host", b"h"), (b"Content-Length", b"%d" % len(body)))
        started_s = time.monotonic()
        with gevent.Timeout(4 * MAX_DURATION_S), self.assertRaises(BackendError):
            pool.send(RequestHead(b"POST", b"/", headers), body, LIMIT_S)
        self.assertLess(time.monotonic() - started_s, MAX_DURATION_S)

    def test_many_at_once(self):
        """Guards against tasks and connections leaked by endless responses."""
        scripts = itertools.cycle(
            endless(begin, more, SEND_INTERVAL_S, 20)
            for begin, more in ENDLESS.values()
        )

        def script(request):
            return next(scripts)(request)

        self.server.script = script
        tasks = [gevent.spawn(self._fail) for _ in range(50)]
        gevent.joinall(tasks, timeout=4 * MAX_DURATION_S)
        self.assertTrue(all(task.successful() for task in tasks))
        self.assertEqual(self.pool._idle, [])


class StalledStreamTest(unittest.TestCase):
    """Guards against stalled streams kept open and slow streams aborted."""

    IDLE_S = 1.5

    def setUp(self):
        self.now_s = 0.0
        self.answer = mock.Mock()
        self.answer.head.headers = ()
        limits = StreamLimits(100.0, 0.0, 3.0, self.IDLE_S, slow_idle_timeout_s=4.0)
        reader = EventReader(self.answer, 0, StreamCounters())
        self.stream = EngineStream(
            self.answer, reader, limits, "engine-1", lambda: self.now_s
        )
        self.chunks = iter(self.stream)

    def _deliver(self, data: bytes, after_s: float) -> None:
        """Deliver the bytes of one event."""
        self.now_s += after_s
        self.answer.read.side_effect = [data]
        next(self.chunks)

    def _deliver_until_abort(self, data: bytes) -> float:
        """Deliver the same bytes repeatedly; return the time until the abort."""
        started_s = self.now_s

        def read():
            self.now_s += 0.1
            if self.stream.find_timeout_error(self.now_s) is not None:
                raise BackendError("aborted", step="stream", peer="engine-1")
            return data

        self.answer.read.side_effect = read
        with self.assertRaises(BackendError), gevent.Timeout(MAX_DURATION_S):
            while True:
                next(self.chunks)
        return self.now_s - started_s

    def test_bytes_without_an_event(self):
        """Guards against bytes without a new event that reset the idle timeout."""
        for data in (b"x", b": ping\n\n", event(1)):
            with self.subTest(data):
                self.setUp()
                self._deliver(event(1), 0.1)
                self.assertAlmostEqual(
                    self._deliver_until_abort(data), self.IDLE_S, delta=0.3
                )

    def test_no_first_event(self):
        """Guards against comments that extend the timeout for the first event."""
        self.assertAlmostEqual(self._deliver_until_abort(b": ping\n\n"), 3.0, delta=0.3)

    def test_slow_but_regular(self):
        """Guards against aborting a stream whose engine is eight times as slow."""
        self._deliver(event(1), 0.5)
        for number, gap_s in enumerate((0.4, 0.8, 1.2, 2.0, 2.3, 2.4), start=2):
            self.assertIsNone(self.stream.find_timeout_error(self.now_s + gap_s))
            self._deliver(event(number), gap_s)

    def test_silent_after_slow(self):
        """Guards against a slow stream that is kept open after it stalls."""
        self._deliver(event(1), 0.5)
        self._deliver(event(2), 1.4)
        self._deliver(event(3), 2.6)
        self.assertIsNotNone(self.stream.find_timeout_error(self.now_s + 4.1))


class GatewayBoundTest(unittest.TestCase):
    """Guards against callers without a response because a server sends endlessly."""

    def test_endless_engine(self):
        """Guards against an endless response that prevents a retry elsewhere."""
        for name, (begin, more) in ENDLESS.items():
            with self.subTest(name), GatewaySystem() as system:
                scripts = [endless(begin.replace(b"r1", b"a1"), more, SEND_INTERVAL_S)]

                def good(request):
                    request.sock.sendall(stream_head(request, b"s"))
                    request.sock.sendall(chunk(event(1)) + b"0\r\n\r\n")

                def script(request, scripts=scripts, good=good):
                    return (scripts.pop() if scripts else good)(request)

                for server in system.engines:
                    server.script = script
                reply = system.request("/stream/", X_Deadline_Ms="2900")
                self.assertEqual((reply.status, reply.body), (200, event(1)))

    def test_endless_service(self):
        """Guards against a call that outlasts its deadline."""
        for name, (begin, more) in ENDLESS.items():
            with self.subTest(name), GatewaySystem() as system:
                system.set_scripts(endless(begin, more, SEND_INTERVAL_S))
                reply = system.request("/job/", "POST", b"x", X_Deadline_Ms="700")
                self.assertNotIn(reply.status, (200, 408, 421, 429, 503))
                self.assertLess(reply.seconds, MAX_DURATION_S)

    def test_endless_caller(self):
        """Guards against unlimited chunk extensions in a caller's request."""
        with GatewaySystem() as system:
            system.set_scripts(
                lambda request: request.sock.sendall(sealed_response(request, b"ok"))
            )
            with gevent.socket.create_connection(system.address) as sock:
                sock.sendall(
                    b"POST /call/ HTTP/1.1\r\nHost: h.example\r\nX-Key: key-1\r\n"
                    b"X-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                sent = 0
                with contextlib.suppress(OSError), gevent.Timeout(8.0):
                    while sent < 4 << 20:
                        sent += sock.send((b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 10)
                        gevent.sleep(0)
                self.assertLess(sent, 4 << 20)
                self.assertEqual(system.received_requests, [])
