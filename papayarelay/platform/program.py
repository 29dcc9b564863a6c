"""The command that runs a node on the users' platform."""

from __future__ import annotations

import argparse
import sys

import gevent

from .. import logs
from ..events import Event
from ..operators.command import ExitCode, add_parser
from ..process import log_task_failure, tune_collector
from .settings import PlatformSettingsError, load, settings_path


def add_arguments(subparsers) -> None:
    """Add the command to the command line."""
    parser = add_parser(
        subparsers,
        "platform-node",
        "run a node with the settings that the platform gives",
        "papayarelay platform-node",
    )
    parser.add_argument(
        "--settings", metavar="FILE", help="settings of the node, if not the platform's"
    )


def run(namespace: argparse.Namespace) -> int:
    """Run the command; return its exit code."""
    from .node import run as run_node  # noqa: PLC0415  (after the settings are read)

    try:
        settings = load(namespace.settings or settings_path())
    except (OSError, KeyError, PlatformSettingsError) as error:
        logs.set_up_logs("", stream=sys.stdout)
        logs.log(Event.SETTINGS_REJECTED, error=error)
        return int(ExitCode.FAILED)
    logs.set_up_logs(settings.name, "debug", stream=sys.stdout)
    tune_collector()
    gevent.get_hub().print_exception = log_task_failure
    return run_node(settings)
