"""Changes of the fleet document requested by operators."""

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
MAX_DRAIN_TRIES = 5


class Change:
    """A change of the document requested by an operator.

    Parameters
    ----------
    author : str
        Name of the operator.
    origin : str
        Address of the operator's client.
    document : dict
        The complete new document.
    base_version : int or None
        Version that the document was made from; None for the latest.
    change_id : str
        Makes a repeated change idempotent; generated if empty.
    note : str
        Reason for the audit trail, cut to `MAX_NOTE_CHARS`.
    """

    __slots__ = ("author", "base_version", "change_id", "document", "note", "origin")

    def __init__(self, author, origin, document, base_version, change_id="", note=""):
        self.author = author
        self.origin = origin
        self.document = document
        self.base_version = base_version
        self.change_id = change_id or uuid.uuid4().hex
        self.note = note[:MAX_NOTE_CHARS]


class Changes:
    """Validates changes, submits them and waits until they are in force.

    Parameters
    ----------
    control_client : ControlClient
    replica : DocumentReplica
    confirmations : Confirmations
    """

    def __init__(self, control_client, replica, confirmations):
        self._control_client = control_client
        self._replica = replica
        self._confirmations = confirmations

    def paths_changed_by(self, document):
        """Return the paths that a document would change, as a list.

        Raises
        ------
        ExceptionGroup
            If the document is not valid.
        """
        validate_document(document, self._current_document())
        return changed_paths(make_changes(self._current_document(), document))

    def _current_document(self):
        return self._replica.document.raw

    async def submit_change(self, change):
        """Submit a change to the control group.

        Parameters
        ----------
        change : Change

        Returns
        -------
        result : ChangeResult

        Raises
        ------
        ExceptionGroup
            If the document is not valid; the audit trail records the refusal.
        AlmonddealError
            `VERSION_CONFLICT` if the base version is newer than known here, `NO_QUORUM`
            or `CHANGE_OUTCOME_UNKNOWN`. A conflict found by the group is not raised:
            the result has the code `VERSION_CONFLICT`.
        """
        try:
            await to_thread.run_sync(
                validate_document, change.document, self._current_document()
            )
        except ExceptionGroup as group:
            detail = "; ".join(str(e) for e in group.exceptions[:3])
            await self._record_in_audit_trail(change, "refused", detail)
            raise
        if change.base_version is None:
            await self._control_client.refresh_with_retries(SUBMIT_TIMEOUT_MS)
        current = self._replica.document
        # The control group rejects a base that is not its current version. The patch
        # of a change with an older base is thus never applied and may be empty.
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
            await self._wait_for_version(base_version)
            return await self.submit_change(change)
        result = await self._control_client.submit(
            Command(change=command), SUBMIT_TIMEOUT_MS
        )
        return result.change

    async def _wait_for_version(self, version):
        with anyio.move_on_after(SUBMIT_TIMEOUT_MS / 1000):
            await self._replica.wait_newer(version - 1)
            return
        raise AlmonddealError(VERSION_CONFLICT, f"version {version} is not known here")

    async def _record_in_audit_trail(self, change, kind, detail):
        attempt = RecordAttempt(kind, change.author, change.origin, detail, wall_ms())
        await self._control_client.submit(Command(attempt=attempt), SUBMIT_TIMEOUT_MS)

    async def drain(self, target, author, origin):
        """Add a target to the leaving targets of the document.

        Parameters
        ----------
        target : str
        author : str
        origin : str

        Returns
        -------
        result : ChangeResult

        Raises
        ------
        AlmonddealError
            `VERSION_CONFLICT` after `MAX_DRAIN_TRIES` concurrent changes, `NOT_FOUND`
            without a document, or an error of `submit_change`.
        """
        for _ in range(MAX_DRAIN_TRIES):
            await self._control_client.refresh_with_retries(SUBMIT_TIMEOUT_MS)
            current = self._replica.document
            document = copy.deepcopy(current.raw)
            if not document:
                raise AlmonddealError(NOT_FOUND, "there is no document yet")
            leaving = set(document.get("leaving", ()))
            document["leaving"] = sorted(leaving | {target})
            change = Change(author, origin, document, current.version)
            change.note = f"drain {target}"
            result = await self.submit_change(change)
            if result.code == OK.number:
                return result
        raise AlmonddealError(VERSION_CONFLICT, "others change the document too often")

    async def wait_in_force(self, version, timeout_ms):
        """Wait until a version is in force on all instances.

        Parameters
        ----------
        version : int
        timeout_ms : float

        Returns
        -------
        unconfirmed : list of str
            Names of the instances that have not confirmed the version in time.
        """
        deadline_ms = monotonic_ms() + timeout_ms
        while True:
            unconfirmed = self._confirmations.unconfirmed(version)
            if not unconfirmed or monotonic_ms() > deadline_ms:
                return unconfirmed
            await anyio.sleep(0.05)


def validation_messages(group):
    """Return the errors of a failed validation as a list of dicts for JSON."""
    return [
        {"code": DOCUMENT_INVALID.number, "message": error.detail}
        for error in group.exceptions
    ]
