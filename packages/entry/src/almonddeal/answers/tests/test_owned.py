"""Tests of the commit point of owned answers, and of the choice of holders."""

import pytest

from almonddeal.answers.owned import OwnedAnswer
from almonddeal.answers.placement import choose_holders
from almonddeal.answers.tests.fakes import make_spec

HOLDERS = ["entry0", "entry1", "entry2"]
DOMAINS = {f"entry{n}": f"fd{n % 3}" for n in range(9)} | {
    f"agent{n}": f"fd{n % 3}" for n in range(9)
}


class TestOwnedAnswer:
    def test_tokens_are_deliverable_once_a_majority_acked_them(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.append_tokens(0, [7, 8], [" 7", " 8"])
        answer.record_ack("entry0", 2)
        assert answer.n_deliverable == 0
        answer.record_ack("entry2", 1)
        assert answer.n_deliverable == 1

    def test_answer_is_ended_once_a_majority_acked_its_end(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.append_tokens(0, [7], [" 7"])
        answer.finish("stop")
        answer.record_ack("entry0", 2)
        answer.record_ack("entry1", 1)
        assert answer.n_deliverable == 1
        assert not answer.is_ended
        answer.record_ack("entry1", 2)
        assert answer.is_ended

    def test_epoch_is_established_by_majorities_of_old_and_new_holders(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        answer.change_holders(2, ["entry0", "agent1", "agent2"], HOLDERS)
        answer.record_ack("entry0", 0)
        answer.record_ack("agent1", 0)
        assert not answer.is_established
        answer.record_ack("entry1", 0)
        assert answer.is_established

    def test_appending_after_a_gap_fails_an_assertion(self):
        answer = OwnedAnswer(make_spec(), 1, HOLDERS)
        with pytest.raises(AssertionError):
            answer.append_tokens(1, [7], [" 7"])


class TestPlacement:
    def test_holders_are_spread_over_failure_domains(self):
        names = [f"entry{n}" for n in range(9)]
        for number in range(50):
            chosen = choose_holders(f"r{number}", 2, names, [], DOMAINS)
            assert len({DOMAINS[name] for name in chosen}) == 3

    def test_missing_holders_are_agents_in_other_failure_domains(self):
        agents = [f"agent{n}" for n in range(6)]
        chosen = choose_holders("r1", 2, ["entry0", "entry1"], agents, DOMAINS)
        assert chosen[:2] != [] and chosen[2].startswith("agent")
        assert DOMAINS[chosen[2]] == "fd2"

    def test_number_of_holders_is_odd(self):
        assert len(choose_holders("r1", 2, ["entry0", "entry1"], [], DOMAINS)) == 1
