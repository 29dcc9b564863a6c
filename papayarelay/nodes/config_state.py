"""The active configuration of a node, and the changes between versions."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

MAX_KEPT_CHANGES = 64


class ConfigChange(msgspec.Struct, array_like=True, frozen=True):
    """The difference between two versions as a JSON merge patch (RFC 7396)."""

    base: int
    version: int
    patch: dict[str, Any]


class UnpatchableError(ValueError):
    """A value contains a null, which a merge patch cannot express."""


def make_patch(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return the merge patch from ``old`` to ``new``; raises UnpatchableError."""
    patch: dict[str, Any] = {name: None for name in old if name not in new}
    for name, value in new.items():
        before = old.get(name)
        if isinstance(value, Mapping) and isinstance(before, Mapping):
            if inner := make_patch(before, value):
                patch[name] = inner
        elif name not in old or before != value:
            if _has_null(value):
                raise UnpatchableError(name)
            patch[name] = value
    return patch


def apply_patch(target: Any, patch: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of ``target`` with a merge patch applied."""
    result = dict(target) if isinstance(target, Mapping) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        elif isinstance(value, Mapping):
            result[name] = apply_patch(result.get(name), value)
        else:
            result[name] = value
    return result


def _has_null(value: Any) -> bool:
    if isinstance(value, Mapping):
        return any(_has_null(inner) for inner in value.values())
    return value is None


@dataclass
class ConfigState:
    """The active version, and changes whose base version has not arrived yet."""

    version: int = 0
    sections: dict[str, Any] = field(default_factory=dict)
    # Highest version known to exist, and when this node first learned of it.
    newest: int = 0
    newest_noted_s: float = -math.inf
    _pending: dict[int, ConfigChange] = field(default_factory=dict)
    _kept_keys: deque[str] = field(default_factory=deque)

    def note_version(self, version: int, now_s: float) -> None:
        """Record that a version exists."""
        if version > self.newest:
            self.newest = version
            self.newest_noted_s = now_s

    def replace(
        self, version: int, sections: Mapping[str, Any], now_s: float
    ) -> ConfigChange | None:
        """Activate a version from the store or from a peer.

        Returns the change from the previous version, or None if there is no
        previous version, if ``version`` is not above the active one or if a merge
        patch cannot express the change.
        """
        self.note_version(version, now_s)
        if version <= self.version:
            return None
        base, before = self.version, self.sections
        self.sections = {**before, **sections}
        self.version = version
        self._drop_pending()
        if not base:
            return None
        try:
            return ConfigChange(base, version, make_patch(before, self.sections))
        except UnpatchableError:
            return None

    def apply(self, change: ConfigChange, now_s: float) -> list[str]:
        """Apply a change and pending ones that follow; return the changed sections."""
        self.note_version(change.version, now_s)
        if change.version <= self.version:
            return []
        self._pending[change.base] = change
        if len(self._pending) > MAX_KEPT_CHANGES:
            del self._pending[max(self._pending)]
        changed_sections: set[str] = set()
        while (following := self._pending.pop(self.version, None)) is not None:
            self.sections = apply_patch(self.sections, following.patch)
            self.version = following.version
            changed_sections |= following.patch.keys()
        self._drop_pending()
        return sorted(changed_sections)

    def track_change(self, key: str) -> str | None:
        """Record a kept change; return the key of the one to evict, if any."""
        self._kept_keys.append(key)
        return (
            self._kept_keys.popleft()
            if len(self._kept_keys) > MAX_KEPT_CHANGES
            else None
        )

    def _drop_pending(self) -> None:
        for base in [base for base in self._pending if base < self.version]:
            del self._pending[base]
