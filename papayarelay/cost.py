"""Estimates of what a request costs an engine."""

from __future__ import annotations

from dataclasses import dataclass

from .request import Request

BYTES_PER_TOKEN = 4
# A prompt of 1,000,000 tokens is 4 to 8 MB long.
MOST_BYTES_PER_TOKEN = 8
DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True)
class Cost:
    """Work of one request in tokens: prefill, decode and KV memory held.

    ``target_s`` is the time within which the first event is in time and
    ``gap_target_s`` the longest such pause between events, 0 for none.
    """

    prefill_tokens: int
    decode_tokens: int
    target_s: float = 0.0
    gap_target_s: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Return the KV memory in tokens at the end of the answer."""
        return self.prefill_tokens + self.decode_tokens


def estimate_tokens(prompt_bytes: int) -> int:
    """Return the estimated number of tokens of a prompt of that many bytes."""
    return max(1, prompt_bytes // BYTES_PER_TOKEN)


def fewest_tokens(prompt_bytes: int) -> int:
    """Return the number of tokens that a prompt has at least."""
    return max(1, prompt_bytes // MOST_BYTES_PER_TOKEN)


def estimate_cost(request: Request) -> Cost:
    """Return the cost of a request without any cached prefix."""
    return Cost(
        request.prompt_tokens,
        request.max_tokens,
        request.kind.target_s,
        request.kind.gap_target_s,
    )
