"""The log of one member in memory: a snapshot and the entries after it."""


class EntryLog:
    """Entries by index; those up to the snapshot are gone.

    Parameters
    ----------
    snapshot : Snapshot
    entries : list of LogEntry
        The entries after the snapshot, without a gap.
    """

    def __init__(self, snapshot, entries):
        self.snapshot = snapshot
        self._entries = list(entries)

    @property
    def first_index(self):
        """Index of the first entry that is kept, or would be."""
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
        """Return the entry at an index that is kept."""
        return self._entries[index - self.first_index]

    def term_at(self, index):
        """Return the term of an index, or None if it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if index < self.first_index or index > self.last_index:
            return None
        return self.entry(index).term

    def since(self, index, n_most=None):
        """Return the entries from an index on, at most `n_most` of them."""
        start = index - self.first_index
        end = None if n_most is None else start + n_most
        return self._entries[start:end]

    def append(self, entry):
        """Add an entry at the end."""
        assert entry.index == self.last_index + 1, "the log would have a gap"
        self._entries.append(entry)

    def truncate_from(self, index):
        """Remove the entries from an index on."""
        del self._entries[index - self.first_index :]

    def compact(self, snapshot):
        """Put a snapshot in place of the entries up to its index."""
        self._entries = self._entries[snapshot.index - self.snapshot.index :]
        self.snapshot = snapshot
