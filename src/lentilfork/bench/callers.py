"""Simulated callers: send a request and retry it until its outcome is final.

`Caller` is an unmodified aiocoap client, like the callers in production; the module
`lightweight_caller` has a cheaper client for generating load. Each caller has its own
socket and one request at a time. A caller that gets "not run" retries the same
request, and one whose long answer changed during the download fetches it again from
the start. Any other outcome is final.
"""

import asyncio
import random
import time
from abc import ABC
from abc import abstractmethod
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Final

import aiocoap
from aiocoap import error
from aiocoap.numbers import codes

from lentilfork.bench.content import LONG_CONTENT_BYTES
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.outcomes import Reply
from lentilfork.bench.outcomes import classify_reply
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request
from lentilfork.bench.workload import Template
from lentilfork.bench.workload import make_request

__all__ = ["BaseCaller", "Caller", "Target", "run_caller"]

DEFAULT_REPEATS: Final = 5
RETRIED_OUTCOMES: Final = frozenset({Outcome.NOT_RUN, Outcome.RESTART})
# Added to the service's deadline to allow for the network delay of the answer.
DEADLINE_SLACK_S: Final = 1.0
# A download may take this many deadlines for all its blocks together.
DOWNLOAD_DEADLINES: Final = 4
MAXIMUM_PAUSE_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Target:
    """Address, deadline and answer size of a service, as its callers need them."""

    # "ip:port".
    address: str
    deadline_s: float
    # Size of the service's long answers.
    long_bytes: int = LONG_CONTENT_BYTES


class BaseCaller(ABC):
    """One caller; a subclass defines how a request is sent once."""

    name: str
    targets: Mapping[str, Target]
    # Largest number of retries of a request before its outcome is final.
    repeats: int

    def __init__(
        self, name: str, targets: Mapping[str, Target], repeats: int = DEFAULT_REPEATS
    ) -> None:
        self.name = name
        self.targets = targets
        self.repeats = repeats

    @abstractmethod
    async def exchange(self, request: Request, target: Target) -> Reply:
        """Send a request once and return the answer; raises aiocoap's errors."""

    @abstractmethod
    async def close(self) -> None:
        """Close the socket."""

    async def send_with_retries(self, request: Request) -> Record:
        """Send a request, with retries, until its outcome is final."""
        record = Record(request, time.time(), 0.0, Outcome.BROKEN)
        started_at = time.monotonic()
        for record.repeats in range(self.repeats + 1):
            record.outcome, record.detail, pause_s = await self.send_once(request)
            if record.outcome not in RETRIED_OUTCOMES:
                break
            record.restarts += record.outcome is Outcome.RESTART
            await asyncio.sleep(min(pause_s, MAXIMUM_PAUSE_S))
        record.latency_s = time.monotonic() - started_at
        return record

    async def send_once(self, request: Request) -> tuple[Outcome, str, float]:
        """Send a request once; returns outcome, detail and retry pause in seconds."""
        target = self.targets[request.service]
        try:
            async with asyncio.timeout(get_timeout_s(request, target)):
                reply = await self.exchange(request, target)
        except TimeoutError:
            return Outcome.BROKEN, "no answer in time", 0.0
        except error.ResourceChanged:
            return Outcome.RESTART, "content changed", 0.0
        except error.Error as problem:
            return Outcome.BROKEN, repr(problem), 0.0
        outcome = classify_reply(request, reply, target.long_bytes)
        detail = (
            f"{codes.Code(reply.code)} block {reply.block}: {reply.payload[:200]!r}"
        )
        return outcome, detail, float(reply.max_age_s)


class Caller(BaseCaller):
    """An unmodified aiocoap client."""

    context: aiocoap.Context

    def __init__(
        self,
        name: str,
        context: aiocoap.Context,
        targets: Mapping[str, Target],
        repeats: int = DEFAULT_REPEATS,
    ) -> None:
        super().__init__(name, targets, repeats)
        self.context = context

    @classmethod
    async def open(
        cls, name: str, targets: Mapping[str, Target], repeats: int = DEFAULT_REPEATS
    ) -> "Caller":
        """Return a caller with an open socket."""
        context = await aiocoap.Context.create_client_context(transports=["udp6"])
        return cls(name, context, targets, repeats)

    async def close(self) -> None:
        """Close the socket."""
        await self.context.shutdown()

    async def exchange(self, request: Request, target: Target) -> Reply:
        """Send a request once and return the answer; raises aiocoap's errors."""
        query = "&".join(request.query)
        uri = f"coap://{target.address}{request.path}" + (f"?{query}" if query else "")
        message = aiocoap.Message(
            code=codes.Code[request.method], uri=uri, payload=request.payload
        )
        response: Any = await self.context.request(message).response
        block = response.request.opt.block2
        return Reply(
            code=int(response.code),
            payload=response.payload,
            block=block.block_number if block else 0,
            max_age_s=response.opt.max_age or 0,
        )


def get_timeout_s(request: Request, target: Target) -> float:
    """Return the time allowed for the whole answer, in seconds."""
    deadlines = DOWNLOAD_DEADLINES if request.kind is Kind.DOWNLOAD else 1
    return deadlines * target.deadline_s + DEADLINE_SLACK_S


async def run_caller(
    caller: BaseCaller,
    templates: Sequence[Template],
    records: list[Record],
    stopped: asyncio.Event,
    mean_pause_s: float,
    seed: int,
) -> None:
    """Send one request after another until `stopped`; the last one is completed."""
    rng = random.Random(f"{seed}/{caller.name}")
    number = 0
    while not stopped.is_set():
        number += 1
        template = rng.choice(templates)
        request = make_request(template, rng, f"{caller.name}-{number}")
        records.append(await caller.send_with_retries(request))
        pause_s = rng.expovariate(1 / mean_pause_s)
        try:
            async with asyncio.timeout(pause_s):
                await stopped.wait()
        except TimeoutError:
            continue
