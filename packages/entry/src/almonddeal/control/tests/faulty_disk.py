"""Disks of data folders that fill up, and that lose what was not synced.

Replaces the file operations of the log store. Names of files are durable
once their folder is synced, their contents once the file is.
"""

import errno
import io
import os
import time
from pathlib import Path
from threading import Lock

from almonddeal.control import files, storage

# Of these, a full disk refuses the first two; the others may fail on some file systems.
CREATE, WRITE, TRUNCATE, SYNC, RENAME, SYNC_FOLDER = (
    "create",
    "write",
    "truncate",
    "sync",
    "rename",
    "sync folder",
)
RAW_MODES = {"rb": "rb", "wb": "wb", "r+b": "rb+", "w+b": "wb+"}


class Disk:
    """Disk of one data folder.

    Attributes
    ----------
    is_full : bool
        Whether it refuses the operations of `refused_kinds`.
    n_free_bytes : int
        Largest write that succeeds although it is full.
    n_bytes : float
        Size of the disk, for the files in the folder.
    refused_kinds : set of str
    bytes_per_s : float
        Rate of writes.
    n_operations : int
        Operations since `fail_between` was called.
    last_kind : str
        Kind of the last operation.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.is_full = False
        self.n_free_bytes = 0
        self.n_bytes = float("inf")
        self.refused_kinds = {CREATE, WRITE}
        self.bytes_per_s = float("inf")
        self.n_operations = 0
        self.last_kind = None
        self._failing_operations = range(0)
        self._is_write_short = False
        self._descriptor_by_inode = {}
        self._synced_by_inode = {}
        self._inode_by_name = {}
        # Threads write several files of a folder at the same time.
        self.lock = Lock()

    @property
    def n_used_bytes(self):
        """Size of all files in the folder."""
        return sum(path.stat().st_size for path in self.folder.iterdir())

    def fail_between(self, first, n_failures, is_write_short=False):
        """Let operations fail by their number, whatever their kind.

        If `is_write_short`, half of the bytes of a first write are still written.
        """
        self.n_operations = 0
        self.last_kind = None
        self._failing_operations = range(first, first + n_failures)
        self._is_write_short = is_write_short

    def check(self, kind, n_bytes=0):
        """Raise `OSError` if an operation fails; return how many bytes it writes."""
        number = self.n_operations
        self.n_operations += 1
        self.last_kind = kind
        if number in self._failing_operations:
            is_first = number == self._failing_operations.start
            if kind == WRITE and self._is_write_short and is_first and n_bytes > 1:
                return n_bytes // 2
            raise OSError(errno.ENOSPC, "no space left")
        is_small = kind != WRITE or n_bytes > self.n_free_bytes
        if self.is_full and kind in self.refused_kinds and is_small:
            raise OSError(errno.ENOSPC, "no space left")
        is_limited = n_bytes > 0 and self.n_bytes < float("inf")
        if is_limited and self.n_used_bytes + n_bytes > self.n_bytes:
            raise OSError(errno.ENOSPC, "no space left")
        time.sleep(n_bytes / self.bytes_per_s)
        return n_bytes

    def record_sync(self, descriptor):
        """Make the contents of a file durable."""
        inode = os.fstat(descriptor).st_ino
        content = Path(f"/proc/self/fd/{descriptor}").read_bytes()
        with self.lock:
            self._synced_by_inode[inode] = content
            if inode not in self._descriptor_by_inode:
                # Keeps the number of the inode from being used again.
                self._descriptor_by_inode[inode] = os.dup(descriptor)

    def record_folder_sync(self):
        """Make the names in the folder durable."""
        with self.lock:
            self._inode_by_name = {
                entry.name: entry.inode() for entry in os.scandir(self.folder)
            }
            self._forget_inodes(set(self._synced_by_inode) - self._inodes_in_use())

    def _inodes_in_use(self):
        return {*self._inode_by_name.values()}

    def _forget_inodes(self, inodes):
        for inode in inodes:
            self._synced_by_inode.pop(inode, None)
            os.close(self._descriptor_by_inode.pop(inode))

    def lose_power(self):
        """Reduce the folder to what is durable; no process may have it open."""
        content_by_name = {
            name: self._synced_by_inode.get(inode, b"")
            for name, inode in self._inode_by_name.items()
        }
        for path in self.folder.iterdir():
            path.unlink()
        self.close()
        for name, content in content_by_name.items():
            path = self.folder / name
            path.write_bytes(content)
            with path.open("rb") as file:
                self.record_sync(file.fileno())
        self.record_folder_sync()

    def close(self):
        """Forget all that is durable, and release its files."""
        self._forget_inodes(set(self._descriptor_by_inode))
        self._inode_by_name = {}


class _FaultyFile(io.FileIO):
    def __init__(self, path, mode, disk):
        super().__init__(path, mode)
        self._disk = disk

    def write(self, data):
        data = bytes(data)
        return super().write(data[: self._disk.check(WRITE, len(data))])

    def truncate(self, size=None):
        self._disk.check(TRUNCATE)
        return super().truncate(size)


class Disks:
    """All disks of a test, by folder; use `install` before any file is opened."""

    def __init__(self):
        self.disk_by_folder = {}
        self._real_fsync = os.fsync
        self._real_replace = os.replace

    def disk(self, folder):
        """Return the disk of a data folder."""
        folder = Path(folder).resolve()
        return self.disk_by_folder.setdefault(folder, Disk(folder))

    def install(self, monkeypatch):
        """Replace the file operations of the storage until the end of the test."""
        for module in (files, storage):
            monkeypatch.setattr(module, "open", self._open, raising=False)
        monkeypatch.setattr("os.fsync", self._fsync)
        monkeypatch.setattr("os.replace", self._replace)

    def _open(self, path, mode):
        path = Path(path)
        disk = self.disk(path.parent)
        if not path.exists() and mode.startswith("w"):
            disk.check(CREATE)
        file = _FaultyFile(path, RAW_MODES[mode], disk)
        if "+" in mode:
            return io.BufferedRandom(file)
        return io.BufferedWriter(file) if mode == "wb" else io.BufferedReader(file)

    def _fsync(self, descriptor):
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if path.is_dir():
            disk = self.disk(path)
            disk.check(SYNC_FOLDER)
            self._real_fsync(descriptor)
            disk.record_folder_sync()
        else:
            disk = self.disk(path.parent)
            disk.check(SYNC)
            disk.record_sync(descriptor)

    def _replace(self, source, target):
        disk = self.disk(Path(target).parent)
        disk.check(RENAME)
        with disk.lock:
            self._real_replace(source, target)

    def close(self):
        """Release all files."""
        for disk in self.disk_by_folder.values():
            disk.close()
