"""Tests of the retry budget of streams whose engines hold off, in virtual time."""

import pytest

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    responds_with_head,
    streams,
)
from almonddeal.relay.tests.stream_runs import LAST, TWO_DOMAINS
from almonddeal.relay.tests.test_paused_engines import pause
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import OVERLOADED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

LONG_MS = 8000.0  # beyond what a request waits for an engine
SHORT_MS = 600.0
MAX_REJECTION_MS = 100.0
LAST_RECEIVED = 7


def make_fleet(pause_ms, behaviour=None):
    """Return a fleet whose i-1 rejects requests with a pause, with i-2 in a pause."""
    head = ResponseHead(503, is_not_run=True, retry_after_ms=pause_ms)
    behaviours = {"i-1": behaviour or responds_with_head(head), "i-2": behaviour}
    fleet = FakeFleet(behaviours, TWO_DOMAINS)
    fleet.add_origin()
    pause(fleet, "i-2", pause_ms)
    return fleet


def make_request(is_resumed):
    if not is_resumed:
        return admit_stream()
    return admit_stream(last_event_id=LAST_RECEIVED, resumed_request_id="req0")


def relay_timed(fleet, admitted):
    """Relay one stream; return its writer with the error, and its time in ms."""

    async def main():
        writer, started_ms = FakeResponseWriter(), monotonic_ms()
        try:
            await relay_stream(admitted, fleet.context, writer)
        except AlmonddealError as error:
            writer.error = error
        return writer, monotonic_ms() - started_ms

    return run_in_virtual_time(main)


class TestRetryBudget:
    # Guards against a caller that waits for a retry in vain, as all engines hold off
    # for longer than its request may wait, and against a retry that is taken for it.
    @pytest.mark.parametrize("has_budget", [False, True])
    @pytest.mark.parametrize("is_resumed", [False, True])
    def test_refused_stream_is_rejected_at_once(self, is_resumed, has_budget):
        fleet = make_fleet(LONG_MS)
        n_taken = 0

        def take_retry(service_name):
            nonlocal n_taken
            n_taken += 1
            return has_budget

        fleet.context.take_retry = take_retry
        writer, took_ms = relay_timed(fleet, make_request(is_resumed))
        assert fleet.tried == ["i-1"]
        assert writer.error.code == OVERLOADED
        assert writer.error.was_run == "no"
        assert LONG_MS - took_ms <= writer.error.retry_after_ms <= 1.25 * LONG_MS + 1
        assert took_ms < MAX_REJECTION_MS
        assert n_taken == 0

    # Guards against a rejection of a stream that is served after a short pause.
    @pytest.mark.parametrize("is_resumed", [False, True])
    def test_stream_waits_for_the_budget_and_the_end_of_a_short_pause(self, is_resumed):
        rejects = responds_with_head(
            ResponseHead(503, is_not_run=True, retry_after_ms=SHORT_MS)
        )

        async def rejects_once(attempt):
            behaviour = rejects if len(fleet.attempts) == 1 else streams(1, LAST)
            async for step in behaviour(attempt):
                yield step

        fleet = make_fleet(SHORT_MS, rejects_once)
        free_ms = monotonic_ms() + 300.0
        fleet.context.take_retry = lambda service_name: monotonic_ms() >= free_ms
        writer, took_ms = relay_timed(fleet, make_request(is_resumed))
        assert writer.is_complete
        assert len(fleet.tried) == 2
        assert SHORT_MS < took_ms < SHORT_MS + 500.0
