"""Tests of a sound member that is silent while a new process catches up."""

import random

import anyio
import pytest

from almonddeal.control import consensus
from almonddeal.control.tests.changing_group import SEEDS, ChangingGroup
from almonddeal_common.virtual_time import run_in_virtual_time

SEED = 1
SILENCE_S = 2.5  # of a machine that restarts slowly or is cut off
STALL_S = 4.0  # of the first snapshot on the disk of the new process
LEADER, FOLLOWER = "leader", "follower"
CUT, KILLED = "cut", "killed"


class TestSilentMember:
    # Guards against the removal of a silent member long before its successor is a
    # voter: if it is sound, and one of the two others loses its disk, no majority of
    # the remaining voters is left.
    @pytest.mark.parametrize("role", [LEADER, FOLLOWER])
    @pytest.mark.parametrize("how", [CUT, KILLED])
    @pytest.mark.parametrize("is_addition", [False, True])
    def test_one_lost_disk_leaves_a_majority(
        self, tmp_path, monkeypatch, is_addition, how, role
    ):
        random.seed(SEED)

        async def run_without_thread(function, *args):
            is_new = function.__self__._folder.name == "d:1"
            is_snapshot = function.__name__ == "save_snapshot"
            await anyio.sleep(STALL_S if is_new and is_snapshot else 0.005)
            return function(*args)

        monkeypatch.setattr(consensus.to_thread, "run_sync", run_without_thread)

        async def main():
            async with anyio.create_task_group() as tasks:
                group = ChangingGroup(tmp_path, tasks, SEEDS)
                for address in SEEDS:
                    group.start(address, is_bootstrap=True)
                with monkeypatch.context() as patch:
                    patch.setattr(consensus, "SNAPSHOT_INTERVAL_ENTRIES", 1)
                    await group.publish(1)
                    await group.leader().consensus.compact()
                leader = group.leader().address
                silent, other = (a for a in SEEDS if a != leader)
                if how == CUT:
                    group.cut_addresses = {silent}
                else:
                    await group.kill(silent)
                group.start("d:1", is_bootstrap=is_addition)
                await anyio.sleep(SILENCE_S)
                await group.publish(2)
                await group.kill(leader if role == LEADER else other, wipe=True)
                if how == CUT:
                    group.cut_addresses = set()
                else:
                    group.start(silent)
                await group.publish(3)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)
