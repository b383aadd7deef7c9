"""Tests of streams at simulated engines that fall silent and go on."""

import pytest

from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_tools.lab.patterns import PATTERN_BY_NAME, simulate
from almonddeal_tools.lab.policies import POLICY_BY_NAME


@pytest.fixture(scope="class", params=[1, 2])
def outcomes(request):
    """Return the outcomes of all requests of a simulation, by its seed."""
    pattern, policy = PATTERN_BY_NAME["engines-silent"], POLICY_BY_NAME["product"]
    return run_in_virtual_time(simulate, pattern, policy, request.param).outcomes


class TestSilentEngines:
    # Guards against streams that leave a sound engine for its silence, and are cut.
    def test_no_stream_is_cut_before_its_deadline(self, outcomes):
        n_started = sum(o.first_event_ms is not None for o in outcomes)
        assert n_started >= 50
        assert sum(o.is_cut for o in outcomes) == 0

    # Guards against events that are lost or repeated as streams leave and go on.
    def test_events_are_in_order(self, outcomes):
        assert all(outcome.is_in_order for outcome in outcomes)
