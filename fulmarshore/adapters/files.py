"""File operations of a control host; the soak test substitutes faulty ones."""

from __future__ import annotations

import os
from pathlib import Path


class FileSystem:
    """The file system of the operating system."""

    __slots__ = ()

    def append(self, descriptor: int, content: bytes) -> None:
        """Write all of the content at the end of a file."""
        remaining = memoryview(content)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def write_at(self, descriptor: int, content: bytes, offset: int) -> None:
        """Write content at an offset in bytes."""
        os.pwrite(descriptor, content, offset)

    def truncate(self, descriptor: int, size: int) -> None:
        """Set the length of a file in bytes."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Flush the content of a file, so that it survives a loss of power."""
        os.fdatasync(descriptor)

    def sync_with_metadata(self, descriptor: int) -> None:
        """Flush the content and the metadata, as a new file or length needs."""
        os.fsync(descriptor)

    def rename(self, source: Path, path: Path) -> None:
        """Rename a file, replacing the one at the new path."""
        os.rename(source, path)

    def sync_folder(self, folder: Path) -> None:
        """Flush the entries of a folder, so that renames survive a loss of power."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
