"""Choice of watched agents that gives each agent equally many watchers."""

from collections import Counter

import pytest

from lentilfork.forwarding.watched_agents import choose_evenly
from tests.forwarding.test_load_exchange import make_records


# Guards against servers that no owner but their own agent's compares, and against data
# centres that an owner knows nothing of.
@pytest.mark.parametrize("agents", [12, 30, 52, 200])
def test_each_agent_is_watched_by_equally_many_nearby(agents: int) -> None:
    records = make_records(agents)
    watchers: Counter[str] = Counter()
    for record in records:
        watched = choose_evenly(record.name, record.data_centre, records)
        assert len({agent.name for agent in watched}) == 7
        assert len({agent.data_centre for agent in watched}) == 3
        watchers.update(
            agent.name for agent in watched if agent.data_centre == record.data_centre
        )
    assert len(set(watchers.values())) == 1
    assert len(watchers) == agents
