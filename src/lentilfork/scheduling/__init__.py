"""Decisions about load: who is served, where and when.

The package opens no socket and reads no clock. Its inputs and outputs are defined in
`service_times` (`RouteWork`, `ServiceTimes`) and `shedding` (`Claim`, `CallerShares`,
`RefusedShares`, `Reason`).
"""
