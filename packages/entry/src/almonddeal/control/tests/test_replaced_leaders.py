"""Tests of the replacement of a leader that is lost for good."""

import anyio

from almonddeal.control import consensus
from almonddeal.control.constants import ELECTION_TIMEOUT_MIN_MS
from almonddeal.control.members import REMOVE_AFTER_SILENCE_MS
from almonddeal.control.tests.changing_group import SEEDS, run_group_in_virtual_time
from almonddeal_common.codes import NOT_LEADER
from almonddeal_common.wire.gen.ttypes import JoinGroup


class TestLostLeader:
    # Guards against a lost leader that stays a voter, beside the process in its place,
    # for two more seconds after an election that took long: of these four voters, the
    # group has no majority for good once another one loses its disk.
    def test_it_is_removed_once_it_was_silent_long_enough(self, tmp_path, monkeypatch):
        timeout_ms = REMOVE_AFTER_SILENCE_MS
        monkeypatch.setattr(consensus, "ELECTION_TIMEOUT_MIN_MS", timeout_ms)
        monkeypatch.setattr(consensus, "ELECTION_TIMEOUT_MAX_MS", 2 * timeout_ms)

        async def test(group):
            await anyio.sleep(1.0)
            lost = group.leader().address
            await group.kill(lost, wipe=True)
            group.start("d:1")
            with anyio.fail_after(20):
                while group.leader() is None:
                    await anyio.sleep(0.01)
            with anyio.fail_after(REMOVE_AFTER_SILENCE_MS / 2 / 1000):
                await group.wait_voters([*(a for a in SEEDS if a != lost), "d:1"])

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestLeaderLostBesideAnother:
    # Guards against a lost member that stays a voter, beside the process in its place,
    # for two more seconds after each election.
    def test_lost_member_is_removed_despite_an_election(self, tmp_path, monkeypatch):
        async def test(group):
            leader = group.leader().address
            lost, other = (a for a in SEEDS if a != leader)
            await group.kill(lost, wipe=True)
            group.start("d:1")
            await anyio.sleep(0.9 * REMOVE_AFTER_SILENCE_MS / 1000)
            await group.kill(leader)
            group.start(leader)
            with anyio.fail_after(20):
                while group.leader() is None:
                    await anyio.sleep(0.01)
            with anyio.fail_after(0.9 * REMOVE_AFTER_SILENCE_MS / 1000):
                await group.wait_voters([leader, other, "d:1"])

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestLostFollower:
    # Guards against a group that stays without its successor, in which each further
    # loss is for good, until the next tick of a timer.
    def test_successor_is_added_once_the_removal_is_committed(
        self, tmp_path, monkeypatch
    ):
        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().consensus
            lost = next(a for a in SEEDS if a != group.leader().address)
            await group.kill(lost, wipe=True)
            await anyio.sleep(REMOVE_AFTER_SILENCE_MS / 1000)
            group.start("d:1")
            n_voters = [len(leader.members.address_by_name)]
            with anyio.fail_after(20):
                while n_voters != [3, 2, 3]:
                    await anyio.sleep(0.001)
                    if len(leader.members.address_by_name) != n_voters[-1]:
                        n_voters.append(len(leader.members.address_by_name))
                    is_committed = leader.commit_index >= leader.members_index
                    assert n_voters[-1] == 3 or not is_committed

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestJoinDuringElection:
    # Guards against a successor that has to repeat its request to join after each
    # election, while the group lacks the lost member.
    def test_new_leader_knows_of_the_request(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            lost = group.leader().address
            await group.kill(lost, wipe=True)
            await anyio.sleep(0.5 * ELECTION_TIMEOUT_MIN_MS / 1000)
            remaining = [a for a in SEEDS if a != lost]
            group.refused_joins = set(remaining)
            name = group.start(lost).name
            for address in remaining:
                request = JoinGroup(name, lost, False)
                member = group.process_by_address[address].consensus
                reply = await member.handle_join(None, request, None)
                assert reply.code == NOT_LEADER.number
            await group.wait_voters(SEEDS)

        run_group_in_virtual_time(tmp_path, monkeypatch, test)
