"""Tests of the adapters for the fabric's and the callers' protocols."""
