"""Tests of elections while the disk of a member is full."""

import anyio
import pytest

from almonddeal.control.tests.changing_group import (
    SEEDS,
    run_group_in_virtual_time,
)
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError

ACKNOWLEDGE_S = 4.0  # for a change, by which a leader has to be there
N_SEEDS = 60


class TestElectionBesideAFullDisk:
    # Guards against a member that cannot store its vote, but whose pre-votes keep the
    # others from standing for election.
    @pytest.mark.parametrize("seed", range(N_SEEDS))
    def test_another_member_is_elected(self, tmp_path, monkeypatch, seed):
        full_addresses = set()

        async def run_disk_io(function, *args):
            await anyio.sleep(0.005)
            store = function.__self__
            if store._folder.name in full_addresses:
                raise AlmonddealError(STORAGE_FULL, "no room")
            return function(*args)

        async def test(group):
            leader = group.leader().address
            full_addresses.add(next(a for a in SEEDS if a != leader))
            started_s = anyio.current_time()
            # It may be elected again, as any other.
            group.process_by_address[leader].consensus._become_follower(None)
            await group.publish(2)
            assert anyio.current_time() - started_s < ACKNOWLEDGE_S

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io, seed)
