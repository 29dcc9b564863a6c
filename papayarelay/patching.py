"""Makes the standard library cooperative, before anything else is imported."""

from __future__ import annotations

from importlib import metadata

from gevent import monkey


def patch_standard_library() -> None:
    """Let gevent replace what would block, without looking for plugins.

    gevent asks for plugins at each step, and each time the metadata of every
    installed package are read.  That takes longer than all the rest of it, at each
    start of a process.
    """
    entry_points = metadata.entry_points
    metadata.entry_points = _no_plugins
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = entry_points


def _no_plugins(**query: str) -> tuple[()]:
    return ()
