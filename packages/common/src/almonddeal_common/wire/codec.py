"""Framing of messages: a fixed header, then a Thrift body."""

import struct
from copy import copy

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TType
from thrift.TSerialization import deserialize, serialize

from almonddeal_common.codes import INTERNAL, PROTOCOL_MISMATCH, AlmonddealError
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen import ttypes as messages

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_I64 = 2**63 - 1
# body length, phase of the call (see `Phase`), message kind, call id
FRAME_HEADER = struct.Struct(">IBHQ")

MAX_LOGGED_CHARACTERS = 300  # of a record that is left out

log = get_logger("wire")

_PROTOCOL_FACTORY = TBinaryProtocolAcceleratedFactory()

# Part of the wire protocol: add new numbers, never reuse or change one.
TYPE_BY_KIND = {
    1: messages.Hello,
    2: messages.Ping,
    3: messages.Ok,
    4: messages.Fault,
    10: messages.Announce,
    11: messages.AnnounceReply,
    12: messages.PeerDigest,
    13: messages.TargetOrder,
    20: messages.StartAttempt,
    21: messages.AttemptChunk,
    22: messages.AttemptEnd,
    24: messages.AppendBatch,
    25: messages.AppendBatchReply,
    26: messages.Fence,
    27: messages.FenceReply,
    30: messages.ServiceCall,
    31: messages.ServiceReply,
    32: messages.OrderQuery,
    33: messages.OrderAlive,
    34: messages.OrderAliveReply,
    40: messages.Vote,
    41: messages.VoteReply,
    42: messages.AppendLog,
    43: messages.AppendLogReply,
    44: messages.InstallSnapshot,
    45: messages.Propose,
    46: messages.ProposeReply,
    47: messages.ReadFresh,
    48: messages.ReadFreshReply,
    49: messages.FetchDocument,
    50: messages.FetchDocumentReply,
    52: messages.ClaimResult,
    53: messages.JoinGroup,
    54: messages.JoinGroupReply,
    60: messages.ShareTargets,
    61: messages.ShareRuns,
    62: messages.Follow,
    63: messages.FollowUpdate,
}
KIND_BY_TYPE = {type_: kind for kind, type_ in TYPE_BY_KIND.items()}
# Their lists hold records that do not depend on each other.
RECORD_TYPES = frozenset(
    (messages.ShareTargets, messages.ShareRuns, messages.FollowUpdate)
)


def encode(message):
    """Serialize a Thrift message."""
    return serialize(message, _PROTOCOL_FACTORY)


def decode(type_, data):
    """Deserialize `data` as a message of a Thrift type."""
    return deserialize(type_(), data, _PROTOCOL_FACTORY)


def encode_frame(phase, call_id, message):
    """Return the bytes of a frame: header and serialized message.

    Records that cannot be encoded are left out, but not of a call: it is encoded as a
    whole, since its reply stands for all of its records.

    Raises
    ------
    AlmonddealError
        `INTERNAL` if the message cannot be encoded.
    """
    kind = KIND_BY_TYPE[type(message)]
    try:
        body = encode(message)
    except Exception as error:
        if phase == messages.Phase.CALL or type(message) not in RECORD_TYPES:
            raise _encoding_error(message, error) from error
        body = _encode_without_bad_records(message)
    return FRAME_HEADER.pack(len(body), phase, kind, call_id) + body


def _encode_without_bad_records(message):
    filtered = copy(message)
    bad_records = []
    for _, field_type, name, element, _ in filter(None, type(message).thrift_spec):
        records = getattr(message, name)
        is_list_of_records = field_type == TType.LIST and element[0] == TType.STRUCT
        if not is_list_of_records or records is None:
            continue
        good_records = []
        for record in records:
            kept = good_records if _is_encodable(record) else bad_records
            kept.append(record)
        setattr(filtered, name, good_records)
    try:
        body = encode(filtered)
    except Exception as error:
        raise _encoding_error(message, error) from error
    log.error(
        "left out %d records that cannot be encoded, the first is %s",
        len(bad_records),
        repr(bad_records[0])[:MAX_LOGGED_CHARACTERS],
    )
    return body


def _is_encodable(record):
    try:
        encode(record)
    except Exception:
        return False
    return True


def _encoding_error(message, error):
    name = type(message).__name__
    return AlmonddealError(INTERNAL, f"{name} cannot be encoded: {error!r}")


class Frame:
    """A received frame, with the body not yet deserialized."""

    __slots__ = ("body", "call_id", "kind", "phase")

    def __init__(self, phase, kind, call_id, body):
        self.phase = phase
        self.kind = kind
        self.call_id = call_id
        self.body = body

    @property
    def type(self):
        """Message type, or None for a kind that this release does not know."""
        return TYPE_BY_KIND.get(self.kind)

    def message(self):
        """Deserialize and return the message."""
        type_ = self.type
        if type_ is None:
            raise AlmonddealError(
                PROTOCOL_MISMATCH, f"unknown message kind {self.kind}"
            )
        return deserialize(type_(), self.body, _PROTOCOL_FACTORY)


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add received bytes; returns the list of frames that they complete."""
        buffer = self._buffer
        buffer += data
        frames = []
        start = 0
        while len(buffer) - start >= FRAME_HEADER.size:
            length, phase, kind, call_id = FRAME_HEADER.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise AlmonddealError(PROTOCOL_MISMATCH, f"frame of {length} bytes")
            end = start + FRAME_HEADER.size + length
            if len(buffer) < end:
                break
            body = bytes(buffer[start + FRAME_HEADER.size : end])
            frames.append(Frame(phase, kind, call_id, body))
            start = end
        del buffer[:start]
        return frames
