"""State machine of the published configuration: the highest version is in force."""

import json
import zlib

from almonddeal.control.audit import AuditTrail
from almonddeal_common.codes import OK
from almonddeal_common.wire.gen.ttypes import CommandResult, PublishResult


class Publication:
    """Configuration in force: a version and its bytes, as the operator sent them.

    Attributes
    ----------
    version : int
        0 before the first one.
    content : bytes
    packed : bytes
        The content as it travels.
    audit : AuditTrail
    """

    def __init__(self):
        self.version = 0
        self.content = b""
        self.packed = b""
        self.audit = AuditTrail()

    def apply(self, index, command):
        """Apply one committed command; returns a `CommandResult`."""
        publish = command.publish
        is_stored = publish.version > self.version
        if is_stored:
            self.version = publish.version
            self.packed = publish.content
            self.content = decompress_content(publish.content)
        self.audit.add(
            publish.at_ms,
            "accepted" if is_stored else "overtaken",
            "operator",
            publish.origin,
            f"version {publish.version}",
            self.version,
        )
        result = PublishResult(self.version, is_stored)
        return CommandResult(OK.number, index, publish=result)

    def dump(self):
        """Return the whole state as bytes."""
        state = {
            "version": self.version,
            "content": self.packed.hex(),
            "audit": self.audit.dump(),
        }
        return json.dumps(state).encode()

    def restore(self, data):
        """Take over a state that `dump` returned."""
        state = json.loads(data)
        assert state["version"] >= self.version, "the configuration would revert"
        self.version = state["version"]
        self.packed = bytes.fromhex(state["content"])
        self.content = decompress_content(self.packed)
        self.audit.restore(state["audit"])


def compress_content(content):
    """Return content as it travels and lies on disk."""
    return zlib.compress(content)


def decompress_content(packed):
    """Return the content that `compress_content` was given."""
    return zlib.decompress(packed) if packed else b""
