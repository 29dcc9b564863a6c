"""Closed-loop load generator for streaming requests, run as a separate process.

Prints one JSON line with the number of tokens, requests and incorrect responses.
"""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

import argparse
import json
import random
import sys
import time

import gevent

from ..demo import make_prompt
from .client import Caller


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument("--key", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--streams", type=int, default=1, help="concurrent streams")
    parser.add_argument("--tokens", type=int, default=64, help="tokens per answer")
    parser.add_argument("--prompt-tokens", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Generate the load; return 1 if any response was incorrect."""
    namespace = parse_arguments(argv)
    caller = Caller(namespace.url, namespace.key, connections=namespace.streams)
    end_s = time.monotonic() + namespace.seconds
    tasks = [
        gevent.spawn(_run_stream, caller, namespace, index, end_s)
        for index in range(namespace.streams)
    ]
    gevent.joinall(tasks, raise_error=True)
    requests = sum(task.value[0] for task in tasks)
    wrong = sum(task.value[1] for task in tasks)
    tokens = sum(task.value[2] for task in tasks)
    print(json.dumps({"requests": requests, "wrong": wrong, "tokens": tokens}))
    return 1 if wrong else 0


def _run_stream(
    caller: Caller, namespace: argparse.Namespace, index: int, end_s: float
) -> tuple[int, int, int]:
    """Send requests one after another; return (requests, incorrect ones, tokens)."""
    rng = random.Random(f"{namespace.seed}-{index}")
    gevent.sleep(rng.uniform(0, 1.0))
    requests = wrong = all_tokens = 0
    while time.monotonic() < end_s:
        # A first response of random length desynchronises the streams.
        tokens = namespace.tokens if requests else rng.randint(1, namespace.tokens)
        prompt = make_prompt(namespace.prompt_tokens, rng)
        answer = caller.complete(namespace.model, prompt, tokens)
        requests += 1
        all_tokens += tokens
        wrong += not answer.is_correct(prompt, tokens)
    return requests, wrong, all_tokens


if __name__ == "__main__":
    sys.exit(main())
