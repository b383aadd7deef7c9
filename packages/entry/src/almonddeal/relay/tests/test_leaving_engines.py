"""Tests of streams and engines that state that they are about to leave."""

import anyio
import pytest

from almonddeal.announced.announcement import DRAINING
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    fill_engine,
    make_announcement,
    make_event,
    make_run,
    stream_fingerprint,
    streams,
)
from almonddeal.relay.tests.leaving_targets import (
    DOMAINS,
    N_REQUESTS,
    mark_leaving,
    relay,
    streams_leaving,
)
from almonddeal.relay.tests.silent_targets import SilentFleet
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal_common.codes import NO_TARGET
from almonddeal_common.virtual_time import run_in_virtual_time


class TestStreams:
    def fleet(self, **behaviours):
        """Return a fleet of three engines; i-1 has the fewest runs."""
        behaviour_by_target = dict.fromkeys(DOMAINS, streams(1, LAST))
        for name, behaviour in behaviours.items():
            behaviour_by_target[name.replace("_", "-")] = behaviour
        fleet = FakeFleet(behaviour_by_target, DOMAINS)
        for target in ("i-2", "i-3"):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))
        return fleet

    def test_no_stream_begins_after_the_first_response(self):
        """Guards against streams that begin at an engine that is about to leave."""

        async def main():
            fleet = self.fleet(i_1=streams_leaving())
            return fleet, [
                await relay(fleet.context, admit_stream()) for _ in range(N_REQUESTS)
            ]

        fleet, writers = run_in_virtual_time(main)
        assert fleet.tried[0] == "i-1"
        assert fleet.tried.count("i-1") == 1
        assert all(map(is_complete_response, writers))

    def test_running_streams_go_on_at_the_engine(self):
        async def main():
            fleet = self.fleet(i_1=streams_leaving(gap_s=0.05))
            return fleet, await relay(fleet.context, admit_stream())

        fleet, writer = run_in_virtual_time(main)
        assert fleet.tried == ["i-1"]
        assert is_complete_response(writer)

    def test_lost_stream_does_not_return_to_the_engine(self):
        async def main():
            fleet = self.fleet(i_1=streams_leaving(lose_at=7))
            fleet.cached_by_target = {"i-1": {"part1"}}
            for target in ("i-2", "i-3"):
                fill_engine(fleet.context.load_view, target, n_runs=10)
            writer = FakeResponseWriter()
            with anyio.move_on_after(2.0):
                await relay_stream(admit_stream(), fleet.context, writer)
            return fleet

        assert run_in_virtual_time(main).tried == ["i-1"]

    def test_stream_does_not_resume_from_a_copy_at_the_engine(self):
        async def main():
            fleet = self.fleet(i_1=streams(1, LAST, lose_at=7, gap_s=0.02))
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.01)
                address = fleet.attempts[0].backup_address
                backup = next(t for t in DOMAINS if address == f"10.0.0.{t[2:]}:80")
                mark_leaving(fleet.context, backup)
            return fleet, backup, writer

        fleet, backup, writer = run_in_virtual_time(main)
        assert backup not in fleet.tried
        assert is_complete_response(writer)

    def test_engine_is_no_backup_of_a_new_run(self):
        async def main():
            fleet = self.fleet()
            mark_leaving(fleet.context, "i-2")
            for _ in range(N_REQUESTS):
                await relay(fleet.context, admit_stream())
            return {attempt.backup_address for attempt in fleet.attempts}

        assert "10.0.0.2:80" not in run_in_virtual_time(main)

    def test_resumed_stream_uses_neither_copy_nor_cached_prefix_at_the_engine(self):
        async def main():
            fleet = self.fleet()
            asked = []

            async def list_cached_prefixes(announcement):
                asked.append(announcement.target)
                return {"part1"} if announcement.target == "i-2" else set()

            fleet.context.list_cached_prefixes = list_cached_prefixes
            lost = make_run("req0", "i-1", backup="i-2", backup_born_ms=1000)
            lost.copy_address, lost.copy_id = "10.0.0.2:80", "req0"
            lost.fingerprint = stream_fingerprint("req0")
            fleet.context.load_view.merge(lost)
            fleet.add_origin("req0")
            mark_leaving(fleet.context, "i-2")
            admitted = admit_stream(last_event_id=12, resumed_request_id="req0")
            return fleet, asked, await relay(fleet.context, admitted)

        fleet, asked, writer = run_in_virtual_time(main)
        assert sorted(asked) == ["i-1", "i-3"]
        assert "i-2" not in fleet.tried
        assert writer.event_ids == list(range(13, LAST + 1))

    # Guards against a request to an engine that said that it leaves while its cached
    # prefixes were queried.
    def test_engine_that_leaves_during_the_query_is_left(self):
        async def main():
            fleet = self.fleet()
            asked = []

            async def list_cached_prefixes(announcement):
                asked.append(announcement.target)
                if announcement.target != "i-2":
                    return set()
                mark_leaving(fleet.context, "i-2")
                return {"part1"}

            fleet.context.list_cached_prefixes = list_cached_prefixes
            fleet.add_origin("req0")
            admitted = admit_stream(last_event_id=12, resumed_request_id="req0")
            return fleet, asked, await relay(fleet.context, admitted)

        fleet, asked, writer = run_in_virtual_time(main)
        assert "i-2" in asked
        assert "i-2" not in fleet.tried
        assert writer.event_ids == list(range(13, LAST + 1))

    def test_requests_that_wait_are_not_sent_to_the_engine(self):
        """Guards against a request that was queued before the engine said it leaves."""

        async def main():
            fleet = FakeFleet(dict.fromkeys(("i-1", "i-2"), streams(1, LAST)), DOMAINS)
            load_view = fleet.context.load_view
            for target in ("i-1", "i-2"):
                fill_engine(load_view, target)
            await anyio.sleep(7.0)  # until their runs are about to end
            writers = [FakeResponseWriter() for _ in range(3)]
            async with anyio.create_task_group() as group:
                for writer in writers:
                    admitted = admit_stream(n_prompt=5000)
                    group.start_soon(relay_stream, admitted, fleet.context, writer)
                await anyio.sleep(0.1)
                assert not fleet.attempts
                mark_leaving(fleet.context, "i-1")
                for target in ("i-1", "i-2"):
                    for number in range(9):
                        fleet.context.report(
                            make_run(f"{target}-{number}", target, is_ended=True)
                        )
            return fleet, writers

        fleet, writers = run_in_virtual_time(main)
        assert fleet.tried == ["i-2"] * 3
        assert all(map(is_complete_response, writers))

    def test_requests_are_rejected_at_once_if_all_engines_leave(self):
        async def main():
            fleet = self.fleet()
            for target in DOMAINS:
                mark_leaving(fleet.context, target)
            before_s = anyio.current_time()
            writer = await relay(fleet.context, admit_stream())
            return fleet, writer, anyio.current_time() - before_s

        fleet, writer, took_s = run_in_virtual_time(main)
        assert not fleet.attempts
        assert writer.error.code == NO_TARGET
        assert writer.error.was_run == "no"
        assert writer.error.retry_after_ms > 0
        assert took_s < 0.1

    @pytest.mark.parametrize("is_announced", [False, True])
    def test_silent_stream_stays_at_the_only_engine(self, is_announced):
        """Guards against a stream cut for an engine that gets no new requests."""

        async def main():
            fleet = SilentFleet({"i-1": []}, DOMAINS, n_events=LAST)

            async def pauses(attempt):
                yield ResponseHead(200, is_leaving=not is_announced)
                if is_announced:
                    draining = make_announcement("i-1", state=DRAINING)
                    draining.sequence = 2
                    assert fleet.target_table.merge(draining)
                for number in range(1, LAST + 1):
                    await anyio.sleep(1.5 if number == 8 else 0.02)
                    yield make_event(number)

            fleet.behaviour_by_target["i-1"] = pauses
            return fleet, await relay(fleet.context, admit_stream())

        fleet, writer = run_in_virtual_time(main)
        assert fleet.tried == ["i-1"]
        assert is_complete_response(writer)

    def test_copy_is_not_refreshed_at_the_engine(self):
        async def main():
            fleet = self.fleet(i_1=streams(1, 200, gap_s=0.01))
            async with anyio.create_task_group() as group:
                group.start_soon(relay, fleet.context, admit_stream())
                await anyio.sleep(0.05)
                address = fleet.attempts[0].backup_address
                first = next(t for t in DOMAINS if address == f"10.0.0.{t[2:]}:80")
                mark_leaving(fleet.context, first)
                await anyio.sleep(0.3)
                # The copy was transferred to the third engine, which leaves as well.
                (third,) = set(DOMAINS) - {"i-1", first}
                assert [to for _, to in fleet.transfers] == [f"10.0.0.{third[2:]}:80"]
                mark_leaving(fleet.context, third)
            return fleet.transfers

        assert len(run_in_virtual_time(main)) == 1
