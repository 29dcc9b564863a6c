"""OpenTelemetry instruments, exported in the Prometheus text format.

Histogram buckets are constants, so that histograms can be aggregated over nodes.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import gevent
import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider

from . import __version__
from .errors import Outcome

# Both lists contain the latency target of docs/design.md, section 1.3, as a bound.
FIRST_TOKEN_BOUNDS_S = (
    0.1,
    0.2,
    0.4,
    0.84,
    1.6,
    4.0,
    10.0,
    30.0,
    60.0,
    180.0,
    600.0,
    3600.0,
)
TOKEN_INTERVAL_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.056,
    0.08,
    0.12,
    0.2,
    0.4,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
PROMPT_BOUNDS_TOKENS = (1_000, 8_000, 32_000, 100_000, 1_000_000)
# Limits the label sets of an instrument; further ones are counted as "other".  An
# instrument is rendered without yielding to the event loop, so its size is bounded.
SERIES_LIMIT = 100
HISTOGRAM_SERIES_LIMIT = 50
OTHER = "other"


class TokenIntervalHistogram:
    """Histogram of inter-token times in plain lists, cheap enough for each token."""

    __slots__ = ("_counts", "sum_s")

    def __init__(self):
        self.sum_s = 0.0
        self._counts = [0] * (len(TOKEN_INTERVAL_BOUNDS_S) + 1)

    @property
    def counts(self) -> list[int]:
        """Return the count of each bucket; the last bucket is unbounded."""
        return list(self._counts)

    def record(self, interval_s: float) -> None:
        """Record the time between two tokens of an answer, in seconds."""
        self._counts[bisect_left(TOKEN_INTERVAL_BOUNDS_S, interval_s)] += 1
        self.sum_s += interval_s


def prompt_length_label(prompt_tokens: int) -> str:
    """Return the label of the prompt length bucket, its upper bound in tokens."""
    index = bisect_left(PROMPT_BOUNDS_TOKENS, prompt_tokens)
    if index == len(PROMPT_BOUNDS_TOKENS):
        return "+Inf"
    return str(PROMPT_BOUNDS_TOKENS[index])


@dataclass(frozen=True)
class _SingleMetricRegistry:
    """Registry of a single metric, for rendering metrics one by one."""

    metric: prometheus_client.Metric

    def collect(self) -> list[prometheus_client.Metric]:
        """Return the metric."""
        return [self.metric]


class Metrics:
    """The instruments of one node.

    ``token_intervals`` is cheap enough for every token.  Label values for members,
    kinds and backend servers come from the configuration, never from a caller.
    """

    def __init__(self):
        self.token_intervals = TokenIntervalHistogram()
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix="papayarelay",
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = MeterProvider([self._reader], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("papayarelay", __version__)
        self._series: dict[str, set[tuple[str, ...]]] = {}
        self._create_instruments()
        self._create_token_instruments()

    def record_admitted(self, member: str, kind: str) -> None:
        """Count an admitted request."""
        self._add(self._admitted, member=member, kind=kind)

    def record_rejected(self, member: str, kind: str, reason: str) -> None:
        """Count a rejected request; ``reason`` is an error code."""
        self._add(self._rejected, member=member, kind=kind, reason=reason)

    def record_finished(
        self, member: str, kind: str, outcome: Outcome, code: str = "ok"
    ) -> None:
        """Count a finished request; ``code`` is ``ok`` or an error code."""
        self._add(
            self._finished, member=member, kind=kind, outcome=outcome.value, code=code
        )

    def record_first_token(self, kind: str, prompt_tokens: int, seconds: float) -> None:
        """Record the time to first token, counted from the arrival of the request."""
        labels = {"kind": kind, "prompt": prompt_length_label(prompt_tokens)}
        labels = self._limit_series("first_token", labels, HISTOGRAM_SERIES_LIMIT)
        self._first_token.record(seconds, labels)

    def record_store_error(self, step: str, code: str) -> None:
        """Count a failed operation of the table service."""
        self._add(self._store_errors, step=step, code=code)

    def register_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Export a gauge whose value ``read`` returns at each scrape.

        A value that is not finite, such as the age of a missing report, is omitted.
        """

        def observe(options: CallbackOptions) -> list[Observation]:
            value = read()
            return [Observation(value)] if math.isfinite(value) else []

        self._meter.create_observable_gauge(name, [observe], description=description)

    def register_labelled_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[tuple[float, dict[str, str]]]],
    ) -> None:
        """Export a gauge with labels; ``read`` returns its values at each scrape.

        Only the first ``SERIES_LIMIT`` values are exported.
        """

        def observe(options: CallbackOptions) -> list[Observation]:
            values = itertools.islice(read(), SERIES_LIMIT)
            return [Observation(value, labels) for value, labels in values]

        self._meter.create_observable_gauge(name, [observe], description=description)

    def register_counter(
        self, name: str, description: str, read: Callable[[], dict[str, int]]
    ) -> None:
        """Export plain counters by reason, read at each scrape."""

        def observe(options: CallbackOptions) -> Iterator[Observation]:
            for reason, count in read().items():
                yield Observation(count, {"reason": reason})

        self._meter.create_observable_counter(name, [observe], description=description)

    def register_node_gauges(
        self,
        in_flight: Callable[[], int],
        config_version: Callable[[], int],
        longest_stall_s: Callable[[], float],
    ) -> None:
        """Export the gauges of every node, independent of its protocols."""
        observe = self.register_gauge
        observe("requests_in_flight", "Requests in flight", in_flight)
        observe("config_version", "Configuration version in force", config_version)
        observe(
            "event_loop_stall_seconds",
            "Longest time without a poll for events since the last scrape",
            longest_stall_s,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        Yields to other greenlets between the instruments.
        """
        parts = []
        # Collected before the first yield, so that concurrent scrapes don't consume
        # each other's data.
        for family in list(self._registry.collect()):
            parts.append(
                prometheus_client.generate_latest(_SingleMetricRegistry(family))
            )
            gevent.sleep(0)
        return b"".join(parts)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()

    def _create_instruments(self) -> None:
        counter = self._meter.create_counter
        self._admitted = counter("requests_admitted", "", "Requests admitted")
        self._rejected = counter("requests_refused", "", "Requests refused")
        self._finished = counter("requests", "", "Requests that ended")
        self._store_errors = counter("store_errors", "", "Failed store operations")
        self._first_token = self._meter.create_histogram(
            "time_to_first_token",
            "s",
            "Time from the arrival of a request to its first token",
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_S,
        )

    def _create_token_instruments(self) -> None:
        """Export the histogram of inter-token times.

        OpenTelemetry has no observable histogram, so the buckets are counters with
        the label ``le`` that quantile queries need.
        """
        counter = self._meter.create_observable_counter
        counter(
            "time_between_tokens_bucket",
            [self._observe_buckets],
            description="Times between tokens up to le seconds",
        )
        counter(
            "time_between_tokens_sum",
            [lambda _: [Observation(self.token_intervals.sum_s)]],
            "s",
            "Sum of the times between tokens",
        )

    def _observe_buckets(self, options: CallbackOptions) -> Iterable[Observation]:
        total = 0
        bounds = [str(bound) for bound in TOKEN_INTERVAL_BOUNDS_S]
        for bound, count in zip(
            [*bounds, "+Inf"], self.token_intervals.counts, strict=True
        ):
            total += count
            yield Observation(total, {"le": bound})

    def _add(self, counter, **labels: str) -> None:
        counter.add(1, self._limit_series(counter.name, labels))

    def _limit_series(
        self, name: str, labels: dict[str, str], limit: int = SERIES_LIMIT
    ) -> dict[str, str]:
        """Return the labels, or ``other`` for each once the limit is reached."""
        known = self._series.setdefault(name, set())
        key = tuple(labels.values())
        if key in known:
            return labels
        if len(known) >= limit:
            return dict.fromkeys(labels, OTHER)
        known.add(key)
        return labels
