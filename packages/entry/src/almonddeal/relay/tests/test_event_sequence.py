"""Tests of the order of events by their ids."""

import pytest

from almonddeal.relay.event_sequence import (
    MAX_HELD_BYTES,
    MAX_HELD_EVENTS,
    EventSequence,
)
from almonddeal.relay.events import Event
from almonddeal_common.codes import LINK_LOST, AlmonddealError


def make_event(event_id):
    """Return an event; an id of None leaves it out."""
    line = b"" if event_id is None else b"id: %d\n" % event_id
    return Event(line + b"data: x\n\n")


def accepted_ids(sequence, *event_ids):
    """Begin an attempt; returns the ids of the events accepted at each event."""
    sequence.begin_attempt()
    return [
        [event.event_id for event in sequence.accept(make_event(event_id))]
        for event_id in event_ids
    ]


def fails(sequence, event_id):
    """Tell whether the next event of an attempt is not accepted."""
    with pytest.raises(AlmonddealError) as caught:
        sequence.accept(make_event(event_id))
    return caught.value.code == LINK_LOST


class TestNewStream:
    def test_ids_from_1_are_accepted_at_once(self):
        assert accepted_ids(EventSequence(None), 1, 2, 3) == [[1], [2], [3]]

    @pytest.mark.parametrize(
        ("event_ids", "expected"),
        [
            ((0, 1, 2), [[], [0, 1], [2]]),
            ((6, 12, 18), [[], [6, 12], [18]]),
            ((100, 101), [[], [100, 101]]),
            ((4, 7, 10, 13), [[], [], [4, 7, 10], [13]]),
            ((1, 7, 13, 19), [[1], [], [7, 13], [19]]),
        ],
    )
    def test_other_ids_are_held_until_they_are_confirmed(self, event_ids, expected):
        assert accepted_ids(EventSequence(None), *event_ids) == expected

    @pytest.mark.parametrize(
        "event_ids", [(70, 2), (1, 70, 3), (1, 70, 71), (1, 2, 70), (1, 2, 1), (1, 0)]
    )
    def test_id_out_of_sequence_is_a_loss(self, event_ids):
        sequence = EventSequence(None)
        accepted_ids(sequence, *event_ids[:-1])
        assert fails(sequence, event_ids[-1])

    def test_last_id_is_that_of_the_last_accepted_event(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, 70)
        assert sequence.last_id == 1
        assert [event.event_id for event in sequence.finish()] == [70]
        assert sequence.last_id == 70


class TestEventsWithoutId:
    def test_stream_without_ids_is_accepted_at_once(self):
        sequence = EventSequence(None)
        assert accepted_ids(sequence, None, None) == [[None], [None]]
        assert not sequence.can_resume

    def test_event_is_held_until_a_sound_id_follows(self):
        sequence = EventSequence(None)
        assert accepted_ids(sequence, 1, 2, None, 3) == [[1], [2], [], [None, 3]]
        assert sequence.can_resume

    def test_event_in_the_place_of_a_numbered_one_is_dropped(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, 2, None)
        assert fails(sequence, 4)
        assert accepted_ids(sequence, 3) == [[3]]

    # Guards against memory that grows with the events of a faulty engine.
    @pytest.mark.parametrize("n_bytes", [0, MAX_HELD_BYTES // 3])
    def test_held_events_are_bounded(self, n_bytes):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1)
        event = Event(b"data: %s\n\n" % (b"x" * n_bytes))
        with pytest.raises(AlmonddealError) as caught:
            for _ in range(MAX_HELD_EVENTS + 1):
                assert sequence.accept(event) == []
        assert caught.value.code == LINK_LOST

    def test_event_at_the_end_is_accepted(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, None)
        assert [event.event_id for event in sequence.finish()] == [None]

    def test_comment_is_accepted_at_once(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, 70)
        assert len(sequence.accept(Event(b": waiting\n\n"))) == 1


class TestFurtherAttempt:
    def test_repeats_are_dropped(self):
        sequence = EventSequence(3)
        assert accepted_ids(sequence, 1, 2, 3, 4) == [[], [], [], [4]]

    def test_held_events_of_the_attempt_before_are_dropped(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, 70)
        assert accepted_ids(sequence, 2, 3) == [[2], [3]]

    @pytest.mark.parametrize("event_ids", [(1, 4), (1, 3), (2, 3, 5)])
    def test_repeats_that_skip_an_id_are_a_loss(self, event_ids):
        sequence = EventSequence(None)
        accepted_ids(sequence, 1, 2, 3)
        accepted_ids(sequence, *event_ids[:-1])
        assert fails(sequence, event_ids[-1])

    # Guards against a response that ends as complete with its last event dropped.
    @pytest.mark.parametrize(("repeat", "is_loss"), [(2, True), (3, False)])
    def test_end_after_a_repeat(self, repeat, is_loss):
        sequence = EventSequence(3)
        accepted_ids(sequence, repeat)
        if is_loss:
            with pytest.raises(AlmonddealError):
                sequence.finish()
        else:
            assert sequence.finish() == []

    def test_known_step_holds_for_all_attempts(self):
        sequence = EventSequence(None)
        accepted_ids(sequence, 6, 12)
        assert accepted_ids(sequence, 18) == [[18]]
        sequence.begin_attempt()
        assert fails(sequence, 25)
