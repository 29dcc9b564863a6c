"""Test runner; failures listed in KNOWN-RED.txt are printed but do not fail it."""

import sys
import unittest
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
KNOWN_RED = PACKAGE.parent / "KNOWN-RED.txt"


def read_known_red(path: Path = KNOWN_RED) -> set[str]:
    """Return the ids of the known failures, the first word of each entry."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("papayarelay.")}


def test_id(test: unittest.TestCase) -> str:
    """Return the id of a test; that of a subtest is the id of its test."""
    return getattr(test, "test_case", test).id()


def run(suite: unittest.TestSuite, known_red: set[str]) -> int:
    """Run tests, and print those that fail as known; return the exit code."""
    result = unittest.TextTestRunner(verbosity=1, buffer=False).run(suite)
    bad = {test_id(test) for test, _ in result.failures + result.errors}
    bad |= {test_id(test) for test in result.unexpectedSuccesses}
    for name in sorted(bad & known_red):
        print(f"known red: {name}")
    unexpected = bad - known_red
    skipped = len(result.skipped)
    print(f"{result.testsRun - len(bad) - skipped} passed, {len(unexpected)} failed")
    return 1 if unexpected or result.testsRun == 0 else 0


def main(argv: list[str] | None = None) -> int:
    """Run the named tests, or all of them; return the exit code."""
    names = sys.argv[1:] if argv is None else argv
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(
            str(PACKAGE / "tests"), top_level_dir=str(PACKAGE.parent)
        )
    return run(suite, read_known_red())


if __name__ == "__main__":
    sys.exit(main())
