"""Tests of a member whose next pre-vote runs while its candidacy may still win."""

import anyio

from almonddeal.control.constants import CANDIDATE
from almonddeal.control.tests.changing_group import SEEDS, run_group_in_virtual_time
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.wire.gen.ttypes import Vote, VoteReply


class SlowPeer:
    """Peer that grants the first pre-vote at once, the vote and the next one later."""

    is_up = True

    def __init__(self, vote_at_s, pre_vote_at_s):
        self._at_s = {False: vote_at_s, True: pre_vote_at_s}
        self._n_pre_votes = 0

    async def call(self, message, timeout_ms):
        if not isinstance(message, Vote):
            await anyio.sleep(0.01)
            raise AlmonddealError(LINK_LOST, "not served")
        self._n_pre_votes += message.pre
        at_s = (
            0.0 if self._n_pre_votes == 1 and message.pre else self._at_s[message.pre]
        )
        with anyio.move_on_after(timeout_ms / 1000):
            await anyio.sleep(max(0.0, at_s - anyio.current_time()))
            return VoteReply(message.term - message.pre, True)
        raise AlmonddealError(LINK_LOST, "no reply")


class TestLateWin:
    # Guards against a candidate that is elected while its next pre-vote runs, leads,
    # and then ends its own term, as the pre-vote is won as well.
    def test_elected_member_does_not_stand_again(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            candidate, other = (
                group.process_by_address[address]
                for address in SEEDS
                if address != leader
            )
            await group.kill(leader)
            await group.kill(other.address)
            member = candidate.consensus
            # The pre-vote of the second election begins before the vote of the first.
            now_s = anyio.current_time()
            peer = SlowPeer(now_s + 0.7, now_s + 0.72)
            member._peer_by_name[other.name] = peer
            member._election_timer_start_ms = float("-inf")
            while member.role != CANDIDATE:
                await anyio.sleep(0.001)
            term = member.term
            await anyio.sleep(now_s + 0.5 - anyio.current_time())
            member._election_timer_start_ms = float("-inf")
            with anyio.fail_after(2.0):
                while not member.is_leader:
                    await anyio.sleep(0.001)
            assert member.term == term
            await anyio.sleep(0.1)
            assert (member.term, member.is_leader) == (term, True)

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class TestStalePreVote:
    # Guards against a member that won a pre-vote, waits for its disk while the leader
    # returns, and ends the leader's term once its disk serves.
    def test_sound_leader_stays(self, tmp_path, monkeypatch):
        stalled_until_s = {}

        async def run_disk_io(function, *args):
            until_s = stalled_until_s.get(function.__self__._folder.name, 0.0)
            with anyio.CancelScope(shield=True):
                await anyio.sleep(max(0.0, until_s - anyio.current_time()))
            await anyio.sleep(0.01)
            return function(*args)

        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader()
            term = leader.consensus.term
            member, other = (
                group.process_by_address[address]
                for address in SEEDS
                if address != leader.address
            )
            monkeypatch.setattr(
                "almonddeal.control.consensus.SNAPSHOT_INTERVAL_ENTRIES", 1
            )
            async with anyio.create_task_group() as tasks:
                # The leader is frozen for less than the time after which it steps down.
                group.cut_addresses = {leader.address}
                await anyio.sleep(0.65)
                member.consensus._election_timer_start_ms = float("-inf")
                other.consensus._election_timer_start_ms += 1e6
                while other.consensus._pre_vote_candidate != member.name:
                    await anyio.sleep(0.0005)
                # Its disk stalls in a compaction, while the reply is on its way.
                stalled_until_s[member.address] = anyio.current_time() + 2.0
                tasks.start_soon(member.consensus.compact)
                await anyio.sleep(0.02)
                group.cut_addresses = set()
                await anyio.sleep(1.5)
                assert (leader.consensus.is_leader, leader.consensus.term) == (
                    True,
                    term,
                )
                assert member.consensus.leader == leader.name
                other.consensus._election_timer_start_ms = (
                    member.consensus._election_timer_start_ms
                )
                await anyio.sleep(1.0)
                assert (leader.consensus.is_leader, leader.consensus.term) == (
                    True,
                    term,
                )

        run_group_in_virtual_time(tmp_path, monkeypatch, test, run_disk_io)
