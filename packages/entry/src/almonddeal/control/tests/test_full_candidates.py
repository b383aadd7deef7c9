"""Tests of elections while the disk of a member is full."""

import random

import anyio
import pytest

from almonddeal.control import consensus
from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup
from almonddeal_common.codes import STORAGE_FULL, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

ACKNOWLEDGE_S = 4.0  # for a change, by which a leader has to be there
N_SEEDS = 60


class TestElectionBesideAFullDisk:
    # Guards against a member that cannot store its vote, but whose pre-votes keep the
    # others from standing for election.
    @pytest.mark.parametrize("seed", range(N_SEEDS))
    def test_another_member_is_elected(self, tmp_path, monkeypatch, seed):
        random.seed(seed)
        full_addresses = set()

        async def run_without_thread(function, *args):
            await anyio.sleep(0.005)
            store = function.__self__
            if store._folder.name in full_addresses:
                raise AlmonddealError(STORAGE_FULL, "no room")
            return function(*args)

        monkeypatch.setattr(consensus.to_thread, "run_sync", run_without_thread)

        async def main():
            async with anyio.create_task_group() as tasks:
                group = ChangingGroup(tmp_path, tasks, SEEDS)
                for address in SEEDS:
                    group.start(address, is_bootstrap=True)
                await group.publish(1)
                leader = group.leader().address
                full_addresses.add(next(a for a in SEEDS if a != leader))
                started_s = anyio.current_time()
                # It may be elected again, as any other.
                group.process_by_address[leader].consensus._become_follower(None)
                await group.publish(2)
                assert anyio.current_time() - started_s < ACKNOWLEDGE_S
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)
