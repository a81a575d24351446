"""Files of one data folder: the operations the storage of a replica needs.

Every write returns only after the data was synced. Writes run in one thread of
their own, in order, so the event loop goes on while the disk works. `Files` is
the seam at which tests put disks that fail or lose what was not synced.
"""

import asyncio
import fcntl
import os
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final
from typing import Protocol
from typing import TypeVar

__all__ = ["FileMark", "Files", "OsFiles"]

LOCK_NAME: Final = "lock"
TEMPORARY_SUFFIX: Final = ".tmp"
FILE_MODE: Final = 0o600

# Inode and time of the last status change in nanoseconds: a copy has others.
FileMark = tuple[int, int]

T = TypeVar("T")


class Files(Protocol):
    """The files of one folder; every operation may raise OSError."""

    # The folder, for messages.
    location: str

    def open(self) -> None:
        """Make the folder if need be and lock it against other processes."""

    def close(self) -> None:
        """Wait for the write under way and give the folder back."""

    def list_names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def get_mark(self, name: str) -> FileMark:
        """Return what tells a file from a copy of it."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes and sync it."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""

    async def replace(self, name: str, data: bytes) -> None:
        """Put a file in place as a whole, synced with its folder."""


class OsFiles:
    """The files of a folder of the operating system."""

    location: str
    folder: Path
    # Descriptor that holds the lock; None while closed.
    lock: int | None
    # Open for appending, by file name.
    appending: dict[str, int]
    # Runs the writes one after the other.
    writer: ThreadPoolExecutor

    def __init__(self, folder: Path) -> None:
        self.location = str(folder)
        self.folder = folder
        self.lock = None
        self.appending = {}
        self.writer = ThreadPoolExecutor(1, "disk")

    def open(self) -> None:
        """Make the folder and lock it; BlockingIOError if another process has it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        sync_folder(self.folder.parent)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(self.folder / LOCK_NAME, flags, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self.lock = descriptor

    def close(self) -> None:
        """Wait for the write under way, then close all files and the lock."""
        self.writer.shutdown(wait=True)
        for name in list(self.appending):
            self.close_file(name)
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def close_file(self, name: str) -> None:
        """Close a file that was open for appending."""
        descriptor = self.appending.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def list_names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""
        names = (path.name for path in self.folder.iterdir() if path.is_file())
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.folder / name).read_bytes()

    def get_mark(self, name: str) -> FileMark:
        """Return inode and time of the last status change."""
        status = (self.folder / name).stat()
        return status.st_ino, status.st_ctime_ns

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes and sync it."""
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CLOEXEC)
        try:
            os.ftruncate(descriptor, size)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.close_file(name)
        (self.folder / name).unlink(missing_ok=True)

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        await self.run(partial(self.append_now, name, data))

    async def replace(self, name: str, data: bytes) -> None:
        """Write to a temporary name, sync, rename, sync the folder."""
        await self.run(partial(self.replace_now, name, data))

    async def run(self, call: Callable[[], T]) -> T:
        """Run a call in the thread of the writer."""
        return await asyncio.get_running_loop().run_in_executor(self.writer, call)

    def append_now(self, name: str, data: bytes) -> None:
        """Append and sync in the calling thread."""
        if name not in self.appending:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.appending[name] = os.open(self.folder / name, flags, FILE_MODE)
        descriptor = self.appending[name]
        write_all(descriptor, data)
        os.fsync(descriptor)

    def replace_now(self, name: str, data: bytes) -> None:
        """Replace a file in the calling thread."""
        temporary = self.folder / (name + TEMPORARY_SUFFIX)
        flags = os.O_WRONLY | os.O_TRUNC | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(temporary, flags, FILE_MODE)
        try:
            write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        temporary.rename(self.folder / name)
        sync_folder(self.folder)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`; a short write goes on, a full disk raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Sync the entries of a folder."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
