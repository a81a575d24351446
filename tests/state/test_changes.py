"""Application of changes to the replicated state, and the results of changes."""

import pytest

from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state import decode_replicated
from lentilfork.state import encode_replicated
from lentilfork.state import replicated
from lentilfork.state.ledger import CHUNK_ITEMS


def make_service(name: str = "chairs", port: int = 5683) -> state_pb2.Service:
    """Return a valid service."""
    return state_pb2.Service(name=name, address="10.0.0.1", port=port, deadline_ms=900)


def make_agent(incarnation: int, joined: int = 0) -> state_pb2.Agent:
    """Return a valid agent at an incarnation."""
    return state_pb2.Agent(
        name="agent-1",
        incarnation=incarnation,
        service="chairs",
        data_centre="recife",
        packet_address="10.0.0.9:7001",
        control_address="10.0.0.9:7000",
        slots=2,
        joined=joined,
    )


def make_change(
    number: int = 1, operator: str = "ana", **kind: object
) -> state_pb2.Change:
    """Return a change; `kind` is the field that it sets."""
    # The names and types of the fields are those of Change.
    return state_pb2.Change(change_id=f"id-{number}", operator=operator, **kind)  # type: ignore[arg-type]


def apply_all(*changes: state_pb2.Change) -> ReplicatedState:
    """Return the state after changes, each of which must be accepted."""
    state = ReplicatedState()
    for change in changes:
        state, result = apply_change(state, change)
        assert result.outcome == state_pb2.ACCEPTED, result
    return state


def test_loser_of_concurrent_changes_gets_the_change_that_won() -> None:
    state = apply_all(make_change(1, apply_service=make_service()))
    version = state.cluster.services["chairs"].version
    first = make_change(2, apply_service=make_service(port=1), expected_version=version)
    second = make_change(3, "rui", remove_service="chairs", expected_version=version)
    state, won = apply_change(state, first)
    state, lost = apply_change(state, second)
    assert won.outcome == state_pb2.ACCEPTED
    assert lost.outcome == state_pb2.VERSION_CONFLICT
    assert (lost.conflict.change_id, lost.conflict.operator) == ("id-2", "ana")
    assert lost.conflict.generation == state.cluster.generation == won.generation
    assert state.cluster.services["chairs"].port == 1


def test_conflict_names_a_removal_that_won() -> None:
    state = apply_all(
        make_change(1, apply_service=make_service()),
        make_change(2, "rui", remove_service="chairs"),
    )
    late = make_change(3, apply_service=make_service(), expected_version=1)
    state, lost = apply_change(state, late)
    assert lost.outcome == state_pb2.VERSION_CONFLICT
    assert (lost.conflict.change_id, lost.conflict.operator) == ("id-2", "rui")


def test_repeated_change_gets_its_first_result_after_a_snapshot() -> None:
    change = make_change(1, apply_service=make_service(), expected_version=0)
    state, first = apply_change(ReplicatedState(), change)
    state, _ = apply_change(state, make_change(2, remove_service="chairs"))
    restored = decode_replicated(
        state_pb2.Snapshot.FromString(encode_replicated(state).SerializeToString())
    )
    assert restored == state
    after, repeated = apply_change(restored, change)
    assert repeated == first
    assert after == restored, "a repeated change changes nothing"


def test_results_and_history_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lentilfork.state.changes.HISTORY_KEPT", 200)
    monkeypatch.setattr("lentilfork.state.changes.SYSTEM_RESULTS_KEPT", 5)
    assert replicated.OPERATOR_RESULTS_KEPT >= 10_000
    assert replicated.HISTORY_KEPT >= 10_000
    operators = [make_change(number, use_preset="peak") for number in range(500)]
    system = [
        make_change(number, "", put_agent=make_agent(number))
        for number in range(500, 800)
    ]
    state = apply_all(*operators)
    restored = decode_replicated(encode_replicated(state))
    for change in system:
        state, _ = apply_change(state, change)
        restored, _ = apply_change(restored, change)
    # A replica restored from a snapshot drops the same items as the others.
    assert restored == state
    assert 200 <= len(state.history) < 200 + CHUNK_ITEMS
    assert state.history_dropped + len(state.history) == 500
    assert state.history[-1].change_id == "id-499"
    assert len(state.system_results) < 5 + CHUNK_ITEMS
    assert state.find_result("id-0"), "system changes evict no results of operators"


INVALID = {
    "upper case name": {"apply_service": make_service("Chairs")},
    "no address": {"apply_service": state_pb2.Service(name="a", port=1, deadline_ms=1)},
    "port 0": {"apply_service": make_service("other", port=0)},
    "address taken": {"apply_service": make_service("other")},
    "unknown service": {"remove_service": "other"},
    "unknown preset": {"use_preset": "holiday"},
    "active preset": {"remove_preset": "ordinary-day"},
    "replaced incarnation": {"put_agent": make_agent(11)},
    "joined before the current incarnation": {"put_agent": make_agent(13, joined=2)},
    "other incarnation": {
        "remove_agent": state_pb2.Voter(agent="agent-1", incarnation=11)
    },
    "evacuation without a name": {"put_evacuation": state_pb2.Evacuation(active=True)},
    "evacuation with a long name": {
        "put_evacuation": state_pb2.Evacuation(data_centre="a" * 256)
    },
    "empty change": {},
}


@pytest.mark.parametrize("kind", INVALID.values(), ids=INVALID.keys())
def test_invalid_change_is_refused_and_changes_nothing(kind: dict[str, object]) -> None:
    state = apply_all(
        make_change(1, apply_service=make_service()),
        make_change(2, "", put_agent=make_agent(11)),
        make_change(3, "", put_agent=make_agent(12)),
    )
    after, result = apply_change(state, make_change(4, "ana", **kind))
    assert result.outcome == state_pb2.INVALID
    assert result.message
    assert after.cluster == state.cluster
    assert after.history == state.history


def test_service_keeps_its_id_and_ids_are_not_reused() -> None:
    state = apply_all(
        make_change(1, apply_service=make_service()),
        make_change(2, apply_service=make_service(port=9)),
        make_change(3, apply_service=make_service("other")),
        make_change(4, remove_service="other"),
        make_change(5, apply_service=make_service("third")),
    )
    assert state.cluster.services["chairs"].id == 1
    assert state.cluster.services["third"].id == 3
    assert state.cluster.generation == 5


def test_claim_shard_with_other_voters_needs_a_higher_epoch() -> None:
    def put(number: int, epoch: int, *voters: str) -> state_pb2.Change:
        shard = state_pb2.ClaimShard(
            service="chairs",
            epoch=epoch,
            voters=[state_pb2.Voter(agent=name, incarnation=1) for name in voters],
        )
        return make_change(number, "", put_claim_shard=shard)

    state = apply_all(put(1, 1, "a", "b"), put(2, 2, "a", "c"))
    for number, change in enumerate((put(3, 2, "a", "d"), put(4, 1, "a", "b"))):
        state, result = apply_change(state, change)
        assert result.outcome == state_pb2.INVALID, number


def make_evacuation(
    number: int, active: bool, expected: int | None = None, name: str = "north"
) -> state_pb2.Change:
    """Return a change that starts or ends an evacuation."""
    change = make_change(
        number, put_evacuation=state_pb2.Evacuation(data_centre=name, active=active)
    )
    if expected is not None:
        change.expected_version = expected
    return change


# Guards against a command that was delayed and undoes the later withdrawal: an ended
# evacuation must keep its version.
def test_delayed_evacuation_does_not_undo_its_withdrawal() -> None:
    state = apply_all(make_evacuation(1, True, 0), make_evacuation(2, False, 1))
    state, delayed = apply_change(state, make_evacuation(3, True, 0))
    assert delayed.outcome == state_pb2.VERSION_CONFLICT
    assert (state.cluster.evacuated, state.cluster.evacuation_version) == ((), 2)


# Guards against a proposal that is still under way when the opposite command, which
# was already in effect, is acknowledged: the repetition must raise the version.
def test_repeated_evacuation_raises_its_version() -> None:
    state = apply_all(make_evacuation(1, True), make_evacuation(2, True, 1))
    _, late = apply_change(state, make_evacuation(3, False, 1))
    assert late.outcome == state_pb2.VERSION_CONFLICT
    assert state.cluster.evacuation_version == 2


# Guards against evacuations of different data centres that conflict with each other.
def test_evacuations_of_different_data_centres_do_not_conflict() -> None:
    state = apply_all(make_evacuation(1, True, 0), make_evacuation(2, True, 0, "Süd/1"))
    assert state.cluster.evacuated == ("Süd/1", "north")
    assert [entry.summary for entry in state.history] == [
        "start evacuation/north",
        "start evacuation/Süd/1",
    ]
    assert decode_replicated(encode_replicated(state)) == state
