"""Tests of the owner's view of an answer."""

import pytest

from almonddeal.answers.owned import OwnedAnswer
from almonddeal.answers.placement import choose_holders
from almonddeal.answers.tests.fakes import make_spec

HOLDERS = ["entry0", "entry1", "entry2"]
DOMAINS = {f"entry{n}": f"fd{n % 3}" for n in range(9)} | {
    f"agent{n}": f"fd{n % 3}" for n in range(9)
}


class TestOwnedAnswer:
    def test_majority_decides(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.append_tokens(0, [7, 8], [" 7", " 8"])
        answer.note_ack("entry0", 2)
        assert answer.n_deliverable == 0
        answer.note_ack("entry2", 1)
        assert answer.n_deliverable == 1

    def test_end_counts_as_a_position(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.append_tokens(0, [7], [" 7"])
        answer.finish("stop")
        answer.note_ack("entry0", 2)
        answer.note_ack("entry1", 1)
        assert answer.n_deliverable == 1
        assert not answer.is_ended
        answer.note_ack("entry1", 2)
        assert answer.is_ended

    def test_change_of_holders_needs_both_majorities(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.change_epoch(2, ["entry0", "agent1", "agent2"], HOLDERS)
        answer.note_ack("entry0", 0)
        answer.note_ack("agent1", 0)
        assert not answer.is_established
        answer.note_ack("entry1", 0)
        assert answer.is_established

    def test_gap_in_an_attempt_is_an_assertion(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        with pytest.raises(AssertionError):
            answer.append_tokens(1, [7], [" 7"])


class TestPlacement:
    def test_holders_are_spread_over_failure_domains(self):
        names = [f"entry{n}" for n in range(9)]
        for number in range(50):
            chosen = choose_holders(f"r{number}", 2, names, [], DOMAINS)
            assert len({DOMAINS[name] for name in chosen}) == 3

    def test_agents_fill_up_in_other_domains(self):
        agents = [f"agent{n}" for n in range(6)]
        chosen = choose_holders("r1", 2, ["entry0", "entry1"], agents, DOMAINS)
        assert chosen[:2] != [] and chosen[2].startswith("agent")
        assert DOMAINS[chosen[2]] == "fd2"

    def test_number_of_holders_is_odd(self):
        assert len(choose_holders("r1", 2, ["entry0", "entry1"], [], DOMAINS)) == 1
