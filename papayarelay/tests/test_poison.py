"""Tests of requests that crash engines, at one node."""

import unittest
from dataclasses import replace

from ..backends.restriction import Incarnation
from ..metrics import Metrics
from ..poison.evidence import MAX_CRASHES, Evidence
from ..poison.guard import FIRST_TRIAL_S, TRIAL_FACTOR
from ..poison.messages import CrashRecord, PoisonMessage, SegmentRecord, decode, encode
from .gateway_system import (
    LAST_CHUNK,
    GatewaySystem,
    chunk,
    event,
    stream_head,
)
from .raw_server import reset

PARTS = "5a:100,c1:100,{}:300,0f:20"
BAD, GOOD = PARTS.format("bad"), PARTS.format("900d")


def answer_or_crash(request):
    """Answer a stream, but break the connection for the bad segment."""
    if b"bad:" in (request.get(b"X-Prompt-Prefix") or b""):
        reset(request.sock)
        return False
    head = stream_head(request, b"s")
    return request.sock.sendall(head + chunk(event(1)) + LAST_CHUNK)


def at(number: int) -> Incarnation:
    """Return the incarnation of an engine."""
    return Incarnation(f"e{number}", 1)


class EvidenceTest(unittest.TestCase):
    def setUp(self):
        self.evidence = Evidence()

    def _crash(self, number, segments, now_s, isolated=False, node="n1"):
        self.evidence.add_crash(at(number), segments, node, isolated, now_s)

    def _harmful(self, now_s):
        return set(self.evidence.assess(now_s).harmful)

    def test_crash_that_several_nodes_report(self):
        """Guards against one crash that counts once for each node."""
        for node in ("n1", "n2", "n3", "n4"):
            self._crash(1, [7], 1.0, node=node)
        self.assertEqual(self._harmful(2.0), set())
        self._crash(2, [7], 2.0)
        self._crash(3, [7], 3.0)
        self.assertEqual(self._harmful(3.0), {7})

    def test_engine_with_one_request(self):
        """Guards against more crashes than are needed to be sure."""
        self._crash(1, [7], 1.0)
        self._crash(2, [7], 2.0, isolated=True)
        self.assertEqual(self._harmful(2.0), {7})

    def test_request_that_is_sent_again(self):
        """Guards against a segment that is blamed for one request with it."""
        for number, isolated in ((1, False), (2, True)):
            self.evidence.add_crash(
                at(number), [7, 99], "n1", isolated, float(number), whole=99
            )
        assessment = self.evidence.assess(3.0)
        self.assertEqual(assessment.find_harmful([7, 99]), [7, 99])
        self.assertEqual(assessment.find_harmful([7, 98]), [])

    def test_segment_of_several_requests(self):
        """Guards against a request that is blamed for a segment of it."""
        self.evidence.add_crash(at(1), [7, 99], "n1", False, 1.0, whole=99)
        self.evidence.add_crash(at(2), [7, 99], "n1", True, 2.0, whole=99)
        self.evidence.add_crash(at(3), [7, 98], "n2", True, 3.0, whole=98)
        assessment = self.evidence.assess(3.0)
        self.assertEqual(assessment.find_harmful([7, 97]), [7])

    def test_requests_that_were_on_the_same_engines(self):
        """Guards against two requests that hide each other."""
        for number in range(3):
            for whole in (98, 99):
                self.evidence.add_crash(
                    at(number), [whole], "n1", False, float(number), whole=whole
                )
        assessment = self.evidence.assess(3.0)
        self.assertEqual(assessment.find_harmful([99]), [99])
        self.evidence.record_answer([98], 2.5, 3.0)
        assessment = self.evidence.assess(3.0)
        self.assertEqual(assessment.find_harmful([98]), [])
        self.assertEqual(assessment.find_harmful([99]), [99])

    def test_answer_that_is_not_complete(self):
        """Guards against a request that crashes engines late in its answer."""
        for number in range(3):
            now_s = float(number)
            self.evidence.record_answer([7], now_s, now_s, unproven=[7, 99])
            self.evidence.add_crash(at(number), [99], "n1", False, now_s, whole=99)
        self.assertEqual(self._harmful(3.0), {99})

    def test_engines_that_crash_together(self):
        """Guards against a verdict after a power failure."""
        for number in range(10):
            self._crash(number, [7], 1.0 + number / 100)
        assessment = self.evidence.assess(2.0)
        self.assertEqual((assessment.harmful, assessment.suspects), ({}, {7}))

    def test_answer_clears_a_segment(self):
        """Guards against a wrong verdict that stays."""
        for number in range(4):
            self._crash(number, [7, 8], float(number))
        self.assertEqual(self._harmful(4.0), {7, 8})
        # It began before the last crash, and so says nothing of that one.
        self.evidence.record_answer([7], 2.5, 4.0)
        self.assertEqual(len(self.evidence.get(7).blamed), 1)
        self.evidence.record_answer([7], 4.0, 5.0)
        self.assertEqual(self._harmful(5.0), {8})
        self.assertEqual(self.evidence.assess(5.0).suspects, frozenset())

    def test_segments_that_share_all_crashes(self):
        """Guards against a request that is rejected for a segment of others."""
        for number in range(3):
            self._crash(number, [7, 8], float(number))
        assessment = self.evidence.assess(3.0)
        self.assertTrue(assessment.find_harmful([7, 8]))
        self.assertFalse(assessment.find_harmful([7]))
        self.assertTrue(assessment.is_suspect(7))
        for number in (4, 5):
            self._crash(number, [7], float(number), isolated=True)
        self.assertTrue(self.evidence.assess(6.0).find_harmful([7]))
        self.assertFalse(self.evidence.assess(6.0).find_harmful([8]))

    def test_segment_answered_before(self):
        """Guards against a verdict on a shared segment while nothing is answered."""
        for number in range(4):
            self._crash(number, [7], float(number))
        self.evidence.vouch([7], 4.0)
        self.assertEqual(self._harmful(30.0), set())
        for _ in range(2):
            self.evidence.record_answer([8], 30.0, 31.0)
        self.assertEqual(self._harmful(31.0), {7})

    def test_merge_in_any_order(self):
        """Guards against nodes that heard the same and believe something else."""
        self._crash(1, [7, 8], 1.0)
        self._crash(2, [7], 2.0)
        self.evidence.record_answer([8], 3.0, 4.0)
        records = self.evidence.records(5.0, [7, 8])
        one, other = Evidence(), Evidence()
        one.merge(records, 5.0)
        for _ in range(2):
            other.merge(reversed(records), 6.0)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.digest, self.evidence.digest)
        self.assertEqual(one.merge(records, 7.0), [])

    def test_many_crashes_and_segments(self):
        """Guards against memory that grows with what callers make up."""
        for number in range(500):
            self._crash(number, [number, 1_000_000], 0.3 * number)
        self.assertLessEqual(len(self.evidence), 256)
        self.assertLessEqual(len(self.evidence.get(1_000_000).crashes), MAX_CRASHES)
        self.assertIn(1_000_000, self._harmful(150.0))

    def test_expiry(self):
        """Guards against evidence that is kept, or sent around, for ever."""
        self._crash(1, [7], 1.0)
        records = self.evidence.records(200.0, [7])
        self.evidence.expire(200.0)
        self.assertEqual(len(self.evidence), 0)
        self.assertEqual(self.evidence.merge(records, 200.0), [])

    def test_wire_form(self):
        """Guards against a datagram that another node cannot read."""
        record = SegmentRecord(
            2**64 - 1, True, [CrashRecord("e", 1, 5, True, False, "n")]
        )
        message = PoisonMessage("n1", 3, [record], True)
        self.assertEqual(decode(encode(message)), message)


class GatewayTest(unittest.TestCase):
    """Guards against what a caller gets for a request that crashes engines."""

    def setUp(self):
        self.system = self.enterContext(GatewaySystem(engines=4))
        self.system.set_scripts(answer_or_crash)

    def _send(self, number, parts, path="/stream/x"):
        reply = self.system.request(
            path, "POST", b"p", X_Attempt_Id=f"a{number}", X_Prompt_Prefix=parts
        )
        self._restart_engines()
        return reply

    def _restart_engines(self):
        """List all servers as new incarnations, as after crashes."""
        config = self.system.config
        backends = {
            name: replace(backend, started=backend.started + 1)
            for name, backend in config.backends.items()
        }
        self.system.apply(replace(config, backends=backends))

    def _reached(self, parts):
        requests = self.system.received_requests
        return sum(r.get(b"X-Prompt-Prefix") == parts.encode() for r in requests)

    def test_harmful_request(self):
        """Guards against repeats, and against an answer that asks for one."""
        replies = [self._send(n, BAD, "/once/x") for n in range(8)]
        self.assertEqual(replies[0].status, 502)
        self.assertEqual(replies[-1].status, 400)
        self.assertNotIn("Retry-After", replies[-1].headers)
        self.assertLess(replies[-1].seconds, 0.1)
        self.assertLessEqual(self._reached(BAD), 5)

    def test_requests_that_share_other_segments(self):
        """Guards against callers who lose service by a neighbour's request."""
        self.assertEqual(self._send(0, GOOD).status, 200)
        for number in range(1, 6):
            self._send(number, BAD)
        for number in range(6, 12):
            self.assertEqual(self._send(number, GOOD).status, 200)

    def test_request_that_has_run_is_not_said_to_be_new(self):
        """Guards against a promise that a request has not run."""
        for number in range(6):
            reply = self._send(number, BAD)
            if self._reached(BAD) and reply.status != 400:
                self.assertEqual(reply.status, 502)

    def test_metrics(self):
        """Guards against a verdict that operators do not see."""
        metrics = Metrics()
        self.system.serving.register_metrics(metrics)
        for number in range(6):
            self._send(number, BAD)
        text = metrics.render().decode()
        self.assertIn('verdict="harmful"', text)
        self.assertRegex(text, r'suspect_requests_total\{.*"rejected".*\} [1-9]')

    def test_repaired_segment(self):
        """Guards against a verdict that no request ever tests."""
        guard = self.system.serving.guard
        for number in range(6):
            self._send(number, BAD)
        self.system.set_scripts(
            lambda r: r.sock.sendall(
                stream_head(r, b"s") + chunk(event(1)) + LAST_CHUNK
            )
        )
        # As if the time until the next trial had passed.
        for _, found in guard.evidence:
            for crash in found.crashes.values():
                crash.at_s -= FIRST_TRIAL_S * TRIAL_FACTOR**2
        self.assertEqual(self._send(7, BAD).status, 200)
        self.assertEqual(self._send(8, BAD).status, 200)
