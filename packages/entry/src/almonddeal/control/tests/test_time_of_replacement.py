"""Randomised tests of how long the replacement of a member with a lost disk takes."""

import os

import pytest

from almonddeal.control.tests.slow_group import (
    CATCH_UP_S,
    FOLLOWER,
    LEADER,
    NEW_ADDRESS,
    PLANNED,
    SAME_ADDRESS,
    STALLED,
    measure_replacement_s,
    run_replacement,
)

FIRST_SEED = int(os.environ.get("ALMONDDEAL_FIRST_SEED", "0"))
N_SEEDS = int(os.environ.get("ALMONDDEAL_N_SEEDS", "5"))
SLOW_SYNC_S = 0.15
MAX_AFTER_STALL_S = 0.5  # from the end of a stall, if the successor waits for it

with_seeds = pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + N_SEEDS))
with_more_seeds = pytest.mark.parametrize(
    "seed", range(FIRST_SEED, FIRST_SEED + 2 * N_SEEDS)
)


class TestElectionOnSlowDisks:
    # Guards against elections that end without a leader, as two members vote for
    # themselves while the disk is slow, or as a vote is stored after the candidate has
    # stopped waiting for it: if the next disk is lost then, the group has no majority.
    @with_seeds
    @pytest.mark.parametrize("how", [SAME_ADDRESS, NEW_ADDRESS])
    def test_lost_leader_is_replaced_in_time(self, tmp_path, how, seed):
        duration_s = measure_replacement_s(tmp_path, seed, SLOW_SYNC_S, LEADER, how)
        assert duration_s <= CATCH_UP_S


class TestPlannedReplacement:
    # Guards against a member that is stopped once its successor runs, and stays a voter
    # until its silence shows that it is lost: the next lost disk leaves no majority.
    @with_seeds
    @pytest.mark.parametrize("role", [FOLLOWER, LEADER])
    @pytest.mark.parametrize("sync_s", [0.005, 0.03, SLOW_SYNC_S])
    def test_stopped_member_is_replaced_in_time(self, tmp_path, sync_s, role, seed):
        duration_s = measure_replacement_s(tmp_path, seed, sync_s, role, PLANNED)
        assert duration_s <= CATCH_UP_S

    # Guards against the removal of a member whose disk stalls for some seconds, in
    # place of the one that is stopped.
    @with_seeds
    @pytest.mark.parametrize("role", [FOLLOWER, LEADER])
    def test_member_with_a_stalled_disk_stays(self, tmp_path, role, seed):
        duration_s = measure_replacement_s(
            tmp_path, seed, 0.005, role, PLANNED, STALLED
        )
        assert duration_s <= CATCH_UP_S


class TestLeaderLostBesideStall:
    # Guards against a vote that is stored at the end of a disk's stall and elects no
    # one, as the candidate has stopped waiting for it: the group waits for timeouts
    # while its disks are sound, and the next disk is lost.
    @with_more_seeds
    @pytest.mark.parametrize("how", [SAME_ADDRESS, NEW_ADDRESS])
    @pytest.mark.parametrize("sync_s", [0.001, 0.005, 0.03])
    def test_successor_is_added_after_the_stall(self, tmp_path, sync_s, how, seed):
        times = run_replacement(tmp_path, seed, sync_s, LEADER, how, STALLED)
        assert times.completed_s - times.stall_end_s <= MAX_AFTER_STALL_S


class TestFollowerLostBesideStall:
    # Guards against a leader that steps down when its disk stalls, though the others
    # that run are no majority without it: an election then follows the stall.
    @with_more_seeds
    @pytest.mark.parametrize("how", [SAME_ADDRESS, NEW_ADDRESS])
    @pytest.mark.parametrize("sync_s", [0.001, 0.005, 0.03])
    def test_successor_is_added_after_the_stall(self, tmp_path, sync_s, how, seed):
        times = run_replacement(tmp_path, seed, sync_s, FOLLOWER, how, STALLED)
        assert times.completed_s - times.stall_end_s <= MAX_AFTER_STALL_S
