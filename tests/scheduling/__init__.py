"""Tests of the decisions about where new work runs."""
