"""Cost model of a model engine: prefill and decode times."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineTiming:
    """Timing parameters and KV cache capacity of the engines of a service.

    An engine runs in iterations.  An iteration with decoding sequences runs
    ``stride`` decode steps and prefills at most ``chunk_tokens`` in each (chunked
    prefill).  A step takes ``step_s``, plus ``sequence_s`` per sequence and
    ``context_s`` per token of their contexts.  Prefill is limited to
    ``prefill_tokens_per_s`` and takes ``attention_pair_s`` more per pair of a token and
    an earlier one (attention).  ``hop_s`` is added to a step whose KV cache is
    sharded over several engines.
    """

    kv_tokens: int
    slots: int = 8
    stride: int = 1
    step_s: float = 0.001
    sequence_s: float = 0.0
    context_s: float = 0.0
    prefill_tokens_per_s: float = 20_000.0
    attention_pair_s: float = 0.0
    chunk_tokens: int = 2048
    hop_s: float = 0.0
    usual_prompt_tokens: float = 10_000.0
    usual_answer_tokens: float = 1_000.0

    def prefill_s(self, tokens: int, parts: int = 1) -> float:
        """Return the prefill time of one of ``parts`` equal-cost parts of a prompt."""
        pairs = tokens * tokens / 2
        return (
            tokens / self.prefill_tokens_per_s + pairs * self.attention_pair_s
        ) / parts

    def iteration_s(self, decodes: int, context_tokens: float) -> float:
        """Return the time of an iteration that decodes only, without prefill."""
        step_s = self.step_s + decodes * self.sequence_s
        return self.stride * (step_s + context_tokens * self.context_s)
