"""Tests of the error handling of periodic tasks."""

import unittest

from ..background import run_step


class RunStepTest(unittest.TestCase):
    """Guards against a periodic task that an unexpected exception ends."""

    def test_error_is_kept_inside(self):
        """Guards against an exception that leaves the step and ends the loop."""

        def fail() -> None:
            raise KeyError("gone")

        run_step(fail)

    def test_arguments(self):
        """Guards against a step that is called without its arguments."""
        seen: list[int] = []
        run_step(seen.append, 3)
        self.assertEqual(seen, [3])
