"""Evidence on prompt segments, as kept by control and entry instances."""

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms

RETENTION_MS = 600_000.0  # a segment is tried again later, as engines may be updated
MAX_RECORDS = 1000  # beyond it, the oldest are evicted


class EvidenceStore(VersionedMap):
    """Records of `SegmentEvidence` by key; each is accepted once, and kept for a time.

    A record is a fact and never changes, so that instances may receive it repeatedly
    and in any order.
    """

    def __init__(self):
        super().__init__()
        self._received_ms_by_key = {}

    def add(self, record):
        """Add a record; return whether it was new."""
        if record.key in self:
            return False
        self._received_ms_by_key[record.key] = monotonic_ms()
        self.put(record.key, record)
        while len(self) > MAX_RECORDS:
            self._evict(next(iter(self._received_ms_by_key)))
        return True

    def evict_stale(self):
        """Evict the records that were received too long ago; return their number."""
        start_ms = monotonic_ms() - RETENTION_MS
        stale_keys = [
            key
            for key, received_ms in self._received_ms_by_key.items()
            if received_ms < start_ms
        ]
        for key in stale_keys:
            self._evict(key)
        return len(stale_keys)

    def _evict(self, key):
        del self._received_ms_by_key[key]
        self.discard(key)
