"""Tests of the emulated control plane."""
