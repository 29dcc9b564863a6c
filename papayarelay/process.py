"""Process-wide setup: garbage collector, HTTP servers and failed tasks."""

from __future__ import annotations

import gc
from collections.abc import Callable

from gevent import pywsgi

from .events import Event
from .logs import log

GC_THRESHOLD_ALLOCATIONS = 20_000
UNKNOWN_LOCATION = "unknown"


def tune_garbage_collector() -> None:
    """Make garbage collections rare and exempt long-lived objects from them.

    A full collection on a node with many streams pauses all of them.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS, 20, 100)


def create_wsgi_server(address: str, app: Callable) -> pywsgi.WSGIServer:
    """Return a WSGI server on ``host:port`` without access and error logs."""
    host, _, port = address.rpartition(":")
    return pywsgi.WSGIServer((host, int(port)), app, log=None, error_log=None)


def log_task_failure(context, kind, error, traceback) -> None:
    """Log an uncaught exception of a task; replaces gevent's handler."""
    frame = traceback
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    location = UNKNOWN_LOCATION
    if frame is not None:
        name = frame.tb_frame.f_globals.get("__name__", "")
        location = f"{name}:{frame.tb_lineno}"
    log(Event.TASK_FAILED, task=location, error=error)
