"""Tests of the admission queue."""

import contextlib
import itertools
import unittest
from collections import Counter
from dataclasses import replace

from ..admission import MAX_DRAIN_RATES, AdmissionQueue
from ..cost import Cost
from ..errors import OverloadError
from ..request import Request, RequestKind

numbers = itertools.count()


def make(
    member="a",
    organisation="o",
    *,
    tokens=1_000,
    priority=0,
    now_s=0.0,
    time_s=60.0,
    body=b"",
) -> Request:
    """Return a request with a new id."""
    kind = RequestKind(f"kind-{priority}", deadline_s=time_s, priority=priority)
    return Request(
        id=str(next(numbers)),
        member=member,
        organisation=organisation,
        kind=kind,
        model="m",
        path="/v1/completions",
        body=body,
        prompt_tokens=tokens,
        max_tokens=10,
        stream=True,
        received_s=now_s,
        deadline_s=now_s + time_s,
    )


def offer(queue: AdmissionQueue, request: Request) -> Request:
    """Queue a request at the time it was received."""
    cost = Cost(request.prompt_tokens, request.max_tokens)
    queue.offer(request, cost, request.received_s)
    return request


def take(queue: AdmissionQueue, now_s: float = 0.0) -> Request | None:
    """Take the next request while every request fits."""
    return queue.next(now_s, lambda request, cost: True)


class OrderTest(unittest.TestCase):
    def test_priority_then_deadline(self):
        """Guards against an urgent request queued behind a less urgent one."""
        queue = AdmissionQueue()
        late = offer(queue, make(priority=2))
        relaxed = offer(queue, make(time_s=50.0))
        urgent = offer(queue, make(time_s=20.0))
        order = [take(queue) for _ in range(4)]
        self.assertEqual(order, [urgent, relaxed, late, None])

    def test_long_requests_are_not_starved(self):
        """Guards against starvation of long requests by continuous short ones."""
        queue = AdmissionQueue()
        long = offer(queue, make(tokens=300_000, priority=2, time_s=600.0))
        for step in range(6_000):
            now_s = step * 0.1
            # Short requests arrive at twice the service rate.
            for _ in range(2):
                with contextlib.suppress(OverloadError):
                    offer(queue, make(now_s=now_s))
            if take(queue, now_s) is long:
                break
            self.assertNotIn(long, queue.expire(now_s))
        self.assertLess(now_s, 300.0)

    def test_an_aged_long_request_holds_back_medium_ones(self):
        """Guards against medium requests that take the capacity for an aged one."""
        queue = AdmissionQueue()
        offer(queue, make(tokens=300_000, priority=2, time_s=100.0))
        offer(queue, make(tokens=20_000, priority=1, now_s=60.0))
        short = offer(queue, make(tokens=1_000, now_s=60.0))

        def fits(request, cost):
            return cost.prefill_tokens < 100_000

        self.assertEqual(queue.next(60.0, fits), short)
        self.assertIsNone(queue.next(60.0, fits))

    def test_requests_that_do_not_fit_do_not_block_others(self):
        """Guards against head-of-line blocking of short requests by a long one."""
        queue = AdmissionQueue()
        offer(queue, make(tokens=300_000, time_s=50.0))
        short = offer(queue, make(tokens=1_000, time_s=60.0))
        chosen = queue.next(0.0, lambda request, cost: cost.prefill_tokens < 5_000)
        self.assertEqual(chosen, short)

    def test_many_aged_long_requests_do_not_block_short_ones(self):
        """Guards against aged long requests that fit nowhere and block short ones.

        Many of them would use up the placement attempts of a call.
        """
        queue = AdmissionQueue()
        for index in range(200):
            organisation = f"o{index}"
            offer(queue, make("a", organisation, tokens=300_000, priority=2, time_s=99))
        short = offer(queue, make(tokens=1_000, now_s=60.0))
        tried = []

        def fits(request, cost):
            tried.append(request)
            return cost.prefill_tokens < 5_000

        self.assertEqual(queue.next(60.0, fits), short)
        self.assertLess(len(tried), 20)


class ShareTest(unittest.TestCase):
    def served(self, queue, offered, rounds, refill):
        """Return the tokens served per key while every key has queued requests."""
        tokens = Counter()
        for key in offered:
            for _ in range(20):
                offer(queue, make(*key, **refill[key]))
        for _ in range(rounds):
            request = take(queue)
            key = (request.member, request.organisation)
            tokens[key] += request.prompt_tokens
            offer(queue, make(*key, **refill[key]))
        return tokens

    def test_members_share_in_tokens_not_in_requests(self):
        """Guards against a member that exceeds its share by sending long requests."""
        queue = AdmissionQueue({"a": 0.5, "b": 0.5})
        sizes = {("a", "o"): {"tokens": 1_000}, ("b", "o"): {"tokens": 50_000}}
        tokens = self.served(queue, list(sizes), 10_000, sizes)
        total = sum(tokens.values())
        # The shares can differ by whole requests of the larger size.
        self.assertLess(abs(tokens["a", "o"] - total / 2), 2_000_000)
        self.assertGreater(tokens["a", "o"], total / 4)

    def test_an_urgent_flood_does_not_exceed_the_share_for_long(self):
        """Guards against a member that exceeds its share by marking all work urgent."""
        queue = AdmissionQueue({"a": 0.25, "b": 0.75})
        sizes = {
            ("a", "o"): {"tokens": 10_000, "priority": 0},
            ("b", "o"): {"tokens": 10_000, "priority": 1},
        }
        tokens = self.served(queue, list(sizes), 4_000, sizes)
        self.assertAlmostEqual(
            tokens["a", "o"] / sum(tokens.values()), 0.25, delta=0.05
        )

    def test_organisations_share_by_weight(self):
        """Guards against one organisation that starves others of the same member."""
        queue = AdmissionQueue({"a": 1.0}, {("a", "big"): 2.0, ("a", "small"): 1.0})
        sizes = {("a", "big"): {"tokens": 5_000}, ("a", "small"): {"tokens": 1_000}}
        tokens = self.served(queue, list(sizes), 3_000, sizes)
        ratio = tokens["a", "big"] / tokens["a", "small"]
        self.assertAlmostEqual(ratio, 2.0, delta=0.1)

    def test_an_idle_member_gains_no_credit(self):
        """Guards against a member that gains credit while idle and blocks others."""
        queue = AdmissionQueue({"a": 0.5, "b": 0.5})
        for _ in range(500):
            offer(queue, make("a", tokens=10_000))
            take(queue)
        for _ in range(100):
            offer(queue, make("a", tokens=10_000))
            offer(queue, make("b", tokens=10_000))
        served = Counter(take(queue).member for _ in range(100))
        self.assertAlmostEqual(served["a"], 50, delta=5)

    def test_a_member_cannot_fill_the_queue(self):
        """Guards against rejecting one member because another one floods the queue."""
        queue = AdmissionQueue({"a": 0.5, "b": 0.5}, capacity=100)
        with self.assertRaises(OverloadError):
            for _ in range(100):
                offer(queue, make("a"))
        self.assertLessEqual(len(queue), 50)
        offer(queue, make("b"))


class RefusalTest(unittest.TestCase):
    def drain_slowly(self, queue, *, count=100, interval_s=1.0):
        """Queue requests and serve one per interval; return the current time."""
        for _ in range(count):
            offer(queue, make(tokens=10_000, time_s=900.0))
        for step in range(1, 21):
            take(queue, step * interval_s)
        return 20 * interval_s

    def test_a_request_that_cannot_finish_is_refused_at_once(self):
        """Guards against queueing requests that can only miss their deadline."""
        queue = AdmissionQueue()
        now_s = self.drain_slowly(queue)
        with self.assertRaises(OverloadError) as caught:
            offer(queue, make(tokens=10_000, now_s=now_s, time_s=30.0))
        self.assertGreater(caught.exception.retry_after_s, 1.0)
        offer(queue, make(tokens=10_000, now_s=now_s, time_s=300.0))

    def test_short_requests_that_wait_are_refused_at_once(self):
        """Guards against queueing short requests that would miss their deadline."""
        queue = AdmissionQueue()
        for _ in range(100):
            offer(queue, make(tokens=1_000, time_s=900.0))
        for step in range(1, 21):
            take(queue, float(step))
        with self.assertRaises(OverloadError):
            offer(queue, make(tokens=1_000, now_s=20.0, time_s=30.0))
        offer(queue, make(tokens=1_000, now_s=20.0, time_s=300.0))

    def test_a_short_request_that_is_next_is_not_refused(self):
        """Guards against rejecting a short request that would overtake long ones."""
        queue = AdmissionQueue()
        now_s = self.drain_slowly(queue)
        short = offer(queue, make(tokens=1_000, now_s=now_s, time_s=30.0))
        self.assertIs(take(queue, now_s), short)

    def test_a_request_for_other_servers_is_not_refused(self):
        """Guards against rejecting a request because of another service's queue.

        Jobs for idle servers were rejected while prompts were queued for engines
        (soak seed 49).
        """
        queue = AdmissionQueue()
        offer(queue, make(tokens=400_000, time_s=900.0))
        for step in range(1, 21):
            queue.next(float(step), lambda request, cost: False)
        offer(queue, make(tokens=100, priority=3, now_s=20.0, time_s=1.5))

    def test_less_urgent_work_does_not_count_as_wait(self):
        """Guards against rejecting urgent requests because of less urgent ones."""
        queue = AdmissionQueue()
        for _ in range(100):
            offer(queue, make(tokens=10_000, priority=2, time_s=900.0))
        for step in range(1, 21):
            take(queue, float(step))
        offer(queue, make(now_s=20.0, time_s=30.0))

    def test_too_short_a_deadline_is_refused_when_idle(self):
        """Guards against admitting a request that no engine can finish in time."""
        with self.assertRaises(OverloadError):
            offer(AdmissionQueue(), make(tokens=900_000, time_s=10.0))

    def test_a_stalled_queue_recovers_when_empty(self):
        """Guards against rejecting all requests after an outage of all engines.

        The drain rate measured during the outage is zero.
        """
        queue = AdmissionQueue()
        offer(queue, make(time_s=60.0))
        queue.next(50.0, lambda request, cost: False)
        self.assertEqual(len(queue.expire(100.0)), 1)
        offer(queue, make(now_s=100.0))

    def test_expired_requests_are_returned_once_and_early(self):
        """Guards against failing a request only at its deadline, or more than once."""
        queue = AdmissionQueue()
        request = offer(queue, make(tokens=200_000, time_s=60.0))
        self.assertEqual(queue.expire(40.0), [])
        self.assertEqual(queue.expire(51.0), [request])
        self.assertEqual(queue.expire(60.0), [])
        self.assertEqual(len(queue), 0)

    def test_removed_requests_are_not_served(self):
        """Guards against dispatching requests whose caller has disconnected."""
        queue = AdmissionQueue()
        gone = offer(queue, make())
        kept = offer(queue, make())
        self.assertTrue(queue.remove(gone.id))
        self.assertFalse(queue.remove(gone.id))
        self.assertEqual([take(queue), take(queue)], [kept, None])
        self.assertEqual(queue.queued_tokens, 0)


class MemoryTest(unittest.TestCase):
    """Guards against memory that grows with the organisations or requests served."""

    def test_bounded_with_many_services(self):
        """Guards against state that is kept for every service name ever used."""
        queue = AdmissionQueue()
        for number in range(5_000):
            request = offer(queue, replace(make(), service=f"s{number}"))
            self.assertIs(take(queue, number * 0.01), request)
        self.assertLessEqual(len(queue._drain_rates), 2 * MAX_DRAIN_RATES)
        self.assertEqual(queue._members["a"].tokens, {})

    def test_bounded_with_many_organisations(self):
        queue = AdmissionQueue({"a": 0.5, "b": 0.5}, capacity=2_000)
        refused = 0
        for index in range(20_000):
            request = make("ab"[index % 2], f"o{index % 1_300}", now_s=index * 0.001)
            try:
                offer(queue, request)
            except OverloadError:
                refused += 1
            if index % 3 == 0:
                take(queue, index * 0.001)
        self.assertLessEqual(len(queue), 2_000)
        self.assertGreater(refused, 0)
        while take(queue, 20.0):
            pass
        self.assertEqual(queue.queued_tokens, 0)
        # The heaps may keep a few stale entries, the members none.
        self.assertLess(len(queue._latest_start_heap) + len(queue._aging_heap), 200)
        self.assertFalse(any(m.organisations for m in queue._members.values()))
        self.assertFalse(any(m.level_queues for m in queue._members.values()))

    def test_bytes_of_bodies_are_bounded(self):
        queue = AdmissionQueue(capacity_bytes=10_000)
        offer(queue, make(body=b"x" * 6_000))
        with self.assertRaises(OverloadError):
            offer(queue, make(body=b"x" * 6_000))
        offer(queue, make(body=b"x" * 3_000))
