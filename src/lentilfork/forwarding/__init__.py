"""Forwarding of packet flows whose two ends are outside the system.

Nothing is re-exported here: that would load gRPC, which only the controller uses, into
every balancer and agent.
"""
