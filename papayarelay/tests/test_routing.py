"""Tests of routing policies."""

import random
import unittest

from ..cost import Cost
from ..routing import POLICIES, BackendView, choose


class ChooseTest(unittest.TestCase):
    """Guards against a policy that fails on an empty or single choice."""

    def test_empty_and_single(self):
        view = BackendView("e1", "a", "engine", ("m",))
        for name, policy in POLICIES.items():
            with self.subTest(policy=name):
                rng = random.Random(1)
                self.assertIsNone(choose(policy(), Cost(1, 1), [], 0.0, rng))
                self.assertIs(choose(policy(), Cost(1, 1), [view], 0.0, rng), view)
