"""Order of the store's transactions, also after it was restored from a backup."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """A transaction of the store; later ones compare greater.

    The store numbers its transactions.  After a restore from a backup it gives out
    again the numbers of those that the backup lacks, but in a higher era.
    """

    era: int
    number: int
