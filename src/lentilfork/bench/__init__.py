"""Stand-ins for the systems around lentilfork, loads and experiments."""

__all__ = ["main"]


def main() -> int:
    """Run `lentilfork-bench`; its libraries are loaded only then."""
    from lentilfork.bench.command import main as run_command

    return run_command()
