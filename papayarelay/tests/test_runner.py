"""Tests of the test runner and its list of known failures."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from .__main__ import read_known_red, run


class Played(unittest.TestCase):
    """Tests for the runner to run; they are not found by the loader."""

    def subtests(self):
        """Fail in one of two subtests."""
        for value in (1, 2):
            with self.subTest(value=value):
                self.assertEqual(value, 1)

    def failure(self):
        """Fail."""
        self.fail()

    def error(self):
        """Raise an unexpected exception."""
        raise KeyError

    def success(self):
        """Pass."""

    @unittest.expectedFailure
    def unexpected_success(self):
        """Pass although a failure is expected."""


def test_id(name: str) -> str:
    """Return the id of one of the tests above."""
    return f"{Played.__module__}.{Played.__qualname__}.{name}"


class RunnerTest(unittest.TestCase):
    """Guards against failures that are passed over, and known ones that are not."""

    def _run(self, *names: str, known: tuple[str, ...] = ()) -> tuple[int, str]:
        suite = unittest.TestSuite(Played(name) for name in names)
        output = io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = run(suite, {test_id(name) for name in known})
        return code, output.getvalue()

    def test_known_subtest(self):
        """Guards against a known failure that fails the run in a subtest."""
        code, output = self._run("subtests", "success", known=("subtests",))
        self.assertEqual(code, 0)
        self.assertIn(f"known red: {test_id('subtests')}", output)
        self.assertIn("1 passed, 0 failed", output)

    def test_known_failure_and_error(self):
        """Guards against a known failure that fails the run."""
        known = ("failure", "error")
        self.assertEqual(self._run(*known, known=known)[0], 0)

    def test_other_failures(self):
        """Guards against a failure that is passed over without an entry."""
        for name in ("subtests", "failure", "error", "unexpected_success"):
            with self.subTest(name=name):
                code, output = self._run(name, "success", known=("success", "other"))
                self.assertEqual(code, 1)
                self.assertIn("1 passed, 1 failed", output)

    def test_names_that_begin_alike(self):
        """Guards against an entry that covers tests beside its own."""
        code, _ = self._run("subtests", "failure", known=("subtests",))
        self.assertEqual(code, 1)
        code, _ = self._run("subtests", known=("subtest",))
        self.assertEqual(code, 1)

    def test_no_tests(self):
        """Guards against a run without tests that passes."""
        self.assertEqual(self._run()[0], 1)

    def test_list(self):
        """Guards against text of an entry that is taken for a test."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "red.txt")
            path.write_text("Tests\n\npapayarelay.a.b\n  Command: papayarelay.c\n")
            self.assertEqual(read_known_red(path), {"papayarelay.a.b"})
            self.assertEqual(read_known_red(Path(directory, "none.txt")), set())
