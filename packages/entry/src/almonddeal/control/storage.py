"""Files of the replicated log in a data folder.

``meta`` has the term and the vote, ``snapshot`` the state up to an index, ``log`` the
entries after it; ``reserve`` keeps room for a snapshot. Records have a CRC-32. A file
is durable once it and its directory entry are synced. Methods block; callers run them
in a worker thread, one at a time.
"""

import os
import struct
import zlib
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

from almonddeal.control.constants import STORAGE_FULL_BACKOFF_MS
from almonddeal.control.files import (
    DISK_FULL_ERRNOS,
    read_checksummed_file,
    refused_on_full_disk,
    removed_on_error,
    sync_directory,
    write_checksummed_file,
    write_file,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import DATA_DAMAGED, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import LogEntry, Meta, Snapshot

FORMAT_VERSION = 1
LOG_MAGIC = b"ALMDLOG1"
RECORD_MAGIC = b"\xa1\xd5"
# magic, CRC of the rest, payload length, file size at the last completed sync
RECORD_HEADER = struct.Struct(">2sIIQ")
MIN_RESERVE_BYTES = 256 * 1024  # beside the size of the last snapshot

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
        self._has_stale_bytes = False
        self._is_sync_lost = False
        self._n_refused_bytes = 0
        self._refused_at_ms = 0.0
        self.meta = Meta(FORMAT_VERSION, 0, "")
        self.snapshot = Snapshot(FORMAT_VERSION, 0, 0, b"")
        self.entries = []

    def __enter__(self):
        with refused_on_full_disk("the data folder"):
            self._folder.mkdir(parents=True, exist_ok=True)
            for leftover in self._folder.glob("*.tmp"):
                leftover.unlink()
            self._load_meta()
            self._load_snapshot()
            self._load_log()
            sync_directory(self._folder)
        self._reserve_room()
        return self

    def __exit__(self, *exc_info):
        self._close_file()

    def _close_file(self):
        # Its buffer may hold bytes of a write that failed.
        if self._file is not None:
            with suppress(OSError):
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
        self._close_file()
        is_new = not path.exists()
        if is_new:
            self._replace_log_file([LOG_MAGIC])
        data = path.read_bytes()
        if data[: len(LOG_MAGIC)] != LOG_MAGIC:
            raise AlmonddealError(DATA_DAMAGED, "the log has no header")
        self._size = self._n_synced_bytes = self._read_records(data)
        self._file = open(path, "r+b")
        if self._size < len(data):
            log.warning(
                "removed %d bytes at the end of the log", len(data) - self._size
            )
            self._has_stale_bytes = True
        if is_new:
            return
        with self._handle_write_errors("the log"):
            self._repair_log()
            # The process that wrote the last records may have ended before it synced
            # them.
            self._sync()

    def _read_records(self, data):
        """Read the entries after the snapshot; return the size of the log."""
        self.entries = []
        self._offset_by_index = {}
        offset = len(LOG_MAGIC)
        while offset < len(data):
            record = _read_record(data, offset)
            if record is None:
                if _was_synced_past(data, offset):
                    raise AlmonddealError(DATA_DAMAGED, f"bad log record at {offset}")
                break
            payload, _, end = record
            entry = decode(LogEntry, payload)
            if entry.index == self.snapshot.index and entry.term != self.snapshot.term:
                # The snapshot was installed in place of this log.
                self._offset_by_index = {}
                return len(LOG_MAGIC)
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
        offset_by_index = {}
        size = len(LOG_MAGIC)
        records = [LOG_MAGIC]
        for entry in entries:
            offset_by_index[entry.index] = size
            records.append(_pack_record(encode(entry), 0))
            size += len(records[-1])
        self._replace_log_file(records)
        self._offset_by_index = offset_by_index
        self._size = self._n_synced_bytes = size
        self._sync_folder_of_log()

    def _replace_log_file(self, records):
        path = self._folder / "log"
        temporary = path.with_suffix(".tmp")
        with removed_on_error(temporary), ExitStack() as stack:
            file = open(temporary, "w+b")
            stack.callback(file.close)
            file.writelines(records)
            file.flush()
            os.fsync(file.fileno())
            os.replace(temporary, path)
            stack.pop_all()
        self._close_file()
        self._file = file
        self._has_stale_bytes = self._is_sync_lost = False

    def _sync_folder_of_log(self):
        try:
            sync_directory(self._folder)
        except OSError as error:
            # After a loss of power, the old log may be back under this name, without
            # what is appended from here on.
            self._end_process(f"could not sync the folder of the log: {error}")

    def _sync(self):
        try:
            os.fsync(self._file.fileno())
        except OSError:
            # A later sync may succeed without the bytes that this one did not write.
            self._is_sync_lost = self._has_stale_bytes = True
            with suppress(OSError):
                self._file.truncate(self._size)
            raise

    def _repair_log(self):
        """Bring the file back to the records that it should have, after an error."""
        if self._is_sync_lost:
            data = (self._folder / "log").read_bytes()
            self._replace_log_file([data[: self._size]])
            self._sync_folder_of_log()
        elif self._has_stale_bytes:
            # The buffer of the old file object may still have the bytes that failed; a
            # new file object does not.
            self._close_file()
            self._file = open(self._folder / "log", "r+b")
            self._file.truncate(self._size)
            self._sync()
            self._has_stale_bytes = False

    def append(self, entries):
        """Append entries to the log and sync it.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`; the log is then unchanged.
        """
        records = []
        offset_by_index = {}
        size = self._size
        for entry in entries:
            offset_by_index[entry.index] = size
            records.append(_pack_record(encode(entry), self._n_synced_bytes))
            size += len(records[-1])
        n_bytes = size - self._size
        with self._handle_write_errors("the log"):
            try:
                self._repair_log()
                self._file.seek(self._size)
                self._file.write(b"".join(records))
                self._file.flush()
                self._sync()
            except OSError:
                self._n_refused_bytes = max(self._n_refused_bytes, n_bytes)
                self._refused_at_ms = monotonic_ms()
                self._has_stale_bytes = True
                # Stale bytes take up room. If they stay, the next write removes them.
                with suppress(OSError):
                    self._repair_log()
                raise
        if n_bytes >= self._n_refused_bytes:
            self._n_refused_bytes = 0
        self._offset_by_index |= offset_by_index
        self._size = self._n_synced_bytes = size

    @property
    def n_missing_bytes(self):
        """Size of a write that was refused a short time ago, and no larger one since.

        Otherwise 0: a change too large for all disks must not keep all members from
        leading.
        """
        age_ms = monotonic_ms() - self._refused_at_ms
        return self._n_refused_bytes if age_ms < STORAGE_FULL_BACKOFF_MS else 0

    def check_room(self):
        """Check that as large a write as was last refused would succeed now.

        Raises
        ------
        AlmonddealError
            `STORAGE_FULL`
        """
        temporary = self._folder / "room.tmp"
        with self._handle_write_errors("the log"), removed_on_error(temporary):
            write_file(temporary, bytes(self._n_refused_bytes))
            temporary.unlink()
        self._n_refused_bytes = 0

    def truncate_from(self, index):
        """Remove the entry at `index` and all later ones.

        On a full disk that refuses this, they are removed before the next write. After
        a restart before that, they are loaded again.
        """
        offset = self._offset_by_index.get(index)
        if offset is None:
            return
        for later in [i for i in self._offset_by_index if i >= index]:
            del self._offset_by_index[later]
        self._size = self._n_synced_bytes = offset
        self._has_stale_bytes = True
        try:
            with self._handle_write_errors("the log"):
                self._repair_log()
        except AlmonddealError as error:
            log.warning("entries are not removed from the log yet: %s", error)

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
            try:
                self._write_snapshot(snapshot, entries_after)
            except OSError as error:
                is_full = error.errno in DISK_FULL_ERRNOS
                if not is_full or not self._reserve_path.exists():
                    raise
                self._reserve_path.unlink()
                self._write_snapshot(snapshot, entries_after)
        self._reserve_room()

    def _write_snapshot(self, snapshot, entries_after):
        write_checksummed_file(self._folder / "snapshot", encode(snapshot))
        self.snapshot = snapshot
        is_log_empty = self._size == len(LOG_MAGIC) and not self._has_stale_bytes
        if entries_after or not is_log_empty:
            self._replace_log(entries_after)

    @property
    def _reserve_path(self):
        return self._folder / "reserve"

    def _reserve_room(self):
        """Reserve room for the next snapshot, as without one a full log stays full."""
        # In steps, as the state grows by little from one snapshot to the next.
        n_steps = len(self.snapshot.state) // MIN_RESERVE_BYTES + 2
        n_bytes = n_steps * MIN_RESERVE_BYTES
        path = self._reserve_path
        # Without room for it, the next snapshot tries again.
        with suppress(OSError), removed_on_error(path):
            if not path.exists() or path.stat().st_size < n_bytes:
                write_file(path, bytes(n_bytes))

    @contextmanager
    def _handle_write_errors(self, name):
        try:
            with refused_on_full_disk(name):
                yield
        except OSError as error:
            self._end_process(f"could not write {name}: {error}")
