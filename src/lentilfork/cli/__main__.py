"""Run the operator command as `python -m lentilfork.cli`."""

import sys

from lentilfork.cli import main

if __name__ == "__main__":
    sys.exit(main())
