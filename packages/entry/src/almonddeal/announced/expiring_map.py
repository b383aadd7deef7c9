"""Map with change tracking whose values expire."""

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms


class ExpiringMap(VersionedMap):
    """A `VersionedMap` that evicts values some time after they were set.

    Parameters
    ----------
    retention_ms : float
    max_values : int, optional
        Beyond it, values are evicted, those that were set first unless a subclass
        chooses others.
    """

    def __init__(self, retention_ms, max_values=None):
        super().__init__()
        self._retention_ms = retention_ms
        self._max_values = max_values
        self._set_ms_by_key = {}

    def put(self, key, value, age_ms=0.0):
        """Set a value under a new revision, and wake all waiters.

        Parameters
        ----------
        key : object
        value : object
        age_ms : float
            How long ago the value was set elsewhere.
        """
        self._set_ms_by_key.pop(key, None)
        self._set_ms_by_key[key] = monotonic_ms() - age_ms
        super().put(key, value)
        while self._max_values is not None and len(self) > self._max_values:
            self.discard(self._next_evicted())

    def _next_evicted(self):
        """Return the key to evict for lack of room: the one that was set first."""
        return next(iter(self._set_ms_by_key))

    def discard(self, key):
        """Remove a key, if present, without a new revision; waiters are not woken."""
        self._set_ms_by_key.pop(key, None)
        super().discard(key)

    def evict_stale(self):
        """Evict the values that were set too long ago; return their number."""
        start_ms = monotonic_ms() - self._retention_ms
        stale_keys = [key for key, ms in self._set_ms_by_key.items() if ms < start_ms]
        for key in stale_keys:
            self.discard(key)
        return len(stale_keys)
