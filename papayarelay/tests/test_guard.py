"""Tests of periodic tasks whose steps fail."""

import unittest

from ..guard import run_step


class RunStepTest(unittest.TestCase):
    """Guards against a task that ends for good after one unexpected error."""

    def test_error_is_kept_inside(self):
        """An error of one step would end the loop around it."""

        def fail() -> None:
            raise KeyError("gone")

        run_step(fail)

    def test_arguments(self):
        """A step would run without its arguments."""
        seen: list[int] = []
        run_step(seen.append, 3)
        self.assertEqual(seen, [3])
