"""Price of traffic between data centres in presets: stored, checked, and in digests."""

from dataclasses import replace

import pytest

from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state import compute_digest
from lentilfork.state import decode_snapshot
from lentilfork.state import encode_snapshot
from lentilfork.state.codec import decode_preset
from lentilfork.state.codec import encode_preset
from lentilfork.state.model import BUILT_IN_PRESETS
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import TransferCost

PRESET = BUILT_IN_PRESETS[0]


# Guards against a price of 0 or "never" that a snapshot or a restart turns into the
# default.
@pytest.mark.parametrize("ms_per_mb", [0, 7, 1_000, 1_000_000, None])
def test_price_survives_the_codec_and_snapshots(ms_per_mb: int | None) -> None:
    preset = replace(PRESET, transfer_cost=TransferCost(ms_per_mb))
    assert decode_preset(encode_preset(preset)) == preset
    change = state_pb2.Change(apply_preset=encode_preset(preset))
    state, _ = apply_change(ReplicatedState(), change)
    assert state.cluster.presets[PRESET.name].transfer_cost.ms_per_mb == ms_per_mb
    assert decode_snapshot(encode_snapshot(state.cluster)) == state.cluster


# Guards against members of two builds whose digests differ although no price is set.
def test_preset_without_a_price_is_encoded_as_by_earlier_builds() -> None:
    message = encode_preset(PRESET)
    assert not message.HasField("transfer_cost")
    assert decode_preset(message).transfer_cost == DEFAULT_TRANSFER_COST


# Guards against a changed price that members do not notice.
def test_digest_depends_on_the_price() -> None:
    cluster = ReplicatedState().cluster
    priced = replace(PRESET, transfer_cost=TransferCost(None))
    presets = cluster.presets | {PRESET.name: priced}
    assert compute_digest(cluster) != compute_digest(replace(cluster, presets=presets))


# Guards against prices that overflow later computations.
def test_price_beyond_the_range_is_refused() -> None:
    message = encode_preset(PRESET)
    message.transfer_cost.ms_per_mb = 1_000_001
    _, result = apply_change(ReplicatedState(), state_pb2.Change(apply_preset=message))
    assert result.outcome == state_pb2.INVALID
    assert "transfer_ms_per_mb" in result.message
