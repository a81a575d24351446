"""The adapter to the users' platform: its names, formats and calls, no decisions."""
