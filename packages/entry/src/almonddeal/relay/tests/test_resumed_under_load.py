"""Tests of callers that resume streams at an overloaded service beside new ones."""

import anyio
import pytest

from almonddeal.relay.requests import Attempt
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    fill_engine,
    make_announcement,
    make_route,
    make_run,
    streams,
)
from almonddeal.relay.tests.overloaded_service import play_overloaded_day
from almonddeal.relay.tests.resumed_requests import (
    add_origin,
    is_rest_of,
    make_fleet,
    relay_rejected,
    relay_whole,
    resume_request,
)
from almonddeal.relay.tests.stream_runs import LAST
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

N_SEEDS = 12
MIN_RELATIVE_SHARE = 0.5
N_STREAMS = 12
N_PROMPT_TOKENS = 5000
PREFILL_MS = 1000.0
TIMEOUT_MS = 25_000.0
N_RUNS_OF_ONE_PLACE = 3  # that have to end at a full engine until one more fits
ENGINES = ("i-1", "i-2", "i-3")  # i-2 and i-3 have the version of the streams


def make_full_fleet():
    """Return a fleet whose engines have no room, all runs at their beginning."""
    fleet = make_fleet()
    for target in ENGINES:
        fill_engine(fleet.context.load_view, target, 10)
    return fleet


def end_run(fleet, target, number):
    fleet.context.report(
        make_run(f"{target}-{number}", target, is_ended=True, n_unread_tokens=0)
    )


def new_request(request_id, **changes):
    """Return a request for a stream that has not begun."""
    changes = {"timeout_ms": TIMEOUT_MS, "n_prompt": N_PROMPT_TOKENS, **changes}
    return admit_stream(request_id=request_id, **changes)


def resumed(request_id="second", **changes):
    """Return a request that resumes a stream, with its whole prompt to be read."""
    changes = {"timeout_ms": TIMEOUT_MS, "n_prompt": N_PROMPT_TOKENS, **changes}
    return resume_request(request_id=request_id, **changes)


async def relay_in_order(fleet, requests_by_name, end_runs):
    """Relay requests, in this order, as runs end; returns who began, in order."""
    begun = []

    async def relay(name, admitted):
        writer = FakeResponseWriter()
        try:
            await relay_stream(admitted, fleet.context, writer)
        except AlmonddealError:
            return
        begun.append(name)

    with anyio.move_on_after(60):
        async with anyio.create_task_group() as group:
            for name, admitted in requests_by_name.items():
                group.start_soon(relay, name, admitted)
                await anyio.sleep(0.01)
            await end_runs()
    return begun


@pytest.fixture(scope="class", params=range(N_SEEDS))
def day(request):
    """Return an `OverloadedDay` after its end."""
    return play_overloaded_day(request.param)


class TestOverloadedDay:
    # Guards against callers that are rejected with a part of their response, by a
    # forecast of the wait, while they have time left and their version serves.
    def test_no_caller_with_time_left_loses_the_rest_of_its_stream(self, day):
        assert [left for left in day.rejected_left_ms if left > 2 * PREFILL_MS] == []

    # Guards against streams that are taken up again and go on less often than new
    # ones begin.
    def test_resumed_streams_go_on_at_least_half_as_often_as_new_ones_begin(self, day):
        share = sum(day.resumed) / len(day.resumed)
        assert share >= MIN_RELATIVE_SHARE * sum(day.begun) / len(day.begun)

    # Guards against events that are lost or repeated where a stream resumes.
    def test_each_caller_receives_its_events_in_order(self, day):
        for caller in day.callers:
            assert caller.event_ids == list(range(1, len(caller.event_ids) + 1))


class TestResumedBesideNew:
    # Guards against twelve callers that are all rejected at once because the forecast
    # is longer than the objective of a new response.
    def test_resumed_streams_wait_beyond_the_objective_of_a_new_one(self):
        async def main():
            fleet = make_full_fleet()
            requests = {}
            for number in range(N_STREAMS):
                add_origin(fleet.context, "v1", f"first{number}")
                requests[number] = resumed(f"second{number}", resumed=f"first{number}")

            async def end_runs():
                for number in range(10):
                    await anyio.sleep(1.0)
                    for target in ENGINES:
                        end_run(fleet, target, number)

            return await relay_in_order(fleet, requests, end_runs)

        assert len(run_in_virtual_time(main)) == N_STREAMS

    # Guards against new requests, also more urgent ones, that take the room for which
    # a caller with a part of its response waits.
    @pytest.mark.parametrize("priority", [0, 1])
    def test_resumed_stream_goes_on_before_waiting_requests_begin(
        self, virtual_time, priority
    ):
        async def main():
            fleet = make_full_fleet()
            add_origin(fleet.context)
            virtual_time.now_s += 7.0
            route = make_route(STREAM, priority=priority)
            requests = {"new": new_request("new", route=route), "resumed": resumed()}

            async def end_runs():
                await anyio.sleep(0.3)
                end_run(fleet, "i-2", 0)
                end_run(fleet, "i-2", 1)
                await anyio.sleep(0.3)
                end_run(fleet, "i-2", 2)

            return await relay_in_order(fleet, requests, end_runs)

        assert run_in_virtual_time(main)[0] == "resumed"

    # Guards against new requests that wait behind a stream whose engines they need not.
    def test_new_request_begins_at_engines_of_another_version_meanwhile(self):
        async def main():
            fleet = make_full_fleet()
            add_origin(fleet.context)
            for number in range(10):
                end_run(fleet, "i-1", number)
            requests = {"resumed": resumed(), "new": new_request("new")}

            async def end_runs():
                await anyio.sleep(1.0)

            begun = await relay_in_order(fleet, requests, end_runs)
            return begun, fleet.tried

        assert run_in_virtual_time(main) == (["new"], ["i-1"])

    # Guards against a caller that is held until its deadline without a chance.
    def test_resumed_stream_is_rejected_once_no_event_can_come_in_time(self):
        async def main():
            fleet = make_full_fleet()
            add_origin(fleet.context)
            return await relay_rejected(fleet.context, resumed(timeout_ms=4000.0))

        error, took_ms = run_in_virtual_time(main)
        assert error.code.http_status == 503
        assert 4000.0 - 2 * PREFILL_MS <= took_ms <= 4000.0

    # Guards against a time to come back that lies behind those of rejected new callers.
    def test_retry_after_of_resumed_stream_does_not_follow_those_of_new_ones(self):
        async def main():
            fleet = make_full_fleet()
            add_origin(fleet.context)
            first, _ = await relay_rejected(fleet.context, resumed(timeout_ms=500.0))
            for number in range(10):
                await relay_rejected(fleet.context, new_request(f"new{number}"))
            again, _ = await relay_rejected(fleet.context, resumed(timeout_ms=500.0))
            return first.retry_after_ms, again.retry_after_ms

        first_ms, again_ms = run_in_virtual_time(main)
        assert again_ms <= first_ms

    # Guards against a caller that is rejected as soon as the few engines of its version
    # have refused its stream once.
    def test_stream_that_all_engines_refused_is_offered_to_them_again(self):
        async def refuses_first(attempt):
            fleet.behaviour_by_target[attempt.target.target] = streams(1, LAST)
            yield ResponseHead(503, is_not_run=True)

        fleet = make_fleet(i_2=refuses_first, i_3=refuses_first)

        async def main():
            add_origin(fleet.context)
            return await relay_whole(fleet.context, resumed())

        assert is_rest_of("v1", run_in_virtual_time(main))
        assert len(fleet.attempts) == 3

    # Guards against a stream without room that holds up its instance for good.
    def test_stream_whose_version_leaves_stops_waiting(self):
        async def main():
            fleet = make_full_fleet()
            add_origin(fleet.context)
            with anyio.fail_after(30):
                async with anyio.create_task_group() as group:
                    group.start_soon(relay_rejected, fleet.context, resumed())
                    await anyio.sleep(1.0)
                    for target in ("i-2", "i-3"):
                        fleet.target_table.target_by_id.pop(target)
                    end_run(fleet, "i-1", 0)
            queue = fleet.context.admission_queue("s")
            with queue.enqueue(9, monotonic_ms()) as entry:
                assert queue.n_ahead(entry) == 0

        run_in_virtual_time(main)


class TestStartedBesideNew:
    # Guards against a response that loses each free place to requests which wait for
    # it in the queue, as it only looks for one at intervals.
    def test_response_that_lost_its_engine_goes_on_before_new_ones_begin(
        self, virtual_time
    ):
        async def main():
            fleet = make_full_fleet()

            async def fills_up_and_loses_connection(attempt):
                fill_engine(fleet.context.load_view, "i-2", 10)
                async for step in streams(1, LAST, lose_at=9)(attempt):
                    yield step

            fleet.behaviour_by_target["i-2"] = fills_up_and_loses_connection
            add_origin(fleet.context)
            for number in range(N_RUNS_OF_ONE_PLACE):
                end_run(fleet, "i-2", number)
            virtual_time.now_s += 7.0
            requests = {"started": resumed(), "new": new_request("new")}

            async def end_runs():
                await anyio.sleep(0.35)
                for number in range(N_RUNS_OF_ONE_PLACE):
                    end_run(fleet, "i-3", number)

            await relay_in_order(fleet, requests, end_runs)
            return [
                (attempt.admitted.request.request_id, attempt.target.target)
                for attempt in fleet.attempts
            ]

        attempts = run_in_virtual_time(main)
        assert attempts[:2] == [("second", "i-2"), ("second", "i-3")]


class TestPriorityAtEngines:
    def priority(self, priority, last_event_id=None):
        route = make_route(STREAM, priority=priority)
        admitted = admit_stream(route, last_event_id=last_event_id)
        target = make_announcement("i-1")
        return Attempt(admitted, target, last_event_id=last_event_id).priority

    # Guards against a stream that its engine preempts at once, as the newest run.
    @pytest.mark.parametrize("priority", [0, 1, 4])
    def test_stream_that_goes_on_is_more_urgent_than_a_new_one(self, priority):
        assert self.priority(priority, 7) < self.priority(priority)

    # Guards against streams that put more urgent new ones behind them.
    def test_stream_that_goes_on_is_not_more_urgent_than_a_new_more_urgent_one(self):
        assert self.priority(2, 7) >= self.priority(1)
