"""Commands that call a node: ``status``, ``drain``, ``return`` and ``job``."""

from __future__ import annotations

import argparse
from collections.abc import Iterator

from ..document import is_address
from ..settings import DEFAULTS
from .client import TIMEOUT_S, OperatorClient, read_token
from .command import ExitCode, add_json_option, add_parser, print_result

OPTIONS_EXAMPLE = "--token-file operator.token"


def add_arguments(subparsers) -> None:
    """Add the commands."""
    status = add_parser(
        subparsers,
        "status",
        "show the state of a node and of its backend servers",
        f"papayarelay status --node 127.0.0.1:8081 {OPTIONS_EXAMPLE}",
    )
    drain = add_parser(
        subparsers,
        "drain",
        "take a data centre or backend server out of service",
        f"papayarelay drain dc1 {OPTIONS_EXAMPLE}",
    )
    back = add_parser(
        subparsers,
        "return",
        "return a drained data centre or backend server to service",
        f"papayarelay return dc1 {OPTIONS_EXAMPLE}",
    )
    for parser in (drain, back):
        parser.add_argument("name", help="data centre or backend server")
    job = add_parser(
        subparsers,
        "job",
        "look up a non-idempotent request",
        f"papayarelay job show order-1187 {OPTIONS_EXAMPLE}",
    )
    actions = job.add_subparsers(dest="action", required=True, metavar="ACTION")
    show = add_parser(
        actions,
        "show",
        "show whether a job ran and its recorded response",
        "papayarelay job show order-1187 --member engravers "
        f"--kind engraving_job {OPTIONS_EXAMPLE}",
    )
    show.add_argument("key", metavar="KEY", help="the request's Idempotency-Key")
    show.add_argument("--member", required=True, help="member that sent the job")
    show.add_argument("--kind", required=True, help="request kind of the job")
    for parser in (status, drain, back, show):
        _add_node_options(parser)


def run(namespace: argparse.Namespace) -> int:
    """Run one of the commands; return the process exit code."""
    token = read_token(namespace.token_file)
    client = OperatorClient(namespace.node, token, namespace.timeout_s)
    try:
        result = _call(client, namespace)
    finally:
        client.close()
    print_result(namespace, result, flatten_fields(result))
    return ExitCode.SUCCESS


def flatten_fields(value: object, path: str = "") -> Iterator[str]:
    """Yield a line ``path: value`` for each scalar in a response."""
    if isinstance(value, dict) and value:
        for name, entry in value.items():
            yield from flatten_fields(entry, f"{path}.{name}" if path else str(name))
    else:
        yield f"{path}: {value}"


def parse_address(text: str) -> str:
    """Parse HOST:PORT, for argparse."""
    if not is_address(text, min_port=1):
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return text


def parse_duration(text: str) -> float:
    """Parse a positive number of seconds, for argparse."""
    seconds = float(text)
    if not 0 < seconds <= 86_400:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a number of seconds above 0, up to 86400"
        )
    return seconds


def _call(client: OperatorClient, namespace: argparse.Namespace) -> dict:
    if namespace.command == "status":
        return client.status()
    if namespace.command == "drain":
        return client.drain(namespace.name)
    if namespace.command == "return":
        return client.return_to_service(namespace.name)
    return client.look_up_job(namespace.member, namespace.kind, namespace.key)


def _add_node_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--node",
        type=parse_address,
        default=DEFAULTS["operator_address"],
        metavar="HOST:PORT",
        help="operator_address of any node (default: %(default)s)",
    )
    parser.add_argument(
        "--token-file", required=True, metavar="FILE", help="file with operator token"
    )
    parser.add_argument(
        "--timeout-s",
        type=parse_duration,
        default=TIMEOUT_S,
        metavar="S",
        help="time limit in seconds (default: %(default)s)",
    )
    add_json_option(parser)
