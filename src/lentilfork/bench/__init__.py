"""Simulated surroundings of lentilfork, load generation and experiments."""

__all__ = ["main"]


def main() -> int:
    """Run `lentilfork-bench`; imports its dependencies only when called."""
    from lentilfork.bench.command import main as run_command

    return run_command()
