"""Runs the model checker: ``python -m papayarelay.model``."""

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
