"""The fleet document as this instance has it; its version never goes back."""

import json

import anyio

from almonddeal.document.diff import apply_changes
from almonddeal.document.model import EMPTY_DOCUMENT, FleetDocument
from almonddeal_common.wire.gen.ttypes import FetchDocumentReply


class DocumentReplica:
    """Holds the document in force on an instance.

    Parameters
    ----------
    state : ControlState or None
        The local state of a member; an instance without a disk has none and follows a
        member by patches.
    """

    def __init__(self, state):
        self._state = state
        self._followed = EMPTY_DOCUMENT
        self._changed = anyio.Event()

    @property
    def document(self):
        """The `FleetDocument` in force here."""
        return self._followed if self._state is None else self._state.document

    def notify_changed(self):
        """Wake those who wait for a newer document."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_newer(self, version):
        """Wait until the document is newer than `version`."""
        while self.document.version <= version:
            await self._changed.wait()

    def take(self, reply):
        """Take a `FetchDocumentReply` from a member."""
        if reply.version <= self._followed.version:
            return
        if reply.document_json:
            raw = json.loads(reply.document_json)
        else:
            raw = self._followed.raw
            for patch_json in json.loads(reply.patches_json):
                raw = apply_changes(raw, patch_json)
        self._followed = FleetDocument(reply.version, raw, self._followed)
        self.notify_changed()

    def make_reply(self, have_version, fresh_age_ms, term):
        """Return what an instance at `have_version` lacks, as patches if possible."""
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
