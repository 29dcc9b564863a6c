"""KV cache accounting of an engine: reservations and shared prefix blocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

STORED = "stored"
EVICTED = "evicted"


class OutOfMemoryError(Exception):
    """The tokens do not fit, even after evicting all unpinned blocks."""


@dataclass(eq=False)
class Reservation:
    """KV cache of one owner: shared blocks that it pins, and private tokens."""

    blocks: list[str] = field(default_factory=list)
    private_tokens: int = 0


class KvCache:
    """KV cache with prefix sharing, accounted in tokens.

    A block holds the KV entries of ``block_tokens`` tokens of a prefix.  Pinned
    blocks count as used; unpinned ones stay cached and are evicted in LRU order.
    ``on_block`` is called with the kind of change (``stored`` or ``evicted``) and
    the block.
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
        """Return the number of tokens that cannot be evicted."""
        pinned = len(self._pins) * self.block_tokens
        return self._private_tokens + pinned + self.occupied_tokens

    @property
    def cached_tokens(self) -> int:
        """Return the number of tokens in evictable blocks."""
        return len(self._unpinned) * self.block_tokens

    def find(self, prefix: Sequence[str]) -> int:
        """Return how many leading blocks of the prefix are cached or pinned."""
        for count, block in enumerate(prefix):
            if block not in self._pins and block not in self._unpinned:
                return count
        return len(prefix)

    def reserve(self, prefix: Sequence[str], total_tokens: int) -> Reservation:
        """Pin the leading cached blocks and reserve the rest as private tokens.

        Raises OutOfMemoryError and changes nothing when they do not fit.
        """
        reservation = Reservation()
        self._pin(reservation, prefix[: self.find(prefix)])
        tokens = max(0, total_tokens - len(reservation.blocks) * self.block_tokens)
        self._reserve_private(reservation, tokens)
        return reservation

    def store(self, reservation: Reservation, prefix: Sequence[str]) -> None:
        """Convert private tokens into the prefix blocks that are not pinned yet."""
        for block in prefix[len(reservation.blocks) :]:
            if reservation.private_tokens < self.block_tokens:
                return
            reservation.private_tokens -= self.block_tokens
            self._private_tokens -= self.block_tokens
            self._add(reservation, block)

    def pin(self, prefix: Sequence[str]) -> Reservation:
        """Pin the leading blocks of the prefix that are cached."""
        reservation = Reservation()
        self._pin(reservation, prefix[: self.find(prefix)])
        return reservation

    def insert(self, prefix: Sequence[str]) -> Reservation:
        """Pin all blocks of the prefix and add the missing ones.

        Raises OutOfMemoryError and changes nothing when they do not fit.
        """
        reservation = self.reserve(prefix, len(prefix) * self.block_tokens)
        self.store(reservation, prefix)
        return reservation

    def release(self, reservation: Reservation) -> None:
        """Free the reservation; its blocks stay cached."""
        self._private_tokens -= reservation.private_tokens
        reservation.private_tokens = 0
        # A block is useless without its predecessors, so the tail is evicted first.
        for block in reversed(reservation.blocks):
            self._pins[block] -= 1
            if not self._pins[block]:
                del self._pins[block]
                self._unpinned[block] = None
        reservation.blocks = []

    def evict_unpinned(self) -> None:
        """Evict all unpinned blocks."""
        self._evict(len(self._unpinned))

    def reset(self) -> None:
        """Clear the cache, as a crash does; earlier reservations become invalid."""
        self._private_tokens = 0
        self._pins.clear()
        self._unpinned.clear()

    def _reserve_private(self, reservation: Reservation, tokens: int) -> None:
        free = self.capacity_tokens - self.used_tokens - self.cached_tokens
        missing = tokens - free
        if missing > self.cached_tokens:
            self.release(reservation)
            raise OutOfMemoryError
        if missing > 0:
            self._evict(-(-missing // self.block_tokens))
        reservation.private_tokens = tokens
        self._private_tokens += tokens

    def _pin(self, reservation: Reservation, blocks: Sequence[str]) -> None:
        for block in blocks:
            self._unpinned.pop(block, None)
            self._pins[block] = self._pins.get(block, 0) + 1
            reservation.blocks.append(block)

    def _add(self, reservation: Reservation, block: str) -> None:
        if block not in self._pins and block not in self._unpinned:
            self._on_block(STORED, block)
        self._pin(reservation, [block])

    def _evict(self, count: int) -> None:
        for _ in range(count):
            block, _ = self._unpinned.popitem(last=False)
            self._on_block(EVICTED, block)
