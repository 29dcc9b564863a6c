"""Entry point of a platform node, without the imports of the other commands."""

import signal

# SIGHUP terminates a process by default; ignore it until the node can reload.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..patching import patch_standard_library

patch_standard_library()

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
