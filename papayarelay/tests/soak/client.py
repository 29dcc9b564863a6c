"""Clients of the soak test, which check every response."""

from __future__ import annotations

import http.client
import time
from collections import Counter

import gevent

from ...background import BackgroundTask
from ..gateway_system import event
from ..platform_documents import HOST
from .environment import KEYS, Environment
from .poison import SEGMENTS_HEADER
from .process import SETTLE_S, STOP_S, NodeProcess

KINDS = ("stream", "once", "job", "call")
DEADLINES_S = {"stream": 4.0, "once": 4.0, "job": 1.5, "call": 1.5}
# Tolerance for a response after its deadline.
DEADLINE_TOLERANCE_S = 0.5
LONG_PROMPT_TOKENS = 400_000


# Interval of the requests that crash engines.
POISON_INTERVAL_S = 0.25


class Client(BackgroundTask):
    """Sends requests of random kinds, one at a time, until it is stopped."""

    def __init__(self, environment: Environment, number: int):
        self.results: Counter = Counter()
        self._environment = environment
        self._number = number
        self._count = 0

    def _run(self) -> None:
        rng = self._environment.rng
        while True:
            self._send(rng.choice(KINDS), rng.choice(self._environment.nodes))
            gevent.sleep(rng.uniform(0.0, 0.08))

    def _send(self, kind: str, node: NodeProcess, segment: str = "") -> None:
        """Send a request; ``segment`` is a prompt segment beside those of others."""
        environment = self._environment
        self._count += 1
        attempt = (
            f"{environment.rng.getrandbits(32):08x}{self._number:02x}{self._count:06x}"
        )
        key = environment.rng.choice(KEYS)
        now_s = time.monotonic()
        environment.sent_s[attempt] = now_s
        environment.sent_key[attempt] = key
        environment.sent_to[attempt] = node
        if segment:
            environment.poisoned.add(attempt)
        if kind in ("once", "job"):
            environment.at_most_once.add(attempt)
        tokens = LONG_PROMPT_TOKENS if environment.rng.random() < 0.05 else 1000
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Key": key,
            "X-Deadline-Ms": str(int(DEADLINES_S[kind] * 1000)),
            "X-Token-Counts": f"{tokens},50",
            SEGMENTS_HEADER: self._segments(attempt, segment),
        }
        connection = http.client.HTTPConnection(node.ip, 8227, timeout=10)
        try:
            connection.request("POST", f"/{kind}/x", b"prompt" * 20, headers)
            answer = connection.getresponse()
            body, whole = answer.read(), True
        except http.client.IncompleteRead as error:
            body, whole = error.partial, False
        except (OSError, http.client.HTTPException):
            self.results["cut"] += 1
            self._check_cut(attempt, node, now_s)
            return
        finally:
            connection.close()
        self._check(kind, attempt, node, now_s, answer, body, whole)

    def _segments(self, attempt: str, segment: str) -> str:
        """Return the prompt segments of a request, the last one its own."""
        names = ["5a", f"c{self._number:x}", segment, attempt]
        return ",".join(f"{name}:100" for name in names if name)

    def _check(self, kind, attempt, node, sent_s, answer, body, whole) -> None:
        environment = self._environment
        add_violation = environment.record.add_violation
        status = answer.status
        self.results[status if whole else "torn"] += 1
        took_s = time.monotonic() - sent_s
        late = took_s > DEADLINES_S[kind] + DEADLINE_TOLERANCE_S
        if (
            late
            and node.is_undisturbed(time.monotonic())
            and node.is_undisturbed(sent_s)
        ):
            add_violation(
                f"LATE {attempt} {kind} {status} after {took_s:.2f} s by {node.name}"
            )
        if status == 200:
            self._check_body(kind, attempt, answer, body, whole)
        elif status in (408, 421, 429, 503):
            environment.refused.add(attempt)
            if attempt in environment.record.executions:
                add_violation(
                    f"REFUSED {attempt} {kind} executed, but rejected by {node.name}"
                )
        elif status in (401, 404):
            version = environment.versions[-1]
            denied = environment.sent_key[attempt] not in version.keys
            if not denied and f"r-{kind}" in version.routes and self._is_settled():
                add_violation(f"DENIED {attempt} {kind} {status} by {node.name}")
        elif status == 400 and attempt in environment.poisoned:
            return
        elif status not in (502, 504):
            add_violation(f"MIXED {attempt} {kind} got {status} by {node.name}")

    def _check_body(self, kind, attempt, answer, body, whole) -> None:
        environment = self._environment
        if kind in ("stream", "once"):
            wanted = b"".join(
                event(n + 1) for n in range(environment.event_count(attempt))
            )
        else:
            wanted = f"answer to {attempt}".encode()
        fits = body == wanted if whole else wanted.startswith(body)
        sealed = answer.getheader("X-Response-Seal") is not None
        if not fits or not sealed:
            environment.record.add_violation(
                f"MIXED {attempt} {kind} got {len(body)} bytes"
            )

    def _check_cut(self, attempt: str, node: NodeProcess, sent_s: float) -> None:
        """Record a request that was cut by a graceful shutdown."""
        environment = self._environment
        now_s = time.monotonic()
        planned = node.stopping_s is not None and now_s - node.stopping_s < STOP_S
        undisturbed = node.disturbed_s <= (node.stopping_s or 0.0)
        if planned and undisturbed and attempt in environment.record.executions:
            early = sent_s < node.stopping_s + 2.0
            faults = now_s - environment.store_disturbed_s < SETTLE_S
            if early and not faults:
                environment.record.add_violation(
                    f"LOST {attempt} cut by the graceful shutdown of {node.name}"
                )

    def _is_settled(self) -> bool:
        confirmed_s = self._environment.versions[-1].confirmed_s
        return time.monotonic() - confirmed_s > 2 * SETTLE_S


class PoisonClient(Client):
    """Sends requests with the segment that crashes engines to all nodes."""

    def _run(self) -> None:
        environment = self._environment
        while segment := environment.poison.segment:
            node = environment.rng.choice(environment.nodes)
            gevent.spawn(self._send, "stream", node, segment)
            gevent.sleep(POISON_INTERVAL_S)
