"""Files of the replicated log in a data folder.

``meta`` has the term and the vote, ``snapshot`` the state up to an index, ``log`` the
entries after it. Records have a CRC-32. A file is durable once it and its directory
entry are synced. Methods block; callers run them in a worker thread, one at a time.
"""

import errno
import os
import struct
import zlib
from contextlib import contextmanager
from pathlib import Path

from almonddeal_common.codes import DATA_DAMAGED, STORAGE_FULL, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import LogEntry, Meta, Snapshot

FORMAT_VERSION = 1
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
LOG_MAGIC = b"ALMDLOG1"
RECORD_MAGIC = b"\xa1\xd5"
# magic, CRC of the rest, payload length, file size at the last completed sync
RECORD_HEADER = struct.Struct(">2sIIQ")
CHECKSUMMED_FILE_HEADER = struct.Struct(">4sI")
CHECKSUMMED_FILE_MAGIC = b"ALMD"

log = get_logger("storage")


def _checksum(length, n_synced_bytes, payload):
    return zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", length, n_synced_bytes)))


def _pack_record(payload, n_synced_bytes):
    checksum = _checksum(len(payload), n_synced_bytes, payload)
    return (
        RECORD_HEADER.pack(RECORD_MAGIC, checksum, len(payload), n_synced_bytes)
        + payload
    )


def _read_record(data, offset):
    """Return (payload, n_synced_bytes, next offset), or None if it is not valid."""
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None
    magic, checksum, length, n_synced_bytes = RECORD_HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if magic != RECORD_MAGIC or len(payload) < length:
        return None
    if _checksum(length, n_synced_bytes, payload) != checksum:
        return None
    return payload, n_synced_bytes, start + length


def _was_synced_past(data, offset):
    """Return whether a later record proves that the bytes at `offset` were synced."""
    position = data.find(RECORD_MAGIC, offset + 1)
    while position != -1:
        record = _read_record(data, position)
        if record is not None and record[1] > offset:
            return True
        position = data.find(RECORD_MAGIC, position + 1)
    return False


def sync_directory(folder):
    """Sync a directory, so that its entries are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_checksummed_file(path, payload):
    """Replace a file durably by a payload with its checksum.

    Writes a temporary file, syncs it, renames it and syncs the directory.
    """
    header = CHECKSUMMED_FILE_HEADER.pack(CHECKSUMMED_FILE_MAGIC, zlib.crc32(payload))
    with _removed_on_error(path.with_suffix(".tmp")) as temporary:
        with open(temporary, "wb") as file:
            file.write(header + payload)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    sync_directory(path.parent)


@contextmanager
def _removed_on_error(temporary):
    """Remove a temporary file if it cannot be written, as it takes up a full disk."""
    try:
        yield temporary
    except OSError:
        temporary.unlink(missing_ok=True)
        raise


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


class LogStore:
    """Durable term, vote, snapshot and log of one member of the control group.

    Use as a context manager: entering loads the files.

    Parameters
    ----------
    folder : path-like
        Data folder; created if missing.
    end_process : callable
        Called with a reason when a sync of the log fails, or when a write fails other
        than for lack of space, since the contents of the disk are then unknown. It must
        not return.

    Attributes
    ----------
    meta : Meta
    snapshot : Snapshot
    entries : list of LogEntry
        Entries after the snapshot, as loaded on entering.
    """

    def __init__(self, folder, end_process):
        self._folder = Path(folder)
        self._end_process = end_process
        self._file = None
        self._offset_by_index = {}
        self._size = 0
        self._n_synced_bytes = 0
        self.meta = Meta(FORMAT_VERSION, 0, "")
        self.snapshot = Snapshot(FORMAT_VERSION, 0, 0, b"")
        self.entries = []

    def __enter__(self):
        self._folder.mkdir(parents=True, exist_ok=True)
        self._load_meta()
        self._load_snapshot()
        self._load_log()
        return self

    def __exit__(self, *exc_info):
        if self._file is not None:
            self._file.close()

    def _load_meta(self):
        payload = read_checksummed_file(self._folder / "meta")
        if payload is not None:
            self.meta = decode(Meta, payload)
        if self.meta.format > FORMAT_VERSION:
            raise AlmonddealError(DATA_DAMAGED, f"format {self.meta.format} is newer")

    def _load_snapshot(self):
        payload = read_checksummed_file(self._folder / "snapshot")
        if payload is not None:
            self.snapshot = decode(Snapshot, payload)

    def _load_log(self):
        path = self._folder / "log"
        if not path.exists():
            self._replace_log([])
            return
        data = path.read_bytes()
        if data[: len(LOG_MAGIC)] != LOG_MAGIC:
            raise AlmonddealError(DATA_DAMAGED, "the log has no header")
        end = self._read_records(data)
        self._file = open(path, "r+b")
        if end < len(data):
            log.warning(
                "removed %d bytes of a torn write at the end of the log",
                len(data) - end,
            )
            self._file.truncate(end)
            os.fsync(self._file.fileno())
        self._size = self._n_synced_bytes = end

    def _read_records(self, data):
        offset = len(LOG_MAGIC)
        while offset < len(data):
            record = _read_record(data, offset)
            if record is None:
                if _was_synced_past(data, offset):
                    raise AlmonddealError(DATA_DAMAGED, f"bad log record at {offset}")
                break
            payload, _, end = record
            entry = decode(LogEntry, payload)
            if entry.index > self.snapshot.index:
                self._check_index(entry)
                self.entries.append(entry)
            self._offset_by_index[entry.index] = offset
            offset = end
        return offset

    def _check_index(self, entry):
        expected = self.snapshot.index + len(self.entries) + 1
        if entry.index != expected:
            detail = f"log entry {entry.index} where {expected} belongs"
            raise AlmonddealError(DATA_DAMAGED, detail)

    def _replace_log(self, entries):
        path = self._folder / "log"
        temporary = path.with_suffix(".tmp")
        offset_by_index = {}
        size = len(LOG_MAGIC)
        with _removed_on_error(temporary):
            with open(temporary, "wb") as file:
                file.write(LOG_MAGIC)
                for entry in entries:
                    offset_by_index[entry.index] = size
                    record = _pack_record(encode(entry), 0)
                    file.write(record)
                    size += len(record)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary, path)
        try:
            sync_directory(self._folder)
        except OSError as error:
            # After a loss of power, the old log may be back under this name, without
            # what is appended from here on.
            self._end_process(f"could not sync the folder of the log: {error}")
        if self._file is not None:
            self._file.close()
        self._file = open(path, "r+b")
        self._offset_by_index = offset_by_index
        self._size = self._n_synced_bytes = size

    def _sync(self, file):
        try:
            os.fsync(file.fileno())
        except OSError as error:
            self._end_process(f"could not sync the log: {error}")

    def append(self, entries):
        """Append entries to the log and sync it.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the log is then unchanged.
        """
        records = []
        size = self._size
        for entry in entries:
            record = _pack_record(encode(entry), self._n_synced_bytes)
            self._offset_by_index[entry.index] = size
            records.append(record)
            size += len(record)
        try:
            self._file.seek(self._size)
            self._file.write(b"".join(records))
            self._file.flush()
        except OSError as error:
            self._undo_write(entries)
            if error.errno in DISK_FULL_ERRNOS:
                raise AlmonddealError(STORAGE_FULL, "the log cannot grow") from None
            self._end_process(f"could not write the log: {error}")
        self._sync(self._file)
        self._size = self._n_synced_bytes = size

    def _undo_write(self, entries):
        for entry in entries:
            self._offset_by_index.pop(entry.index, None)
        # The buffer of the old file object may still have the bytes that failed; a new
        # file object does not.
        path = self._folder / "log"
        self._file = open(path, "r+b")
        self._file.truncate(self._size)

    def truncate_from(self, index):
        """Remove the entry at `index` and all later ones, durably."""
        offset = self._offset_by_index.get(index)
        if offset is None:
            return
        self._file.truncate(offset)
        self._sync(self._file)
        self._size = self._n_synced_bytes = offset
        for later in [i for i in self._offset_by_index if i >= index]:
            del self._offset_by_index[later]

    def save_meta(self, term, voted_for):
        """Store the term and the vote durably.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the stored term and vote are then unchanged.
        """
        meta = Meta(FORMAT_VERSION, term, voted_for)
        with self._handle_write_errors("meta"):
            write_checksummed_file(self._folder / "meta", encode(meta))
        self.meta = meta

    def save_snapshot(self, snapshot, entries_after):
        """Store a snapshot, and reduce the log to the entries after it.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the log is then unchanged, the snapshot may be the new one.
        """
        with self._handle_write_errors("snapshot"):
            write_checksummed_file(self._folder / "snapshot", encode(snapshot))
            self.snapshot = snapshot
            self._replace_log(entries_after)

    @contextmanager
    def _handle_write_errors(self, name):
        try:
            yield
        except OSError as error:
            if error.errno in DISK_FULL_ERRNOS:
                raise AlmonddealError(STORAGE_FULL, f"{name} has no room") from None
            self._end_process(f"could not write {name}: {error}")
