"""Entry point of a node on the platform, without the other commands' imports."""

from gevent import monkey

monkey.patch_all()

import sys

from .program import main

if __name__ == "__main__":
    sys.exit(main())
