"""Forwarding of packet flows whose ends lie outside the system."""
