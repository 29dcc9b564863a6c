"""Rows of at-most-once claims: their keys, their values and how long they are kept.

Rows end by the wall clock of the node that claimed them; see ``is_expired`` for the
tolerance of clock offsets.  Wall-clock times end in ``_wall_s``.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from .errors import Outcome, StoreError, StoreUnavailableError
from .request import Request
from .store.client import Row

KEEP_S = 24 * 3600.0
# Covers clock offsets of several seconds between nodes and the time that a
# delayed write or delete may take.
CLOCK_MARGIN_S = 60.0
BODY_LIMIT_BYTES = 16 * 1024
RETRY_AFTER_S = 1.0

SLOTS = 256
SLOT_DIGITS = 2


class ClaimState(enum.Enum):
    """State of a claim row."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    REFUSED = "refused"


@dataclass(frozen=True)
class ClaimRow:
    """Value of a claim row.

    ``claimed_wall_s`` is the wall clock of the node that wrote the first state.
    ``body`` is None when the answer is longer than ``BODY_LIMIT_BYTES``;
    ``body_bytes`` is its full length.
    """

    state: ClaimState
    attempt: str
    digest: str
    claimed_wall_s: float
    status: int = 0
    content_type: str = ""
    body: bytes | None = None
    body_bytes: int = 0


@dataclass(frozen=True)
class Recorded:
    """The outcome of an earlier attempt: ``completed`` or ``not_run``."""

    outcome: Outcome
    status: int
    content_type: str
    body: bytes | None
    body_bytes: int


def row_prefix(member: str, kind: str) -> str:
    """Return the prefix of the claim rows of a member and kind."""
    return f"claim/{quote(member, safe='')}/{quote(kind, safe='')}/"


def row_key(member: str, kind: str, key: str) -> str:
    """Return the row key of an idempotency key.

    The key is hashed: row keys have one length, callers' texts stay out of them,
    and their first hex digits divide the rows evenly for sweeps.
    """
    return row_prefix(member, kind) + hashlib.sha256(key.encode()).hexdigest()


def request_digest(request: Request) -> str:
    """Return the digest that tells a repeat from another request.

    The organisation is part of it, so that no caller gets the recorded answer of
    another organisation that happens to use the same key.
    """
    digest = hashlib.sha256()
    for text in (request.organisation, request.model, request.path):
        digest.update(len(text.encode()).to_bytes(8))
        digest.update(text.encode())
    digest.update(request.body)
    return digest.hexdigest()


def is_expired(row: ClaimRow, wall_s: float) -> bool:
    """Return whether a row may be deleted at the wall-clock time of this node.

    The row carries the wall clock of another node.  A row is kept for
    ``CLOCK_MARGIN_S`` longer than ``KEEP_S``, so an offset of up to that margin
    between two nodes never shortens the time for which a key is kept.
    """
    return wall_s - row.claimed_wall_s > KEEP_S + CLOCK_MARGIN_S


def sweep_prefixes(
    scopes: Iterable[tuple[str, str]], node_index: int, node_count: int
) -> list[str]:
    """Return the row prefixes that one of ``node_count`` nodes sweeps."""
    slots = range(node_index, SLOTS, node_count)
    return [
        f"{row_prefix(member, kind)}{slot:0{SLOT_DIGITS}x}"
        for member, kind in sorted(scopes)
        for slot in slots
    ]


def store_failure(message: str) -> StoreUnavailableError:
    """Return the error of a claim that the store did not confirm."""
    return StoreUnavailableError(
        message,
        step="claim",
        peer="store",
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def may_delete(row: Row, wall_s: float) -> bool:
    """Return whether a row is expired; one that cannot be read is kept."""
    try:
        return is_expired(decode(row), wall_s)
    except StoreError:
        return False


def as_recorded(row: ClaimRow) -> Recorded:
    """Return the outcome that a row tells to a repeat."""
    completed = row.state is ClaimState.COMPLETED
    outcome = Outcome.COMPLETED if completed else Outcome.NOT_RUN
    return Recorded(outcome, row.status, row.content_type, row.body, row.body_bytes)


def decode(row: Row) -> ClaimRow:
    """Return the value of a row; raises ``StoreUnavailableError``."""
    try:
        return msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.MsgspecError as error:
        raise store_failure(f"malformed claim row: {error}") from error
