"""The papayarelay command line."""

from __future__ import annotations

import argparse

from . import __version__


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="papayarelay", description="Serving layer in front of model engines."
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the process exit code."""
    parse_arguments(argv)
    return 0
