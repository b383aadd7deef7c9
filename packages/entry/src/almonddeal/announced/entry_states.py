"""What entry instances report of themselves: starting, ready, stopping."""

from almonddeal.announced.versioned_map import VersionedMap
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import get_logger
from almonddeal_common.wire.gen.ttypes import EntryState

# Values of `EntryState.state`, a part of the wire protocol. A process that has yielded
# accepts no new callers and never will.
NOT_READY, READY, STOPPING, YIELDED = 1, 2, 3, 4
RETENTION_MS = 60_000.0
REPEAT_INTERVAL_MS = 20_000.0  # so that a lost report costs no more

log = get_logger("announced")


class EntryStates(VersionedMap):
    """Last `EntryState` of each instance, by its name.

    Records may be received repeatedly and in any order.
    """

    def __init__(self):
        super().__init__()
        self._received_ms_by_instance = {}

    def add(self, record):
        """Add a record; return whether it is whole and newer than the one known."""
        if not _is_whole(record):
            log.error("received a state of an instance that lacks parts: %r", record)
            return False
        known = self.get(record.instance)
        if known is not None and _order(record) <= _order(known):
            return False
        self._received_ms_by_instance[record.instance] = monotonic_ms()
        self.put(record.instance, record)
        return True

    def discard(self, key):
        """Remove a record, if present, without a new revision."""
        self._received_ms_by_instance.pop(key, None)
        super().discard(key)

    def end_subscription(self, record):
        """Record that the sender of a record is no longer connected.

        What a stopping instance said stays, as it may run on unheard.

        Returns
        -------
        ended : list of EntryState
            The new record, if there is one.
        """
        if record is None or record is not self.get(record.instance):
            return []
        if record.state != READY:
            return []
        # Instances use every second number, so that the next one of theirs is newer.
        ended = EntryState(
            record.instance, record.incarnation, record.sequence + 1, NOT_READY, 0
        )
        self.add(ended)
        return [ended]

    def evict_stale(self):
        """Evict the records that were received too long ago."""
        start_ms = monotonic_ms() - RETENTION_MS
        for instance, received_ms in list(self._received_ms_by_instance.items()):
            if received_ms < start_ms:
                self.discard(instance)


class OwnEntryState:
    """Reports the state of this process to the others.

    Parameters
    ----------
    states : EntryStates
        Holds the reports of all instances.
    instance : str
    incarnation : int
    """

    __slots__ = ("_reported_ms", "instance", "record", "states")

    def __init__(self, states, instance, incarnation):
        self.states = states
        self.instance = instance
        self.record = None
        self._reported_ms = 0.0
        self._put(EntryState(instance, incarnation, 0, NOT_READY, 0))

    def others(self):
        """Return the last reports of all other instances."""
        return [r for r in self.states.values() if r.instance != self.instance]

    def report(self, state, stopped_ms=0):
        """Report a state, unless it is the last one reported.

        Parameters
        ----------
        state : int
        stopped_ms : int
            Time of the SIGTERM, by the wall clock; 0 before it.
        """
        if state != self.record.state:
            self._put_next(state, stopped_ms)

    def repeat(self):
        """Report the last state again, as a new subscription begins."""
        self._put_next(self.record.state, self.record.stopped_ms)

    def repeat_if_due(self):
        """Report the last state again if that was long ago."""
        if monotonic_ms() - self._reported_ms >= REPEAT_INTERVAL_MS:
            self.repeat()

    def _put_next(self, state, stopped_ms):
        known = self.record
        self._put(
            EntryState(
                self.instance, known.incarnation, known.sequence + 2, state, stopped_ms
            )
        )

    def _put(self, record):
        self.record = record
        self._reported_ms = monotonic_ms()
        self.states.add(record)


def _is_whole(record):
    numbers = (record.incarnation, record.sequence, record.state, record.stopped_ms)
    return isinstance(record.instance, str) and all(
        isinstance(number, int) for number in numbers
    )


def _order(record):
    return record.incarnation, record.sequence
