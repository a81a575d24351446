"""The deploy file against the losses that deployments have to bear."""

import tomllib
from pathlib import Path

import pytest

from lentilfork.platform.settings import CONTROLLERS_PER_ZONE

DEPLOY = Path(__file__).resolve().parents[2] / "deploy" / "system.toml"


# Guards against a configuration that can't be read after as many disks were lost as
# must be borne: three or four controllers bear the loss of one.
@pytest.mark.parametrize(
    ("data_centres", "disks", "tolerated"), [(3, 1, 1), (3, 2, 2), (4, 2, 2), (5, 1, 2)]
)
def test_enough_controllers_have_a_disk(
    data_centres: int, disks: int, tolerated: int
) -> None:
    roles = tomllib.loads(DEPLOY.read_text(encoding="utf-8"))["roles"]
    count = roles["controller"]["count"]
    voters = data_centres * min(count, disks)
    assert 2 * (voters - tolerated) > voters
    assert count == CONTROLLERS_PER_ZONE
