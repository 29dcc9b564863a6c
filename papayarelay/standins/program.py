"""The ``papayarelay standin`` subcommand."""

from __future__ import annotations

import argparse
import dataclasses
import json
import signal
import sys

import gevent
from gevent.event import Event

from .model import EngineSettings

SUMMARIES = {
    "engine": "run a simulated model engine; sizes in tokens, times in seconds",
    "service": "run a simulated plain service that counts its executions",
    "tables": "run a simulated table service",
    "vms": "run a simulated VM list",
}
EXIT_FAILED = 1


def add_arguments(subparsers) -> None:
    """Add ``standin <kind>`` to the subcommands."""
    parser = subparsers.add_parser("standin", help="run a simulated backend or service")
    kinds = parser.add_subparsers(dest="standin", required=True)
    for kind, summary in SUMMARIES.items():
        options = kinds.add_parser(
            kind,
            help=summary,
            description=f"{summary[0].upper()}{summary[1:]}.",
        )
        options.add_argument(
            "--listen",
            type=_listen_address,
            default="127.0.0.1:0",
            metavar="HOST:PORT",
            help="address to listen on; default %(default)s; port 0 picks a free port",
        )
        if kind == "engine":
            _add_engine_options(options)


def run(namespace: argparse.Namespace) -> int:
    """Run one simulated server until SIGTERM or SIGINT; return the exit code."""
    try:
        standin = _create(namespace)
    except ValueError as error:
        return _print_error(error)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    try:
        standin.start()
    except OSError as error:
        return _print_error(f"cannot listen on {namespace.listen}: {error}")
    print(json.dumps({"listening": standin.address}), flush=True)
    stop.wait()
    standin.close()
    return 0


def _print_error(error: object) -> int:
    print(f"papayarelay standin: {error}", file=sys.stderr)
    return EXIT_FAILED


def _listen_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise argparse.ArgumentTypeError(f"{text!r} is not HOST:PORT")
    return text


def _add_engine_options(parser: argparse.ArgumentParser) -> None:
    for field in dataclasses.fields(EngineSettings):
        option = "--" + field.name.replace("_", "-")
        common = {"default": field.default, "help": "default: %(default)s"}
        if isinstance(field.default, bool):
            action = argparse.BooleanOptionalAction
            parser.add_argument(option, action=action, **common)
        elif isinstance(field.default, tuple):
            parser.add_argument(option, nargs="+", metavar="NAME", **common)
        else:
            kind = type(field.default)
            parser.add_argument(option, type=kind, metavar="N", **common)


def _create(namespace: argparse.Namespace):
    if namespace.standin == "engine":
        from .engine import EngineStandIn  # noqa: PLC0415

        names = [field.name for field in dataclasses.fields(EngineSettings)]
        settings = {name: getattr(namespace, name) for name in names}
        settings["models"] = tuple(settings["models"])
        return EngineStandIn(namespace.listen, EngineSettings(**settings))
    if namespace.standin == "service":
        from .service import ServiceStandIn  # noqa: PLC0415

        return ServiceStandIn(namespace.listen)
    if namespace.standin == "tables":
        from .tables import TablesStandIn  # noqa: PLC0415

        return TablesStandIn(namespace.listen)
    from .vms import VmListStandIn  # noqa: PLC0415

    return VmListStandIn(namespace.listen)
