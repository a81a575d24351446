"""Tests of the agreement between controllers."""
