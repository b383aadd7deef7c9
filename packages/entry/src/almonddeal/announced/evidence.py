"""Evidence on prompt segments, as kept by control and entry instances."""

from almonddeal.announced.expiring_map import ExpiringMap

RETENTION_MS = 600_000.0  # a segment is tried again later, as engines may be updated
MAX_RECORDS = 1000


class EvidenceStore(ExpiringMap):
    """Records of `SegmentEvidence` by key; each is accepted once, and kept for a time.

    A record is a fact and never changes, so that instances may receive it repeatedly
    and in any order.
    """

    def __init__(self):
        super().__init__(RETENTION_MS, MAX_RECORDS)

    def add(self, record):
        """Add a record; return whether it was new."""
        if record.key in self:
            return False
        self.put(record.key, record)
        return True
