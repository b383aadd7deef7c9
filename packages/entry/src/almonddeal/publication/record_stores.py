"""Records of entry instances that control instances pass on to all others."""

from almonddeal.announced.evidence import EvidenceStore
from almonddeal.announced.leaving_reports import LeavingReports
from almonddeal.announced.pause_reports import PauseReports
from almonddeal.announced.stream_origins import StreamOrigins
from almonddeal_common.logs import get_logger

MAX_LOGGED_CHARACTERS = 300  # of a record that is left out

log = get_logger("feed")


class RecordStores:
    """Stores of records of which each is passed on only if it says something new.

    Attributes
    ----------
    store_by_field : dict of str to VersionedMap
        By the field that has their records in `ShareRuns` and in `FollowUpdate`.
    """

    __slots__ = ("store_by_field",)

    def __init__(self):
        self.store_by_field = {
            "evidence": EvidenceStore(),
            "origins": StreamOrigins(),
            "leaving": LeavingReports(),
            "pauses": PauseReports(),
        }

    @property
    def revisions(self):
        """Revisions of the stores, as a tuple."""
        return tuple(store.revision for store in self.store_by_field.values())

    def changed_since(self, revisions):
        """Return the records of each field that changed after some revisions.

        Returns
        -------
        records_by_field : dict of str to list
            Has only fields with records.
        """
        records_by_field = {
            field: store.changed_since(revision)
            for (field, store), revision in zip(
                self.store_by_field.items(), revisions, strict=True
            )
        }
        return _without_empty(records_by_field)

    def values(self):
        """Return all records of each field that has any, as a dict of lists."""
        return _without_empty(
            {field: store.values() for field, store in self.store_by_field.items()}
        )

    def add(self, message):
        """Add the records of a `ShareRuns`; return those that were new.

        A record that fails is logged and left out.

        Returns
        -------
        records_by_field : dict of str to list
            Has only fields with records.
        """
        records_by_field = {}
        for field, store in self.store_by_field.items():
            # None in the messages of earlier releases.
            records = getattr(message, field) or []
            records_by_field[field] = [r for r in records if _add(store, r)]
        return _without_empty(records_by_field)

    def evict_stale(self):
        """Evict the records that are too old."""
        for store in self.store_by_field.values():
            store.evict_stale()


def _add(store, record):
    try:
        return store.add(record)
    except (TypeError, ValueError) as error:
        text = repr(record)[:MAX_LOGGED_CHARACTERS]
        log.error("could not add a record (%r): %s", error, text)
        return False


def _without_empty(records_by_field):
    return {field: records for field, records in records_by_field.items() if records}
