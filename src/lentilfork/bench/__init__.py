"""Stand-ins for the systems around lentilfork, loads and experiments."""
