"""Transfer of snapshots and large entries in chunks, each short on a slow link.

A reply to a chunk tells how much has arrived, so that a transfer resumes after a lost
reply, and shows that the leader is alive.
"""

from almonddeal.control.constants import (
    MIN_DISK_BYTES_PER_MS,
    MIN_LINK_BYTES_PER_MS,
    RPC_TIMEOUT_MS,
)
from almonddeal_common.wire.gen.ttypes import InstallSnapshot, LogEntry, Snapshot

CHUNK_BYTES = 64 * 1024  # takes a tenth of a second on a link of 5 Mbit/s


def call_timeout_ms(n_sent_bytes, n_written_bytes):
    """Return how long a call may take that sends and stores so many bytes."""
    link_ms = n_sent_bytes / MIN_LINK_BYTES_PER_MS
    return RPC_TIMEOUT_MS + link_ms + n_written_bytes / MIN_DISK_BYTES_PER_MS


class OutgoingTransfer:
    """What a leader sends to one member in chunks, and how much has arrived.

    Parameters
    ----------
    index : int
        Index of the entry, or of the last entry in the snapshot.
    data : bytes
        Command of the entry, or state of the snapshot.

    Attributes
    ----------
    offset : int
        Start of the next chunk.
    n_chunk_bytes : int
        Size of the chunks, but for a smaller last one.
    """

    __slots__ = ("data", "index", "n_chunk_bytes", "offset")

    def __init__(self, index, data):
        self.index = index
        self.data = data
        self.offset = 0
        self.n_chunk_bytes = CHUNK_BYTES

    @property
    def chunk(self):
        """The next chunk."""
        return self.data[self.offset : self.offset + self.n_chunk_bytes]

    @property
    def is_last_chunk(self):
        """Whether the transfer ends with the next chunk."""
        return self.offset + self.n_chunk_bytes >= len(self.data)


class SnapshotTransfer(OutgoingTransfer):
    """Transfer of a snapshot, which the leader may have replaced meanwhile.

    Parameters
    ----------
    snapshot : Snapshot
    """

    __slots__ = ("_snapshot",)

    def __init__(self, snapshot):
        super().__init__(snapshot.index, snapshot.state)
        self._snapshot = snapshot

    def message(self, term, leader, recipient):
        """Return the next `InstallSnapshot`; `leader` is "" from a candidate."""
        chunk = Snapshot(
            self._snapshot.format,
            self._snapshot.index,
            self._snapshot.term,
            self.chunk,
            self._snapshot.members,
        )
        return InstallSnapshot(
            term, leader, chunk, recipient, self.offset, len(self.data)
        )


class EntryTransfer(OutgoingTransfer):
    """Transfer of an entry that is too large for one message.

    Parameters
    ----------
    entry : LogEntry
    """

    __slots__ = ("_entry",)

    def __init__(self, entry):
        super().__init__(entry.index, entry.command)
        self._entry = entry

    def add_part(self, message):
        """Add the next part of the entry to an `AppendLog`."""
        entry = self._entry
        message.part = LogEntry(entry.term, entry.index, entry.kind, self.chunk)
        message.part_offset = self.offset
        message.part_n_bytes = len(self.data)


class ChunkAssembler:
    """Assembles the chunks of a transfer; the first of another one discards them.

    Attributes
    ----------
    n_received_bytes : int
        Bytes of the present transfer that have arrived without a gap.
    """

    __slots__ = ("_chunks", "_n_bytes", "_transfer_id", "n_received_bytes")

    def __init__(self):
        self.clear()

    def clear(self):
        """Discard what has arrived."""
        self._transfer_id = None
        self._chunks = []
        self._n_bytes = None
        self.n_received_bytes = 0

    def add(self, transfer_id, offset, n_bytes, chunk):
        """Add a chunk; one that has arrived already has no effect.

        Parameters
        ----------
        transfer_id : tuple
            Identifies the leader, its term and what it sends.
        offset : int
        n_bytes : int
            Size of the whole.
        chunk : bytes

        Returns
        -------
        is_in_order : bool
            False if chunks before it are missing.
        """
        if transfer_id != self._transfer_id:
            self.clear()
            self._transfer_id = transfer_id
            self._n_bytes = n_bytes
        if offset == self.n_received_bytes:
            self._chunks.append(chunk)
            self.n_received_bytes += len(chunk)
        return offset + len(chunk) <= self.n_received_bytes

    @property
    def whole(self):
        """What was sent, once all of it has arrived, as bytes; None before."""
        if self._n_bytes is None or self.n_received_bytes < self._n_bytes:
            return None
        return b"".join(self._chunks)


def add_part(assembler, message):
    """Add the part of an entry in an `AppendLog`; return the entry once it is complete.

    Returns
    -------
    entry : LogEntry or None
    """
    part = message.part
    transfer_id = (message.term, message.leader, "entry", part.index)
    assembler.add(transfer_id, message.part_offset, message.part_n_bytes, part.command)
    command = assembler.whole
    if command is None:
        return None
    return LogEntry(part.term, part.index, part.kind, command)


def add_snapshot_chunk(assembler, message, link=None):
    """Add the chunk in an `InstallSnapshot`.

    Parameters
    ----------
    assembler : ChunkAssembler
    message : InstallSnapshot
    link : object, optional
        Link on which it came; tells apart the transfers of candidates, which have no
        leader.

    Returns
    -------
    is_in_order : bool
        False if chunks before it are missing.
    snapshot : Snapshot or None
        The snapshot, once it is complete.
    """
    chunk = message.snapshot
    sender = message.leader or link
    transfer_id = (message.term, sender, "snapshot", chunk.index)
    # Earlier releases send the snapshot in one message without its length.
    n_bytes = message.n_bytes or len(chunk.state)
    is_in_order = assembler.add(transfer_id, message.offset or 0, n_bytes, chunk.state)
    state = assembler.whole
    if state is None:
        return is_in_order, None
    return True, Snapshot(chunk.format, chunk.index, chunk.term, state, chunk.members)
