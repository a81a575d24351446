"""A member process that only maintains its membership and records its lease.

Usage: member_process.py NAME SERVICE DATA_CENTRE OWN_ADDRESS CONTROLLER...
"""

import asyncio
import sys

from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.inspection import InspectionService
from lentilfork.membership import MembershipClient
from lentilfork.membership import draw_incarnation
from lentilfork.membership import read_clock_ms
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import control_pb2
from lentilfork.schema import state_pb2

POLL_S = 0.005
STOPPED_MS = 2_000


async def run(
    name: str, service: str, data_centre: str, address: str, *controllers: str
) -> None:
    agent = state_pb2.Agent(
        name=name,
        incarnation=draw_incarnation(),
        service=service,
        data_centre=data_centre,
        packet_address=address,
        control_address=address,
        slots=1,
    )
    counters = Counters()
    channels = Channels()
    membership = MembershipClient(
        controllers, channels, counters, lambda: control_pb2.Heartbeat(agent=agent)
    )
    # Each change of the lease: whether it became valid, and the generation then.
    lease_changes: list[tuple[bool, int]] = []
    # Whether the lease was valid at the first poll after each stop of the process.
    valid_after_stops: list[bool] = []

    def make_dump() -> dict[str, object]:
        return {
            **membership.dump(),
            "leases": lease_changes,
            "woken": valid_after_stops,
            "incarnation": agent.incarnation,
            "agents": sorted(membership.state.agents),
        }

    server = channels.make_server(address)
    admin_pb2_grpc.add_InspectionServicer_to_server(
        InspectionService(make_dump, counters), server
    )
    await server.start()
    client_task = asyncio.create_task(membership.run())
    last_poll_ms = read_clock_ms()
    while not client_task.done():
        is_valid = membership.has_valid_lease
        if read_clock_ms() - last_poll_ms > STOPPED_MS:
            valid_after_stops.append(is_valid)
        last_poll_ms = read_clock_ms()
        if is_valid != (bool(lease_changes) and lease_changes[-1][0]):
            lease_changes.append((is_valid, membership.state.generation))
        await asyncio.sleep(POLL_S)


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
