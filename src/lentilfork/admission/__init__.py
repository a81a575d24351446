"""Admission control: slot queue, retry budget, rate limit and endpoint weight."""

from lentilfork.admission.budget import RetryBudget
from lentilfork.admission.queue import Refusal
from lentilfork.admission.queue import RefusalReason
from lentilfork.admission.queue import SlotQueue
from lentilfork.admission.rate import RateLimit
from lentilfork.admission.weight import EndpointWeight

__all__ = [
    "EndpointWeight",
    "RateLimit",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "SlotQueue",
]
