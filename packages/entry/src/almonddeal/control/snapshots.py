"""Snapshots that travel in pieces, each short enough for a slow link."""

from almonddeal_common.wire.gen.ttypes import InstallSnapshot, Snapshot

PIECE_BYTES = 128 * 1024  # a fifth of a second on a link of 5 Mbit/s


def snapshot_pieces(term, leader, snapshot, recipient):
    """Return the messages that bring a snapshot to a member, as a list.

    Parameters
    ----------
    term : int
    leader : str
    snapshot : Snapshot
    recipient : str
    """
    state = snapshot.state
    messages = []
    for offset in range(0, max(1, len(state)), PIECE_BYTES):
        piece = Snapshot(
            snapshot.format,
            snapshot.index,
            snapshot.term,
            state[offset : offset + PIECE_BYTES],
            snapshot.members,
        )
        message = InstallSnapshot(term, leader, piece, recipient, offset, len(state))
        messages.append(message)
    return messages


class SnapshotAssembly:
    """Collects the pieces of one snapshot; one of another source starts anew."""

    def __init__(self):
        self._source = None
        self._parts = []
        self._n_bytes = 0

    def add(self, message):
        """Add a piece.

        Parameters
        ----------
        message : InstallSnapshot

        Returns
        -------
        is_in_order : bool
            False if pieces before it are missing; the sender starts again.
        snapshot : Snapshot or None
            The whole one, once the last piece came.
        """
        snapshot = message.snapshot
        offset = message.offset or 0
        # An earlier release sends the whole snapshot without its length.
        n_bytes = message.n_bytes or len(snapshot.state)
        source = (message.term, message.leader, snapshot.index, n_bytes)
        if offset == 0:
            self._source, self._parts, self._n_bytes = source, [], 0
        if source != self._source or offset != self._n_bytes:
            return False, None
        self._parts.append(snapshot.state)
        self._n_bytes += len(snapshot.state)
        if self._n_bytes < n_bytes:
            return True, None
        state = b"".join(self._parts)
        self._source, self._parts, self._n_bytes = None, [], 0
        whole = Snapshot(
            snapshot.format, snapshot.index, snapshot.term, state, snapshot.members
        )
        return True, whole
