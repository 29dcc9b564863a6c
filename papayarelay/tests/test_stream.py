"""Tests of engines' response streams."""

import unittest
from unittest import mock

from ..backends.chat import ChatReader
from ..backends.protocol import StreamCounters
from ..backends.stream import EngineStream, StreamLimits
from ..errors import DeadlineError

DEADLINE_S = 10.0
EVENT = b'data: {"id":"r","offset":0,"choices":[{"delta":{"content":"w0"}}]}\n\n'


class DeadlineTest(unittest.TestCase):
    """Guards against streams that continue past their deadline."""

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
        """Guards against an error for a stream that completes in time."""
        self.assertEqual([chunk.content for chunk in self.stream], ["w0"])
        self.assertTrue(self.stream.finished)

    def test_paused_past_deadline(self):
        """Guards against relaying data that was buffered past the deadline.

        If the process is suspended, the data is read before the monitor has checked
        the deadline.
        """
        chunks = iter(self.stream)
        self.assertEqual(next(chunks).content, "w0")
        self.now_s = DEADLINE_S
        with self.assertRaises(DeadlineError):
            next(chunks)
        self.assertFalse(self.stream.finished)
