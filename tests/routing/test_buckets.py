"""Bucket owners: the same on all processes, and stable when an agent is removed."""

import pytest

from lentilfork.routing.buckets import BUCKET_COUNT
from lentilfork.routing.buckets import rank_agents
from lentilfork.state.model import Agent


def make_agents(count: int) -> list[Agent]:
    return [
        Agent(f"agent-{n}", 1, "s", "kandy-a", "", "", 1, False, 1)
        for n in range(count)
    ]


def list_owners(agents: list[Agent]) -> list[str]:
    return [rank_agents(agents, bucket)[0].name for bucket in range(BUCKET_COUNT)]


@pytest.mark.parametrize("count", [2, 3, 7])
def test_removed_agent_moves_only_its_own_buckets(count: int) -> None:
    agents = make_agents(count)
    before = list_owners(agents)
    after = list_owners(agents[1:])
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {agents[0].name}
    assert moved.count(agents[0].name) == before.count(agents[0].name)


def test_owners_do_not_depend_on_the_order_of_agents() -> None:
    agents = make_agents(7)
    assert list_owners(agents) == list_owners(agents[::-1])


def test_draining_agent_owns_nothing_while_others_are_available() -> None:
    agents = make_agents(3)
    drained = Agent("agent-0", 1, "s", "kandy-a", "", "", 1, True, 1)
    assert "agent-0" not in list_owners([drained, *agents[1:]])
    assert set(list_owners([drained])) == {"agent-0"}
