"""Counters and durations of one process in the Prometheus text format.

The client library is imported at the first scrape. Most processes are never scraped, so
this reduces their memory and start time.
"""

from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

from lentilfork.counters import DURATION_BOUNDS_S
from lentilfork.counters import Counters
from lentilfork.http_server import Request
from lentilfork.http_server import Response

if TYPE_CHECKING:
    from prometheus_client import Metric

__all__ = ["answer_scrape", "render_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class CountersCollector:
    """Provides the metrics of one process to the client library."""

    counters: Counters
    # Version of the route table that is applied.
    generation: int

    def __init__(self, counters: Counters, generation: int) -> None:
        self.counters = counters
        self.generation = generation

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        events = CounterMetricFamily(
            "lentilfork_events",
            "Events counted since the process started",
            labels=["event", "reason"],
        )
        for (event, reason), count in sorted(self.counters.values.items()):
            events.add_metric([event, reason], count)
        yield events
        yield GaugeMetricFamily(
            "lentilfork_generation",
            "Version of the route table in force here",
            value=self.generation,
        )
        bounds = [*map(str, DURATION_BOUNDS_S), "+Inf"]
        for name, buckets in sorted(self.counters.durations.items()):
            yield HistogramMetricFamily(
                f"lentilfork_{name}_seconds",
                "Durations since the process started",
                buckets=list(zip(bounds, accumulate(buckets), strict=True)),
                sum_value=self.counters.sums_s[name],
            )


def render_metrics(counters: Counters, generation: int) -> bytes:
    """Return the current metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry
    from prometheus_client import generate_latest

    registry = CollectorRegistry()
    registry.register(CountersCollector(counters, generation))
    return generate_latest(registry)


async def answer_scrape(
    counters: Counters, generation: int, _request: Request
) -> Response:
    """Return the HTTP response to a scrape."""
    body = render_metrics(counters, generation)
    return Response(200, body, {"Content-Type": CONTENT_TYPE})
