"""The Inspection service, which every process answers: a dump of its state."""

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

# Longest dump that is sent; gRPC refuses messages of 4 MiB.
MAXIMUM_DUMP_CHARACTERS: Final = 4_000_000


class InspectionService(admin_pb2_grpc.InspectionServicer):
    """Answer with the dump of one role, its counters and its process."""

    # Returns the role's state as JSON values.
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
        """Return the state of this process as JSON."""
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
