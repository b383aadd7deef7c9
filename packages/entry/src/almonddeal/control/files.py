"""Files that are replaced as a whole, durably."""

import errno
import os
import struct
import zlib
from contextlib import contextmanager

from almonddeal_common.codes import DATA_DAMAGED, STORAGE_FULL, AlmonddealError

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
CHECKSUMMED_FILE_HEADER = struct.Struct(">4sI")
CHECKSUMMED_FILE_MAGIC = b"ALMD"


def sync_directory(folder):
    """Sync a directory, so that its entries are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def refused_on_full_disk(name):
    """Raise `STORAGE_FULL` in place of an `OSError` for lack of space."""
    try:
        yield
    except OSError as error:
        if error.errno not in DISK_FULL_ERRNOS:
            raise
        raise AlmonddealError(STORAGE_FULL, f"{name} has no room") from None


@contextmanager
def removed_on_error(temporary):
    """Remove a temporary file if it cannot be written, as it takes up a full disk."""
    try:
        yield temporary
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


def write_file(path, data):
    """Write a file and sync it, but not its folder."""
    with open(path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def replace_checksummed_file(path, payload):
    """Replace a file by a payload with its checksum.

    Writes a temporary file, syncs it and renames it. The caller syncs the directory.
    """
    header = CHECKSUMMED_FILE_HEADER.pack(CHECKSUMMED_FILE_MAGIC, zlib.crc32(payload))
    with removed_on_error(path.with_suffix(".tmp")) as temporary:
        write_file(temporary, header + payload)
        os.replace(temporary, path)


def write_checksummed_file(path, payload):
    """Replace a file durably by a payload with its checksum."""
    replace_checksummed_file(path, payload)
    sync_directory(path.parent)


def read_checksummed_file(path):
    """Return the payload that `write_checksummed_file` wrote; None without a file.

    Raises
    ------
    AlmonddealError
        `DATA_DAMAGED` if it is truncated or its checksum is wrong.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    if len(data) < CHECKSUMMED_FILE_HEADER.size:
        raise AlmonddealError(DATA_DAMAGED, f"{path.name} is too short")
    magic, checksum = CHECKSUMMED_FILE_HEADER.unpack_from(data)
    payload = data[CHECKSUMMED_FILE_HEADER.size :]
    if magic != CHECKSUMMED_FILE_MAGIC or zlib.crc32(payload) != checksum:
        raise AlmonddealError(DATA_DAMAGED, f"{path.name} fails its checksum")
    return payload
