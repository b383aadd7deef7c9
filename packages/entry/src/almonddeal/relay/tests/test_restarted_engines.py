"""Engines that restart under their id before their announcements arrive.

i-1 is the nearest engine in most cases. It is announced with one version and writes
another one into its events, as a process that has restarted.
"""

import anyio
import pytest

from almonddeal.relay.requests import QueryResponse
from almonddeal.relay.targets import OUTDATED_MS
from almonddeal.relay.tests.fakes import (
    admit_stream,
    make_event,
    make_route,
    streams,
)
from almonddeal.relay.tests.resumed_requests import (
    LAST_RECEIVED,
    ONE_VERSION,
    add_origin,
    announce,
    is_not_run,
    is_rest_of,
    make_fleet,
    relay_rejected,
    relay_whole,
    resume_request,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import NOT_REACHED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

RESTARTED_MS = 2000
NO_RESPONSE = AlmonddealError(NOT_REACHED, "no response")


def writes(version, act=lambda: None):
    """Return a behaviour: the rest of a stream from a software version."""

    async def steps(attempt):
        act()
        yield 200
        for number in range((attempt.last_event_id or 0) + 1, LAST + 1):
            await anyio.sleep(0.002)
            yield make_event(number, version)

    return steps


def then_lost(attempt):
    """Behaviour: a stream whose connection is lost."""
    return streams(1, LAST, lose_at=LAST_RECEIVED)(attempt)


def make_restarted_fleet(**behaviours):
    """Return a fleet whose i-1 restarted with version v2, announced with v1."""
    fleet = make_fleet(ONE_VERSION, **{"i_1": writes("v2"), **behaviours})
    fleet.start_ms_by_target["i-1"] = RESTARTED_MS
    return fleet


class TestResumedStreams:
    # Guards against a resumed request that continues at an engine of another version,
    # which is announced with the earlier one.
    def test_resumed_request_leaves_a_restarted_engine(self):
        async def main():
            fleet = make_restarted_fleet()
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.tried[0] == "i-1"
            assert len(fleet.tried) == 2

        run_in_virtual_time(main)

    # Guards against a response that continues at such an engine after a loss.
    def test_broken_response_leaves_a_restarted_engine(self):
        async def main():
            fleet = make_restarted_fleet(i_2=then_lost, i_3=streams(1, LAST))
            fleet.target_table.get("i-1").ejected_until_ms = float("inf")
            fleet.target_table.get("i-3").ejected_until_ms = float("inf")
            fleet.behaviour_by_target["i-2"] = admit_others(fleet)
            writer = await relay_whole(fleet.context, admit_stream())
            assert is_complete_response(writer)
            assert writer.versions == {"v1"}
            assert fleet.tried == ["i-2", "i-1", "i-3"]

        def admit_others(fleet):
            async def steps(attempt):
                async for step in streams(1, LAST, lose_at=LAST_RECEIVED)(attempt):
                    for target in ("i-1", "i-3"):
                        fleet.target_table.get(target).ejected_until_ms = 0.0
                    yield step

            return steps

        run_in_virtual_time(main)

    # Guards against an engine that restarts after it was asked and before it responds.
    def test_engine_that_restarts_while_it_is_chosen_is_left(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)

            def restart():
                fleet.start_ms_by_target["i-1"] = RESTARTED_MS

            fleet.behaviour_by_target["i-1"] = writes("v2", restart)
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))

        run_in_virtual_time(main)

    # Guards against engines that are tried again and again before they announce.
    def test_restarted_engine_is_not_tried_until_it_is_announced(self):
        async def main():
            fleet = make_restarted_fleet()
            add_origin(fleet.context)
            for number in range(4):
                request = resume_request(request_id=f"second{number}")
                assert is_rest_of("v1", await relay_whole(fleet.context, request))
            assert fleet.tried.count("i-1") == 1
            announce(fleet.context, "i-1", born_ms=RESTARTED_MS, version="v1")
            fleet.behaviour_by_target["i-1"] = writes("v1")
            request = resume_request(request_id="later")
            assert is_rest_of("v1", await relay_whole(fleet.context, request))
            assert fleet.tried[-1] == "i-1"

        run_in_virtual_time(main)

    # Guards against an engine that is never used again as it reports another time.
    def test_engine_that_is_not_announced_again_serves_later(self):
        async def main():
            fleet = make_restarted_fleet()
            add_origin(fleet.context)
            await relay_whole(fleet.context, resume_request())
            await anyio.sleep(OUTDATED_MS / 1000)
            assert len(fleet.target_table.candidates("s")) == len(ONE_VERSION)

        run_in_virtual_time(main)

    # Guards against a stream at an engine that does not tell whether it restarted.
    def test_engine_that_does_not_report_is_left(self):
        async def main():
            fleet = make_restarted_fleet()
            fleet.start_ms_by_target["i-1"] = NO_RESPONSE
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))

        run_in_virtual_time(main)

    # Guards against a stream that ends as its sound engine is silent for a moment.
    def test_engine_that_reports_after_a_pause_goes_on(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            fleet.start_ms_by_target["i-1"] = NO_RESPONSE
            add_origin(fleet.context)
            async with anyio.create_task_group() as group:

                async def serve():
                    writer = await relay_whole(fleet.context, resume_request())
                    assert is_rest_of("v1", writer)

                group.start_soon(serve)
                await anyio.sleep(1.0)
                del fleet.start_ms_by_target["i-1"]
            assert fleet.tried == ["i-1"]

        run_in_virtual_time(main)

    # Guards against queries in the pause for which an engine asked as it rejected one.
    @pytest.mark.parametrize(("retry_after_ms", "n_queries"), [(800, 2), (5000, 1)])
    def test_engine_that_asks_for_a_pause_is_not_asked_again(
        self, retry_after_ms, n_queries
    ):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            query = fleet.context.read_start_ms

            async def reject_during_pause(announcement):
                start_ms = await query(announcement)
                n_queries = fleet.start_queries.count("i-1")
                is_paused = not hold_offs.allows(announcement)
                if announcement.target == "i-1" and (n_queries == 1 or is_paused):
                    response = QueryResponse(retry_after_ms=retry_after_ms)
                    hold_offs.record(announcement, response, None)
                    raise NO_RESPONSE
                return start_ms

            hold_offs = fleet.context.hold_offs
            fleet.context.read_start_ms = reject_during_pause
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.start_queries.count("i-1") == n_queries

        run_in_virtual_time(main)

    # Guards against targets that serve and report no start time.
    def test_engine_without_a_start_time_goes_on(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            fleet.start_ms_by_target = dict.fromkeys(ONE_VERSION)
            add_origin(fleet.context)
            assert is_rest_of("v1", await relay_whole(fleet.context, resume_request()))
            assert fleet.tried == ["i-1"]

        run_in_virtual_time(main)


class TestNewStreams:
    # Guards against the origin of a stream that is of another version than its events,
    # so that another instance joins two versions.
    def test_stream_begins_elsewhere_while_the_instance_is_out_of_step(self):
        async def main():
            fleet = make_restarted_fleet()
            fleet.context.is_current = lambda: False
            writer = await relay_whole(fleet.context, admit_stream())
            assert is_complete_response(writer)
            assert writer.versions == {"v1"}
            assert fleet.context.stream_origins.get("req1").version == "v1"

        run_in_virtual_time(main)

    # Guards against a query of an engine for each stream that begins.
    def test_engines_are_not_asked_by_an_instance_in_step(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            writer = await relay_whole(fleet.context, admit_stream())
            assert is_complete_response(writer)
            assert fleet.start_queries == []

        run_in_virtual_time(main)

    # Guards against a query that cannot help, as the stream is never resumed.
    def test_engines_are_not_asked_for_streams_that_are_not_resumed(self):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            fleet.context.is_current = lambda: False
            route = make_route(STREAM, is_resumable=False)
            await relay_whole(fleet.context, admit_stream(route))
            assert fleet.start_queries == []

        run_in_virtual_time(main)


class TestSlowReports:
    # Guards against a stream that leaves its engine as late for the first event, which
    # has arrived, while the engine is asked for its start time.
    def test_time_of_the_query_does_not_count(self):
        async def main():
            fleet = make_fleet(ONE_VERSION, i_1=begins_late)
            fleet.context.is_current = lambda: False
            fleet.start_ms_by_target["i-1"] = NO_RESPONSE
            async with anyio.create_task_group() as group:

                async def serve():
                    route = make_route(STREAM, objective_ms=500.0)
                    admitted = admit_stream(route, n_prompt=100)
                    writer = await relay_whole(fleet.context, admitted)
                    assert is_complete_response(writer)

                group.start_soon(serve)
                await anyio.sleep(1.2)
                assert fleet.start_queries
                del fleet.start_ms_by_target["i-1"]
            assert fleet.tried == ["i-1"]

        async def begins_late(attempt):
            yield 200
            await anyio.sleep(0.6)
            for number in range(1, LAST + 1):
                yield make_event(number)

        run_in_virtual_time(main)


class TestNoOtherEngine:
    # Guards against the restarted engine when it is the only one left.
    @pytest.mark.parametrize("start_ms", [RESTARTED_MS, NO_RESPONSE])
    def test_resumed_request_brings_no_event_of_another_version(self, start_ms):
        async def main():
            fleet = make_fleet(ONE_VERSION)
            fleet.start_ms_by_target = dict.fromkeys(ONE_VERSION, start_ms)
            for target in ONE_VERSION:
                fleet.behaviour_by_target[target] = writes("v2")
            add_origin(fleet.context)
            error, _ = await relay_rejected(fleet.context, resume_request())
            assert not is_not_run(error)

        run_in_virtual_time(main)
