"""Commands to an engine (``POST /orders``), protected by fencing tokens."""

from __future__ import annotations

from dataclasses import dataclass

LOAD_MODEL = "load_model"
UNLOAD_MODEL = "unload_model"
LOAD_ADAPTER = "load_adapter"
SET_VERSION = "set_version"
SET_ROLE = "set_role"
COMMAND_KINDS = (LOAD_MODEL, UNLOAD_MODEL, LOAD_ADAPTER, SET_VERSION, SET_ROLE)


@dataclass(frozen=True)
class EngineCommand:
    """A command: ``order`` is its kind and ``value`` its argument.

    For example, ``load_model`` takes the name of the model.  ``fencing`` is the
    fencing token.
    """

    order: str
    value: str
    fencing: int


class CommandState:
    """State set by the commands applied so far.

    With ``checks_fencing`` a command whose fencing token is below the highest one
    seen is rejected; without it the token is ignored.
    """

    def __init__(self, models: tuple[str, ...], checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.models = set(models)
        self.adapters: set[str] = set()
        self.version = ""
        self.role = "any"
        self.highest_fencing = 0
        self.accepted: list[EngineCommand] = []

    def apply(self, command: EngineCommand) -> bool:
        """Apply a command; return False when its fencing token is stale.

        Raises ValueError for an unknown kind of command.
        """
        if command.order not in COMMAND_KINDS:
            raise ValueError(f"unknown command {command.order!r}")
        if self.checks_fencing and command.fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, command.fencing)
        self.accepted.append(command)
        if command.order == LOAD_MODEL:
            self.models.add(command.value)
        elif command.order == UNLOAD_MODEL:
            self.models.discard(command.value)
        elif command.order == LOAD_ADAPTER:
            self.adapters.add(command.value)
        elif command.order == SET_VERSION:
            self.version = command.value
        else:
            self.role = command.value
        return True
