"""The ``papayarelay standin`` subcommand."""

from __future__ import annotations

import argparse
import dataclasses
import json
import signal

import gevent
from gevent.event import Event

from .model import EngineSettings

KINDS = ("engine", "service", "tables", "vms")


def add_arguments(subparsers) -> None:
    """Add ``standin <kind>`` to the subcommands of the program."""
    parser = subparsers.add_parser("standin", help="run a stand-in for tests and demo")
    kinds = parser.add_subparsers(dest="standin", required=True)
    for kind in KINDS:
        options = kinds.add_parser(kind)
        options.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT")
        if kind == "engine":
            _add_engine_options(options)


def run(namespace: argparse.Namespace) -> int:
    """Run one stand-in until SIGTERM or SIGINT; return the process exit code."""
    standin = _create(namespace)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    standin.start()
    print(json.dumps({"listening": standin.address}), flush=True)
    stop.wait()
    standin.close()
    return 0


def _add_engine_options(parser: argparse.ArgumentParser) -> None:
    for field in dataclasses.fields(EngineSettings):
        option = "--" + field.name.replace("_", "-")
        if isinstance(field.default, bool):
            action = argparse.BooleanOptionalAction
            parser.add_argument(option, action=action, default=field.default)
        elif isinstance(field.default, tuple):
            parser.add_argument(option, nargs="+", default=field.default)
        else:
            parser.add_argument(option, type=type(field.default), default=field.default)


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
