"""Tests of the parsing of event streams."""

import random

import pytest

from almonddeal.relay import events as events_module
from almonddeal.relay.events import EVENT_END, MAX_EVENT_BYTES, EventReader
from almonddeal_common.codes import AlmonddealError

PARTS = (b"\n", b"\n\n", b"\r", b"\r\n", b"\r\n\r\n", b":", b"id:1", b"data: x", b"xyz")
SHAPES = [
    pytest.param(b"\n", id="empty lines"),
    pytest.param(b": ping\n\n", id="comments"),
    pytest.param(b"data: x\r\n", id="lines without an end"),
    pytest.param(b"\r", id="lone CRs"),
    pytest.param(b"x", id="no lines"),
]


def split_events(data):
    """Return the complete events of a stream and the rest of its bytes."""
    events = []
    while match := EVENT_END.search(data):
        events.append(data[: match.end()])
        data = data[match.end() :]
    return events, data


def cut(data, rng):
    """Return data in chunks of random sizes, mostly small ones."""
    chunks = []
    while data:
        size = rng.choice((1, 1, 2, 3, 10, 100))
        chunks.append(data[:size])
        data = data[size:]
    return chunks


class CountingEnd:
    """Stands in for `EVENT_END`; counts the bytes that it searches."""

    def __init__(self):
        self.n_searched = 0

    def search(self, data, position):
        match = EVENT_END.search(data, position)
        self.n_searched += (len(data) if match is None else match.end()) - position
        return match


class TestEventReader:
    # Guards against an end of an event that is missed where chunks meet.
    @pytest.mark.parametrize("seed", range(20))
    def test_events_do_not_depend_on_the_chunks(self, seed):
        rng = random.Random(seed)
        data = b"".join(rng.choices(PARTS, k=300))
        reader = EventReader()
        events = [event.raw for chunk in cut(data, rng) for event in reader.feed(chunk)]
        expected, rest = split_events(data)
        assert events == expected
        assert reader.has_partial_event == bool(rest)

    # Guards against a cost that is quadratic in the bytes.
    @pytest.mark.parametrize("chunk_bytes", [1, 7, 2048])
    @pytest.mark.parametrize("shape", SHAPES)
    def test_each_byte_is_searched_a_few_times(self, monkeypatch, shape, chunk_bytes):
        counter = CountingEnd()
        monkeypatch.setattr(events_module, "EVENT_END", counter)
        data = shape * (20_000 // len(shape))
        reader = EventReader()
        for start in range(0, len(data), chunk_bytes):
            reader.feed(data[start : start + chunk_bytes])
        assert counter.n_searched <= 4 * len(data)

    # Guards against an engine that fills the memory with one event.
    @pytest.mark.parametrize("shape", [b"data: x\n", b"\r", b"x" * 1000])
    def test_event_without_an_end_is_rejected(self, shape):
        reader = EventReader()
        n_bytes = 0
        with pytest.raises(AlmonddealError, match="an event has more than"):
            while n_bytes < 2 * MAX_EVENT_BYTES:
                piece = shape * (2048 // len(shape))
                reader.feed(piece)
                n_bytes += len(piece)
        assert n_bytes <= MAX_EVENT_BYTES + 2048
