"""The read-only HTTP server of one process: its metrics, and explanations of an agent.

Counters and durations are in the Prometheus text format. The client library is imported
at the first scrape. Most processes are never scraped, so this reduces their memory and
start time.
"""

from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol
from typing import runtime_checkable

from lentilfork.counters import DURATION_BOUNDS_S
from lentilfork.counters import Counters
from lentilfork.http_server import Request
from lentilfork.http_server import Response

if TYPE_CHECKING:
    from prometheus_client import Metric

__all__ = ["EXPLANATION_PATH", "answer_inspection", "answer_scrape", "render_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
EXPLANATION_PATH: Final = "/explain-placement"


class InspectedRole(Protocol):
    """The part of a role that every process serves."""

    counters: Counters

    @property
    def generation(self) -> int:
        """Version of the route table that is applied."""


@runtime_checkable
class PlacingRole(Protocol):
    """A role that places flows: an agent."""

    def answer_explanation(self, query: str) -> Response:
        """Return where the flow that a query string describes would be placed now."""


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


async def answer_inspection(role: InspectedRole, request: Request) -> Response:
    """Return an explanation at its path, the metrics at every other."""
    path, _, query = request.path.partition("?")
    if path != EXPLANATION_PATH:
        return await answer_scrape(role.counters, role.generation, request)
    if request.method != "GET":
        return Response(405)
    if not isinstance(role, PlacingRole):
        return Response(404, b'{"error": "only agents place flows"}')
    return role.answer_explanation(query)
