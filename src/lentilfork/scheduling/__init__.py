"""Decisions on where and when requests are served, without any input or output.

Inputs of a placement are candidates, states of data centres and the demand of a route;
the result is a `Placement` with its reason. `forwarding` translates between these and
its messages.
"""

from lentilfork.scheduling.busy_share import BusyShare
from lentilfork.scheduling.data_centres import AgentLoad
from lentilfork.scheduling.data_centres import DataCentreState
from lentilfork.scheduling.data_centres import DataCentreTable
from lentilfork.scheduling.data_centres import LoadSums
from lentilfork.scheduling.placement import Candidate
from lentilfork.scheduling.placement import Placement
from lentilfork.scheduling.placement import Reason
from lentilfork.scheduling.placement import RouteDemand
from lentilfork.scheduling.placement import decide_placement
from lentilfork.scheduling.route_profiles import RouteProfile
from lentilfork.scheduling.route_profiles import RouteProfiles

__all__ = [
    "AgentLoad",
    "BusyShare",
    "Candidate",
    "DataCentreState",
    "DataCentreTable",
    "LoadSums",
    "Placement",
    "Reason",
    "RouteDemand",
    "RouteProfile",
    "RouteProfiles",
    "decide_placement",
]
