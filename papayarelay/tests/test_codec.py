"""Tests of the frame codec."""

import random
import unittest

from ..nodes import codec
from ..nodes.codec import Batch, Codec, Hello

KEY = b"k" * 32
HELLO = Hello("127.0.0.1:1", "dc1", "r1", "live", 0)
EMPTY = Batch(0, 0, [], True, 0, 0)


class FrameTest(unittest.TestCase):
    def setUp(self):
        self.sender = Codec(KEY, "a", 5)
        self.receiver = Codec(KEY, "b", 7)

    def refused(self, data: bytes, error: type[codec.FrameError]) -> None:
        before = self.receiver.refused[error.reason]
        with self.assertRaises(error):
            self.receiver.decode(data)
        self.assertEqual(self.receiver.refused[error.reason], before + 1)

    def test_round_trip(self):
        """Guards against a message that differs after encoding and decoding."""
        for sequence, message in enumerate((HELLO, EMPTY), start=1):
            number, data = self.sender.encode("b", message)
            frame = self.receiver.decode(data)
            self.assertEqual(number, sequence)
            self.assertEqual(frame.message, message)
            self.assertEqual((frame.sender, frame.incarnation), ("a", 5))

    def test_forged_bytes(self):
        """Guards against acceptance of a modified or truncated frame."""
        _, data = self.sender.encode("b", HELLO)
        for place in range(len(data)):
            forged = bytearray(data)
            forged[place] ^= 1
            is_version = place == 0
            error = (
                codec.UnsupportedVersionError if is_version else codec.ForgedFrameError
            )
            self.refused(bytes(forged), error)
        self.refused(data[:-1], codec.ForgedFrameError)
        self.refused(data[:10], codec.MalformedFrameError)
        self.receiver.decode(data)

    def test_other_key_and_receiver(self):
        """Guards against frames of another cluster, or replayed from another link."""
        _, data = Codec(b"x" * 32, "a", 5).encode("b", HELLO)
        self.refused(data, codec.ForgedFrameError)
        _, data = self.sender.encode("c", HELLO)
        self.refused(data, codec.ForgedFrameError)

    def test_replayed(self):
        """Guards against acceptance of a duplicate or reordered frame."""
        frames = [self.sender.encode("b", EMPTY)[1] for _ in range(3)]
        self.receiver.decode(frames[0])
        self.refused(frames[0], codec.ReplayedFrameError)
        self.receiver.decode(frames[2])
        self.refused(frames[1], codec.ReplayedFrameError)
        self.assertEqual(self.receiver.received("a").missed, [2])

    def test_old_incarnation(self):
        """Guards against replay of frames from before a restart of the sender."""
        _, old = self.sender.encode("b", EMPTY)
        _, new = Codec(KEY, "a", 6).encode("b", EMPTY)
        self.assertTrue(self.receiver.decode(new).first)
        self.refused(old, codec.OldIncarnationError)

    def test_oversized(self):
        """Guards against unbounded frames, both sent and received."""
        big = Hello("x" * codec.MAX_FRAME_BYTES, "", "", "live", 0)
        with self.assertRaises(codec.OversizedFrameError):
            self.sender.encode("b", big)
        self.refused(bytes(codec.MAX_FRAME_BYTES + 1), codec.OversizedFrameError)
        # The oversized frame has used no sequence number.
        self.assertEqual(self.sender.encode("b", HELLO)[0], 1)

    def test_authentic_garbage(self):
        """Guards against an unexpected exception on an authentic but invalid body."""
        rng = random.Random(3)
        for _ in range(200):
            body = rng.randbytes(rng.randrange(40))
            head = codec._HEADER.pack(codec.PROTOCOL_VERSION, 5, 1, 1) + b"a" + body
            data = head + self.sender._tag("b", head)
            with self.assertRaises(codec.FrameError):
                self.receiver.decode(data)
        self.assertEqual(set(self.receiver.refused), {"malformed"})
