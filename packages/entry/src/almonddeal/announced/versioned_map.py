"""Map that records the revision at which each value changed last."""

from collections import OrderedDict

import anyio


class VersionedMap:
    """Map with change tracking: readers fetch only what changed since a revision.

    Attributes
    ----------
    revision : int
        Revision of the last change; 0 before the first one.
    """

    def __init__(self):
        self.revision = 0
        self._entry_by_key = OrderedDict()
        self._changed = anyio.Event()

    def __len__(self):
        return len(self._entry_by_key)

    def __contains__(self, key):
        return key in self._entry_by_key

    def get(self, key):
        """Return the value of a key, or None."""
        entry = self._entry_by_key.get(key)
        return None if entry is None else entry[1]

    def values(self):
        """Return all values as a list, ordered by their last change."""
        return [value for _, value in self._entry_by_key.values()]

    def put(self, key, value):
        """Set a value under a new revision, and wake all waiters."""
        self.replace_silently(key, value)
        self.revision += 1
        self._entry_by_key[key] = (self.revision, value)
        self._entry_by_key.move_to_end(key)
        self.notify()

    def replace_silently(self, key, value):
        """Set a value without a new revision; waiters are not woken."""
        revision = self._entry_by_key.get(key, (0, None))[0]
        self._entry_by_key[key] = (revision, value)

    def discard(self, key):
        """Remove a key, if present, without a new revision; waiters are not woken."""
        self._entry_by_key.pop(key, None)

    def changed_since(self, revision):
        """Return the values that changed after a revision, oldest change first."""
        changed = []
        for change_revision, value in reversed(self._entry_by_key.values()):
            if change_revision <= revision:
                break
            changed.append(value)
        changed.reverse()
        return changed

    def notify(self):
        """Wake all waiters; others use this to report changes of their own."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self):
        """Wait until the next change or call of `notify`."""
        await self._changed.wait()
