"""What a control host asks of its file system; a soak puts a faulty one in place."""

from __future__ import annotations

import os
from pathlib import Path


class FileSystem:
    """The file system of the operating system."""

    __slots__ = ()

    def append(self, descriptor: int, content: bytes) -> None:
        """Write all of some bytes behind what a file holds."""
        remaining = memoryview(content)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def write_at(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write bytes at a position of a file."""
        os.pwrite(descriptor, content, offset)

    def truncate(self, descriptor: int, size: int) -> None:
        """Set the length of a file."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Wait until what a file holds outlives a loss of power."""
        os.fdatasync(descriptor)

    def sync_with_metadata(self, descriptor: int) -> None:
        """Wait until a new file, with its length, outlives a loss of power."""
        os.fsync(descriptor)

    def rename(self, source: Path, path: Path) -> None:
        """Put a file in the place of another."""
        os.rename(source, path)

    def sync_folder(self, folder: Path) -> None:
        """Wait until the names in a folder outlive a loss of power."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
