"""Which agent gets a new CoAP request."""

import random

from lentilfork.routing.loads import LoadTable
from lentilfork.routing.placement import choose_agent
from lentilfork.state.model import Agent

DATA_CENTRES = ("north", "south", "west")


def make_agents(count: int) -> list[Agent]:
    """Return agents that belong to the data centres in rotation."""
    return [
        Agent(
            f"agent-{number}",
            1,
            "chairs",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            "127.0.0.1:1",
            "127.0.0.1:2",
            1,
            draining=False,
            joined=1,
        )
        for number in range(count)
    ]


# Guards against requests for evacuated agents, also when all others have failed.
def test_agent_in_an_evacuated_data_centre_is_never_chosen() -> None:
    rng = random.Random(1)
    evacuated = frozenset({"north", "west"})
    agents = make_agents(9)
    for _ in range(50):
        chosen = choose_agent(agents, LoadTable(), (), 1.0, rng, evacuated)
        assert chosen is not None
        assert chosen.data_centre == "south"
    tried = ("agent-1", "agent-4", "agent-7")
    assert choose_agent(agents, LoadTable(), tried, 1.0, rng, evacuated) is None
