"""Decisions about where new work runs, as pure functions and small states.

Time is passed in, in seconds on the monotonic clock. Input: names and versions of
evacuated data centres (`EvacuationView.record`), rates of cold backend servers
(`WarmUpRate`) and the SYNs that a server got. Output: the evacuated data centres and
how many SYNs a server may get. Inputs of a placement are candidates, states of data
centres and the demand of a route; the result is a `Placement` with its reason.

`service_times` (`RouteWork`, `ServiceTimes`) and `shedding` (`Claim`, `CallerShares`,
`RefusedShares`, `Reason`) define the inputs and outputs of estimates and of refusals.
"""

from lentilfork.scheduling.data_centres import AgentLoad
from lentilfork.scheduling.data_centres import DataCentreState
from lentilfork.scheduling.data_centres import DataCentreTable
from lentilfork.scheduling.data_centres import LoadSums
from lentilfork.scheduling.evacuations import EvacuationView
from lentilfork.scheduling.placement import Candidate
from lentilfork.scheduling.placement import Placement
from lentilfork.scheduling.placement import Reason
from lentilfork.scheduling.placement import RouteDemand
from lentilfork.scheduling.placement import decide_placement
from lentilfork.scheduling.warm_up import WarmUpBounds
from lentilfork.scheduling.warm_up import WarmUpLimit
from lentilfork.scheduling.warm_up import WarmUpRate

__all__ = [
    "AgentLoad",
    "Candidate",
    "DataCentreState",
    "DataCentreTable",
    "EvacuationView",
    "LoadSums",
    "Placement",
    "Reason",
    "RouteDemand",
    "WarmUpBounds",
    "WarmUpLimit",
    "WarmUpRate",
    "decide_placement",
]
