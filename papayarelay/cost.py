"""Token cost estimates of requests."""

from __future__ import annotations

from dataclasses import dataclass

from .request import Request

BYTES_PER_TOKEN = 4
# A prompt of 1,000,000 tokens is 4 to 8 MB long.
MAX_BYTES_PER_TOKEN = 8
DEFAULT_MAX_TOKENS = 256


@dataclass(frozen=True)
class Cost:
    """Cost of one request in prefill and decode tokens, and its latency targets.

    ``target_s`` is the target time to the first event and ``gap_target_s`` the
    target time between events; 0 means no target.
    """

    prefill_tokens: int
    decode_tokens: int
    target_s: float = 0.0
    gap_target_s: float = 0.0

    @property
    def kv_tokens(self) -> int:
        """Return the KV cache size in tokens at the end of generation."""
        return self.prefill_tokens + self.decode_tokens


def estimate_tokens(prompt_bytes: int) -> int:
    """Return the estimated token count of a prompt of ``prompt_bytes``."""
    return max(1, prompt_bytes // BYTES_PER_TOKEN)


def estimate_min_tokens(prompt_bytes: int) -> int:
    """Return a lower bound of the token count of a prompt of ``prompt_bytes``."""
    return max(1, prompt_bytes // MAX_BYTES_PER_TOKEN)


def estimate_cost(request: Request) -> Cost:
    """Return the cost of a request, assuming no prefix cache hit."""
    return Cost(
        request.prompt_tokens,
        request.max_tokens,
        request.kind.target_s,
        request.kind.gap_target_s,
    )
