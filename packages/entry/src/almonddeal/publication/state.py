"""State machine of the published configuration; the highest version is in force."""

import json
import zlib

from almonddeal.control.audit import AuditTrail
from almonddeal_common.codes import OK
from almonddeal_common.wire.gen.ttypes import CommandResult, PublishResult


class Publication:
    """State machine of control instances: the configuration in force.

    Attributes
    ----------
    version : int
        0 before the first publication.
    content : bytes
        As the operator sent it.
    compressed : bytes
        The content as sent to subscribers and stored.
    audit : AuditTrail
    """

    def __init__(self):
        self.version = 0
        self.content = b""
        self.compressed = b""
        self.audit = AuditTrail()

    def apply(self, index, command):
        """Apply one committed command; returns a `CommandResult`."""
        publish = command.publish
        is_stored = publish.version > self.version
        if is_stored:
            self.version = publish.version
            self.compressed = publish.content
            self.content = decompress_content(publish.content)
        self.audit.add(
            publish.at_ms,
            # Overtaken: not newer than the one in force, such as one that is resent.
            "accepted" if is_stored else "overtaken",
            "operator",
            publish.origin,
            f"version {publish.version}",
            self.version,
        )
        result = PublishResult(self.version, is_stored)
        return CommandResult(OK.number, index, publish=result)

    def dump(self):
        """Return the state as bytes, for a snapshot."""
        state = {
            "version": self.version,
            "content": self.compressed.hex(),
            "audit": self.audit.dump(),
        }
        return json.dumps(state).encode()

    def restore(self, data):
        """Replace the state by one that `dump` returned."""
        state = json.loads(data)
        assert state["version"] >= self.version, "the configuration would revert"
        self.version = state["version"]
        self.compressed = bytes.fromhex(state["content"])
        self.content = decompress_content(self.compressed)
        self.audit.restore(state["audit"])


def compress_content(content):
    """Return content in the compressed form for messages and storage."""
    return zlib.compress(content)


def decompress_content(compressed):
    """Return the content that `compress_content` was given; b"" for b""."""
    return zlib.decompress(compressed) if compressed else b""
