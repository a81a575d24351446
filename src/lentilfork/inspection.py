"""The gRPC service Inspection, with which every process returns a dump.

A dump is a snapshot of the process state for debugging.
"""

import json
import os
from collections.abc import Callable
from typing import Any
from typing import Final

from lentilfork import VERSION
from lentilfork.counters import Counters
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc

__all__ = ["InspectionService"]

# Longest dump that is sent whole; gRPC refuses messages of more than 4 MiB.
MAXIMUM_DUMP_CHARACTERS: Final = 4_000_000


class InspectionService(admin_pb2_grpc.InspectionServicer):
    """Returns the dump of one role with its counters and process id."""

    # Returns the state of the role as JSON values.
    make_dump: Callable[[], dict[str, object]]
    counters: Counters

    def __init__(
        self, make_dump: Callable[[], dict[str, object]], counters: Counters
    ) -> None:
        self.make_dump = make_dump
        self.counters = counters

    async def Dump(  # noqa: N802
        self, request: admin_pb2.DumpRequest, context: Any
    ) -> admin_pb2.DumpReply:
        """Return the state of this process as JSON text; a long one is truncated."""
        document = {
            "version": VERSION,
            "pid": os.getpid(),
            "counters": self.counters.dump(),
            **self.make_dump(),
        }
        text = json.dumps(document, default=str)
        if len(text) > MAXIMUM_DUMP_CHARACTERS:
            text = json.dumps({"truncated": text[: MAXIMUM_DUMP_CHARACTERS // 2]})
        return admin_pb2.DumpReply(json=text)
