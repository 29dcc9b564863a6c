"""A short run of the soak; docs/soak.md tells how to play many seeds."""

import subprocess
import sys
import tempfile
import unittest

# Seeds whose faults overlap; 13 has failed before.
SEEDS = (3, 13)
LENGTH_S = 8.0


class SoakTest(unittest.TestCase):
    """Guards against promises that break when failures overlap."""

    def test_seeds(self):
        """A series of overlapping faults would break a promise."""
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as directory:
                command = [sys.executable, "-m", "papayarelay.tests.soak"]
                options = ["--first", seed, "--seconds", LENGTH_S, "--keep", directory]
                done = subprocess.run(
                    [*command, *map(str, options)],
                    capture_output=True,
                    text=True,
                    timeout=120,
                    check=False,
                )
                self.assertEqual(done.returncode, 0, done.stdout + done.stderr[-2000:])
