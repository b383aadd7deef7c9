"""Audit trail: requested changes and steps of rollouts, as a hash chain."""

import hashlib
import json

DIGEST_BEFORE_FIRST_RECORD = "0" * 64


class AuditRecord:
    """One record of the audit trail.

    Parameters
    ----------
    number : int
        Position in the trail, from 1.
    at_ms : int
        Wall clock of the proposing instance, in ms since 1970.
    kind : str
        ``accepted``, ``conflict``, ``refused``, ``overtaken``, ``step``, ``paused`` or
        ``resumed``.
    author : str
    origin : str
        Network address that the request came from.
    detail : str
    version : int
        Version of the document or configuration in force after the request.
    previous : str
        Digest of the previous record.
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
        """SHA-256 over all fields, including the digest of the previous record."""
        text = json.dumps(self.as_dict(), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


class AuditTrail:
    """Records in order; each contains the digest of the previous one."""

    def __init__(self):
        self._records = []

    def __len__(self):
        return len(self._records)

    @property
    def last_digest(self):
        """Digest of the newest record, else `DIGEST_BEFORE_FIRST_RECORD`."""
        return self._records[-1].digest if self._records else DIGEST_BEFORE_FIRST_RECORD

    def add(self, at_ms, kind, author, origin, detail, version):
        """Append a record."""
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
        """Return the number of the first record with a wrong `previous`, or None."""
        previous = DIGEST_BEFORE_FIRST_RECORD
        for record in self._records:
            if record.previous != previous:
                return record.number
            previous = record.digest
        return None

    def dump(self):
        """Return the trail as a list for JSON."""
        return [record.as_dict() for record in self._records]

    def restore(self, raw):
        """Replace the trail by one that `dump` returned."""
        self._records = [AuditRecord(**fields) for fields in raw]
