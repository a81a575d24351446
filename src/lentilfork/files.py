"""Watcher of a settings file, which may change with or without a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from lentilfork.logs import Logger

__all__ = ["FileWatcher"]

# The file is small, and a change must be noticed within seconds.
CHECK_INTERVAL_S: Final = 2.0

log = Logger("settings")


class FileWatcher:
    """Calls a function when the content of a file has changed."""

    path: Path
    on_change: Callable[[], None]
    # Content when it was last read; None if it could not be read at the start.
    content: bytes | None

    def __init__(self, path: Path, on_change: Callable[[], None]) -> None:
        self.path = path
        self.on_change = on_change
        self.content = self.read()

    def read(self) -> bytes | None:
        """Return the content of the file, or None if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError as error:
            log.warning("settings file not read", error=str(error))
            return None

    async def run(self) -> None:
        """Check the file periodically."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Read the file, and call `on_change` if its content has changed."""
        content = self.read()
        if content is None or content == self.content:
            return
        self.content = content
        log.info("settings file changed", bytes=len(content))
        self.on_change()
