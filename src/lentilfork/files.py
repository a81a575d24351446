"""Watching a settings file that may change with a signal or without one."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from lentilfork.logs import Logger

__all__ = ["FileWatcher"]

# The file is small, and a change of it is to be seen within seconds.
CHECK_INTERVAL_S: Final = 2.0

log = Logger("settings")


class FileWatcher:
    """Calls a function when the content of a file has changed."""

    path: Path
    on_change: Callable[[], None]
    # Content when it was last looked at; None if it could not be read.
    content: bytes | None

    def __init__(self, path: Path, on_change: Callable[[], None]) -> None:
        self.path = path
        self.on_change = on_change
        self.content = self.read()

    def read(self) -> bytes | None:
        """Return the content of the file, None if it cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError as error:
            log.warning("settings file not read", error=str(error))
            return None

    async def run(self) -> None:
        """Look at the file again and again."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Look at the file now."""
        content = self.read()
        if content is None or content == self.content:
            return
        self.content = content
        log.info("settings file changed", bytes=len(content))
        self.on_change()
