"""File operations that the storage of a replica needs in its data folder.

Every write returns only after the data was synced. Writes run in order in a
dedicated thread, so that they do not block the event loop. Tests implement `Files`
to simulate disks that fail or lose unsynced data.
"""

import asyncio
import fcntl
import os
from collections.abc import Callable
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Final
from typing import Protocol
from typing import TypeVar

__all__ = ["FileFingerprint", "Files", "MemoryFiles", "OsFiles", "open_files"]

LOCK_NAME: Final = "lock"
TEMPORARY_SUFFIX: Final = ".tmp"
FILE_MODE: Final = 0o600

# Inode and time of the last status change in nanoseconds; a copied file has others.
FileFingerprint = tuple[int, int]

T = TypeVar("T")


class Files(Protocol):
    """Operations on the files of one folder; each may raise OSError."""

    # Path of the folder, for error messages.
    location: str

    def open(self) -> None:
        """Create the folder if it is missing and lock it against other processes."""

    def close(self) -> None:
        """Wait for the pending write and release the folder."""

    def list_names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def get_fingerprint(self, name: str) -> FileFingerprint:
        """Return a value that differs between a file and any copy of it."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes and sync it."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    async def sync(self, names: Sequence[str]) -> None:
        """Sync files that an earlier process wrote, and their folder."""

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it and its folder."""


class OsFiles:
    """`Files` on a folder of the file system."""

    location: str
    folder: Path
    # Descriptor of the locked lock file; None while closed.
    lock_descriptor: int | None
    # Descriptors of files that are open for appending, by file name.
    append_descriptors: dict[str, int]
    # Runs the writes one at a time.
    writer: ThreadPoolExecutor

    def __init__(self, folder: Path) -> None:
        self.location = str(folder)
        self.folder = folder
        self.lock_descriptor = None
        self.append_descriptors = {}
        self.writer = ThreadPoolExecutor(1, "disk")

    def open(self) -> None:
        """Create and lock the folder.

        Raises BlockingIOError if another process holds the lock.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        sync_folder(self.folder.parent)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(self.folder / LOCK_NAME, flags, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self.lock_descriptor = descriptor

    def close(self) -> None:
        """Wait for the pending write, then close all files and release the lock."""
        self.writer.shutdown(wait=True)
        for name in list(self.append_descriptors):
            self.close_file(name)
        if self.lock_descriptor is not None:
            os.close(self.lock_descriptor)
            self.lock_descriptor = None

    def close_file(self, name: str) -> None:
        """Close a file if it is open for appending."""
        descriptor = self.append_descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def list_names(self) -> list[str]:
        """Return the names of all files but the lock, sorted."""
        names = (path.name for path in self.folder.iterdir() if path.is_file())
        return sorted(name for name in names if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.folder / name).read_bytes()

    def get_fingerprint(self, name: str) -> FileFingerprint:
        """Return the inode and the time of the last status change."""
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

    async def sync(self, names: Sequence[str]) -> None:
        """Sync files that an earlier process wrote, and their folder."""
        await self.run_in_writer(partial(self.sync_blocking, names))

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        await self.run_in_writer(partial(self.append_blocking, name, data))

    async def replace(self, name: str, data: bytes) -> None:
        """Write and sync a temporary file, rename it and sync the folder."""
        await self.run_in_writer(partial(self.replace_blocking, name, data))

    async def run_in_writer(self, call: Callable[[], T]) -> T:
        """Run a call in the writer thread."""
        return await asyncio.get_running_loop().run_in_executor(self.writer, call)

    def sync_blocking(self, names: Sequence[str]) -> None:
        """Sync files and the folder in the calling thread."""
        for name in names:
            descriptor = os.open(self.folder / name, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        sync_folder(self.folder)

    def append_blocking(self, name: str, data: bytes) -> None:
        """Append and sync in the calling thread."""
        if name not in self.append_descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.append_descriptors[name] = os.open(
                self.folder / name, flags, FILE_MODE
            )
        descriptor = self.append_descriptors[name]
        write_all(descriptor, data)
        os.fsync(descriptor)

    def replace_blocking(self, name: str, data: bytes) -> None:
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


class MemoryFiles:
    """`Files` in memory, for a replica without a disk; they end with the process."""

    location: str
    content: dict[str, bytearray]

    def __init__(self) -> None:
        self.location = "memory"
        self.content = {}

    def open(self) -> None:
        """Do nothing: no other process has access."""

    def close(self) -> None:
        """Do nothing: there is neither a descriptor nor a pending write."""

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.content)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return bytes(self.content[name])

    def get_fingerprint(self, name: str) -> FileFingerprint:
        """Return a constant: nothing copies files in memory."""
        return (0, 0)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes."""
        del self.content[name][size:]

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.content.pop(name, None)

    async def sync(self, names: Sequence[str]) -> None:
        """Do nothing: the files end with the process."""

    async def append(self, name: str, data: bytes) -> None:
        """Append to a file."""
        self.content.setdefault(name, bytearray()).extend(data)

    async def replace(self, name: str, data: bytes) -> None:
        """Replace a file."""
        self.content[name] = bytearray(data)


def open_files(folder: Path | None) -> Files:
    """Return the files of a folder, or files in memory if there is none."""
    return MemoryFiles() if folder is None else OsFiles(folder)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, continuing after short writes.

    Raises OSError if a write fails, for example because the disk is full.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
