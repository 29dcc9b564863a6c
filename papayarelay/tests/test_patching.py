"""Tests of the monkey-patching at the start of a process."""

import subprocess
import sys
import unittest

COUNT_LOOKUPS = """
import importlib.metadata as metadata, runpy, sys
asked = []
find = metadata.entry_points
metadata.entry_points = lambda **query: asked.append(query) or find(**query)
sys.argv = ["x", "--help"]
try:
    runpy.run_module("{module}", run_name="__main__", alter_sys=False)
except SystemExit:
    pass
import gevent.monkey
print(len(asked), gevent.monkey.is_module_patched("socket"), file=sys.stderr)
"""


class PatchTest(unittest.TestCase):
    """Guards against starts that read the metadata of all installed packages."""

    def test_no_plugins(self):
        """Guards against plugin look-ups, which delay the restart of a killed node."""
        for module in ("papayarelay", "papayarelay.platform"):
            with self.subTest(module):
                done = subprocess.run(
                    [sys.executable, "-c", COUNT_LOOKUPS.replace("{module}", module)],
                    capture_output=True,
                    text=True,
                    timeout=60,
                    check=True,
                )
                self.assertEqual(done.stderr.splitlines()[-1], "0 True")
