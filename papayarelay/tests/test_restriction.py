"""Tests of servers that say that they leave, or that they want no requests."""

import time
import unittest
from dataclasses import replace

import gevent

from ..backends.restriction import Lifetime
from ..platform.wire import PlatformProtocol, read_pause_s
from ..reservations import reserve
from .gateway_system import END, GatewaySystem, chunk, event, sealed, stream_head

LEAVING = b"Server-Leaving: 1\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\n"
REFUSED = b"503 Service Unavailable"
# Far more than a refusal at once takes, far less than a request may wait.
AT_ONCE_S = 0.6


def turned_away(seconds: bytes) -> bytes:
    """Return the headers of a server that wants no requests for a time."""
    return NOT_RUN + b"Retry-After: %s\r\n" % seconds


class RestrictionTestCase(unittest.TestCase):
    """Base of the tests with a gateway before two plain servers and two engines."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem())
        self.send = self.system.request

    def _arrivals(self, servers) -> list[int]:
        return [len(server.requests) for server in servers]

    def _answer_once(self, server, status: bytes, extra: bytes) -> None:
        """Let a server give one answer with these headers, then plain ones."""
        answers = [sealed_with(status, extra)]

        def script(request):
            plain = sealed_with(b"200 OK", b"")
            (answers.pop() if answers else plain)(request)

        server.script = script

    def _list_again(self, server_id: str) -> None:
        """Take a server out of the list, and put the same row back."""
        whole = self.system.config
        without = dict(whole.backends)
        del without[server_id]
        self.system.apply(replace(whole, backends=without))
        self.system.apply(replace(whole, version=2))

    def _use_only(self, server_id: str) -> None:
        """Take all other servers out of the list."""
        kept = {server_id: self.system.config.backends[server_id]}
        self.system.apply(replace(self.system.config, backends=kept))

    def _send_until_reached(self, server, path: str) -> None:
        for _ in range(50):
            if server.requests:
                return
            self.send(path)
        self.fail("the server got no request")


def sealed_with(status: bytes, extra: bytes):
    """Return a script that answers with a status and headers."""
    return lambda request: request.sock.sendall(sealed(request, b"ok", status, extra))


class LeavingTest(RestrictionTestCase):
    """Guards against requests to a server that has said that it leaves."""

    def test_any_answer(self):
        """A server would be used on because it said so in an unusual answer."""
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
        """The header would be missed on an answer that is left aside."""
        leaving, other = self.system.plain

        def script(request):
            stray = sealed(request, b"old", b"200 OK", LEAVING)
            stray = stray.replace(request.get(b"X-Attempt-Id"), b"zz")
            request.sock.sendall(stray + sealed(request, b"ok"))

        leaving.script = script
        self._send_until_reached(leaving, "/call/")
        for _ in range(10):
            self.assertEqual(self.send("/call/").body, b"ok")
        self.assertEqual(len(leaving.requests), 1)

    def test_stream(self):
        """An engine would get new streams and parts of prompts."""
        leaving, other = self.system.engines

        def stream(extra: bytes):
            def script(request):
                head = stream_head(request, b"s").replace(b"\r\n\r\n", extra)
                request.sock.sendall(head + chunk(event(1)) + END)

            return script

        leaving.script = stream(b"\r\n" + LEAVING + b"\r\n")
        other.script = stream(b"\r\n\r\n")
        self._send_until_reached(leaving, "/stream/")
        for _ in range(10):
            self.assertEqual(self.send("/stream/").status, 200)
        self.assertEqual(len(leaving.requests), 1)
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_answer_to_an_order(self):
        """A helper that leaves would be asked to read parts of prompts."""
        helper = self.system.engines[0]
        reply = b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\n{}" % LEAVING
        helper.script = lambda request: request.sock.sendall(reply)
        pool = self.system.serving.backends.get("model-0").pool
        reserve(PlatformProtocol(), pool, "name", 100, 1.0)
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_last_server(self):
        """A request would wait for a server that takes none any more."""
        self.system.set_scripts(sealed_with(b"200 OK", LEAVING))
        while not all(self._arrivals(self.system.plain)):
            self.assertEqual(self.send("/call/").status, 200)
        reply = self.send("/call/")
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After", reply.headers)
        self.assertLess(reply.seconds, AT_ONCE_S)

    def test_older_row(self):
        """A row that is older than the answer would put a server back in use."""
        leaving = self.system.plain[0]
        self._answer_once(leaving, b"200 OK", LEAVING)
        self._send_until_reached(leaving, "/call/")
        self._list_again("plain-0")
        for _ in range(10):
            self.assertEqual(self.send("/call/").status, 200)
        self.assertEqual(len(leaving.requests), 1)

    def test_next_lifetime(self):
        """A server that has started again at the address would get nothing."""
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

    def test_told_by_another_node(self):
        """The group would use a server on until each node has met it."""
        table = self.system.serving.backends
        now_s = time.monotonic()
        table.take_leaving([Lifetime("plain-0", 0), Lifetime("plain-1", 99)])
        views = table.views("service", "plain", now_s)
        self.assertEqual([view.id for view in views], ["plain-1"])
        # What another node has told is not told again.
        self.assertEqual(table.own_leaving(now_s), ())

    def test_told_to_the_group(self):
        """The other nodes would not hear of it."""
        leaving = self.system.plain[0]
        self._answer_once(leaving, b"200 OK", LEAVING)
        self._send_until_reached(leaving, "/call/")
        table = self.system.serving.backends
        now_s = time.monotonic()
        self.assertEqual(table.own_leaving(now_s), (Lifetime("plain-0", 0),))
        self.assertEqual(table.own_leaving(now_s + 60.0), ())


class PauseTest(RestrictionTestCase):
    """Guards against requests to a server that has asked for none for a time."""

    def test_other_servers(self):
        """A server would get requests before the time that it has named."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, turned_away(b"30"))
        for _ in range(30):
            self.assertEqual(self.send("/call/").status, 200)
        self.assertEqual(len(busy.requests), 1)

    def test_many_tasks(self):
        """Requests that run at the same time would each ask the server once."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, turned_away(b"30"))
        self._send_until_reached(busy, "/call/")
        tasks = [gevent.spawn(self.send, "/call/") for _ in range(40)]
        gevent.joinall(tasks)
        self.assertEqual({task.value.status for task in tasks}, {200})
        self.assertEqual(len(busy.requests), 1)

    def test_placed_before(self):
        """A request that waits to be sent would be sent after all."""
        pool = self.system.serving.backends.get("plain-0").pool
        busy = self.system.plain[0]
        busy.script = sealed_with(REFUSED, turned_away(b"30"))
        while not busy.requests:
            self.send("/call/")
        with self.assertRaises(Exception) as caught:
            pool.send(None, b"", 1.0)
        self.assertEqual(caught.exception.fault.value, "barred")

    def test_end_of_the_time(self):
        """A server would be left out after its time, or a fraction be misread."""
        busy = self.system.plain[0]
        self._use_only("plain-0")
        self._answer_once(busy, REFUSED, turned_away(b"0.4"))
        reply = self.send("/call/")
        self.assertEqual(reply.status, 503)
        wait_s = float(reply.headers["Retry-After"])
        self.assertAlmostEqual(wait_s, 0.4, delta=0.15)
        gevent.sleep(wait_s + 0.05)
        self.assertEqual(self.send("/call/").status, 200)

    def test_values(self):
        """A value that is no time would leave a server out for ever."""
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
            self.assertEqual(read_pause_s(value), pause_s, value)

    def test_whole_service(self):
        """Callers would wait although no server takes requests, or not learn when."""
        self.system.set_scripts(sealed_with(REFUSED, turned_away(b"7")))
        first = self.send("/job/", "POST", b"x")
        for _ in range(10):
            reply = self.send("/call/")
            self.assertEqual(reply.status, 503)
            self.assertLess(reply.seconds, AT_ONCE_S)
            self.assertAlmostEqual(float(reply.headers["Retry-After"]), 7, delta=1)
        self.assertEqual(first.status, 503)
        self.assertEqual(sum(self._arrivals(self.system.plain)), 2)

    def test_helper(self):
        """Memory would be asked for on an engine that wants no requests."""
        busy = self.system.engines[0]
        busy.script = sealed_with(REFUSED, turned_away(b"30"))
        while not busy.requests:
            self.send("/stream/", X_Deadline_Ms="300")
        views = self.system.serving.backends.views("engine", "model", time.monotonic())
        self.assertEqual([view.id for view in views], ["model-1"])

    def test_kept_while_the_list_changes(self):
        """A change of the list would end the pause."""
        busy, other = self.system.plain
        busy.script = sealed_with(REFUSED, turned_away(b"30"))
        self._send_until_reached(busy, "/call/")
        self._list_again("plain-0")
        for _ in range(10):
            self.send("/call/")
        self.assertEqual(len(busy.requests), 1)
