"""In-memory log of one member: a snapshot and the entries after it."""


def n_command_bytes(entries):
    """Return the size of the commands of log entries in bytes."""
    return sum(len(entry.command) for entry in entries)


class EntryLog:
    """Log entries by index; entries covered by the snapshot are not kept.

    Parameters
    ----------
    snapshot : Snapshot
    entries : list of LogEntry
        The entries after the snapshot, without gaps.
    """

    def __init__(self, snapshot, entries):
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def first_index(self):
        """Index of the first entry after the snapshot, present or not."""
        return self.snapshot.index + 1

    @property
    def last_index(self):
        """Index of the last entry, whether committed or not."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def entry(self, index):
        """Return the entry at an index, which must lie after the snapshot."""
        return self._entries[index - self.first_index]

    def term_at(self, index):
        """Return the term of the entry at an index, or None if it is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.first_index or index > self.last_index:
            return None
        return self.entry(index).term

    def entries_from(self, index, max_entries=None):
        """Return up to `max_entries` entries, starting at an index."""
        start = index - self.first_index
        end = None if max_entries is None else start + max_entries
        return self._entries[start:end]

    def append(self, entry):
        """Append the entry with the next index."""
        assert entry.index == self.last_index + 1, "the log would have a gap"
        self._entries.append(entry)

    def truncate_from(self, index):
        """Remove the entry at an index and all later ones."""
        del self._entries[index - self.first_index :]

    def compact(self, snapshot):
        """Replace the entries up to the index of a snapshot by the snapshot."""
        self._entries = self._entries[snapshot.index - self.snapshot.index :]
        self.snapshot = snapshot
