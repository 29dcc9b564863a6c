"""The papayarelay command line."""

from __future__ import annotations

import argparse

from . import __version__, node
from .settings import load_settings
from .standins import program as standins


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="papayarelay", description="Serving layer in front of model engines."
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    node_parser = subparsers.add_parser("node", help="run a node")
    node_parser.add_argument("--settings", required=True)
    standins.add_arguments(subparsers)
    subparsers.add_parser("demo", help="run the demo")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the process exit code."""
    namespace = parse_arguments(argv)
    if namespace.command == "node":
        return node.run(load_settings(namespace.settings))
    if namespace.command == "demo":
        from . import demo

        return demo.run(namespace)
    return standins.run(namespace)
