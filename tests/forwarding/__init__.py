"""Tests of the forwarding of packet flows."""
