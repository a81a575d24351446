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


# Guards against owners of an evacuated data centre that all watch the same servers.
def test_agents_elsewhere_are_watched_evenly_from_an_evacuated_data_centre() -> None:
    records = make_records(42)
    evacuated = records[0].data_centre
    watchers: Counter[str] = Counter()
    for record in records:
        if record.data_centre == evacuated:
            watched = choose_evenly(
                record.name, record.data_centre, records, (evacuated,)
            )
            watchers.update(agent.name for agent in watched)
    assert evacuated not in {
        record.data_centre for record in records if record.name in watchers
    }
    assert len(watchers) == 28
    assert max(watchers.values()) <= 2 * sum(watchers.values()) / len(watchers)
