"""Tests of servers that name a rate limit for all nodes together."""

import math
import unittest

from ..backends.connection import ResponseHead
from ..backends.protocol import read_signals
from ..backends.server_limit import KnownLimit
from ..platform.wire import PlatformProtocol, parse_limit_per_s
from .gateway_system import GatewaySystem, sealed_response


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
        """Guards against the limit of the next server at an address."""
        self.assertIsNone(read_limit(status=421))
        self.assertIsNone(read_limit((b"Server-Limit", b"3"), status=421))


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
