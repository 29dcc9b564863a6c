"""Interface between the operator API and the node."""

from __future__ import annotations

from typing import Protocol


class OperatorActions(Protocol):
    """Operations of a node that the operator API calls."""

    def status(self) -> dict:
        """Return the status of the node, its peers and the backend servers."""

    def set_drained(self, name: str, drained: bool) -> dict:
        """Drain a data centre or backend server, or undo the drain."""

    def look_up_job(self, member: str, kind: str, key: str) -> dict | None:
        """Return the record of an idempotency key, or None."""
