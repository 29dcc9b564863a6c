"""Monkey-patching of the standard library, before any other import."""

from __future__ import annotations

from importlib import metadata

from gevent import monkey


def patch_standard_library() -> None:
    """Replace blocking functions by gevent's, without a search for plugins.

    gevent looks up entry points at each patching step, which reads the metadata
    of every installed package each time.  At each process start this would take
    longer than the patching itself.
    """
    entry_points = metadata.entry_points
    metadata.entry_points = _no_plugins
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = entry_points


def _no_plugins(**query: str) -> tuple[()]:
    return ()
