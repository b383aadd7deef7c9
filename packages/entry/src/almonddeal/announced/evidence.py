"""Evidence on requests and prompt segments, as kept by control and entry instances."""

from collections import Counter

from almonddeal.announced.expiring_map import ExpiringMap
from almonddeal_common.wire.gen.ttypes import SegmentEvidence

RETENTION_MS = 600_000.0  # a suspect is tried again later, as targets may be updated
MAX_RECORDS = 1000
REPEATED = 3  # records on a suspect, from which on it may explain crashes


def check_record(record):
    """Return a record, if it has what instances derive from it.

    Parameters
    ----------
    record : SegmentEvidence

    Returns
    -------
    record : SegmentEvidence

    Raises
    ------
    ValueError
        If the record has no key, no time or no suspects.
    """
    if not (
        isinstance(record, SegmentEvidence)
        and isinstance(record.key, str)
        and isinstance(record.observed_ms, int)
        and record.prefix_hashes
        and all(isinstance(suspect, str) for suspect in record.prefix_hashes)
    ):
        raise ValueError("evidence without a key, a time or suspects")
    return record


class EvidenceStore(ExpiringMap):
    """Records of `SegmentEvidence` by key; each is accepted once, and kept for a time.

    A record is a fact and never changes, so that instances may receive it repeatedly
    and in any order. When there are too many, those on suspects of few records are
    evicted first: the loss of a failure domain brings many that explain nothing.
    """

    def __init__(self):
        super().__init__(RETENTION_MS, MAX_RECORDS)
        self._n_by_suspect = Counter()

    def add(self, record):
        """Add a record; return whether it was new."""
        if record.key in self:
            return False
        self._n_by_suspect.update(record.prefix_hashes)
        self.put(record.key, record)
        return True

    def discard(self, key):
        """Remove a record, if present, without a new revision."""
        record = self.get(key)
        if record is not None:
            self._forget(record)
        super().discard(key)

    def _forget(self, record):
        for suspect in record.prefix_hashes:
            self._n_by_suspect[suspect] -= 1
            if not self._n_by_suspect[suspect]:
                del self._n_by_suspect[suspect]

    def _next_evicted(self):
        for key in self._set_ms_by_key:
            if not self._is_repeated(self.get(key)):
                return key
        return super()._next_evicted()

    def _is_repeated(self, record):
        return any(self._n_by_suspect[s] >= REPEATED for s in record.prefix_hashes)
