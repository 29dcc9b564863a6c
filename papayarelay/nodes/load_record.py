"""Load records and their quantised encoding."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

STATES = ("warm", "cold", "down", "leaving")
VALUE_BYTES = 5
_LOG_STEPS = 8
_USED_STEPS = 63


@dataclass(frozen=True)
class LoadRecord:
    """Load of an engine, or of a model in a data centre.

    ``id`` is the engine id, or ``summary_id(data_centre, model)``.  A summary
    holds sums over the warm engines.  ``reported_s`` is on the local clock.
    """

    id: str
    state: str = "warm"
    kv_capacity_tokens: int = 0
    kv_used_tokens: int = 0
    queued_prefill_tokens: int = 0
    running: int = 0
    prefill_tokens_per_s: float = 0.0
    reported_s: float = 0.0


def summary_id(data_centre: str, model: str) -> str:
    """Return the id of the summary of a model in a data centre."""
    return f"{data_centre}/{model}"


def id_hash(record_id: str) -> int:
    """Return the 32-bit hash that identifies an id in packed records."""
    digest = hashlib.blake2b(record_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest)


def quantise(value: float) -> int:
    """Encode a value as one byte on a logarithmic scale, with an error below 5%."""
    return min(255, round(_LOG_STEPS * math.log2(1 + max(0.0, value))))


def dequantise(code: int) -> float:
    """Decode a byte that ``quantise`` returned."""
    return 2 ** (code / _LOG_STEPS) - 1


def pack_value(record: LoadRecord) -> bytes:
    """Encode the values of a load record in ``VALUE_BYTES`` bytes."""
    used = 0.0
    if record.kv_capacity_tokens > 0:
        used = min(1.0, record.kv_used_tokens / record.kv_capacity_tokens)
    state_and_used = STATES.index(record.state) << 6 | round(used * _USED_STEPS)
    return bytes(
        (
            state_and_used,
            quantise(record.kv_capacity_tokens),
            quantise(record.queued_prefill_tokens),
            quantise(record.running),
            quantise(record.prefill_tokens_per_s),
        )
    )


def unpack_value(record_id: str, value: bytes, reported_s: float) -> LoadRecord:
    """Decode a load record that ``pack_value`` encoded."""
    capacity = round(dequantise(value[1]))
    return LoadRecord(
        id=record_id,
        state=STATES[value[0] >> 6],
        kv_capacity_tokens=capacity,
        kv_used_tokens=round(capacity * (value[0] & _USED_STEPS) / _USED_STEPS),
        queued_prefill_tokens=round(dequantise(value[2])),
        running=round(dequantise(value[3])),
        prefill_tokens_per_s=dequantise(value[4]),
        reported_s=reported_s,
    )
