"""Transfer of snapshots in chunks, each small enough for a slow link."""

from almonddeal_common.wire.gen.ttypes import InstallSnapshot, Snapshot

CHUNK_BYTES = 128 * 1024  # takes a fifth of a second on a link of 5 Mbit/s


def snapshot_chunks(term, leader, snapshot, recipient):
    """Return the `InstallSnapshot` messages that transfer a snapshot, as a list.

    Parameters
    ----------
    term : int
    leader : str
    snapshot : Snapshot
    recipient : str
    """
    state = snapshot.state
    messages = []
    for offset in range(0, max(1, len(state)), CHUNK_BYTES):
        chunk = Snapshot(
            snapshot.format,
            snapshot.index,
            snapshot.term,
            state[offset : offset + CHUNK_BYTES],
            snapshot.members,
        )
        message = InstallSnapshot(term, leader, chunk, recipient, offset, len(state))
        messages.append(message)
    return messages


class SnapshotAssembler:
    """Assembles a snapshot from its chunks; a first chunk discards those before."""

    def __init__(self):
        self._transfer_id = None
        self._chunks = []
        self._n_received_bytes = 0

    def add(self, message):
        """Add a chunk.

        Parameters
        ----------
        message : InstallSnapshot

        Returns
        -------
        is_in_order : bool
            False if chunks before it are missing; the sender must restart.
        snapshot : Snapshot or None
            The complete snapshot, with the last chunk.
        """
        snapshot = message.snapshot
        offset = message.offset or 0
        # Earlier releases send the snapshot in one message without its length.
        n_bytes = message.n_bytes or len(snapshot.state)
        transfer_id = (message.term, message.leader, snapshot.index, n_bytes)
        if offset == 0:
            self._transfer_id, self._chunks, self._n_received_bytes = transfer_id, [], 0
        if transfer_id != self._transfer_id or offset != self._n_received_bytes:
            return False, None
        self._chunks.append(snapshot.state)
        self._n_received_bytes += len(snapshot.state)
        if self._n_received_bytes < n_bytes:
            return True, None
        state = b"".join(self._chunks)
        self._transfer_id, self._chunks, self._n_received_bytes = None, [], 0
        complete = Snapshot(
            snapshot.format, snapshot.index, snapshot.term, state, snapshot.members
        )
        return True, complete
