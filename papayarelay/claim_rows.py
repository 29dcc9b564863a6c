"""Claim rows in the table service: key layout, encoding and retention.

Rows expire by the wall clock of the node that inserted them; see ``is_expired`` for
the tolerated clock skew.  Names of wall-clock times end in ``_wall_s``.
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

RETENTION_S = 24 * 3600.0
# Covers a clock skew of several seconds between nodes and the latency of a delayed
# write or delete.
CLOCK_SKEW_MARGIN_S = 60.0
MAX_RECORDED_BODY_BYTES = 16 * 1024
RETRY_AFTER_S = 1.0

PARTITIONS = 256
PARTITION_HEX_DIGITS = 2


class ClaimState(enum.Enum):
    """State of a claim row."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    REFUSED = "refused"


@dataclass(frozen=True)
class ClaimRow:
    """Value of a claim row.

    ``claimed_wall_s`` is the wall-clock time of the node that inserted the row.
    ``body`` is None when the response body exceeds ``MAX_RECORDED_BODY_BYTES``;
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
class RecordedOutcome:
    """Recorded outcome of an earlier attempt: ``completed`` or ``not_run``."""

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

    The idempotency key is hashed so that row keys have a fixed length, contain no
    text of callers, and can be partitioned evenly by their first hex digits.
    """
    return row_prefix(member, kind) + hashlib.sha256(key.encode()).hexdigest()


def request_digest(request: Request) -> str:
    """Return a digest that distinguishes a retry from a different request.

    It includes the organisation, so that no caller gets the recorded response of
    another organisation that happens to use the same key.
    """
    digest = hashlib.sha256()
    for text in (request.organisation, request.model, request.path):
        digest.update(len(text.encode()).to_bytes(8))
        digest.update(text.encode())
    digest.update(request.body)
    return digest.hexdigest()


def is_expired(row: ClaimRow, wall_s: float) -> bool:
    """Return whether a row has expired by the wall clock of this node.

    The timestamp of the row may be from another node.  A row is kept for
    ``CLOCK_SKEW_MARGIN_S`` longer than ``RETENTION_S``, so a clock skew of up to that
    margin never shortens the retention of a key.
    """
    return wall_s - row.claimed_wall_s > RETENTION_S + CLOCK_SKEW_MARGIN_S


def partition_prefixes(
    scopes: Iterable[tuple[str, str]], node_index: int, node_count: int
) -> list[str]:
    """Return the row prefixes in the partition of one of ``node_count`` nodes."""
    partitions = range(node_index, PARTITIONS, node_count)
    return [
        f"{row_prefix(member, kind)}{partition:0{PARTITION_HEX_DIGITS}x}"
        for member, kind in sorted(scopes)
        for partition in partitions
    ]


def store_unavailable_error(message: str) -> StoreUnavailableError:
    """Return the error for a claim whose write the store did not confirm."""
    return StoreUnavailableError(
        message,
        step="claim",
        peer="store",
        outcome=Outcome.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def may_delete(row: Row, wall_s: float) -> bool:
    """Return whether a row is expired; one that cannot be decoded is kept."""
    try:
        return is_expired(decode(row), wall_s)
    except StoreError:
        return False


def to_recorded_outcome(row: ClaimRow) -> RecordedOutcome:
    """Return the outcome in a row, to be replayed to a retry."""
    completed = row.state is ClaimState.COMPLETED
    outcome = Outcome.COMPLETED if completed else Outcome.NOT_RUN
    return RecordedOutcome(
        outcome, row.status, row.content_type, row.body, row.body_bytes
    )


def decode(row: Row) -> ClaimRow:
    """Decode the value of a row; raises ``StoreUnavailableError``."""
    try:
        return msgspec.json.decode(row.value, type=ClaimRow)
    except msgspec.MsgspecError as error:
        raise store_unavailable_error(f"malformed claim row: {error}") from error
