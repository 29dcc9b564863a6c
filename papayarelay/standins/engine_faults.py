"""Injectable faults of the simulated engine."""

from __future__ import annotations

from .server import Faults


class EngineFaults(Faults, forbid_unknown_fields=True):
    """Faults of the engine in addition to those of every simulated server.

    These count the answers to hit, each after ``fault_after`` tokens: ``crossed``
    inserts a chunk with another request's id, ``duplicate`` repeats a chunk, ``gap``
    omits one, ``silent`` stops sending but keeps the connection open, ``late``
    stalls for ``late_s``.  ``break_after`` cuts the connection of every stream after
    that many tokens.  ``refuse_load`` counts the load report requests
    to fail with 503.

    A prompt that contains the text ``crash_on`` crashes the engine.

    ``slow`` divides the engine's speed, ``memory_tokens`` occupies part of the KV
    cache, ``report_lag_s``, ``event_lag_s`` and ``event_gap`` delay load reports and
    delay or drop cache events.  One-shot faults: ``turn_cold``,
    ``turn_cold_unreported`` (the load report still says ready) and ``kill`` (the
    engine crashes and restarts with a new boot id).
    """

    crossed: int = 0
    duplicate: int = 0
    gap: int = 0
    silent: int = 0
    late: int = 0
    late_s: float = 1.0
    fault_after: int = 1
    break_after: int | None = None
    refuse_load: int = 0
    slow: float = 1.0
    memory_tokens: int = 0
    report_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_gap: float = 0.0
    turn_cold: bool = False
    turn_cold_unreported: bool = False
    kill: bool = False
    crash_on: str = ""

    def __post_init__(self):
        if self.slow <= 0:
            raise ValueError("slow must be above 0")
