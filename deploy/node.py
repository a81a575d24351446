"""Entry point of all programs on the platform, which does not install the package."""

import gc
import sys
from pathlib import Path

# Imports leave no garbage, and searching for it would take an eighth of the start. The
# role enables it when it has started.
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from lentilfork.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
