"""Decisions about where new work runs, as pure functions and small states.

Time is passed in, in seconds on the monotonic clock. Input: names and versions of
evacuated data centres (`EvacuationView.record`), rates of cold backend servers
(`WarmUpRate`) and the SYNs that a server got. Output: the evacuated data centres and
how many SYNs a server may get.

`service_times` (`RouteWork`, `ServiceTimes`) and `shedding` (`Claim`, `CallerShares`,
`RefusedShares`, `Reason`) define the inputs and outputs of estimates and of refusals.
"""

from lentilfork.scheduling.evacuations import EvacuationView
from lentilfork.scheduling.warm_up import WarmUpBounds
from lentilfork.scheduling.warm_up import WarmUpLimit
from lentilfork.scheduling.warm_up import WarmUpRate

__all__ = ["EvacuationView", "WarmUpBounds", "WarmUpLimit", "WarmUpRate"]
