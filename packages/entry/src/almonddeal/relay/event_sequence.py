"""Order of the events of a stream, by their ids, over all of its attempts."""

from almonddeal_common.codes import LINK_LOST, AlmonddealError

USUAL_FIRST_ID = 1
MAX_HELD_EVENTS = 16
MAX_HELD_BYTES = 1024 * 1024


class EventSequence:
    """Tells which of the events that engines send a caller is yet to receive.

    Ids increase by a constant step. One that does not follow the id before it was
    corrupted, or an event is missing. While the step is unknown, events are held until
    the ids after them confirm theirs; an id that is one higher needs no confirmation.
    Events without an id are held until a sound id follows. What is held is bounded, as
    a faulty engine may send events without end.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has received; None without any.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was accepted.
    step : int or None
        Difference between successive ids, once confirmed.
    """

    __slots__ = (
        "_has_events_without_id",
        "_held_events",
        "_possible_step",
        "_previous_id",
        "last_id",
        "step",
    )

    def __init__(self, last_id):
        self.last_id = last_id
        self.step = None
        self._has_events_without_id = False
        self.begin_attempt()

    @property
    def can_resume(self):
        """Whether a further attempt can tell which events were accepted."""
        return self.last_id is not None or not self._has_events_without_id

    def begin_attempt(self):
        """Start to receive the events of another engine; drops held events."""
        self._held_events = []
        self._previous_id = None
        self._possible_step = self.step

    def accept(self, event):
        """Take the next event of the attempt.

        Parameters
        ----------
        event : Event

        Returns
        -------
        events : list of Event
            Events to send now, in order; empty if this one is a repeat or held.

        Raises
        ------
        AlmonddealError
            `LINK_LOST` if the id of this event, or of a held one, is not sound, or too
            many events would be held.
        """
        if event.is_comment:
            return [event]
        if event.event_id is None:
            return self._accept_without_id(event)
        if not self._has_sound_id(event.event_id):
            before = self.last_id if self._previous_id is None else self._previous_id
            raise AlmonddealError(LINK_LOST, f"event {event.event_id} follows {before}")
        self._previous_id = event.event_id
        if self.last_id is not None and event.event_id <= self.last_id:
            return []
        self._hold(event)
        is_usual_start = self.last_id is None and event.event_id == USUAL_FIRST_ID
        if self.step is None and not is_usual_start:
            return []
        self.last_id = event.event_id
        return self._release()

    def finish(self):
        """Return the events that are held at the end of a complete response.

        Raises
        ------
        AlmonddealError
            `LINK_LOST` if the response repeats events and ends before new ones.
        """
        if self._previous_id is not None:
            if self.last_id is not None and self._previous_id < self.last_id:
                detail = f"the response ends after a repeat of {self._previous_id}"
                raise AlmonddealError(LINK_LOST, detail)
            self.last_id = self._previous_id
        return self._release()

    def _accept_without_id(self, event):
        is_first = self._previous_id is None and not self._held_events
        if not is_first or self.last_id is not None:
            if is_first:
                raise AlmonddealError(
                    LINK_LOST, "a resumed stream begins without an id"
                )
            self._hold(event)
            return []
        self._has_events_without_id = True
        return [event]

    def _hold(self, event):
        n_bytes = sum(len(held.raw) for held in self._held_events) + len(event.raw)
        if len(self._held_events) == MAX_HELD_EVENTS or n_bytes > MAX_HELD_BYTES:
            raise AlmonddealError(LINK_LOST, "no sound id follows the held events")
        self._held_events.append(event)

    def _has_sound_id(self, event_id):
        """Tell whether an id may follow; learns the step from it."""
        previous_id = self._previous_id
        if previous_id is None:
            if self.last_id is None or event_id <= self.last_id:
                return True
            previous_id = self.last_id
        elif self.last_id is not None and previous_id < self.last_id < event_id:
            return False  # repeats lead up to the last event
        step = event_id - previous_id
        if step <= 0 or self._possible_step not in (None, step):
            return False
        # If they count from 0, the first id is the step.
        counts_from_0 = self.last_id is None and step == previous_id
        if step in (1, self._possible_step) or counts_from_0:
            self.step = step
        self._possible_step = step
        return True

    def _release(self):
        events, self._held_events = self._held_events, []
        return events
