"""Adapter to the platform: its settings, header and HTTP calls, without decisions."""
