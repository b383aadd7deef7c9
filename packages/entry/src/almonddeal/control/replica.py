"""Fleet document of this instance; its version never decreases."""

import json

import anyio

from almonddeal.document.diff import apply_changes
from almonddeal.document.model import EMPTY_DOCUMENT, FleetDocument
from almonddeal_common.wire.gen.ttypes import FetchDocumentReply


class DocumentReplica:
    """The fleet document in force: that of the local state machine or a received copy.

    Parameters
    ----------
    state : ControlState or None
        State machine of a member of the control group. Another instance has none and
        receives the document from a member.
    """

    def __init__(self, state):
        self._state = state
        self._received_document = EMPTY_DOCUMENT
        self._changed = anyio.Event()

    @property
    def document(self):
        """The `FleetDocument` in force on this instance."""
        return self._received_document if self._state is None else self._state.document

    def notify_changed(self):
        """Wake the tasks that wait for a newer document."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_newer(self, version):
        """Wait until the document is newer than `version`."""
        while self.document.version <= version:
            await self._changed.wait()

    def apply_fetch_reply(self, reply):
        """Apply a `FetchDocumentReply` of a member if it is newer."""
        if reply.version <= self._received_document.version:
            return
        if reply.document_json:
            raw = json.loads(reply.document_json)
        else:
            raw = self._received_document.raw
            for patch_json in json.loads(reply.patches_json):
                raw = apply_changes(raw, patch_json)
        self._received_document = FleetDocument(
            reply.version, raw, self._received_document
        )
        self.notify_changed()

    def make_fetch_reply(self, have_version, fresh_age_ms, term):
        """Return the reply to an instance at `have_version`: patches, or the document.

        Parameters
        ----------
        have_version : int
            0 if the instance has no document.
        fresh_age_ms : float
            Age of the last confirmed read of this instance; -1 if there is none.
        term : int

        Returns
        -------
        reply : FetchDocumentReply
            The whole document if the patches since `have_version` are not kept; neither
            if `have_version` is not older.
        """
        document = self.document
        reply = FetchDocumentReply(document.version, "", "[]", int(fresh_age_ms), term)
        if have_version >= document.version:
            return reply
        patches = self._state.patches_since(have_version) if have_version else None
        if patches is None:
            reply.document_json = json.dumps(document.raw)
        else:
            reply.patches_json = json.dumps(patches)
        return reply
