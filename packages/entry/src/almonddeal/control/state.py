"""The state that the replicated log builds: document, changes, audit trail, orders."""

import json
from collections import OrderedDict

from almonddeal.control.audit import AuditTrail
from almonddeal.document.diff import apply_changes, changed_paths
from almonddeal.document.model import EMPTY_DOCUMENT, FleetDocument
from almonddeal.orders.ledger import OrderLedger
from almonddeal_common.codes import OK, VERSION_CONFLICT
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ChangeResult, CommandResult

KEEP_CHANGES = 4096
KEEP_CHANGE_MS = 36 * 3600 * 1000


class _Accepted:
    """An accepted change, as later losers of a race see it."""

    __slots__ = ("at_ms", "author", "patch_json", "version")

    def __init__(self, version, author, at_ms, patch_json):
        self.version = version
        self.author = author
        self.at_ms = at_ms
        self.patch_json = patch_json

    def as_list(self):
        return [self.version, self.author, self.at_ms, self.patch_json]


class ControlState:
    """State machine of the control group; the same on every member.

    Attributes
    ----------
    document : FleetDocument
        The document in force here; its version only grows.
    ledger : OrderLedger
    audit : AuditTrail
    """

    def __init__(self):
        self.document = EMPTY_DOCUMENT
        self.ledger = OrderLedger()
        self.audit = AuditTrail()
        self._result_by_change_id = OrderedDict()
        self._accepted_by_version = OrderedDict()

    def apply(self, index, command):
        """Apply one committed command; returns a `CommandResult`."""
        if command.change is not None:
            result = CommandResult(
                OK.number, index, change=self._change(command.change)
            )
            result.code = result.change.code
        elif command.claim is not None:
            result = CommandResult(OK.number, index)
            result.claim = self.ledger.claim(command.claim)
            result.code = result.claim.code
        elif command.settle is not None:
            result = CommandResult(OK.number, index)
            result.claim = self.ledger.settle(command.settle)
            result.code = result.claim.code
        else:
            self._record(command.attempt)
            result = CommandResult(OK.number, index)
        return result

    def _record(self, attempt):
        self.audit.add(
            attempt.at_ms,
            attempt.kind,
            attempt.author,
            attempt.origin,
            attempt.detail,
            self.document.version,
        )

    def _change(self, change):
        earlier = self._result_by_change_id.get(change.change_id)
        if earlier is not None:
            return decode(ChangeResult, earlier)
        if change.base_version != self.document.version:
            result = self._conflict(change)
            kind = "conflict"
        else:
            result = self._accept(change)
            kind = "accepted"
        detail = change.note or "; ".join(changed_paths(change.patch_json))
        self.audit.add(
            change.at_ms,
            kind,
            change.author,
            change.origin,
            detail,
            self.document.version,
        )
        self._remember(change, result)
        return result

    def _accept(self, change):
        raw = apply_changes(self.document.raw, change.patch_json)
        version = self.document.version + 1
        self.document = FleetDocument(version, raw, self.document)
        self._accepted_by_version[version] = _Accepted(
            version, change.author, change.at_ms, change.patch_json
        )
        while len(self._accepted_by_version) > KEEP_CHANGES:
            self._accepted_by_version.popitem(last=False)
        paths = changed_paths(change.patch_json)
        return ChangeResult(
            OK.number, version, "accepted", paths, change.author, change.at_ms
        )

    def _conflict(self, change):
        later = [
            accepted
            for version, accepted in self._accepted_by_version.items()
            if version > change.base_version
        ]
        paths = sorted({p for a in later for p in changed_paths(a.patch_json)})
        author = later[-1].author if later else ""
        at_ms = later[-1].at_ms if later else 0
        detail = (
            f"base version {change.base_version}, in force {self.document.version}"
            f", last changed by {author or 'nobody'}"
        )
        return ChangeResult(
            VERSION_CONFLICT.number,
            self.document.version,
            detail,
            paths,
            author,
            at_ms,
        )

    def _remember(self, change, result):
        self._result_by_change_id[change.change_id] = encode(result)
        # Entries older than a day and a half go first; the count bounds memory only
        # beyond the number of changes that a day can bring.
        while len(self._result_by_change_id) > KEEP_CHANGES:
            oldest = next(iter(self._result_by_change_id))
            age_ms = (
                change.at_ms
                - decode(ChangeResult, self._result_by_change_id[oldest]).at_ms
            )
            if age_ms < KEEP_CHANGE_MS and len(self._result_by_change_id) < 65536:
                break
            del self._result_by_change_id[oldest]

    def patches_since(self, version):
        """Return the patches after `version` as a list, or None if some are gone."""
        wanted = range(version + 1, self.document.version + 1)
        if any(number not in self._accepted_by_version for number in wanted):
            return None
        return [self._accepted_by_version[number].patch_json for number in wanted]

    def dump(self):
        """Return the whole state as bytes."""
        return json.dumps(
            {
                "version": self.document.version,
                "document": self.document.raw,
                "changes": [
                    [change_id, result.hex()]
                    for change_id, result in self._result_by_change_id.items()
                ],
                "accepted": [a.as_list() for a in self._accepted_by_version.values()],
                "audit": self.audit.dump(),
                "ledger": self.ledger.dump(),
            }
        ).encode()

    def restore(self, data):
        """Take over a state that `dump` returned."""
        raw = json.loads(data)
        version = raw["version"]
        assert version >= self.document.version, "the document would revert"
        self.document = FleetDocument(version, raw["document"])
        self._result_by_change_id = OrderedDict(
            (change_id, bytes.fromhex(result)) for change_id, result in raw["changes"]
        )
        self._accepted_by_version = OrderedDict(
            (fields[0], _Accepted(*fields)) for fields in raw["accepted"]
        )
        self.audit.restore(raw["audit"])
        self.ledger.restore(raw["ledger"])
