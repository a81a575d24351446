"""Deltas between generations: lossless, and refused for any other state."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from result import Err
from result import Ok

from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state import apply_delta
from lentilfork.state import compute_digest
from lentilfork.state import decode_snapshot
from lentilfork.state import encode_snapshot
from lentilfork.state import make_delta
from lentilfork.state.model import ClusterState

NAMES = strategies.sampled_from(["a", "b", "c"])
NUMBERS = strategies.integers(1, 3)


def make_agent(name: str, number: int) -> state_pb2.Agent:
    """Return an agent."""
    return state_pb2.Agent(
        name=name,
        incarnation=number,
        service="a",
        data_centre="salvador",
        packet_address="10.0.0.1:1",
        control_address="10.0.0.1:2",
        slots=number,
    )


def make_shard(name: str, number: int) -> state_pb2.ClaimShard:
    """Return a claim shard."""
    voters = [state_pb2.Voter(agent=name, incarnation=number)]
    return state_pb2.ClaimShard(service=name, epoch=number, voters=voters)


def make_preset(name: str, number: int) -> state_pb2.Preset:
    """Return a preset."""
    return state_pb2.Preset(name=name, queue_time_ms=number)


def make_service(name: str, number: int) -> state_pb2.Service:
    """Return a service with an address derived from its name."""
    return state_pb2.Service(
        name=name, address=f"10.0.0.{ord(name)}", port=number, deadline_ms=1
    )


def make_controllers(name: str, number: int) -> state_pb2.ControllerSet:
    """Return a set of one controller."""
    controller = state_pb2.Controller(name=name, voter=True, disk_id=number)
    return state_pb2.ControllerSet(controllers=[controller])


Maker = Callable[[str, int], object]
MAKERS: dict[str, Maker] = {
    "apply_service": make_service,
    "remove_service": lambda name, _number: name,
    "apply_preset": make_preset,
    "remove_preset": lambda name, _number: name,
    "use_preset": lambda name, _number: name,
    "put_agent": make_agent,
    "remove_agent": lambda name, n: state_pb2.Voter(agent=name, incarnation=n),
    "put_balancer": lambda name, n: state_pb2.Balancer(name=name, incarnation=n),
    "remove_balancer": lambda name, n: state_pb2.Voter(agent=name, incarnation=n),
    "put_claim_shard": make_shard,
    "put_controllers": make_controllers,
    "put_evacuation": lambda name, n: state_pb2.Evacuation(
        data_centre=name, active=n > 1
    ),
}
CHANGES = strategies.tuples(strategies.sampled_from(sorted(MAKERS)), NAMES, NUMBERS)


def apply_changes(
    state: ReplicatedState, changes: list[tuple[str, str, int]]
) -> ReplicatedState:
    """Return the state after changes, some of which are refused."""
    for kind, name, number in changes:
        fields = {kind: MAKERS[kind](name, number)}
        # The names and types of the fields are those of Change.
        change = state_pb2.Change(**fields)  # type: ignore[arg-type]
        state, _ = apply_change(state, change)
    return state


@settings(max_examples=300, derandomize=True, deadline=None)
@given(strategies.lists(CHANGES, max_size=12), strategies.lists(CHANGES, max_size=12))
def test_delta_and_snapshot_lead_to_the_same_state(
    before: list[tuple[str, str, int]], after: list[tuple[str, str, int]]
) -> None:
    old = apply_changes(ReplicatedState(), before)
    new = apply_changes(old, after).cluster
    assert decode_snapshot(encode_snapshot(new)) == new
    if new.generation == old.cluster.generation:
        return
    assert compute_digest(new) != compute_digest(old.cluster)
    assert apply_delta(old.cluster, make_delta(old.cluster, new)) == Ok(new)


def make_states() -> tuple[ClusterState, ClusterState]:
    """Return two consecutive generations."""
    first = apply_changes(ReplicatedState(), [("apply_service", "a", 1)])
    second = apply_changes(first, [("put_agent", "b", 1)])
    return first.cluster, second.cluster


# Digest of the first state of `make_states` in builds that knew no evacuations.
DIGEST_BEFORE_EVACUATIONS = 4_301_036_117_269_232_544

REFUSED: dict[str, tuple[dict[str, int], str]] = {
    "gap": ({"base": 7, "generation": 8}, "made for generation 7"),
    "lower generation": ({"generation": 1}, "not above"),
    "wrong digest": ({"digest": 1}, "wrong digest"),
}


@pytest.mark.parametrize(("fields", "message"), REFUSED.values(), ids=REFUSED)
def test_delta_for_another_state_is_refused(
    fields: dict[str, int], message: str
) -> None:
    old, new = make_states()
    delta = make_delta(old, new)
    for name, value in fields.items():
        setattr(delta, name, value)
    refused = apply_delta(old, delta)
    assert isinstance(refused, Err)
    assert message in refused.err_value.message


def test_delta_for_a_diverged_state_is_refused() -> None:
    old, new = make_states()
    diverged = replace(old, active_preset="peak")
    delta = make_delta(old, new)
    delta.active_preset = ""
    assert isinstance(apply_delta(diverged, delta), Err)


# Guards against a member that never learns of an evacuation, or of its end, because
# the delta leaves it out.
def test_delta_carries_the_start_and_the_end_of_an_evacuation() -> None:
    before, _ = make_states()
    first = apply_changes(ReplicatedState(), [("apply_service", "a", 1)])
    started = apply_changes(first, [("put_evacuation", "a", 2)])
    ended = apply_changes(started, [("put_evacuation", "a", 1)])
    delta = make_delta(before, started.cluster)
    applied = apply_delta(before, delta).unwrap()
    assert applied.evacuated == ("a",)
    again = apply_delta(applied, make_delta(applied, ended.cluster)).unwrap()
    assert (again.evacuated, again.evacuation_version) == ((), 3)


# Guards against members that keep requesting snapshots from a newer build: without an
# evacuation, its digests, deltas and snapshots must be those of builds before it.
def test_state_without_evacuations_is_encoded_as_before() -> None:
    old, new = make_states()
    assert compute_digest(old) == DIGEST_BEFORE_EVACUATIONS
    assert not make_delta(old, new).evacuations
    assert not encode_snapshot(new).evacuations
