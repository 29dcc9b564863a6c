"""Tests of what callers get from engines that repeat, break off or cut answers."""

import unittest

import gevent

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

EVENTS = b"".join(event(number + 1) for number in range(3))
SECRET = b"the error of an engine"


def whole_stream(request) -> bytes:
    """Return a complete event stream, from the next event on."""
    first = int(request.get(b"Last-Event-Id") or 0)
    events = b"".join(chunk(event(number + 1)) for number in range(first, 3))
    return stream_head(request, b"s") + events + LAST_CHUNK


def unframed_head(request) -> bytes:
    """Return the head of a response that ends with its connection."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n"
        b"Content-Type: text/event-stream\r\n\r\n" % request.get(b"X-Attempt-Id")
    )


class RepeatedRefusalTest(unittest.TestCase):
    """Guards against an earlier refusal that is taken for the next answer."""

    def _run(self, path: str, answer) -> None:
        """Refuse each request once, and repeat the refusal before what follows."""
        system = self.enterContext(GatewaySystem(plain=1, engines=1))
        refusals: dict[bytes, tuple[object, bytes]] = {}
        runs: list[bytes] = []

        def script(request):
            attempt = request.get(b"X-Attempt-Id")
            copies = [copy for sock, copy in refusals.values() if sock is request.sock]
            if attempt not in refusals:
                refusals[attempt] = (request.sock, not_run_response(request))
                request.sock.sendall(b"".join([*copies, refusals[attempt][1]]))
                return
            runs.append(attempt)
            request.sock.sendall(b"".join([*copies, answer(request)]))

        system.set_scripts(script)
        for number in range(4):
            attempt = f"a{number}"
            reply = system.request(path, "POST", b"p", X_Attempt_Id=attempt)
            if attempt.encode() in runs:
                self.assertNotIn(reply.status, (408, 421, 429, 503))
        self.assertEqual(len(runs), len(set(runs)))
        self.assertTrue(runs)

    def test_stream_that_must_run_once(self):
        """Guards against a stream that runs and is said not to have run."""
        self._run("/once/x", whole_stream)

    def test_stream(self):
        """Guards against the same for a stream that may be resumed."""
        self._run("/stream/x", whole_stream)

    def test_job(self):
        """Guards against the same for a job."""
        self._run("/job/x", lambda request: sealed_response(request, b"ok"))


class BrokenStreamTest(unittest.TestCase):
    """Guards against an engine's error in the middle of a caller's stream."""

    def _run(self, script):
        with GatewaySystem() as system:
            system.set_scripts(self._begin, script)
            return system.request("/stream/x", "POST", b"p")

    @staticmethod
    def _begin(request):
        request.sock.sendall(stream_head(request, b"s") + chunk(event(1)))
        gevent.sleep(0.02)
        reset(request.sock)
        return False

    def _answers(self):
        error = b"500 Internal Server Error"
        refused = b"503 Service Unavailable"
        not_run = b"X-Not-Executed: 1\r\n"
        return {
            "error": lambda r: sealed_response(r, SECRET, error),
            "refusal": lambda r: sealed_response(r, SECRET, refused, not_run),
            "error as events": lambda r: sealed_response(r, SECRET + b"\n\n", error),
            "success without events": lambda r: sealed_response(r, SECRET),
            "success with other events": lambda r: sealed_response(
                r, b"data: " + SECRET + b"\n\n"
            ),
            "head in the body": lambda r: (
                stream_head(r, b"s")
                + chunk(sealed_response(r, SECRET, error) + b"\n\n")
                + LAST_CHUNK
            ),
            "begun again": lambda r: (
                stream_head(r, b"s") + chunk(event(3)) + LAST_CHUNK
            ),
        }

    def test_next_engine_answers_with_an_error(self):
        """Guards against an error that callers find in their stream."""
        for name, answer in self._answers().items():
            with self.subTest(name):
                reply = self._run(lambda r, a=answer: r.sock.sendall(a(r)))
                self.assertEqual(reply.status, 200)
                self.assertNotIn(SECRET, reply.body)
                self.assertTrue(EVENTS.startswith(reply.body))
                self.assertFalse(reply.whole)

    def test_next_engine_goes_on(self):
        """Guards against a stream that breaks off though it could go on."""
        reply = self._run(lambda r: r.sock.sendall(whole_stream(r)))
        self.assertEqual((reply.body, reply.whole), (EVENTS, True))


class CutAnswerTest(unittest.TestCase):
    """Guards against a cut answer that reaches the caller as a whole one."""

    def _send(self, path, data):
        def script(request):
            request.sock.sendall(data(request))
            gevent.sleep(0.002)
            return False

        with GatewaySystem(plain=1, engines=1) as system:
            system.set_scripts(script)
            return system.request(path, "POST", b"p")

    def test_head_that_is_cut(self):
        """Guards against an empty success for a head without its end."""
        for path, answer in (
            ("/once/x", unframed_head),
            ("/job/x", lambda r: sealed_response(r, b"body")),
        ):
            for cut in range(1, 120, 7):
                with self.subTest(path=path, cut=cut):
                    head = lambda r, a=answer: a(r).partition(b"\r\n\r\n")[0]  # noqa: E731
                    reply = self._send(path, lambda r, c=cut, h=head: h(r)[:c])
                    self.assertEqual(reply.status, 502)

    def test_stream_that_ends_inside_an_event(self):
        """Guards against a stream without a length that looks complete."""
        reply = self._send("/once/x", lambda r: unframed_head(r) + EVENTS[:-3])
        self.assertEqual(reply.status, 200)
        self.assertFalse(reply.whole)
        self.assertTrue(EVENTS.startswith(reply.body))

    def test_stream_that_ends_before_its_first_event(self):
        """Guards against a success for an engine that ended after its head."""
        reply = self._send("/once/x", unframed_head)
        self.assertEqual(reply.status, 502)

    def test_caller_that_has_all_events(self):
        """Guards against a closed connection for a stream that has no more."""
        with GatewaySystem(plain=1, engines=1) as system:
            system.set_scripts(lambda r: r.sock.sendall(whole_stream(r)))
            reply = system.request("/stream/x", "POST", b"p", Last_Event_Id="3")
        self.assertEqual(reply.status, 502)

    def test_whole_stream_without_a_length(self):
        """Guards against a whole stream that is refused."""
        reply = self._send("/once/x", lambda r: unframed_head(r) + EVENTS)
        self.assertEqual((reply.status, reply.body, reply.whole), (200, EVENTS, True))
