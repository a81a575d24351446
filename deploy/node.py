"""Entry of the programs on the platform: the sources are not installed there.

Processes may not write beside the sources, so the build compiles them ahead, with
`--compile`; without that each start would compile them again.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = str(ROOT / "src")

sys.pycache_prefix = str(ROOT / "target" / "compiled")
sys.path.insert(0, SOURCES)


def compile_sources() -> int:
    """Compile all sources that have changed; returns the exit code."""
    import compileall

    return 0 if compileall.compile_dir(SOURCES, quiet=1) else 1


def run() -> int:
    """Run one role, or compile the sources."""
    if sys.argv[1:] == ["--compile"]:
        return compile_sources()
    from lentilfork.platform.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
