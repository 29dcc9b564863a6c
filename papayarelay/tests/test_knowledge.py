"""Tests of what a node knows of a table by its own reads and by word."""

import random
import unittest

from ..nodes.knowledge import Knowledge, Word


class KnowledgeTest(unittest.TestCase):
    """Guards against a table that seems known longer than it is."""

    def setUp(self):
        self.known = Knowledge()
        self.known.read(10, 8, 100.0)

    def test_never_read(self):
        """A node that has read nothing would count as knowing a table."""
        known = Knowledge()
        self.assertTrue(known.told(Word(10, 8, 0.0), 100.0))
        self.assertGreater(known.age_s(100.0), 1e9)

    def test_word(self):
        """A word would count from its arrival instead of from the stamp."""
        self.assertFalse(self.known.told(Word(12, 8, 0.5), 103.0))
        self.assertEqual(self.known.age_s(104.0), 1.5)

    def test_old_word(self):
        """A word that was held up would make a table seem older or newer."""
        self.known.told(Word(12, 8, 0.0), 103.0)
        self.known.told(Word(11, 8, 0.0), 104.0)
        self.assertEqual(self.known.age_s(104.0), 1.0)
        self.assertEqual(self.known.version, 12)

    def test_change(self):
        """A change that was only told of would count as known."""
        self.assertTrue(self.known.told(Word(12, 11, 0.0), 103.0))
        self.assertTrue(self.known.is_behind)
        self.assertEqual(self.known.age_s(103.0), 3.0)
        self.known.read(13, 11, 103.5)
        self.assertFalse(self.known.is_behind)

    def test_random_words(self):
        """Some order of reads and words would hide a change for good.

        Nodes read and tell at random; words are lost and delayed.  No node may
        take its knowledge for newer than the last change that it has not read.
        """
        for seed in range(200):
            self._play(random.Random(seed))

    def _play(self, rng: random.Random) -> None:
        changes: list[tuple[int, float]] = []
        nodes = [Knowledge() for _ in range(4)]
        read_to = [0] * 4
        version, words = 1, []
        for step in range(200):
            now_s = step * 0.1
            if rng.random() < 0.3:
                version += 1
                if rng.random() < 0.2:
                    changes.append((version, now_s))
            index = rng.randrange(4)
            if rng.random() < 0.3:
                newest = max((v for v, _ in changes if v > read_to[index]), default=0)
                read_to[index] = version
                nodes[index].read(version, newest, now_s)
            else:
                word = nodes[index].word(now_s)
                for other in range(4):
                    if word and other != index and rng.random() < 0.7:
                        words.append((now_s + rng.random(), other, word, now_s - 0.05))
            for due in [each for each in words if each[0] <= now_s]:
                words.remove(due)
                nodes[due[1]].told(due[2], due[3])
            for number, known in enumerate(nodes):
                confirmed_s = now_s - known.age_s(now_s)
                for changed, at_s in changes:
                    unread = changed > read_to[number]
                    self.assertFalse(unread and at_s < confirmed_s - 1e-9, number)
