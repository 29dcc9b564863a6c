"""Entry point; patches the standard library before any other import."""

from .patching import patch_standard_library

patch_standard_library()

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
