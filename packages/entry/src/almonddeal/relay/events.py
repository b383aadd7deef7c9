"""Cutting an event stream into whole events."""


class Event:
    """One event: its bytes with the blank line, and its id if it is a number."""

    __slots__ = ("event_id", "raw")

    def __init__(self, raw):
        self.raw = raw
        self.event_id = _event_id(raw)


def _event_id(raw):
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


class EventReader:
    """Collects bytes until an event is whole."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Whether an event was begun and not finished."""
        return bool(self._buffer)

    def feed(self, data):
        """Return the events that `data` completes, as a list of Event."""
        self._buffer += data
        events = []
        while True:
            end = self._end()
            if end is None:
                return events
            events.append(Event(self._buffer[:end]))
            self._buffer = self._buffer[end:]

    def _end(self):
        ends = [
            position + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (position := self._buffer.find(mark)) >= 0
        ]
        return min(ends) if ends else None
