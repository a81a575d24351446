"""Tests of decisions about load."""
