"""A long download returns the version of the content that it started with."""

from pathlib import Path

import pytest

from lentilfork.bench.caller_group import list_targets
from lentilfork.bench.content import check_content
from lentilfork.bench.content import make_content
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.lightweight_caller import LightweightCaller
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request
from lentilfork.counters import Counters
from lentilfork.settings import split_address
from tests.deployments import load_example
from tests.deployments import open_deployment
from tests.deployments import replace_endpoint

pytestmark = pytest.mark.deployment

PATH = "/artwork/pack-1"
DOWNLOAD = Request("artwork", Kind.DOWNLOAD, "GET", PATH, ())
BLOCKS_BEFORE = 10


class SlowDownload:
    """A caller that downloads one content, some blocks at a time."""

    def __init__(self, caller: LightweightCaller, deployment: Deployment) -> None:
        self.caller = caller
        self.address = split_address(deployment.get_address("artwork"))
        self.payload = b""
        self.etags: set[bytes] = set()
        self.block = 0
        self.more = True

    async def fetch(self, blocks: int) -> None:
        """Fetch up to a number of further blocks."""
        for _ in range(blocks):
            if not self.more:
                return
            message = await self.caller.socket.send_request(
                DOWNLOAD, self.address, self.block
            )
            assert message.code.is_successful(), message
            self.payload += message.payload
            self.etags.add(message.opt.etag)
            self.more = message.opt.block2.more
            self.block += 1


async def change_content(deployment: Deployment) -> None:
    for endpoint in list(deployment.plan.endpoints):
        if deployment.plan.endpoints[endpoint].service == "artwork":
            await deployment.set_behaviour(endpoint, content_version=2)


async def replace_all_endpoints(deployment: Deployment) -> None:
    for endpoint in list(deployment.plan.endpoints):
        if deployment.plan.endpoints[endpoint].service == "artwork":
            await replace_endpoint(deployment, endpoint)


CHANGES = {
    "new content": change_content,
    "all endpoints replaced": replace_all_endpoints,
}


@pytest.mark.timeout(180)
@pytest.mark.parametrize("change", CHANGES)
async def test_running_flow_keeps_its_version(change: str, tmp_path: Path) -> None:
    async with open_deployment(load_example("guild"), tmp_path) as deployment:
        targets = list_targets(deployment)
        caller = await LightweightCaller.open("slow", targets, Counters())
        download = SlowDownload(caller, deployment)
        await download.fetch(BLOCKS_BEFORE)
        await CHANGES[change](deployment)
        await download.fetch(1_000)
        await caller.close()
    assert not download.more
    assert len(download.etags) == 1
    assert check_content(download.payload, PATH)
    assert download.payload == make_content(PATH, 1)
