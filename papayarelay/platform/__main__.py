"""Entry point of a node on the platform, without the other commands' imports."""

import signal

# Ends a process by default; there is nothing to reload before it has started.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..patching import patch_standard_library

patch_standard_library()

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
