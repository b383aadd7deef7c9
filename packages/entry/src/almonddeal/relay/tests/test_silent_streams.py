"""Tests of streams at engines that fall silent, without a network.

The pattern is sound targets that fall silent for about a second: their process is
paused, also for probes, while connections stay open, and then continues.
"""

import anyio
import pytest

from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeResponseWriter,
    admit_stream,
    fill_engine,
    make_route,
    make_run,
    streams,
)
from almonddeal.relay.tests.silent_targets import DARK_S, SilentFleet, TimedWriter
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import DEADLINE, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
MAX_GAP_S = 0.7
BEFORE_FIRST_EVENT = [(0.0, 1.5)]
IN_THE_MIDDLE = [(0.9, 2.4)]
TWICE = [(0.3, 1.5), (1.9, 3.4)]
PAUSES = pytest.mark.parametrize("pauses", [BEFORE_FIRST_EVENT, IN_THE_MIDDLE, TWICE])
PROBES = pytest.mark.parametrize("answers_probes", [False, True])


def relay(make_fleet, n_streams=1, timeout_ms=10_000.0, **route_changes):
    """Relay streams that begin at i-1; returns the fleet and the writers."""

    async def main():
        fleet = make_fleet()
        for target in fleet.behaviour_by_target:
            if target != "i-1":
                fleet.context.load_view.merge(make_run(f"other-{target}", target))
        route = make_route(STREAM, **{"objective_ms": 300.0, **route_changes})
        writers = [TimedWriter() for _ in range(n_streams)]
        with anyio.fail_after(30):
            async with anyio.create_task_group() as group:
                for number, writer in enumerate(writers):
                    admitted = admit_stream(route, timeout_ms, n_prompt=100)
                    admitted.request.request_id = f"req{number}"
                    group.start_soon(relay_stream, admitted, fleet.context, writer)
        return fleet, writers

    return run_in_virtual_time(main)


def full_elsewhere(fleet):
    """Fill the KV cache of all engines but the first."""
    for target in fleet.behaviour_by_target:
        if target != "i-1":
            fill_engine(fleet.context.load_view, target, n_runs=10)
    return fleet


class TestStreamThatMayNotRunAgain:
    """Guards against cutting streams of routes without stream resumption."""

    @PAUSES
    @PROBES
    def test_stream_is_complete_and_runs_once(self, pauses, answers_probes):
        fleet, (writer,) = relay(
            lambda: SilentFleet(
                {"i-1": pauses, "i-2": [], "i-3": []},
                DOMAINS,
                answers_probes=answers_probes,
            ),
            is_resumable=False,
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1"]

    @PAUSES
    def test_streams_beside_each_other_are_complete(self, pauses):
        fleet, writers = relay(
            lambda: SilentFleet({"i-1": pauses}, DOMAINS, n_events=80),
            n_streams=5,
            is_resumable=False,
        )
        assert all(map(fleet.is_complete, writers))
        assert len(fleet.attempts) == len(writers)

    @PAUSES
    def test_streams_at_a_fleet_that_falls_silent_as_a_whole(self, pauses):
        fleet, writers = relay(
            lambda: SilentFleet(dict.fromkeys(DOMAINS, pauses), DOMAINS),
            n_streams=6,
            is_resumable=False,
        )
        assert all(map(fleet.is_complete, writers))
        assert len(fleet.attempts) == len(writers)

    def test_stream_beside_one_that_moves_is_complete(self):
        async def main():
            fleet = SilentFleet({"i-1": IN_THE_MIDDLE, "i-2": []}, DOMAINS)
            fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
            moving, staying = FakeResponseWriter(), FakeResponseWriter()
            async with anyio.create_task_group() as group:
                for writer, is_resumable in ((moving, True), (staying, False)):
                    route = make_route(STREAM, is_resumable=is_resumable)
                    admitted = admit_stream(route, n_prompt=100)
                    admitted.request.request_id = f"resumable-{is_resumable}"
                    # The same engine has the least load for both.
                    group.start_soon(relay_stream, admitted, fleet.context, writer)
            assert fleet.is_complete(moving)
            assert fleet.is_complete(staying)
            return fleet

        fleet = run_in_virtual_time(main)
        assert fleet.tried == ["i-1", "i-1", "i-2"]


class TestStreamWithoutAnotherPlace:
    """Guards against cutting streams that could resume, but nowhere at the moment."""

    @PAUSES
    def test_only_engine(self, pauses):
        fleet, (writer,) = relay(lambda: SilentFleet({"i-1": pauses}, DOMAINS))
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1"]

    @PAUSES
    @PROBES
    def test_all_attempts_used_up(self, pauses, answers_probes):
        fleet, (writer,) = relay(
            lambda: SilentFleet(
                {"i-1": pauses, "i-2": []}, DOMAINS, answers_probes=answers_probes
            ),
            max_attempts=1,
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1"]

    @PAUSES
    @PROBES
    def test_retry_budget_exhausted(self, pauses, answers_probes):
        def make_fleet():
            fleet = SilentFleet(
                {"i-1": pauses, "i-2": []}, DOMAINS, answers_probes=answers_probes
            )
            fleet.context.take_retry = lambda service_name: False
            return fleet

        fleet, (writer,) = relay(make_fleet)
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1"]

    @PAUSES
    def test_other_engines_full(self, pauses):
        fleet, (writer,) = relay(
            lambda: full_elsewhere(
                SilentFleet({"i-1": pauses, "i-2": [], "i-3": []}, DOMAINS)
            )
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1"]

    def test_other_engines_silent_as_well(self):
        fleet, writers = relay(
            lambda: SilentFleet(
                dict.fromkeys(DOMAINS, IN_THE_MIDDLE), DOMAINS, n_events=70
            ),
            n_streams=9,
        )
        assert all(map(fleet.is_complete, writers))

    def test_engines_that_fall_silent_one_after_the_other(self):
        # Each silence comes as the stream has just begun there.
        fleet, (writer,) = relay(
            lambda: SilentFleet(
                {"i-1": [(0.1, 1.4)], "i-2": [(0.6, 1.9)], "i-3": [(1.0, 2.3)]},
                DOMAINS,
            )
        )
        assert fleet.is_complete(writer)

    def test_crashes_are_used_up_before_a_silence(self):
        def make_fleet():
            fleet = SilentFleet(
                {"i-1": [(0.1, 1.4)], "i-2": [(0.6, 1.9)], "i-3": [(0.6, 1.9)]},
                DOMAINS,
            )
            # Shows that this instance is not cut off.
            fleet.context.targets.has_activity = lambda announcement, since_ms: True
            return fleet

        fleet, (writer,) = relay(make_fleet)
        assert fleet.is_complete(writer)


class TestStreamsThatMove:
    def test_stream_goes_on_elsewhere_within_the_accepted_pause(self):
        fleet, (writer,) = relay(
            lambda: SilentFleet({"i-1": IN_THE_MIDDLE, "i-2": []}, DOMAINS)
        )
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-2"]
        assert writer.longest_gap_s <= MAX_GAP_S

    @pytest.mark.parametrize("n_elsewhere", [1, 6, 40])
    def test_only_as_many_streams_move_as_there_is_room_for(self, n_elsewhere):
        """Guards against streams that leave their engine and find no other."""

        def make_fleet():
            fleet = SilentFleet(
                {"i-1": IN_THE_MIDDLE, "i-2": []}, DOMAINS, n_events=120
            )
            announcement = fleet.target_table.get("i-2").announcement
            # One run is there already.
            announcement.n_slots = n_elsewhere + 1
            fleet.context.selection_policy.engine = prefer_first
            return fleet

        def prefer_first(engines, load_view, n_tokens, *args):
            def has_room(engine):
                load = load_view.load(engine.announcement)
                return load.n_runs < engine.announcement.n_slots

            return next(filter(has_room, engines), None)

        fleet, writers = relay(make_fleet, n_streams=16, objective_ms=4500.0)
        assert all(map(fleet.is_complete, writers))
        assert fleet.tried.count("i-1") == 16
        assert fleet.tried.count("i-2") == min(n_elsewhere, 16)

    def test_streams_that_stay_take_no_retries(self):
        """Guards against a silent engine that uses up the retries of others."""
        n_taken = 0

        def make_fleet():
            fleet = full_elsewhere(
                SilentFleet({"i-1": IN_THE_MIDDLE, "i-2": []}, DOMAINS)
            )
            take_retry = fleet.context.take_retry

            def count(service_name):
                nonlocal n_taken
                n_taken += 1
                return take_retry(service_name)

            fleet.context.take_retry = count
            return fleet

        fleet, writers = relay(make_fleet, n_streams=8)
        assert all(map(fleet.is_complete, writers))
        assert n_taken == 0

    def test_retries_limit_the_streams_that_move(self):
        n_left = 3

        def make_fleet():
            fleet = SilentFleet({"i-1": IN_THE_MIDDLE, "i-2": []}, DOMAINS)

            def take_retry(service_name):
                nonlocal n_left
                n_left -= n_left > 0
                return n_left > 0

            fleet.context.take_retry = take_retry
            return fleet

        fleet, writers = relay(make_fleet, n_streams=8)
        assert all(map(fleet.is_complete, writers))


class TestSilentEngine:
    def test_only_the_silent_engine_is_ejected(self):
        fleet, writers = relay(
            lambda: SilentFleet({"i-1": IN_THE_MIDDLE, "i-2": [], "i-3": []}, DOMAINS),
            n_streams=6,
        )
        assert all(map(fleet.is_complete, writers))
        ejected = [
            target
            for target in DOMAINS
            if fleet.target_table.get(target).ejected_until_ms
        ]
        assert ejected == ["i-1"]

    def test_probes_of_an_engine_that_streams_wait_for_are_few(self):
        fleet, writers = relay(
            lambda: SilentFleet({"i-1": IN_THE_MIDDLE}, DOMAINS),
            n_streams=8,
            is_resumable=False,
        )
        # Each stream sends the first one, all together one in 300 ms after that.
        assert fleet.probed.count("i-1") <= len(writers) + 5


class TestDeadEngine:
    """Engines that fall silent and never continue."""

    def test_stream_is_cut_at_its_deadline_if_it_may_not_run_again(self):
        fleet, (writer,) = relay(
            lambda: SilentFleet({"i-1": [(0.5, DARK_S)], "i-2": []}, DOMAINS),
            timeout_ms=4000.0,
            is_resumable=False,
        )
        assert writer.event_ids
        assert not writer.is_complete
        assert fleet.tried == ["i-1"]

    def test_request_without_an_event_fails_at_its_deadline(self):
        async def main():
            fleet = SilentFleet({"i-1": [(0.0, DARK_S)], "i-2": []}, DOMAINS)
            fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
            route = make_route(STREAM, is_resumable=False, objective_ms=300.0)
            before_s = anyio.current_time()
            with pytest.raises(AlmonddealError) as caught:
                await relay_stream(
                    admit_stream(route, 4000.0, n_prompt=100),
                    fleet.context,
                    FakeResponseWriter(),
                )
            assert caught.value.code == DEADLINE
            return anyio.current_time() - before_s

        assert run_in_virtual_time(main) == pytest.approx(4.0, abs=0.05)

    def test_streams_leave_it_at_once(self):
        fleet, writers = relay(
            lambda: SilentFleet(
                {"i-1": [(0.5, DARK_S)], "i-2": [], "i-3": []}, DOMAINS
            ),
            n_streams=6,
        )
        assert all(map(fleet.is_complete, writers))
        assert all(writer.longest_gap_s <= MAX_GAP_S for writer in writers)

    def test_stream_leaves_it_as_soon_as_another_has_room(self):
        async def main():
            fleet = full_elsewhere(
                SilentFleet({"i-1": [(0.5, DARK_S)], "i-2": []}, DOMAINS)
            )
            load_view = fleet.context.load_view
            writer = TimedWriter()
            async with anyio.create_task_group() as group:
                admitted = admit_stream(n_prompt=100)
                group.start_soon(relay_stream, admitted, fleet.context, writer)
                await anyio.sleep(3.0)
                assert fleet.tried == ["i-1"]
                for number in range(10):
                    ended = make_run(f"i-2-{number}", "i-2", is_ended=True)
                    load_view.merge(ended)
                await anyio.sleep(0.2)
                assert fleet.tried == ["i-1", "i-2"]
            assert fleet.is_complete(writer)

        run_in_virtual_time(main)

    def test_stream_of_a_dead_connection_resumes_at_the_only_engine(self):
        # The engine responds to probes, and the connection alone is dead.
        def make_fleet():
            fleet = SilentFleet({"i-1": []}, DOMAINS, n_events=20)
            whole = streams(1, 20)
            hanging = streams(1, 20, hang_at=7)

            def behave(attempt):
                return (whole if len(fleet.attempts) > 1 else hanging)(attempt)

            fleet.behaviour_by_target["i-1"] = behave
            return fleet

        fleet, (writer,) = relay(make_fleet)
        assert fleet.is_complete(writer)
        assert fleet.tried == ["i-1", "i-1"]
        assert writer.longest_gap_s <= MAX_GAP_S
