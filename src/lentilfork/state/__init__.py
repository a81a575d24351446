"""The agreed state: what it holds, how a change leads to the next generation."""
