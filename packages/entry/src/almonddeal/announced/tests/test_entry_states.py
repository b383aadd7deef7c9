"""Tests of the states that entry instances report."""

import anyio
import pytest

from almonddeal.announced import entry_states
from almonddeal.announced.entry_states import (
    NOT_READY,
    READY,
    STOPPING,
    YIELDED,
    EntryStates,
    OwnEntryState,
)
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import EntryState


def state(sequence, number, incarnation=1, stopped_ms=0):
    return EntryState("e1", incarnation, sequence, number, stopped_ms)


class TestEntryStates:
    def test_late_record_does_not_replace_a_newer_one(self):
        states = EntryStates()
        assert states.add(state(4, YIELDED))
        assert not states.add(state(2, READY))
        assert not states.add(state(4, YIELDED))
        assert states.get("e1").state == YIELDED

    # Guards against a record that keeps the others of its message from all instances.
    @pytest.mark.parametrize("field", EntryState.__slots__)
    def test_record_that_lacks_a_part_is_left_out(self, field):
        states = EntryStates()
        record = state(2, READY)
        setattr(record, field, None)
        assert not states.add(record)
        assert states.add(state(2, READY))

    def test_record_of_a_later_incarnation_replaces_any(self):
        states = EntryStates()
        states.add(state(8, YIELDED))
        assert states.add(state(0, NOT_READY, incarnation=2))

    def test_ready_instance_that_is_gone_is_not_ready(self):
        states = EntryStates()
        record = state(4, READY)
        states.add(record)
        (ended,) = states.end_subscription(record)
        assert (ended.state, ended.sequence) == (NOT_READY, 5)
        # It subscribes again.
        assert states.add(state(6, READY))

    # Guards against a stopping instance that runs on unheard and counts as gone.
    def test_stopping_instance_that_is_gone_stays_stopping(self):
        states = EntryStates()
        record = state(4, STOPPING)
        states.add(record)
        assert states.end_subscription(record) == []
        assert states.get("e1") is record

    # Guards against an instance that moved to another control instance.
    def test_end_of_an_earlier_subscription_changes_nothing(self):
        states = EntryStates()
        record = state(4, READY)
        states.add(record)
        states.add(state(6, READY))
        assert states.end_subscription(record) == []
        assert states.end_subscription(None) == []

    def test_records_that_are_not_repeated_are_evicted(self):
        async def main():
            states, own = EntryStates(), EntryStates()
            own_state = OwnEntryState(own, "e2", 1)
            states.add(state(2, READY))
            for _ in range(int(entry_states.RETENTION_MS / 1000) + 5):
                await anyio.sleep(1.0)
                states.evict_stale()
                own.evict_stale()
                own_state.repeat_if_due()
            return states.values(), own.values()

        others, own = run_in_virtual_time(main)
        assert others == []
        assert [record.instance for record in own] == ["e2"]


class TestOwnEntryState:
    def test_state_is_reported_once_and_repeated_with_a_new_number(self):
        states = EntryStates()
        own = OwnEntryState(states, "e1", 1)
        own.report(READY)
        revision = states.revision
        own.report(READY)
        assert states.revision == revision
        own.report(STOPPING, 5000)
        own.repeat()
        assert states.get("e1") == state(6, STOPPING, stopped_ms=5000)
        states.add(EntryState("e2", 1, 2, READY, 0))
        assert [other.instance for other in own.others()] == ["e2"]
