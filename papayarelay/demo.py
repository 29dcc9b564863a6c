"""Demo: requests with prompts of very different lengths through a local system."""

from __future__ import annotations

import argparse
import random
import statistics
import sys
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from .bench.client import Caller, StreamedResponse
from .local import MODEL, LocalSystem, api_key

SEED = 7
BYTES_PER_TOKEN = 4
ANSWER_TOKENS = 24
CONCURRENCY = 24
# Ten times the default prefill speed keeps the demo under a minute.
ENGINE_ARGUMENTS = ("--prefill-tokens-per-s", "200000")
# Prompt length in tokens and number of requests.
LENGTHS = ((1_000, 24), (4_000, 12), (32_000, 6), (100_000, 4), (1_000_000, 2))


@dataclass(frozen=True)
class Result:
    """One request of the demo."""

    prompt_tokens: int
    answer: StreamedResponse
    correct: bool


def make_prompt(tokens: int, rng: random.Random) -> str:
    """Return a prompt of about that many tokens."""
    word = f"{rng.randrange(10**6):06d} "
    return (word * (tokens * BYTES_PER_TOKEN // len(word) + 1))[
        : tokens * BYTES_PER_TOKEN
    ]


def run(namespace: argparse.Namespace) -> int:
    """Run the demo; return 0 when every request got its own complete answer."""
    system = LocalSystem(
        nodes=2, engines=4, services=1, engine_arguments=ENGINE_ARGUMENTS
    )
    print("starting 2 nodes, 4 engines, 1 plain service, table service, VM list")
    try:
        system.start()
        results = _send_prompts(system)
        _print_lengths(results)
        jobs_correct = _send_jobs(system)
    finally:
        system.close()
    wrong = sum(not result.correct for result in results)
    print(f"{len(results) - wrong} of {len(results)} answers belong to their request")
    print("all processes stopped")
    return 0 if wrong == 0 and jobs_correct else 1


def _send_prompts(system: LocalSystem) -> list[Result]:
    rng = random.Random(SEED)
    lengths = [tokens for tokens, count in LENGTHS for _ in range(count)]
    rng.shuffle(lengths)
    callers = [
        Caller(f"http://{address}", api_key("front_desk"))
        for address in system.node_addresses
    ]
    pool = Pool(CONCURRENCY)
    tasks = [
        pool.spawn(_send_prompt, callers[index % len(callers)], tokens, index)
        for index, tokens in enumerate(lengths)
    ]
    gevent.joinall(tasks, raise_error=True)
    return [task.value for task in tasks]


def _send_prompt(caller: Caller, tokens: int, index: int) -> Result:
    prompt = make_prompt(tokens, random.Random(f"{SEED}-{index}"))
    kind = "tag_check" if tokens <= 4_000 else "archive_review"
    answer = caller.complete(MODEL, prompt, ANSWER_TOKENS, {"X-Request-Kind": kind})
    correct = answer.is_correct(prompt, ANSWER_TOKENS)
    if not correct:
        print(
            f"{tokens} tokens: status {answer.status}, {answer.error}", file=sys.stderr
        )
    return Result(tokens, answer, correct)


def _print_lengths(results: list[Result]) -> None:
    print(f"{'prompt tokens':>13} {'requests':>8} {'first token (s)':>16} {'worst':>7}")
    for tokens, _ in LENGTHS:
        times = [
            result.answer.first_token_s
            for result in results
            if result.prompt_tokens == tokens and result.answer.first_token_s
        ]
        if times:
            median, worst = statistics.median(times), max(times)
            print(f"{tokens:>13,} {len(times):>8} {median:>16.3f} {worst:>7.3f}")


def _send_jobs(system: LocalSystem) -> bool:
    """Send each job to both nodes at once; return whether each ran exactly once."""
    callers = [
        Caller(f"http://{address}", api_key("workshop"))
        for address in system.node_addresses
    ]
    tasks = [
        gevent.spawn(
            caller.call_service, "engraving_job", b'{"tag": "Rex"}', f"job-{n}"
        )
        for n in range(10)
        for caller in callers
    ]
    gevent.joinall(tasks, raise_error=True)
    counts = system.get(system.service_addresses[0], "/executions")
    print(f"10 jobs sent to both nodes at once: executions {sorted(counts.values())}")
    return len(counts) == 10 and all(count == 1 for count in counts.values())
