"""States of data centres from load reports: aged, and None if unable to take load."""

from dataclasses import replace

import pytest

from lentilfork.scheduling import AgentLoad
from lentilfork.scheduling import BusyShare
from lentilfork.scheduling import DataCentreTable
from lentilfork.scheduling import LoadSums
from lentilfork.scheduling import RouteProfiles

NEARBY = LoadSums(5, 200.0, 2.0, 5, 7)
LOAD = AgentLoad(10.0, True, False, 1, 40.0, 0.4, 1, NEARBY)
ROUTE = (1, 443)


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


# Guards against a mean that counts an event at the time of its report.
def test_busy_share_is_the_mean_over_time() -> None:
    share = BusyShare()
    for step in range(1001):
        now = step * 0.01
        busy = share.update(step % 4 == 0, 1, now)
    assert busy == pytest.approx(0.25, abs=0.01)


# Guards against long flows that are taken for short ones, and the reverse after a
# single retry.
def test_route_with_many_requests_on_a_flow_has_long_flows() -> None:
    profiles = RouteProfiles()
    profile = profiles.get_or_create(ROUTE)
    for number in range(40):
        profiles.record_flow(ROUTE)
        profiles.record_request(ROUTE)
        profiles.record_bytes(ROUTE, 1_000)
        if number % 10 == 0:
            profiles.record_request(ROUTE)
    assert not profile.has_long_flows
    assert profile.bytes_per_flow == pytest.approx(1_000)
    for _ in range(40):
        profiles.record_flow(ROUTE)
        for _ in range(20):
            profiles.record_request(ROUTE)
    assert profile.has_long_flows
