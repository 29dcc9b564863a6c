"""The command that runs a node on the deployment platform."""

from __future__ import annotations

import argparse
import sys

import gevent

from .. import logs
from ..events import Event
from ..process import log_task_failure, tune_garbage_collector
from .settings import PlatformSettingsError, load, settings_path

FAILED = 1
SUMMARY = "run a node with the settings file of the deployment platform"


def add_arguments(subparsers) -> None:
    """Add the command to the command line."""
    parser = subparsers.add_parser(
        "platform-node",
        help=SUMMARY,
        description=f"{SUMMARY}.",
        epilog="example:\n  papayarelay platform-node --settings node.toml",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_options(parser)


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line of this entry point."""
    parser = argparse.ArgumentParser(
        prog="python3 -m papayarelay.platform", description=f"{SUMMARY}."
    )
    _add_options(parser)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the entry point; return the process exit code."""
    return run(parse_arguments(argv))


def run(namespace: argparse.Namespace) -> int:
    """Run the command; return its exit code."""
    from .node import run as run_node  # noqa: PLC0415  (after the settings are read)

    try:
        path = namespace.settings or settings_path()
        settings = load(path)
    except (OSError, KeyError, PlatformSettingsError) as error:
        logs.configure_logging("", stream=sys.stdout)
        logs.log(Event.SETTINGS_REJECTED, error=error)
        return FAILED
    logs.configure_logging(settings.name, "debug", stream=sys.stdout)
    tune_garbage_collector()
    gevent.get_hub().print_exception = log_task_failure
    return run_node(settings, path)


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings", metavar="FILE", help="settings file, by default the platform's"
    )
