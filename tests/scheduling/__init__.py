"""Tests of `lentilfork.scheduling`."""
