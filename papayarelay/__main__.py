"""Entry point: patches the standard library before anything else is imported."""

from gevent import monkey

monkey.patch_all()

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
