"""Values by key with the number of their last change, to hand out only what is new."""

from collections import OrderedDict

import anyio


class VersionedMap:
    """Keeps the newest value of each key in the order of change.

    Attributes
    ----------
    revision : int
        Number of the last change.
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
        """Return all values as a list, the ones changed last at the end."""
        return [value for _, value in self._entry_by_key.values()]

    def put(self, key, value):
        """Keep a value, and wake those who wait for a change."""
        self.replace_quietly(key, value)
        self.revision += 1
        self._entry_by_key[key] = (self.revision, value)
        self._entry_by_key.move_to_end(key)
        self.notify()

    def replace_quietly(self, key, value):
        """Keep a value without telling anybody."""
        revision = self._entry_by_key.get(key, (0, None))[0]
        self._entry_by_key[key] = (revision, value)

    def discard(self, key):
        """Forget a key without telling anybody."""
        self._entry_by_key.pop(key, None)

    def changed_since(self, revision):
        """Return the values that changed after a number, oldest first, as a list."""
        newer = []
        for changed_at, value in reversed(self._entry_by_key.values()):
            if changed_at <= revision:
                break
            newer.append(value)
        newer.reverse()
        return newer

    def notify(self):
        """Wake those who wait, also without a change here."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self):
        """Wait for the next change."""
        await self._changed.wait()
