"""Adapters for the protocols of the fabric, callers, backend servers and operators."""
