"""Tests of the protocols towards the outside."""
