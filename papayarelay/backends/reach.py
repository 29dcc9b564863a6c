"""Which data centres this node reaches, judged by servers that do not answer.

A cut between data centres shows as one silent server after the other.  Each costs
a request the time of a connection, so after a few the others are not tried.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# So many servers of a data centre must be silent, none having answered since.
FEWEST_SILENT = 2
# What a server has shown counts for this long.
SIGN_S = 2.0
# The data centre is tried again after this time, with one request.
PAUSE_S = 0.5


@dataclass
class _Signs:
    """What the servers of a data centre have shown."""

    silent: dict[str, float] = field(default_factory=dict)
    until_s: float = 0.0


class Reach:
    """The data centres whose servers do not answer this node.

    Silence means that nothing came back: a server that refuses a connection is
    reached.
    """

    def __init__(self):
        self._signs: dict[str, _Signs] = {}

    def is_cut_off(self, data_centre: str, now_s: float) -> bool:
        """Return whether the servers of a data centre are left out."""
        signs = self._signs.get(data_centre)
        return signs is not None and now_s < signs.until_s

    def note_silent(self, data_centre: str, server_id: str, now_s: float) -> bool:
        """Note that a server was silent; return whether that begins a cut."""
        signs = self._signs.setdefault(data_centre, _Signs())
        signs.silent[server_id] = now_s
        recent = [at_s for at_s in signs.silent.values() if now_s - at_s < SIGN_S]
        if len(recent) < FEWEST_SILENT:
            return False
        begins = not signs.until_s
        signs.until_s = now_s + PAUSE_S
        return begins

    def note_try(self, data_centre: str, now_s: float) -> None:
        """Note that a request goes there; the others wait for what it finds."""
        signs = self._signs.get(data_centre)
        if signs is not None and signs.until_s:
            signs.until_s = now_s + PAUSE_S

    def note_answer(self, data_centre: str) -> bool:
        """Note that a server has answered; return whether that ends a cut."""
        signs = self._signs.pop(data_centre, None)
        return signs is not None and bool(signs.until_s)
