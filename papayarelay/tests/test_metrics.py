"""Tests of the metrics."""

import random
import unittest

import gevent
from prometheus_client.parser import text_string_to_metric_families

from ..errors import Outcome
from ..metrics import (
    FIRST_TOKEN_BOUNDS_S,
    HISTOGRAM_SERIES_LIMIT,
    OTHER,
    SERIES_LIMIT,
    TOKEN_INTERVAL_BOUNDS_S,
    Metrics,
    prompt_length_label,
)


def samples_of(metrics: Metrics) -> dict[tuple, float]:
    """Return the value of each sample by name and sorted labels."""
    samples = {}
    for family in text_string_to_metric_families(metrics.render().decode()):
        for sample in family.samples:
            labels = tuple(sorted(sample.labels.items()))
            samples[(sample.name.removeprefix("papayarelay_"), *labels)] = sample.value
    return samples


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.addCleanup(self.metrics.close)

    def test_requests(self):
        """Guards against requests counted twice or with wrong labels."""
        self.metrics.record_admitted("m", "chat")
        self.metrics.record_rejected("m", "chat", "overloaded")
        self.metrics.record_finished("m", "chat", Outcome.COMPLETED)
        self.metrics.record_store_error("get", "store_unavailable")
        samples = samples_of(self.metrics)
        member = (("kind", "chat"), ("member", "m"))
        self.assertEqual(samples[("requests_admitted_total", *member)], 1)
        refused = ("requests_refused_total", *member, ("reason", "overloaded"))
        self.assertEqual(samples[refused], 1)
        finished = ("requests_total", ("code", "ok"), *member, ("outcome", "completed"))
        self.assertEqual(samples[finished], 1)
        total = sum(
            value for (name, *_), value in samples.items() if "created" not in name
        )
        zeros = sum(1 for (name, *_) in samples if name.startswith("time_between"))
        self.assertEqual((total, zeros), (4, len(TOKEN_INTERVAL_BOUNDS_S) + 2))

    def test_histograms_of_nodes_add_up(self):
        """Guards against buckets that differ between nodes or miscount values."""
        other = Metrics()
        self.addCleanup(other.close)
        rng = random.Random(5)
        values = [rng.lognormvariate(-3, 2) for _ in range(2000)]
        for index, value in enumerate(values):
            metrics = (self.metrics, other)[index % 2]
            metrics.token_intervals.record(value)
            metrics.record_first_token("chat", 500, value)
        first, second = samples_of(self.metrics), samples_of(other)
        self.assertEqual(set(first), set(second))
        for bound in TOKEN_INTERVAL_BOUNDS_S:
            key = ("time_between_tokens_bucket_total", ("le", str(bound)))
            expected = sum(value <= bound for value in values)
            self.assertEqual(first[key] + second[key], expected)
        for bound in FIRST_TOKEN_BOUNDS_S:
            labels = (("kind", "chat"), ("le", str(bound)), ("prompt", "1000"))
            key = ("time_to_first_token_seconds_bucket", *labels)
            expected = sum(value <= bound for value in values)
            self.assertEqual(first[key] + second[key], expected)

    def test_targets_are_bounds(self):
        """Guards against buckets without the latency target as a bound."""
        self.assertIn(0.84, FIRST_TOKEN_BOUNDS_S)
        self.assertIn(0.056, TOKEN_INTERVAL_BOUNDS_S)

    def test_prompt_class(self):
        """Guards against off-by-one errors at the bounds of prompt length buckets."""
        self.assertEqual(prompt_length_label(1_000), "1000")
        self.assertEqual(prompt_length_label(1_001), "8000")
        self.assertEqual(prompt_length_label(1_000_000), "1000000")
        self.assertEqual(prompt_length_label(1_000_001), "+Inf")

    def test_series_are_limited(self):
        """Guards against memory use that grows with the number of label sets."""
        for index in range(SERIES_LIMIT * 3):
            self.metrics.record_admitted(f"m{index}", "chat")
        samples = samples_of(self.metrics)
        keys = [key for key in samples if key[0] == "requests_admitted_total"]
        self.assertEqual(len(keys), SERIES_LIMIT + 1)
        other = ("requests_admitted_total", ("kind", OTHER), ("member", OTHER))
        self.assertEqual(samples[other], SERIES_LIMIT * 2)

    def test_overlapping_scrapes(self):
        """Guards against concurrent scrapes that consume each other's data."""
        self.metrics.record_admitted("m", "chat")
        self.metrics.record_first_token("chat", 500, 0.1)
        expected = self.metrics.render()
        tasks = [gevent.spawn(self.metrics.render) for _ in range(3)]
        gevent.joinall(tasks, raise_error=True)
        self.assertEqual([task.value for task in tasks], [expected] * 3)

    def test_histogram_series_are_limited(self):
        """Guards against a histogram whose rendering blocks the event loop."""
        for index in range(HISTOGRAM_SERIES_LIMIT * 3):
            self.metrics.record_first_token(f"kind{index}", 500, 0.1)
        name = "time_to_first_token_seconds_count"
        keys = [key for key in samples_of(self.metrics) if key[0] == name]
        self.assertEqual(len(keys), HISTOGRAM_SERIES_LIMIT + 1)

    def test_observed_numbers_are_read_at_each_scrape(self):
        """Guards against a gauge that keeps the value of the first scrape."""
        waiting, refused = [3], {"forged": 2}
        self.metrics.register_gauge("queue_requests", "Waiting", lambda: waiting[0])
        self.metrics.register_counter("messages_refused", "Refused", lambda: refused)
        self.assertEqual(samples_of(self.metrics)[("queue_requests",)], 3)
        waiting[0] = 4
        refused["forged"] = 5
        samples = samples_of(self.metrics)
        self.assertEqual(samples[("queue_requests",)], 4)
        key = ("messages_refused_total", ("reason", "forged"))
        self.assertEqual(samples[key], 5)
