"""The ``config`` command: check, show, compare and change the configuration."""

from __future__ import annotations

import argparse
import getpass
import json
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import asdict
from pathlib import Path

from ..config import SECTIONS, Config, parse_document, parse_sections
from ..document import is_url
from ..errors import (
    RelayError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..settings import load_settings
from ..store import sections as store_sections
from ..store.client import TableClient
from .client import OperatorClient, read_token
from .command import (
    CommandError,
    ExitCode,
    add_json_option,
    add_parser,
    print_result,
    to_command_error,
)
from .node_commands import parse_address, parse_duration

HISTORY_LIMIT = 20
WAIT_TIMEOUT_S = 10.0
WAIT_POLL_S = 0.2
STORE_TIMEOUT_S = 5.0
STORE_EXAMPLE = "--store http://127.0.0.1:9201"


def add_arguments(subparsers) -> None:
    """Add the command and its actions."""
    parser = add_parser(
        subparsers,
        "config",
        "check, show and change the shared configuration",
        f"papayarelay config show {STORE_EXAMPLE}",
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    _add_check(actions)
    _add_show(actions)
    _add_diff(actions)
    _add_apply(actions)
    _add_history(actions)
    _add_wait(actions)


def run(namespace: argparse.Namespace) -> int:
    """Run one action; return the process exit code."""
    return _ACTIONS[namespace.action](namespace)


def check(namespace: argparse.Namespace) -> int:
    """Check a document, or one section together with the stored ones."""
    text = _read_file(namespace.file)
    if namespace.section is None:
        config = _parse(lambda: parse_document(text), namespace.file)
    else:
        with _open_store(namespace) as client:
            version, stored = _read_stored(client)
        changed = stored | {namespace.section: text}
        config = _parse(lambda: parse_sections(changed, version), namespace.file)
    counts = _count_entries(config)
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    print_result(
        namespace, {"valid": True, "entries": counts}, [f"{namespace.file}: {summary}"]
    )
    return ExitCode.SUCCESS


def show(namespace: argparse.Namespace) -> int:
    """Print the stored sections with comments, the version on standard error."""
    with _open_store(namespace) as client:
        version, stored = _read_stored(client)
    if namespace.section is not None:
        stored = {namespace.section: stored.get(namespace.section, "{}")}
        lines = list(stored.values())
    else:
        entries = [f"{json.dumps(name)}: {text}" for name, text in stored.items()]
        # A section may end in a comment, which would swallow a comma on the line.
        lines = ["{", "\n,\n".join(entries), "}"]
    print_result(namespace, {"version": version, "sections": stored}, lines)
    print(f"version {version}", file=sys.stderr)
    return ExitCode.SUCCESS


def diff(namespace: argparse.Namespace) -> int:
    """Compare a document or a section with the stored configuration."""
    text = _read_file(namespace.file)
    with _open_store(namespace) as client:
        version, stored = _read_stored(client)
    if namespace.section is None:
        new = _parse(lambda: parse_document(text, version), namespace.file)
    else:
        changed = stored | {namespace.section: text}
        new = _parse(lambda: parse_sections(changed, version), namespace.file)
    old = _parse(lambda: parse_sections(stored, version), f"stored version {version}")
    changes = list(compare(asdict(old), asdict(new)))
    lines = [f"{path}: {before} -> {after}" for path, before, after in changes]
    result = [
        {"path": path, "stored": before, "file": after}
        for path, before, after in changes
    ]
    print_result(namespace, {"version": version, "changes": result}, lines)
    return ExitCode.FAILED if changes else ExitCode.SUCCESS


def compare(old: object, new: object, path: str = "") -> Iterator[tuple]:
    """Yield path, old and new value of each difference between two values.

    Values are given as JSON, missing ones as ``absent``.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for name in [*old, *(name for name in new if name not in old)]:
            entry_path = f"{path}.{name}" if path else name
            yield from compare(
                old.get(name, _ABSENT), new.get(name, _ABSENT), entry_path
            )
    elif old != new:
        yield path, _format_value(old), _format_value(new)


def apply(namespace: argparse.Namespace) -> int:
    """Store a new version of one section."""
    text = _read_file(namespace.file)
    editor = namespace.editor or getpass.getuser()
    with _open_store(namespace) as client:
        try:
            version = store_sections.apply_section(
                client, namespace.section, text, namespace.base, editor, time.time()
            )
        except ExceptionGroup as group:
            raise to_command_error(group, namespace.file) from group
        except store_sections.SectionConflictError as error:
            raise CommandError(
                error.message,
                "Merge the other change into the file, then apply it with"
                f" --base {error.version}.",
                ExitCode.CONFLICT,
            ) from error
        except StoreOutcomeUnknownError as error:
            raise CommandError(
                f"the change may have been made: {error}",
                "Check with 'papayarelay config diff' before retrying.",
                ExitCode.UNCERTAIN,
            ) from error
    result = {"version": version, "section": namespace.section}
    lines = [
        f"section {namespace.section} is stored as version {version}",
        f"next: papayarelay config wait {version} --node HOST:PORT --token-file FILE",
    ]
    print_result(namespace, result, lines)
    return ExitCode.SUCCESS


def history(namespace: argparse.Namespace) -> int:
    """List the latest changes, newest first."""
    with _open_store(namespace) as client:
        edits = store_sections.read_history(client, namespace.limit)
    result = [asdict(edit) for edit in edits]
    lines = [
        f"{edit.version}  {_format_time(edit.time_s)}  {edit.editor}  {edit.section}"
        for edit in edits
    ]
    print_result(namespace, result, lines or ["no changes are stored"])
    return ExitCode.SUCCESS


def wait(namespace: argparse.Namespace) -> int:
    """Wait until all given nodes have applied a configuration version."""
    token = read_token(namespace.token_file)
    end_s = time.monotonic() + namespace.timeout_s
    pending = dict.fromkeys(namespace.node, "not asked")
    while True:
        pending = {
            address: state
            for address in pending
            if (state := _version_state(address, token, namespace.version))
        }
        if not pending or time.monotonic() >= end_s:
            break
        time.sleep(WAIT_POLL_S)
    if pending:
        states = ", ".join(f"{node} ({state})" for node, state in pending.items())
        raise CommandError(
            f"version {namespace.version} is not in force on {states}",
            "Run 'papayarelay status' on these nodes and check config_error.",
        )
    result = {"version": namespace.version, "nodes": namespace.node}
    count = len(namespace.node)
    print_result(namespace, result, [f"in force on {count} of {count} nodes"])
    return ExitCode.SUCCESS


_ABSENT = object()
_ACTIONS = {
    "check": check,
    "show": show,
    "diff": diff,
    "apply": apply,
    "history": history,
    "wait": wait,
}


def _version_state(address: str, token: str, version: int) -> str:
    """Return why a node has not applied the version, or an empty string."""
    client = OperatorClient(address, token, timeout_s=1.0)
    try:
        found = client.status().get("config_version")
    except CommandError as error:
        return error.message
    finally:
        client.close()
    if isinstance(found, int) and found >= version:
        return ""
    return f"version {found}"


def _format_value(value: object) -> str:
    return "absent" if value is _ABSENT else json.dumps(value)


def _format_time(time_s: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time_s))


def _parse(parse: Callable[[], Config], subject: str) -> Config:
    try:
        return parse()
    except ExceptionGroup as group:
        raise to_command_error(group, subject) from group


def _count_entries(config: Config) -> dict[str, int]:
    return {name: len(getattr(config, name)) for name in SECTIONS if name != "limits"}


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandError(
            f"cannot read {path}: {error}", "Pass the name of a UTF-8 text file."
        ) from error


def _read_stored(client: TableClient) -> tuple[int, Mapping[str, str]]:
    sections, version = store_sections.read_sections(client)
    return version, dict(sections)


def _read_store_url(path: str) -> str:
    try:
        return load_settings(path).store_url
    except ExceptionGroup as group:
        raise to_command_error(group, path) from group


@contextmanager
def _open_store(namespace: argparse.Namespace) -> Iterator[TableClient]:
    """Yield a client of the table service; convert its errors to CommandError."""
    url = namespace.store
    if url is None and namespace.settings is not None:
        url = _read_store_url(namespace.settings)
    if url is None:
        raise CommandError(
            "no table service is specified", "Pass --store URL or --settings FILE."
        )
    client = TableClient(url, STORE_TIMEOUT_S)
    client.start()
    try:
        yield client
    except StoreUnavailableError as error:
        raise CommandError(
            f"cannot use the table service at {url}: {error}",
            "Nothing was changed. Check the URL and try again when it answers.",
            ExitCode.UNREACHABLE,
        ) from error
    except RelayError as error:
        raise CommandError(
            f"the table service at {url} failed: {error}",
            "Check that this is the URL of the table service.",
        ) from error
    finally:
        client.close()


def _add_check(actions) -> None:
    parser = add_parser(
        actions,
        "check",
        "find all mistakes in a document",
        "papayarelay config check config.json",
    )
    parser.add_argument("file", metavar="FILE", help="document, or one section")
    _add_section_option(parser)
    _add_store_options(parser)


def _add_show(actions) -> None:
    parser = add_parser(
        actions,
        "show",
        "print the stored configuration",
        f"papayarelay config show --section backends {STORE_EXAMPLE} > backends.json",
    )
    _add_section_option(parser)
    _add_store_options(parser)


def _add_diff(actions) -> None:
    parser = add_parser(
        actions,
        "diff",
        "list what a file would change (exit code 1 if there are changes)",
        f"papayarelay config diff backends.json --section backends {STORE_EXAMPLE}",
    )
    parser.add_argument("file", metavar="FILE", help="document, or one section")
    _add_section_option(parser)
    _add_store_options(parser)


def _add_apply(actions) -> None:
    parser = add_parser(
        actions,
        "apply",
        "store a new version of one section",
        "papayarelay config apply backends.json --section backends --base 12 "
        f"{STORE_EXAMPLE}",
    )
    parser.add_argument("file", metavar="FILE", help="text of the section")
    parser.add_argument("--section", required=True, choices=SECTIONS)
    parser.add_argument(
        "--base",
        required=True,
        type=int,
        metavar="VERSION",
        help="version that 'config show' printed before the edit",
    )
    parser.add_argument(
        "--editor", help="name recorded in the history (default: login name)"
    )
    _add_store_options(parser)


def _add_history(actions) -> None:
    parser = add_parser(
        actions,
        "history",
        "list the latest changes",
        f"papayarelay config history {STORE_EXAMPLE}",
    )
    parser.add_argument(
        "--limit", type=int, default=HISTORY_LIMIT, help="default: %(default)s"
    )
    _add_store_options(parser)


def _add_wait(actions) -> None:
    parser = add_parser(
        actions,
        "wait",
        "wait until nodes have applied a version",
        "papayarelay config wait 13 --node 127.0.0.1:8081 --token-file operator.token",
    )
    parser.add_argument("version", type=int, metavar="VERSION")
    parser.add_argument(
        "--node",
        type=parse_address,
        action="append",
        required=True,
        metavar="HOST:PORT",
        help="operator address of a node; may be repeated",
    )
    parser.add_argument(
        "--token-file", required=True, metavar="FILE", help="file with operator token"
    )
    parser.add_argument(
        "--timeout-s",
        type=parse_duration,
        default=WAIT_TIMEOUT_S,
        metavar="S",
        help="time limit in seconds (default: %(default)s)",
    )
    add_json_option(parser)


def _add_section_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--section", choices=SECTIONS, help="only this section")


def _add_store_options(parser: argparse.ArgumentParser) -> None:
    group = parser.add_mutually_exclusive_group()
    group.add_argument(
        "--store", type=_parse_url, metavar="URL", help="URL of the table service"
    )
    group.add_argument(
        "--settings", metavar="FILE", help="settings of a node, to read store_url from"
    )
    add_json_option(parser)


def _parse_url(text: str) -> str:
    if not is_url(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not http://HOST:PORT")
    return text
