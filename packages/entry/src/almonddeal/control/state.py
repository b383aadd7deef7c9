"""State machine of entry instances: document, changes, audit trail and orders.

Control instances use `publication.state.Publication`.
"""

import json
from collections import OrderedDict

from almonddeal.control.audit import AuditTrail
from almonddeal.document.diff import apply_changes, changed_paths
from almonddeal.document.model import EMPTY_DOCUMENT, FleetDocument
from almonddeal.orders.ledger import OrderLedger
from almonddeal_common.codes import OK, VERSION_CONFLICT
from almonddeal_common.wire.codec import decode, encode
from almonddeal_common.wire.gen.ttypes import ChangeResult, CommandResult

N_KEPT_CHANGES = 4096
CHANGE_RETENTION_MS = 36 * 3600 * 1000


class _AcceptedChange:
    """An accepted change: reported to authors of conflicting ones, sent as a patch."""

    __slots__ = ("at_ms", "author", "patch_json", "version")

    def __init__(self, version, author, at_ms, patch_json):
        self.version = version
        self.author = author
        self.at_ms = at_ms
        self.patch_json = patch_json

    def as_list(self):
        return [self.version, self.author, self.at_ms, self.patch_json]


class ControlState:
    """State machine that applies the commands of the replicated log.

    Members that applied the same entries have the same state.

    Attributes
    ----------
    document : FleetDocument
        The document in force here; its version never decreases.
    ledger : OrderLedger
    audit : AuditTrail
    """

    def __init__(self):
        self.document = EMPTY_DOCUMENT
        self.ledger = OrderLedger()
        self.audit = AuditTrail()
        self._encoded_result_by_change_id = OrderedDict()
        self._accepted_by_version = OrderedDict()

    def apply(self, index, command):
        """Apply one committed command; returns a `CommandResult`."""
        if command.change is not None:
            result = CommandResult(
                OK.number, index, change=self._apply_change(command.change)
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
            self._record_attempt(command.attempt)
            result = CommandResult(OK.number, index)
        return result

    def _record_attempt(self, attempt):
        self.audit.add(
            attempt.at_ms,
            attempt.kind,
            attempt.author,
            attempt.origin,
            attempt.detail,
            self.document.version,
        )

    def _apply_change(self, change):
        encoded_result = self._encoded_result_by_change_id.get(change.change_id)
        if encoded_result is not None:
            return decode(ChangeResult, encoded_result)
        if change.base_version != self.document.version:
            result = self._conflict_result(change)
            kind = "conflict"
        else:
            result = self._accept_change(change)
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
        self._remember_result(change, result)
        return result

    def _accept_change(self, change):
        raw = apply_changes(self.document.raw, change.patch_json)
        version = self.document.version + 1
        self.document = FleetDocument(version, raw, self.document)
        self._accepted_by_version[version] = _AcceptedChange(
            version, change.author, change.at_ms, change.patch_json
        )
        while len(self._accepted_by_version) > N_KEPT_CHANGES:
            self._accepted_by_version.popitem(last=False)
        paths = changed_paths(change.patch_json)
        return ChangeResult(
            OK.number, version, "accepted", paths, change.author, change.at_ms
        )

    def _conflict_result(self, change):
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

    def _remember_result(self, change, result):
        self._encoded_result_by_change_id[change.change_id] = encode(result)
        # Beyond N_KEPT_CHANGES, results older than CHANGE_RETENTION_MS are evicted. At
        # 65536, more than the changes of a day, newer ones too, which bounds memory.
        while len(self._encoded_result_by_change_id) > N_KEPT_CHANGES:
            oldest = next(iter(self._encoded_result_by_change_id))
            age_ms = (
                change.at_ms
                - decode(ChangeResult, self._encoded_result_by_change_id[oldest]).at_ms
            )
            if (
                age_ms < CHANGE_RETENTION_MS
                and len(self._encoded_result_by_change_id) < 65536
            ):
                break
            del self._encoded_result_by_change_id[oldest]

    def patches_since(self, version):
        """Return the list of patches after `version`, or None if some were evicted."""
        wanted = range(version + 1, self.document.version + 1)
        if any(number not in self._accepted_by_version for number in wanted):
            return None
        return [self._accepted_by_version[number].patch_json for number in wanted]

    def dump(self):
        """Return the state as bytes, for a snapshot."""
        return json.dumps(
            {
                "version": self.document.version,
                "document": self.document.raw,
                "changes": [
                    [change_id, result.hex()]
                    for change_id, result in self._encoded_result_by_change_id.items()
                ],
                "accepted": [a.as_list() for a in self._accepted_by_version.values()],
                "audit": self.audit.dump(),
                "ledger": self.ledger.dump(),
            }
        ).encode()

    def restore(self, data):
        """Replace the state by one that `dump` returned."""
        raw = json.loads(data)
        version = raw["version"]
        assert version >= self.document.version, "the document would revert"
        self.document = FleetDocument(version, raw["document"])
        self._encoded_result_by_change_id = OrderedDict(
            (change_id, bytes.fromhex(result)) for change_id, result in raw["changes"]
        )
        self._accepted_by_version = OrderedDict(
            (fields[0], _AcceptedChange(*fields)) for fields in raw["accepted"]
        )
        self.audit.restore(raw["audit"])
        self.ledger.restore(raw["ledger"])
