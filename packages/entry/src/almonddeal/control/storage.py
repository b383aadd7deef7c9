"""Files of the replicated log under one data folder.

``meta`` holds the term and the vote, ``snapshot`` the state up to an index, ``log`` the
entries after it. Records carry a CRC-32. A file counts once it and its directory entry
are synced. Methods block; callers run them in a worker thread, one at a time.
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
FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT)
LOG_MAGIC = b"ALMDLOG1"
RECORD_MAGIC = b"\xa1\xd5"
# magic, CRC of the rest, length of the payload, bytes of this file known to be synced
RECORD_HEADER = struct.Struct(">2sIIQ")
FILE_HEADER = struct.Struct(">4sI")
FILE_MAGIC = b"ALMD"

log = get_logger("storage")


def _checksum(length, n_synced, payload):
    return zlib.crc32(payload, zlib.crc32(struct.pack(">IQ", length, n_synced)))


def _pack_record(payload, n_synced):
    checksum = _checksum(len(payload), n_synced, payload)
    return RECORD_HEADER.pack(RECORD_MAGIC, checksum, len(payload), n_synced) + payload


def _read_record(data, offset):
    """Return (payload, n_synced, next offset) of a whole record, else None."""
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None
    magic, checksum, length, n_synced = RECORD_HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if magic != RECORD_MAGIC or len(payload) < length:
        return None
    if _checksum(length, n_synced, payload) != checksum:
        return None
    return payload, n_synced, start + length


def _synced_beyond(data, offset):
    """Tell whether a later record proves that `offset` had been synced."""
    position = data.find(RECORD_MAGIC, offset + 1)
    while position != -1:
        record = _read_record(data, position)
        if record is not None and record[1] > offset:
            return True
        position = data.find(RECORD_MAGIC, position + 1)
    return False


def sync_folder(folder):
    """Sync a directory, so that the entries in it last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path, payload):
    """Replace a small file durably: temporary file, sync, rename, sync folder."""
    temporary = path.with_suffix(".tmp")
    header = FILE_HEADER.pack(FILE_MAGIC, zlib.crc32(payload))
    with open(temporary, "wb") as file:
        file.write(header + payload)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def read_file(path):
    """Return the payload of a small file, or None if there is none.

    Raises
    ------
    AlmonddealError
        `DATA_DAMAGED` if its checksum is wrong.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    if len(data) < FILE_HEADER.size:
        raise AlmonddealError(DATA_DAMAGED, f"{path.name} is too short")
    magic, checksum = FILE_HEADER.unpack_from(data)
    payload = data[FILE_HEADER.size :]
    if magic != FILE_MAGIC or zlib.crc32(payload) != checksum:
        raise AlmonddealError(DATA_DAMAGED, f"{path.name} fails its checksum")
    return payload


class LogStore:
    """The durable part of one member of the control group.

    Parameters
    ----------
    folder : path-like
        Data folder; made if missing.
    end_process : callable
        Called with a reason when a sync fails, since what the disk holds is then
        unknown. It must not return.

    Attributes
    ----------
    meta : Meta
    snapshot : Snapshot
    entries : list of LogEntry
        Entries after the snapshot, as found on the disk by `open`.
    """

    def __init__(self, folder, end_process):
        self._folder = Path(folder)
        self._end_process = end_process
        self._file = None
        self._offset_by_index = {}
        self._size = 0
        self._n_synced = 0
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
        payload = read_file(self._folder / "meta")
        if payload is not None:
            self.meta = decode(Meta, payload)
        if self.meta.format > FORMAT_VERSION:
            raise AlmonddealError(DATA_DAMAGED, f"format {self.meta.format} is newer")

    def _load_snapshot(self):
        payload = read_file(self._folder / "snapshot")
        if payload is not None:
            self.snapshot = decode(Snapshot, payload)

    def _load_log(self):
        path = self._folder / "log"
        if not path.exists():
            self._create_log([])
            return
        data = path.read_bytes()
        if data[: len(LOG_MAGIC)] != LOG_MAGIC:
            raise AlmonddealError(DATA_DAMAGED, "the log has no header")
        end = self._scan(data)
        self._file = open(path, "r+b")
        if end < len(data):
            log.warning("cut %d torn bytes off the log", len(data) - end)
            self._file.truncate(end)
            os.fsync(self._file.fileno())
        self._size = self._n_synced = end

    def _scan(self, data):
        offset = len(LOG_MAGIC)
        while offset < len(data):
            record = _read_record(data, offset)
            if record is None:
                if _synced_beyond(data, offset):
                    raise AlmonddealError(DATA_DAMAGED, f"bad log record at {offset}")
                break
            payload, _, end = record
            entry = decode(LogEntry, payload)
            if entry.index > self.snapshot.index:
                self._check_next(entry)
                self.entries.append(entry)
            self._offset_by_index[entry.index] = offset
            offset = end
        return offset

    def _check_next(self, entry):
        expected = self.snapshot.index + len(self.entries) + 1
        if entry.index != expected:
            detail = f"log entry {entry.index} where {expected} belongs"
            raise AlmonddealError(DATA_DAMAGED, detail)

    def _create_log(self, entries):
        path = self._folder / "log"
        temporary = path.with_suffix(".tmp")
        offset_by_index = {}
        size = len(LOG_MAGIC)
        with open(temporary, "wb") as file:
            file.write(LOG_MAGIC)
            for entry in entries:
                offset_by_index[entry.index] = size
                record = _pack_record(encode(entry), 0)
                file.write(record)
                size += len(record)
            file.flush()
            self._sync(file)
        os.replace(temporary, path)
        sync_folder(self._folder)
        if self._file is not None:
            self._file.close()
        self._file = open(path, "r+b")
        self._offset_by_index = offset_by_index
        self._size = self._n_synced = size

    def _sync(self, file):
        try:
            os.fsync(file.fileno())
        except OSError as error:
            self._end_process(f"sync of the log failed: {error}")

    def append(self, entries):
        """Write entries behind the last one and sync them.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the log is then as it was before.
        """
        records = []
        size = self._size
        for entry in entries:
            record = _pack_record(encode(entry), self._n_synced)
            self._offset_by_index[entry.index] = size
            records.append(record)
            size += len(record)
        try:
            self._file.seek(self._size)
            self._file.write(b"".join(records))
            self._file.flush()
        except OSError as error:
            self._undo_write(entries)
            if error.errno in FULL_ERRORS:
                raise AlmonddealError(STORAGE_FULL, "the log cannot grow") from None
            self._end_process(f"write of the log failed: {error}")
        self._sync(self._file)
        self._size = self._n_synced = size

    def _undo_write(self, entries):
        for entry in entries:
            self._offset_by_index.pop(entry.index, None)
        # The buffered writer may hold the bytes that failed; a new file object drops
        # them.
        path = self._folder / "log"
        self._file = open(path, "r+b")
        self._file.truncate(self._size)

    def truncate_from(self, index):
        """Remove the entries from `index` on, durably."""
        offset = self._offset_by_index.get(index)
        if offset is None:
            return
        self._file.truncate(offset)
        self._sync(self._file)
        self._size = self._n_synced = offset
        for later in [i for i in self._offset_by_index if i >= index]:
            del self._offset_by_index[later]

    def save_meta(self, term, voted_for):
        """Keep the term and the vote durably.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; those kept before still hold.
        """
        meta = Meta(FORMAT_VERSION, term, voted_for)
        with self._ends_unless_full("meta"):
            write_file(self._folder / "meta", encode(meta))
        self.meta = meta

    def save_snapshot(self, snapshot, entries_after):
        """Keep a snapshot and a log that holds only the entries after it.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the log is then as it was before.
        """
        with self._ends_unless_full("snapshot"):
            write_file(self._folder / "snapshot", encode(snapshot))
            self.snapshot = snapshot
            self._create_log(entries_after)

    @contextmanager
    def _ends_unless_full(self, name):
        try:
            yield
        except OSError as error:
            if error.errno in FULL_ERRORS:
                raise AlmonddealError(STORAGE_FULL, f"{name} has no room") from None
            self._end_process(f"write of {name} failed: {error}")
