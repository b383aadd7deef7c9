"""The audit trail: every attempt to change the fleet, chained by hashes."""

import hashlib
import json

GENESIS = "0" * 64


class AuditRecord:
    """One line of the audit trail.

    Parameters
    ----------
    number : int
        Position in the trail, from 1.
    at_ms : int
        Wall clock of the instance that proposed it, in ms since 1970.
    kind : str
        ``accepted``, ``conflict``, ``refused`` or the name of an operation.
    author : str
    origin : str
        Address that the attempt came from.
    detail : str
    version : int
        Version of the document after the attempt.
    previous : str
        Hash of the record before.
    """

    __slots__ = (
        "at_ms",
        "author",
        "detail",
        "kind",
        "number",
        "origin",
        "previous",
        "version",
    )

    def __init__(self, number, at_ms, kind, author, origin, detail, version, previous):
        self.number = number
        self.at_ms = at_ms
        self.kind = kind
        self.author = author
        self.origin = origin
        self.detail = detail
        self.version = version
        self.previous = previous

    def as_dict(self):
        """Return the record as a dict for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}

    @property
    def digest(self):
        """Hash over all fields, the previous hash included."""
        text = json.dumps(self.as_dict(), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


class AuditTrail:
    """Records in order; each holds the hash of the one before."""

    def __init__(self):
        self._records = []

    def __len__(self):
        return len(self._records)

    @property
    def last_digest(self):
        """Hash of the newest record."""
        return self._records[-1].digest if self._records else GENESIS

    def add(self, at_ms, kind, author, origin, detail, version):
        """Add one record at the end."""
        number = len(self._records) + 1
        self._records.append(
            AuditRecord(
                number, at_ms, kind, author, origin, detail, version, self.last_digest
            )
        )

    def since(self, number):
        """Return the records after position `number`."""
        return self._records[number:]

    def first_broken_record(self):
        """Return the number of the first record that breaks the chain, or None."""
        previous = GENESIS
        for record in self._records:
            if record.previous != previous:
                return record.number
            previous = record.digest
        return None

    def dump(self):
        """Return the trail as a list for JSON."""
        return [record.as_dict() for record in self._records]

    def restore(self, raw):
        """Take over a trail that `dump` returned."""
        self._records = [AuditRecord(**fields) for fields in raw]
