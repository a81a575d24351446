"""Tests of the agreed state."""
