"""Tests of releases that instances miss, as they are cut off or stand still."""

import pytest

from almonddeal.relay.tests.out_of_step_service import OutOfStepDay, UnnamedCaller
from almonddeal_common.virtual_time import run_in_virtual_time

N_SEEDS = 12
MAX_MIXED = 2  # streams that may hold events from two versions


@pytest.fixture(scope="class", params=range(N_SEEDS))
def day(request):
    """Return an `OutOfStepDay` after its end."""

    async def main():
        return await OutOfStepDay(request.param).play()

    return run_in_virtual_time(main)


class TestOutOfStep:
    # Guards against streams that an instance joins from the version that it knew and
    # the one that joined while it was cut off or stood still.
    def test_streams_hold_events_of_one_version(self, day):
        mixed = [caller.name for caller in day.callers if len(caller.versions) > 1]
        assert len(mixed) <= MAX_MIXED

    # Guards against events that are lost or repeated where a stream resumes.
    def test_events_arrive_in_order(self, day):
        for caller in day.callers:
            assert caller.event_ids == list(range(1, len(caller.event_ids) + 1))

    # Guards against days in which nothing could be joined.
    def test_streams_of_several_versions_are_resumed(self, day):
        written = set().union(*(caller.versions for caller in day.callers))
        assert len(written) >= 2
        assert day.resumed
        assert any(isinstance(caller, UnnamedCaller) for caller in day.callers)
