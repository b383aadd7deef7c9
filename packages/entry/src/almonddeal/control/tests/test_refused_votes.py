"""Tests of elections in which a member refuses a request at first."""

import anyio

from almonddeal.control.constants import ELECTION_TIMEOUT_MIN_MS, TICK_MS
from almonddeal.control.tests.changing_group import SEEDS, run_group_in_virtual_time
from almonddeal_common.codes import NOT_REACHED, AlmonddealError
from almonddeal_common.wire.gen.ttypes import Vote

LEADER_AFTER_REFUSAL_S = 0.2  # two ticks and the votes


class TestRefusedPreVote:
    # Guards against a member that learns from a refused pre-vote that the term is older
    # than that of a voter, and waits for another timeout before its next pre-vote.
    def test_it_is_repeated_in_a_later_term(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            await group.kill(group.leader().address)
            candidate, voter = (
                group.process_by_address[address].consensus
                for address in SEEDS
                if address in group.process_by_address
            )
            term = voter.term + 1
            request = Vote(term, "none", 0, 0, False, voter.name)
            reply = await voter.handle_vote(None, request, None)
            assert (reply.granted, voter.term) == (False, term)
            voter._last_leader_contact_ms = float("-inf")
            await candidate._start_election()
            assert candidate.is_leader
            assert candidate.term == term + 1

        run_group_in_virtual_time(tmp_path, monkeypatch, test)

    # Guards against a voter that refuses a candidate as its own log is newer, and waits
    # for its own timeout, though no other member can be elected.
    def test_voter_with_a_newer_log_stands(self, tmp_path, monkeypatch):
        async def test(group):
            await anyio.sleep(1.0)
            leader = group.leader().address
            newest, other = (address for address in SEEDS if address != leader)
            group.cut_addresses = {other}
            await group.publish(2)
            await group.wait_version(newest, 2)
            await group.kill(leader)
            group.cut_addresses = set()
            members = [group.process_by_address[a].consensus for a in (newest, other)]
            for member in members:
                member.election_timeout_ms = 1e9
            await anyio.sleep(ELECTION_TIMEOUT_MIN_MS / 1000)
            await members[1]._start_election()
            with anyio.fail_after(LEADER_AFTER_REFUSAL_S):
                while group.leader() is None:
                    await anyio.sleep(0.01)
            assert group.leader().address == newest

        run_group_in_virtual_time(tmp_path, monkeypatch, test)


class RefusingPeer:
    """Peer at whose address another member runs; it counts requests for votes."""

    is_up = True

    def __init__(self):
        self.n_calls = 0

    async def call(self, message, timeout_ms):
        self.n_calls += not message.pre
        await anyio.sleep(0.001)
        raise AlmonddealError(NOT_REACHED, "another member")


class TestRefusedVoteRequest:
    # Guards against a candidate that repeats its requests without a pause where the
    # process that replaced a lost member refuses them.
    def test_it_is_repeated_after_a_tick(self, tmp_path, monkeypatch):
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
            peer = member._peer_by_name[other.name] = RefusingPeer()
            with anyio.move_on_after(1.0):
                await member._stand_in_term(member.term + 1)
            assert 1 < peer.n_calls <= 1000 / TICK_MS + 1

        run_group_in_virtual_time(tmp_path, monkeypatch, test)
