"""Parsing of a server-sent event stream into complete events."""

import re

from almonddeal_common.codes import LINK_LOST, AlmonddealError

EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
MAX_END_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024
MAX_EVENT_ID_DIGITS = 19  # as in an integer of 64 bits


class Event:
    """One event: its raw bytes with the blank line, and its id if that is numeric.

    Raises
    ------
    AlmonddealError
        `LINK_LOST` if the id has more than `MAX_EVENT_ID_DIGITS`.
    """

    __slots__ = ("event_id", "raw")

    def __init__(self, raw):
        self.raw = raw
        self.event_id = _parse_event_id(raw)

    @property
    def is_comment(self):
        """Whether there is nothing but comment lines, as in a keep-alive."""
        return all(line.startswith(b":") for line in self.raw.splitlines() if line)


def _parse_event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if not value.isdigit():
                return None
            if len(value) > MAX_EVENT_ID_DIGITS:
                raise AlmonddealError(LINK_LOST, "the id of an event is too long")
            return int(value)
    return None


class EventReader:
    """Buffers received bytes and splits them into complete events.

    Each byte is searched once, in whatever chunks the bytes arrive.
    """

    __slots__ = ("_buffer", "_n_searched")

    def __init__(self):
        self._buffer = bytearray()
        self._n_searched = 0

    @property
    def has_partial_event(self):
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, data):
        """Append received bytes; returns the events that they complete, as a list.

        Raises
        ------
        AlmonddealError
            `LINK_LOST` if an event does not end within `MAX_EVENT_BYTES` or has an id
            of too many digits.
        """
        self._buffer += data
        events = []
        start = 0
        # The end of an event may begin in bytes that were searched before.
        position = max(0, self._n_searched - MAX_END_BYTES + 1)
        while (match := EVENT_END.search(self._buffer, position)) is not None:
            end = position = match.end()
            events.append(Event(bytes(self._buffer[start:end])))
            start = end
        del self._buffer[:start]
        self._n_searched = len(self._buffer)
        if len(self._buffer) > MAX_EVENT_BYTES:
            detail = f"an event has more than {MAX_EVENT_BYTES} bytes"
            raise AlmonddealError(LINK_LOST, detail)
        return events
