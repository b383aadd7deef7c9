"""Tests of streams of a service that changes its software version as it serves."""

import pytest

from almonddeal.relay.tests.versioned_service import VersionedDay
from almonddeal_common.virtual_time import run_in_virtual_time

N_SEEDS = 12
MIN_RESUMED = 12
MIN_RELATIVE_SHARE = 0.5


@pytest.fixture(scope="class", params=range(N_SEEDS))
def day(request):
    """Return a `VersionedDay` after its end."""

    async def main():
        return await VersionedDay(request.param, MIN_RESUMED).play()

    return run_in_virtual_time(main)


class TestVersionMix:
    # Guards against streams that hold events from two versions, over all their tries.
    def test_each_caller_receives_events_of_one_version(self, day):
        mixed = [c.name for c in day.callers if len(c.versions) > 1]
        assert mixed == []
        written = set().union(*(caller.versions for caller in day.callers))
        assert len(written) >= 2

    # Guards against events that are lost or repeated where a stream resumes.
    def test_each_caller_receives_its_events_in_order(self, day):
        for caller in day.callers:
            assert caller.event_ids == list(range(1, len(caller.event_ids) + 1))

    # Guards against KV-cache copies that no engine can use.
    def test_copies_lie_at_engines_of_the_same_version(self, day):
        assert day.n_mixed_copies == 0

    # Guards against streams that are abandoned although their version still serves.
    def test_streams_go_on_while_two_engines_have_their_version(self, day):
        assert len(day.resumed) >= MIN_RESUMED
        share = sum(day.resumed) / len(day.resumed)
        assert share >= MIN_RELATIVE_SHARE * sum(day.begun) / len(day.begun)
