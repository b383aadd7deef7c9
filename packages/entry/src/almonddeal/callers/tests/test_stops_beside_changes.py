"""Test requests to an entry instance that stops as the document changes.

With real processes: callers on kept connections, at each stage of a request.
"""

import os

import pytest

from almonddeal.callers.tests.stops_beside_changes import STAGES, StoppedEntry
from almonddeal_tools.fleet import Fleet

STOP_TIMEOUT_S = 3.0
# More seeds can be run by hand.
SEEDS = [int(seed) for seed in os.environ.get("STOP_SEEDS", "13").split()]


@pytest.fixture(scope="module")
def fleet():
    """One fleet for all plays."""
    settings = {"log": {"json": True}}
    with Fleet(stop_timeout_s=STOP_TIMEOUT_S, entry_settings=settings) as started:
        yield started


@pytest.fixture(scope="class", params=SEEDS)
def stopped(request, fleet):
    """Return a play of a seed."""
    stopped = StoppedEntry(fleet, request.param).run()
    print(stopped.summary())
    return stopped


class TestStopBesideAChange:
    def test_requests_were_sent_at_each_stage(self, stopped):
        assert set(STAGES) <= {exchange.stage for exchange in stopped.exchanges}

    # Guards against a request that was read and gets neither an answer nor a refusal
    # as a key is revoked, its instance stops and sound targets are silent for a second.
    def test_requests_end_with_a_true_response_or_a_recorded_close(self, stopped):
        assert stopped.faults() == []
