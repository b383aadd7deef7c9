"""Tests of elections that begin in an older term."""

import anyio

from almonddeal.control.tests.changing_group import SEEDS, run_group_in_virtual_time
from almonddeal_common.wire.gen.ttypes import Vote


class TestRefusedPreVote:
    # Guards against a member that learns from a refused pre-vote that the term is older
    # than that of a voter, and waits for another timeout before it stands again.
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
