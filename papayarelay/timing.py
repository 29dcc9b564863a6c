"""How long the work of a model engine takes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineTiming:
    """Speed and memory of the engines of a service.

    An engine works in passes.  A pass with streams that are being written runs
    ``stride`` steps and reads at most ``chunk_tokens`` of prompts in each.  A
    step takes ``step_s``, ``sequence_s`` for each stream and ``context_s`` for
    each token of their contexts.  Reading takes ``pair_s`` for each pair of a
    token and an earlier one besides.  ``hop_s`` is added to a step whose context
    lies on several engines.
    """

    kv_tokens: int
    slots: int = 8
    stride: int = 1
    step_s: float = 0.001
    sequence_s: float = 0.0
    context_s: float = 0.0
    read_tokens_per_s: float = 20_000.0
    pair_s: float = 0.0
    chunk_tokens: int = 2048
    hop_s: float = 0.0
    usual_prompt_tokens: float = 10_000.0
    usual_answer_tokens: float = 1_000.0

    def read_s(self, tokens: int, parts: int = 1) -> float:
        """Return the time to read one of the even parts of a prompt."""
        pairs = tokens * tokens / 2
        return (tokens / self.read_tokens_per_s + pairs * self.pair_s) / parts

    def pass_s(self, writers: int, context_tokens: float) -> float:
        """Return the time of a pass that writes and does not read."""
        step_s = self.step_s + writers * self.sequence_s
        return self.stride * (step_s + context_tokens * self.context_s)
