"""Helpers of all commands: exit codes, errors with advice, and output."""

from __future__ import annotations

import argparse
import enum
import json
import sys
from collections.abc import Iterable

from ..errors import SettingsError


class ExitCode(enum.IntEnum):
    """Exit codes of the command line; see EXIT_CODES_HELP."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    UNCERTAIN = 5


EXIT_CODES_HELP = """\
exit codes:
  0  success; a node shut down gracefully
  1  failed: mistakes in a document, a rejection, differences, a timeout
  2  usage error
  3  a node or the table service cannot be reached; nothing was changed
  4  conflict: the configuration changed since the base version
  5  uncertain: the change may have been made, check before retrying"""


class CommandError(Exception):
    """A command failed; ``advice`` says what to do next.

    ``validation_errors`` come from the validation of a document.
    """

    def __init__(
        self,
        message: str,
        advice: str,
        code: ExitCode = ExitCode.FAILED,
        validation_errors: tuple[SettingsError, ...] = (),
    ):
        super().__init__(message)
        self.message = message
        self.advice = advice
        self.code = code
        self.validation_errors = validation_errors


def add_parser(subparsers, name: str, summary: str, example: str, **options):
    """Add a subcommand with an example at the end of its help."""
    return subparsers.add_parser(
        name,
        help=summary,
        description=f"{summary[0].upper()}{summary[1:]}.",
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        **options,
    )


def add_json_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--json``."""
    parser.add_argument(
        "--json", action="store_true", help="print machine-readable JSON"
    )


def print_result(
    namespace: argparse.Namespace, result: object, lines: Iterable[str]
) -> None:
    """Print ``result`` as JSON with ``--json``, otherwise ``lines``."""
    if namespace.json:
        print(json.dumps(result))
        return
    for line in lines:
        print(line)


def print_error(error: CommandError, as_json: bool) -> None:
    """Print an error and its advice on standard error."""
    if as_json:
        validation_errors = [
            {
                "path": validation_error.path,
                "allowed": validation_error.allowed,
                "text": str(validation_error),
            }
            for validation_error in error.validation_errors
        ]
        fields = {
            "error": error.message,
            "advice": error.advice,
            "mistakes": validation_errors,
        }
        print(json.dumps(fields), file=sys.stderr)
        return
    lines = [f"papayarelay: {error.message}"]
    lines += [f"  {validation_error}" for validation_error in error.validation_errors]
    print("\n".join([*lines, error.advice]), file=sys.stderr)


def to_command_error(group: ExceptionGroup, subject: str) -> CommandError:
    """Return a command error with all validation errors of a document."""
    return CommandError(
        f"{group.message} of {subject}",
        "Correct these entries and run the command again.",
        validation_errors=group.exceptions,
    )
