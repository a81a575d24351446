"""Tests of lentilfork; the folders mirror the package."""
