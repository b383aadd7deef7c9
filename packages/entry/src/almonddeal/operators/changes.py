"""Changes of the fleet document on behalf of operators."""

import copy
import uuid

import anyio
from anyio import to_thread

from almonddeal.document.diff import changed_paths, make_changes
from almonddeal.document.validate import validate_document
from almonddeal_common.clock import monotonic_ms, wall_ms
from almonddeal_common.codes import (
    DOCUMENT_INVALID,
    NOT_FOUND,
    OK,
    VERSION_CONFLICT,
    AlmonddealError,
)
from almonddeal_common.wire.gen.ttypes import ChangeDocument, Command, RecordAttempt

SUBMIT_TIMEOUT_MS = 8000
MAX_NOTE_CHARS = 500
DRAIN_TRIES = 5


class Change:
    """A change that an operator asks for."""

    __slots__ = ("author", "base_version", "change_id", "document", "note", "origin")

    def __init__(self, author, origin, document, base_version, change_id="", note=""):
        self.author = author
        self.origin = origin
        self.document = document
        self.base_version = base_version
        self.change_id = change_id or uuid.uuid4().hex
        self.note = note[:MAX_NOTE_CHARS]


class Changes:
    """Validates changes, has them accepted, and watches them come into force.

    Parameters
    ----------
    control : ControlClient
    replica : DocumentReplica
    confirmations : Confirmations
    """

    def __init__(self, control, replica, confirmations):
        self._control = control
        self._replica = replica
        self._confirmations = confirmations

    def plan(self, document):
        """Return what a document would change, as a list of paths."""
        validate_document(document, self._base())
        return changed_paths(make_changes(self._base(), document))

    def _base(self):
        return self._replica.document.raw

    async def apply(self, change):
        """Have a change accepted; returns its `ChangeResult`.

        Raises
        ------
        ExceptionGroup
            If the document is not valid; the attempt is recorded.
        AlmonddealError
            `VERSION_CONFLICT`, `NO_QUORUM` or `CHANGE_OUTCOME_UNKNOWN`.
        """
        try:
            await to_thread.run_sync(validate_document, change.document, self._base())
        except ExceptionGroup as group:
            detail = "; ".join(str(e) for e in group.exceptions[:3])
            await self._record(change, "refused", detail)
            raise
        if change.base_version is None:
            await self._control.refresh_with_retries(SUBMIT_TIMEOUT_MS)
        current = self._replica.document
        # A patch against another base is never applied; the log compares versions.
        patch_json = await to_thread.run_sync(
            make_changes, current.raw, change.document
        )
        base_version = change.base_version
        if base_version is None:
            base_version = current.version
        command = ChangeDocument(
            change_id=change.change_id,
            base_version=base_version,
            author=change.author,
            origin=change.origin,
            patch_json=patch_json if base_version == current.version else "[]",
            at_ms=wall_ms(),
            note=change.note,
        )
        if base_version > current.version:
            await self._replica_at(base_version)
            return await self.apply(change)
        result = await self._control.submit(Command(change=command), SUBMIT_TIMEOUT_MS)
        return result.change

    async def _replica_at(self, version):
        with anyio.move_on_after(SUBMIT_TIMEOUT_MS / 1000):
            await self._replica.wait_newer(version - 1)
            return
        raise AlmonddealError(VERSION_CONFLICT, f"version {version} is not known here")

    async def _record(self, change, kind, detail):
        attempt = RecordAttempt(kind, change.author, change.origin, detail, wall_ms())
        await self._control.submit(Command(attempt=attempt), SUBMIT_TIMEOUT_MS)

    async def drain(self, target, author, origin):
        """Put a target among those that leave; returns the `ChangeResult`."""
        for _ in range(DRAIN_TRIES):
            await self._control.refresh_with_retries(SUBMIT_TIMEOUT_MS)
            current = self._replica.document
            document = copy.deepcopy(current.raw)
            if not document:
                raise AlmonddealError(NOT_FOUND, "there is no document yet")
            leaving = set(document.get("leaving", ()))
            document["leaving"] = sorted(leaving | {target})
            change = Change(author, origin, document, current.version)
            change.note = f"drain {target}"
            result = await self.apply(change)
            if result.code == OK.number:
                return result
        raise AlmonddealError(VERSION_CONFLICT, "others change the document too often")

    async def wait_in_force(self, version, timeout_ms):
        """Wait until a version is in force everywhere; returns who lacks it still."""
        deadline_ms = monotonic_ms() + timeout_ms
        while True:
            missing = self._confirmations.missing(version)
            if not missing or monotonic_ms() > deadline_ms:
                return missing
            await anyio.sleep(0.05)


def validation_messages(group):
    """Return the errors of a validation as a list of dicts."""
    return [
        {"code": DOCUMENT_INVALID.number, "message": error.detail}
        for error in group.exceptions
    ]
