"""Tests of the model on which DECISIONS/0019 rests.

A search that ends without a `Violation` has visited all states within its bounds; the
number of states shows that it was not cut short.
"""

import pytest

from almonddeal.control.tests.model_of_consent import (
    AFTER_STALL,
    BOTH,
    CANDIDATE,
    CONDITIONS,
    FIRST,
    GONE,
    IN_FLIGHT,
    IN_STALL,
    LEADER,
    LOG,
    ONLY_TWO,
    PROCESS,
    ROLE,
    STAYS_GONE,
    TERM,
    VOTE,
    A,
    B,
    C,
    Model,
    Violation,
)

FROM_A_LEADS = {"leaders": (A,)}
FROM_B_LEADS_WITHOUT_A = {"leaders": (B,), "lost": (A,), "late": (A,)}
FROM_C_LEADS_IN_STALL = {"leaders": (C,), "stall": IN_STALL}
# The smallest searches that show what goes wrong without a condition.
SEARCH_BY_CONDITION = {
    GONE: (FROM_A_LEADS, {"has_removal": False}),
    STAYS_GONE: ({**FROM_C_LEADS_IN_STALL, "lost": (A,)}, {"has_removal": False}),
    TERM: (FROM_A_LEADS, {"has_removal": False}),
    VOTE: (FROM_A_LEADS, {"has_removal": False}),
    LOG: (FROM_A_LEADS, {"has_removal": False}),
    # These two are needed beside today's changes only.
    IN_FLIGHT: (FROM_B_LEADS_WITHOUT_A, {"max_commands": 0}),
    ONLY_TWO: (FROM_B_LEADS_WITHOUT_A, {}),
    ROLE: (FROM_C_LEADS_IN_STALL, {"has_removal": False}),
    PROCESS: (FROM_C_LEADS_IN_STALL, {"has_removal": False}),
    FIRST: ({"leaders": (C,), "stall": AFTER_STALL}, {"has_removal": False}),
    BOTH: (FROM_C_LEADS_IN_STALL, {"has_removal": False}),
}
NEEDED_FOR_ELECTION = {VOTE, LOG, IN_FLIGHT, ONLY_TWO}


def is_replaced_in_stall(state):
    return state.is_replaced and state.stall == IN_STALL


def path_to_replacement_in_stall(model, leader):
    """Return the states from the loss of a beside the stall to the replacement."""
    _, path = model.explore(
        model.first_states((leader,), (A,), IN_STALL), is_replaced_in_stall
    )
    return path


class TestConsentOfStalledVoter:
    def test_three_voters_hold_under_all_conditions(self):
        model = Model(3, max_term=2, has_removal=False)
        n_states, _ = model.explore(model.first_states((A, C), late=(B,)))
        assert n_states > 15000

    def test_three_voters_hold_beside_todays_changes(self):
        model = Model(3, max_term=2)
        n_states, _ = model.explore(model.first_states(**FROM_B_LEADS_WITHOUT_A))
        assert n_states > 10000

    @pytest.mark.parametrize("condition", sorted(CONDITIONS))
    def test_each_condition_is_needed(self, condition):
        start, bounds = SEARCH_BY_CONDITION[condition]
        model = Model(3, CONDITIONS - {condition}, max_term=2, **bounds)
        with pytest.raises(Violation):
            model.explore(model.first_states(**start))

    def test_leader_that_stays_needs_fewer_conditions(self):
        conditions = CONDITIONS - NEEDED_FOR_ELECTION
        model = Model(3, conditions, (LEADER,), has_removal=False, max_term=2)
        n_states, _ = model.explore(model.first_states(**FROM_C_LEADS_IN_STALL))
        assert n_states > 7000

    @pytest.mark.parametrize("leader", [A, B, C])
    def test_consent_replaces_in_a_stall(self, leader):
        assert path_to_replacement_in_stall(Model(3, max_term=2), leader)

    @pytest.mark.parametrize("leader", [A, B, C])
    def test_todays_changes_wait_for_the_end_of_a_stall(self, leader):
        model = Model(3, consents_to=(), max_term=2)
        assert not path_to_replacement_in_stall(model, leader)

    # Unlike a consent, they do not rest on anything that is known of a.
    def test_todays_changes_hold_if_a_comes_back(self):
        conditions = CONDITIONS - {GONE, STAYS_GONE}
        model = Model(3, conditions, consents_to=(), max_term=2, max_commands=0)
        n_states, _ = model.explore(model.first_states((C,), (A,), IN_STALL))
        assert n_states > 3000

    @pytest.mark.parametrize("leader", [A, C])
    def test_five_voters_need_no_consent(self, leader):
        model = Model(5, consents_to=(), max_term=2, max_commands=0)
        assert path_to_replacement_in_stall(model, leader)

    def test_five_voters_hold_without_consent(self):
        model = Model(5, consents_to=(), max_term=1)
        starts = model.first_states((C,), stall=IN_STALL, late=(B,))
        n_states, _ = model.explore(starts)
        assert n_states > 3000

    # An old vote of a and the consent of b elect c, and b votes for d in the same term.
    def test_five_voters_do_not_hold_if_a_consent_is_a_vote(self):
        conditions = CONDITIONS - {ONLY_TWO}
        model = Model(
            5, conditions, (CANDIDATE,), has_removal=False, max_term=2, max_commands=0
        )
        with pytest.raises(Violation):
            model.explore(model.first_states((A,), stall=IN_STALL, late=(B,)))
