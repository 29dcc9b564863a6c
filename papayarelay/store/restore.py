"""What is newer after the store was restored from a backup.

A restored store has older rows until their writers have written them again.  What is
known to be newer stays in force meanwhile: rows that the backup lacks, and rows that
it has with replaced content.  The store's content is taken over as soon as a row is
written again, or once the writers have had enough time for that.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Collection, Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

Content = TypeVar("Content")

# A writer that writes several lost versions again writes the next one within this time.
REPLAY_S = 0.5
MAX_REPLACED = 4096


@dataclass(frozen=True)
class HeldContent(Generic[Content]):
    """Older content of a row in the store, not used before ``due_s``.

    ``content`` is None if the row is missing.
    """

    content: Content | None
    due_s: float


class RestoreGuard(Generic[Content]):
    """Tells the rows of a table that a restore has set back.

    ``identify`` returns what tells the contents of a row apart, and ``precedes``
    whether the first content is older than the second one as far as the contents show.
    Writers write again what a restore has lost within ``rewrite_s``.
    """

    def __init__(
        self,
        identify: Callable[[Content], Hashable],
        precedes: Callable[[Content, Content], bool],
        rewrite_s: float,
    ):
        self._identify = identify
        self._precedes = precedes
        self._rewrite_s = rewrite_s
        self._replaced: OrderedDict[tuple[str, Hashable], None] = OrderedDict()
        self._held: dict[str, HeldContent[Content]] = {}

    @property
    def held(self) -> Mapping[str, HeldContent[Content]]:
        """Return the content that is held back, by row key."""
        return self._held

    def record_replaced(self, key: str, content: Content) -> None:
        """Record that content of a row was replaced, or removed with its row."""
        name = (key, self._identify(content))
        self._replaced[name] = None
        self._replaced.move_to_end(name)
        if len(self._replaced) > MAX_REPLACED:
            self._replaced.popitem(last=False)

    def knows_replaced(self, key: str) -> bool:
        """Return whether some content of a row is known to be replaced or removed."""
        return any(name == key for name, _ in self._replaced)

    def hold_restored(
        self,
        stored: Mapping[str, Content],
        known: Mapping[str, Content],
        now_s: float,
    ) -> Collection[str]:
        """Hold back what is older than known, in the first read after a restore.

        Returns the keys of the rows that keep their known content, or stay absent.
        """
        due_s = now_s + self._rewrite_s
        self._held = {
            key: HeldContent(stored.get(key), due_s)
            for key in stored.keys() | known.keys()
            if self._is_older(key, stored.get(key), known.get(key))
        }
        return self._held.keys()

    def hold(self, key: str, content: Content, due_s: float) -> None:
        """Hold back content of the store until ``due_s``."""
        self._held[key] = HeldContent(content, due_s)

    def hold_replayed(
        self, key: str, content: Content, known: Content, now_s: float
    ) -> bool:
        """Hold back a row written since the restore if a later one may follow.

        Returns whether the row keeps its known content.
        """
        held = self._held.pop(key, None)
        replaced = (key, self._identify(content)) in self._replaced
        if not replaced and not self._precedes(content, known):
            return False
        due_s = now_s + REPLAY_S
        if replaced:
            due_s = held.due_s if held is not None else now_s + self._rewrite_s
        self.hold(key, content, due_s)
        return True

    def settle(self, key: str) -> None:
        """Drop what is held back of a row, as it was written again."""
        self._held.pop(key, None)

    def take_due(self, now_s: float) -> dict[str, Content | None]:
        """Return the content to take over now, None for a row that is missing."""
        due = {key: held for key, held in self._held.items() if now_s >= held.due_s}
        for key in due:
            del self._held[key]
        return {key: held.content for key, held in due.items()}

    def _is_older(
        self, key: str, stored: Content | None, known: Content | None
    ) -> bool:
        if stored is None:
            return True
        identity = self._identify(stored)
        if known is not None and identity == self._identify(known):
            return self._precedes(stored, known)
        if (key, identity) in self._replaced:
            return True
        return known is not None and self._precedes(stored, known)
