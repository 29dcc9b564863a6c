"""What operators can ask of a node."""

from __future__ import annotations

from typing import Protocol


class OperatorActions(Protocol):
    """The node as the operator interface sees it."""

    def status(self) -> dict:
        """Return the state of the node and of what it knows."""

    def set_drained(self, name: str, drained: bool) -> dict:
        """Drain or return a data centre or backend server."""

    def look_up_job(self, member: str, kind: str, key: str) -> dict | None:
        """Return the record of an idempotency key, or None."""
