"""Measures the memory of one kind of record in a separate process.

Usage: python -m lentilfork.bench.capacity_tables KIND COUNT
Prints as JSON the growth of unique memory and the size on the wire, in bytes.
"""

import gc
import json
import sys
import time
from collections.abc import Callable
from typing import Final

import psutil

from lentilfork.claims.records import Attempt
from lentilfork.claims.records import RecordTable
from lentilfork.claims.records import encode_record
from lentilfork.directory import Directory
from lentilfork.exchanges import Exchanges
from lentilfork.state.model import Agent
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service
from lentilfork.state.model import ShardName
from lentilfork.state.model import Voter
from lentilfork.state.snapshots import decode_snapshot
from lentilfork.state.snapshots import encode_snapshot

__all__ = ["KINDS"]

ANSWER_BYTES: Final = 64
KEY_BYTES: Final = 16
LIFETIME_S: Final = 3_600.0


def make_key(number: int) -> bytes:
    """Return a key as long as the system's own keys."""
    return number.to_bytes(KEY_BYTES, "big")


def fill_directory(count: int) -> tuple[object, int]:
    """Return a directory with entries, and 0 as they are never sent."""
    directory = Directory(LIFETIME_S)
    for number in range(count):
        directory.record(make_key(number), "agent-1", time.monotonic())
    return directory, 0


def fill_exchanges(count: int) -> tuple[object, int]:
    """Return a table of stored answers, and 0 as they are never sent."""
    exchanges = Exchanges()
    for number in range(count):
        exchanges.begin(make_key(number))
        exchanges.finish(make_key(number), number.to_bytes(ANSWER_BYTES, "big"))
    return exchanges, 0


def fill_claims(count: int) -> tuple[object, int]:
    """Return settled claims and their encoded size when voters transfer them."""
    table = RecordTable(count)
    runner = Voter("agent-1", 1)
    for number in range(count):
        key = make_key(number)
        attempt = Attempt(make_key(number + count), make_key(number), runner)
        table.claim(key, attempt, 0.0)
        table.settle_done(key, attempt, number.to_bytes(ANSWER_BYTES, "big"), 0.0)
    return table, sum(encode_record(record, 1.0).ByteSize() for record in table)


def fill_endpoints(count: int) -> tuple[object, int]:
    """Return a state of endpoints as decoded by a member, and its encoded size."""
    agents = {
        f"agent-{number}": Agent(
            f"agent-{number}",
            time.time_ns() // 1_000,
            "service-1",
            "centre-a",
            f"10.0.{number >> 8}.{number & 255}:6000",
            f"10.0.{number >> 8}.{number & 255}:7000",
            1,
            False,
            number,
        )
        for number in range(count)
    }
    return copy_through_snapshot(ClusterState(agents=agents))


def fill_addresses(count: int) -> tuple[object, int]:
    """Return a state of services, each with four claim shards, and its encoded size."""
    voters = tuple(Voter(f"agent-{number}", 1 << 50) for number in range(5))
    services = {
        f"service-{number}": Service(
            number + 1,
            f"service-{number}",
            f"10.9.{number >> 8}.{number & 255}",
            5683,
            2_000,
            (),
            number,
        )
        for number in range(count)
    }
    names = [ShardName(service, index) for service in services for index in range(4)]
    shards = {name: ClaimShard(name, 1, voters, ()) for name in names}
    return copy_through_snapshot(ClusterState(services=services, claim_shards=shards))


def copy_through_snapshot(state: ClusterState) -> tuple[object, int]:
    """Return a state decoded from its own snapshot, and the encoded size."""
    data = encode_snapshot(state).SerializeToString()
    return decode_snapshot(type(encode_snapshot(state)).FromString(data)), len(data)


KINDS: Final[dict[str, Callable[[int], tuple[object, int]]]] = {
    "directory entry": fill_directory,
    "kept answer": fill_exchanges,
    "claim record": fill_claims,
    "endpoint": fill_endpoints,
    "address": fill_addresses,
}


def main(kind: str, count: int) -> None:
    """Fill one kind of table and print its memory and message bytes."""
    process = psutil.Process()
    before = process.memory_full_info().uss
    table, message_bytes = KINDS[kind](count)
    gc.collect()
    grown_bytes = process.memory_full_info().uss - before
    print(json.dumps({"memory": grown_bytes, "message": message_bytes}))
    del table


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
