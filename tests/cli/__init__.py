"""Tests of the operator command against stand-in and real controllers."""
