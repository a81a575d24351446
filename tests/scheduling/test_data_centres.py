"""States of data centres from load reports: aged, and None if unable to take load."""

from dataclasses import replace

import pytest

from lentilfork.scheduling import AgentLoad
from lentilfork.scheduling import DataCentreTable
from lentilfork.scheduling import LoadSums

NEARBY = LoadSums(5, 200.0, 2.0, 5, 7)
LOAD = AgentLoad(10.0, True, False, 1, 40.0, 0.4, 1, NEARBY)


def make_table(**changes: AgentLoad) -> DataCentreTable:
    table = DataCentreTable()
    for name, load in {"one": LOAD, **changes}.items():
        table.record(name, load)
    return table


# Guards against a state that covers the few watched agents only.
def test_sums_are_scaled_to_all_agents_of_the_data_centre() -> None:
    state = make_table().compute_state(["one"], 15, 10.1)
    assert state is not None
    assert state.capacity_per_s == pytest.approx(600)
    assert state.busy_share == pytest.approx(0.4)
    assert state.expected_wait_s == pytest.approx(2 / 200)
    assert state.spare_per_s == pytest.approx(360)


# Guards against load sent to a data centre from which no reports arrive any more.
def test_data_centre_is_unknown_after_three_missed_reports() -> None:
    assert make_table().compute_state(["one"], 5, 10.69) is not None
    assert make_table().compute_state(["one"], 5, 10.71) is None


# Guards against load sent to an evacuated data centre, or to one whose agents accept
# nothing, because of an earlier report of another of its agents.
def test_evacuated_or_empty_data_centre_takes_no_load() -> None:
    table = make_table(two=replace(LOAD, evacuated=True))
    assert table.compute_state(["one", "two"], 5, 10.1) is None
    assert make_table().compute_state(["one"], 0, 10.1) is None
    idle = replace(LOAD, accepting=False, nearby=LoadSums())
    assert make_table(one=idle).compute_state(["one"], 5, 10.1) is None


# Guards against sums that are forgotten between the reports that contain them, and
# against ones of a former process that are kept after its silence.
def test_last_sums_count_until_reports_stop() -> None:
    table = make_table()
    table.record("one", replace(LOAD, heard_at=10.1, nearby=LoadSums()))
    assert table.loads["one"].nearby == NEARBY
    table.record("one", replace(LOAD, heard_at=12.0, nearby=LoadSums()))
    assert table.loads["one"].nearby == LoadSums()


# Guards against sums that contain agents which were lost meanwhile.
def test_sum_over_agents_leaves_out_silent_ones() -> None:
    table = make_table(two=replace(LOAD, heard_at=9.0))
    assert table.sum_agents(["one", "two", "three"], 10.1).agents == 1
