"""Tests of the answer streams of engines."""

import unittest
from unittest import mock

from ..backends.chat import ChatReader
from ..backends.protocol import StreamCounters
from ..backends.stream import EngineStream, StreamLimits
from ..errors import DeadlineError

DEADLINE_S = 10.0
EVENT = b'data: {"id":"r","offset":0,"choices":[{"delta":{"content":"w0"}}]}\n\n'


class DeadlineTest(unittest.TestCase):
    """Guards against answers that go on after their deadline."""

    def setUp(self):
        self.now_s = 0.0
        answer = mock.Mock()
        answer.read.side_effect = [EVENT, b"data: [DONE]\n\n", b""]
        self.stream = EngineStream(
            answer,
            ChatReader("r", "engine-1", 0, StreamCounters()),
            StreamLimits(DEADLINE_S),
            "engine-1",
            lambda: self.now_s,
        )

    def test_within(self):
        """A whole answer within the deadline would be refused."""
        self.assertEqual([chunk.content for chunk in self.stream], ["w0"])
        self.assertTrue(self.stream.finished)

    def test_paused_past_deadline(self):
        """Data that arrived during a pause would be passed on after it."""
        chunks = iter(self.stream)
        self.assertEqual(next(chunks).content, "w0")
        self.now_s = DEADLINE_S
        with self.assertRaises(DeadlineError):
            next(chunks)
        self.assertFalse(self.stream.finished)
