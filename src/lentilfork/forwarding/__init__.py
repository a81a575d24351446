"""Forwarding of packet flows whose ends lie outside the system.

Roles import the modules they need: re-exporting all here would load gRPC, which the
controller uses, into every balancer and agent.
"""
