"""Fetches of route tables from controllers that are slow or don't answer."""

import asyncio
import zlib

from lentilfork.bench.emulation.loop import VirtualLoop
from lentilfork.forwarding.membership import AVOID_CONTROLLER_S
from lentilfork.forwarding.table_fetcher import TableFetcher
from lentilfork.schema import state_pb2
from tests.forwarding.members import CONTROLLERS
from tests.forwarding.members import NOW
from tests.forwarding.members import VERSION
from tests.forwarding.members import hear
from tests.forwarding.members import make_member

# A change applies everywhere within this time after its acknowledgement.
APPLY_S = 5.0


# Guards against a member that stays without a table because it asks the same controller
# again and again, which doesn't answer in time.
async def test_controller_without_an_answer_is_avoided_for_some_time() -> None:
    member = make_member("agent-1")
    hear(member, CONTROLLERS[:1], data_centre="west")
    hear(member, CONTROLLERS[1:])
    fetcher = TableFetcher(member, lambda: None)
    fetcher.start_if_needed(NOW)
    await asyncio.gather(*fetcher.tasks)
    failed_at = member.controllers[CONTROLLERS[0]].fetch_failed_at
    for view in member.controllers.values():
        view.last_heard_at = failed_at
    newer = member.find_newer_table(failed_at)
    assert newer is not None
    assert newer[0] != CONTROLLERS[0]
    for view in member.controllers.values():
        view.last_heard_at = failed_at + AVOID_CONTROLLER_S + 0.1
    newer = member.find_newer_table(failed_at + AVOID_CONTROLLER_S + 0.1)
    assert newer == (CONTROLLERS[0], VERSION)


# Guards against a change that isn't in force at a member whose link is full: each fetch
# was given up after a second, and the next one began anew.
def test_table_arrives_over_a_link_on_which_each_fetch_takes_long() -> None:
    loop = VirtualLoop()
    started_at = loop.time()
    member = make_member("balancer-1")
    asked = []

    async def read_slowly(host: str, _port: int) -> bytes:
        asked.append(host)
        await asyncio.sleep(2.5)
        table = state_pb2.RouteTable(version=VERSION)
        return zlib.compress(table.SerializeToString())

    async def follow() -> None:
        fetcher = TableFetcher(member, lambda: None, read_slowly)
        while member.routes.version < VERSION and loop.time() - started_at < APPLY_S:
            hear(member, now=loop.time())
            fetcher.start_if_needed(loop.time())
            await asyncio.sleep(0.2)

    loop.run_until_complete(follow())
    assert member.routes.version == VERSION
    assert loop.time() - started_at < APPLY_S
    assert len(set(asked)) == len(asked)
    loop.close()
