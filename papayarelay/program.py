"""The papayarelay command line."""

from __future__ import annotations

import argparse
import importlib
import os
import sys
from dataclasses import asdict
from types import ModuleType

from . import __version__, logs
from .events import Event
from .operators import node_commands
from .operators.command import (
    EXIT_CODES_HELP,
    CommandError,
    ExitCode,
    add_json_option,
    add_parser,
    print_error,
    print_result,
    to_command_error,
)
from .operators.completion import render_completion
from .settings import load_settings

DESCRIPTION = """\
Gateway between callers and model engines or plain services.

Run 'papayarelay COMMAND --help' for the options and an example of each command.
"""
# Commands whose modules are imported only when used: importing the stand-ins
# and benchmarks would double the start time of a node.
LAZY_COMMANDS = {
    "standin": ("standins.program", "run a simulated engine, service or store"),
    "bench": ("bench.program", "run the benchmarks"),
    "capacity": ("bench.capacity", "compute the capacity page from measured slopes"),
    "platform-node": ("platform.program", "run a node on the users' platform"),
    "explain": ("operators.explain", "trace one request through the logs of all nodes"),
    "config": ("operators.config_commands", "check, show and change configuration"),
}
NODE_COMMANDS = ("status", "drain", "return", "job")
# Exit code that shells use for a process terminated by SIGINT (128 + 2).
INTERRUPTED_EXIT_CODE = 130


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    argv = sys.argv[1:] if argv is None else argv
    return _create_parser(argv[0] if argv else "").parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the process exit code."""
    namespace = parse_arguments(argv)
    try:
        return int(_run(namespace))
    except CommandError as error:
        print_error(error, getattr(namespace, "json", False))
        return int(error.code)
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE
    except BrokenPipeError:
        # Python flushes stdout at exit and would report the closed pipe again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.FAILED)


def _create_parser(command: str, complete: bool = False) -> argparse.ArgumentParser:
    """Return the parser.

    Without ``complete`` only the module of ``command`` is imported, and other
    commands in modules of their own have no options.
    """
    parser = argparse.ArgumentParser(
        prog="papayarelay",
        description=DESCRIPTION,
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND", title="commands"
    )
    _add_node(subparsers)
    node_commands.add_arguments(subparsers)
    _add_settings(subparsers)
    for name, (module_name, summary) in LAZY_COMMANDS.items():
        module = _import_module(module_name) if complete or name == command else None
        if module is None:
            subparsers.add_parser(name, help=summary)
        else:
            module.add_arguments(subparsers)
    add_parser(
        subparsers,
        "demo",
        "run a complete system on this machine and send requests to it",
        "papayarelay demo",
    )
    _add_completion(subparsers)
    return parser


def _run(namespace: argparse.Namespace) -> int:
    command = namespace.command
    if command == "node":
        return _run_node(namespace)
    if command == "settings":
        return _check_settings(namespace)
    if command == "completion":
        return _print_completion(namespace)
    if command in NODE_COMMANDS:
        return node_commands.run(namespace)
    module = _import_module("demo" if command == "demo" else LAZY_COMMANDS[command][0])
    if module is None:
        raise CommandError(
            f"this build has no command {command}", "Run it from a source checkout."
        )
    return module.run(namespace)


def _import_module(name: str) -> ModuleType | None:
    """Import a module of the package; return None if it does not exist."""
    full_name = f"{__package__}.{name}"
    try:
        return importlib.import_module(full_name)
    except ModuleNotFoundError as error:
        if error.name != full_name:
            raise
        return None


def _run_node(namespace: argparse.Namespace) -> int:
    try:
        settings = load_settings(namespace.settings)
    except ExceptionGroup as group:
        logs.configure_logging("")
        for error in group.exceptions:
            logs.log(Event.SETTINGS_REJECTED, error=error)
        return int(ExitCode.FAILED)
    return _import_module("node").run(settings)


def _check_settings(namespace: argparse.Namespace) -> int:
    try:
        settings = load_settings(namespace.file)
    except ExceptionGroup as group:
        raise to_command_error(group, namespace.file) from group
    for name in ("cluster_key_file", "operator_token_file"):
        path = getattr(settings, name)
        if path and not os.access(path, os.R_OK):
            raise CommandError(
                f"{name}: {path} cannot be read",
                "Create the file, or correct its path in the settings.",
            )
    values = asdict(settings)
    lines = [f"{name}: {value}" for name, value in values.items()]
    print_result(namespace, values, lines)
    return ExitCode.SUCCESS


def _print_completion(namespace: argparse.Namespace) -> int:
    parser = _create_parser("", complete=True)
    print(render_completion(parser, namespace.shell), end="")
    return ExitCode.SUCCESS


def _add_node(subparsers) -> None:
    parser = add_parser(
        subparsers, "node", "run a node", "papayarelay node --settings node.json"
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="settings of the node"
    )


def _add_settings(subparsers) -> None:
    parser = add_parser(
        subparsers,
        "settings",
        "check the settings of a node",
        "papayarelay settings check node.json",
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = add_parser(
        actions,
        "check",
        "find all mistakes in a settings file and print the effective settings",
        "papayarelay settings check node.json",
    )
    check.add_argument("file", metavar="FILE", help="settings of a node")
    add_json_option(check)


def _add_completion(subparsers) -> None:
    parser = add_parser(
        subparsers,
        "completion",
        "print the completion script for a shell",
        "source <(papayarelay completion bash)",
    )
    parser.add_argument("shell", choices=("bash", "zsh"))
