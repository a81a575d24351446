"""Computes latencies of an ideal single queue, a near-optimal bound on placement.

All slots of a service serve one queue in order of arrival. An arrival that finds
several slots free takes the fastest. Only queueing and service take time.
"""

import heapq
from collections.abc import Iterable
from collections.abc import Sequence

from lentilfork.bench.description import ServiceDescription
from lentilfork.bench.trace import Arrival
from lentilfork.bench.workload import Kind

__all__ = ["compute_ideal_latencies"]


def list_slot_speeds(service: ServiceDescription) -> list[float]:
    """Return the speed of each slot of a service."""
    return [
        service.speeds[number % len(service.speeds)]
        for number in range(service.endpoints)
        for _ in range(service.slots)
    ]


def compute_ideal_latencies(
    service: ServiceDescription, arrivals: Iterable[Arrival]
) -> list[float]:
    """Return the sojourn times in seconds of arrivals of the service, in order."""
    name = service.definition.name
    own_arrivals = [arrival for arrival in arrivals if arrival.request.service == name]
    return serve_in_order(service, own_arrivals, list_slot_speeds(service))


def serve_in_order(
    service: ServiceDescription, arrivals: Sequence[Arrival], speeds: Sequence[float]
) -> list[float]:
    """Return sojourn times in seconds, served first come, first served."""
    mean_s = get_mean_time(service, arrivals)
    # Heaps of free slots, fastest first, and of busy slots, earliest to finish first.
    free = [(-speed, slot) for slot, speed in enumerate(speeds)]
    busy: list[tuple[float, int]] = []
    heapq.heapify(free)
    times_s = []
    for arrival in arrivals:
        while busy and busy[0][0] <= arrival.at_s:
            _, slot = heapq.heappop(busy)
            heapq.heappush(free, (-speeds[slot], slot))
        started_s, slot = acquire_slot(arrival.at_s, free, busy)
        finished_s = started_s + mean_s * arrival.work / speeds[slot]
        heapq.heappush(busy, (finished_s, slot))
        times_s.append(finished_s - arrival.at_s)
    return times_s


def get_mean_time(service: ServiceDescription, arrivals: Sequence[Arrival]) -> float:
    """Return the mean service time of a request at speed 1, in seconds."""
    is_long = bool(arrivals) and arrivals[0].request.kind is Kind.DOWNLOAD
    mean_ms = service.long_service_time_ms if is_long else service.service_time_ms
    return mean_ms / 1000


def acquire_slot(
    at_s: float, free: list[tuple[float, int]], busy: list[tuple[float, int]]
) -> tuple[float, int]:
    """Return the start time of the next request and the slot it acquires."""
    if free:
        _, slot = heapq.heappop(free)
        return at_s, slot
    return heapq.heappop(busy)
