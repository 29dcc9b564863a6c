"""KV memory of an engine: reservations, and prefix blocks that requests share."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

STORED = "stored"
EVICTED = "evicted"


class OutOfMemoryError(Exception):
    """The tokens do not fit, even when all unused blocks are evicted."""


@dataclass(eq=False)
class Reservation:
    """Memory of one owner: shared blocks it pins and tokens of its own."""

    blocks: list[str] = field(default_factory=list)
    private_tokens: int = 0


class KvMemory:
    """Counts KV memory in tokens.

    A block holds the KV of ``block_tokens`` tokens of a prefix.  Pinned blocks
    count as used; the others are cached until their memory is needed, the least
    recently used first.  ``on_block`` is called with the kind of change
    (``stored`` or ``evicted``) and the block.
    """

    def __init__(
        self,
        capacity_tokens: int,
        block_tokens: int,
        on_block: Callable[[str, str], None],
    ):
        self.capacity_tokens = capacity_tokens
        self.block_tokens = block_tokens
        self.occupied_tokens = 0
        self._on_block = on_block
        self._private_tokens = 0
        self._pins: dict[str, int] = {}
        self._unpinned: OrderedDict[str, None] = OrderedDict()

    @property
    def used_tokens(self) -> int:
        """Return the tokens that cannot be evicted."""
        pinned = len(self._pins) * self.block_tokens
        return self._private_tokens + pinned + self.occupied_tokens

    @property
    def cached_tokens(self) -> int:
        """Return the tokens in blocks that can be evicted."""
        return len(self._unpinned) * self.block_tokens

    def find(self, prefix: Sequence[str]) -> int:
        """Return how many leading blocks of the prefix are in memory."""
        for count, block in enumerate(prefix):
            if block not in self._pins and block not in self._unpinned:
                return count
        return len(prefix)

    def reserve(self, prefix: Sequence[str], total_tokens: int) -> Reservation:
        """Pin the leading blocks in memory and reserve the rest of the tokens.

        Raises OutOfMemoryError and changes nothing when they do not fit.
        """
        held = Reservation()
        self._pin(held, prefix[: self.find(prefix)])
        tokens = max(0, total_tokens - len(held.blocks) * self.block_tokens)
        self._take_private(held, tokens)
        return held

    def store(self, held: Reservation, prefix: Sequence[str]) -> None:
        """Turn private tokens into the blocks of the prefix not pinned yet."""
        for block in prefix[len(held.blocks) :]:
            if held.private_tokens < self.block_tokens:
                return
            held.private_tokens -= self.block_tokens
            self._private_tokens -= self.block_tokens
            self._add(held, block)

    def pin(self, prefix: Sequence[str]) -> Reservation:
        """Pin the leading blocks of the prefix that are in memory."""
        held = Reservation()
        self._pin(held, prefix[: self.find(prefix)])
        return held

    def insert(self, prefix: Sequence[str]) -> Reservation:
        """Pin all blocks of the prefix and add those not in memory.

        Raises OutOfMemoryError and changes nothing when they do not fit.
        """
        held = self.reserve(prefix, len(prefix) * self.block_tokens)
        self.store(held, prefix)
        return held

    def release(self, held: Reservation) -> None:
        """Free the reservation; its blocks stay cached."""
        self._private_tokens -= held.private_tokens
        held.private_tokens = 0
        # The end of a prefix is of no use without its beginning, so it goes first.
        for block in reversed(held.blocks):
            self._pins[block] -= 1
            if not self._pins[block]:
                del self._pins[block]
                self._unpinned[block] = None
        held.blocks = []

    def drop_cache(self) -> None:
        """Evict all blocks that nothing pins."""
        self._evict(len(self._unpinned))

    def reset(self) -> None:
        """Forget everything, as after a crash; old reservations are void."""
        self._private_tokens = 0
        self._pins.clear()
        self._unpinned.clear()

    def _take_private(self, held: Reservation, tokens: int) -> None:
        free = self.capacity_tokens - self.used_tokens - self.cached_tokens
        missing = tokens - free
        if missing > self.cached_tokens:
            self.release(held)
            raise OutOfMemoryError
        if missing > 0:
            self._evict(-(-missing // self.block_tokens))
        held.private_tokens = tokens
        self._private_tokens += tokens

    def _pin(self, held: Reservation, blocks: Sequence[str]) -> None:
        for block in blocks:
            self._unpinned.pop(block, None)
            self._pins[block] = self._pins.get(block, 0) + 1
            held.blocks.append(block)

    def _add(self, held: Reservation, block: str) -> None:
        if block not in self._pins and block not in self._unpinned:
            self._on_block(STORED, block)
        self._pin(held, [block])

    def _evict(self, count: int) -> None:
        for _ in range(count):
            block, _ = self._unpinned.popitem(last=False)
            self._on_block(EVICTED, block)
