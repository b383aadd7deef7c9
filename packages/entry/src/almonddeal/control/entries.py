"""In-memory log of one member: a snapshot and the entries after it."""


def n_command_bytes(entries):
    """Return the size of the commands of log entries in bytes."""
    return sum(len(entry.command) for entry in entries)


class EntryLog:
    """Log entries by index; some that the snapshot covers may be kept.

    Parameters
    ----------
    snapshot : Snapshot
    entries : list of LogEntry
        The entries after the snapshot, without gaps.
    """

    def __init__(self, snapshot, entries):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._base_index = snapshot.index
        self._base_term = snapshot.term

    @property
    def first_index(self):
        """Index of the first entry after the snapshot, present or not."""
        return self.snapshot.index + 1

    @property
    def first_kept_index(self):
        """Index of the first entry that `entry` returns, present or not."""
        return self._base_index + 1

    @property
    def last_index(self):
        """Index of the last entry, whether committed or not."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def entry(self, index):
        """Return the entry at an index from `first_kept_index` on."""
        return self._entries[index - self.first_kept_index]

    def term_at(self, index):
        """Return the term of the entry at an index, or None if it is not in the log."""
        if index == self._base_index:
            return self._base_term
        if index < self.first_kept_index or index > self.last_index:
            return None
        return self.entry(index).term

    def entries_from(self, index, max_entries=None):
        """Return up to `max_entries` entries, starting at an index."""
        start = index - self.first_kept_index
        end = None if max_entries is None else start + max_entries
        return self._entries[start:end]

    def append(self, entry):
        """Append the entry with the next index."""
        assert entry.index == self.last_index + 1, "the log would have a gap"
        self._entries.append(entry)

    def truncate_from(self, index):
        """Remove the entry at an index and all later ones."""
        del self._entries[index - self.first_kept_index :]

    def compact(self, snapshot, first_kept_index):
        """Remove the entries before an index, which a snapshot covers."""
        base_index = first_kept_index - 1
        self._base_term = self.term_at(base_index)
        self._entries = self._entries[base_index - self._base_index :]
        self._base_index = base_index
        self.snapshot = snapshot
