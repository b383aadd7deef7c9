"""Tests of streams and KV-cache copies while engines hold off, in virtual time."""

import random

import anyio
import pytest

from almonddeal.relay.kv_copies import free_copy, maintain_copy, select_backup
from almonddeal.relay.requests import TargetResponse
from almonddeal.relay.stream_state import KvCopy, Stream
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    fill_engine,
    make_run,
    stream_fingerprint,
    streams,
)
from almonddeal.relay.tests.stream_runs import (
    LAST,
    TWO_DOMAINS,
    is_complete_response,
    relay,
)
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, OVERLOADED, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

PAUSE_MS = 2000.0
THREE_DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}


def pause(fleet, target, pause_ms=PAUSE_MS):
    """Record that a target asked for a pause in the response to another request."""
    response = TargetResponse(
        503, [], True, False, True, False, None, None, retry_after_ms=pause_ms
    )
    announcement = fleet.target_table.get(target).announcement
    fleet.context.hold_offs.record(announcement, response, "r0")


def then_lost(event, *call):
    """Return a behaviour: a stream that is lost after an event, and a call."""

    async def steps(attempt):
        async for step in streams(1, event)(attempt):
            yield step
        call[0](*call[1:])
        raise AlmonddealError(LINK_LOST, "reset")

    return steps


def relay_timed(fleet, admitted=None):
    """Relay one stream; return its writer and how long it took, in ms."""

    async def main():
        writer, started_ms = FakeResponseWriter(), monotonic_ms()
        await relay_stream(admitted or admit_stream(), fleet.context, writer)
        return writer, monotonic_ms() - started_ms

    return run_in_virtual_time(main)


def make_fleet(behaviour_by_target, domains):
    """Return a fleet in which a first stream begins at i-1."""
    fleet = FakeFleet(behaviour_by_target, domains)
    for target in sorted(behaviour_by_target)[1:]:
        fleet.context.load_view.merge(make_run(f"other-{target}", target))
    return fleet


class TestLostStreams:
    # Guards against a stream that is resumed at an engine in a pause, and against one
    # that is abandoned though the pause ends in time.
    def test_lost_stream_waits_for_the_end_of_the_pause(self):
        def pause_all():
            pause(fleet, "i-1")
            pause(fleet, "i-2")

        fleet = make_fleet(
            {"i-1": then_lost(7, pause_all), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        writer, took_ms = relay_timed(fleet)
        assert is_complete_response(writer)
        assert fleet.tried == ["i-1", "i-2"]
        assert PAUSE_MS < took_ms < PAUSE_MS + 300.0
        # The copy of the lost run was kept until its backup could be asked.
        assert fleet.attempts[1].copy.backup.announcement.target == "i-2"

    # Guards against a caller that is held until its deadline for a longer pause.
    def test_lost_stream_ends_if_the_pause_is_longer_than_its_time(self):
        def pause_all():
            pause(fleet, "i-1", 20_000.0)
            pause(fleet, "i-2", 20_000.0)

        fleet = make_fleet(
            {"i-1": then_lost(7, pause_all), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        writer, took_ms = relay_timed(fleet)
        assert writer.event_ids == list(range(1, 8))
        assert not writer.is_complete
        assert fleet.tried == ["i-1"]
        assert took_ms < 300.0

    # Guards against a request to the engine of the copy in its pause.
    def test_stream_goes_on_elsewhere_if_the_backup_holds_off(self):
        fleet = make_fleet(
            {
                "i-1": then_lost(7, lambda: pause(fleet, "i-2")),
                "i-2": streams(1, LAST),
                "i-3": streams(1, LAST),
            },
            THREE_DOMAINS,
        )
        fleet.context.load_view.merge(make_run("more-i-3", "i-3"))
        writer, took_ms = relay_timed(fleet)
        assert fleet.attempts[0].backup_address == "10.0.0.2:80"
        assert is_complete_response(writer)
        assert fleet.tried == ["i-1", "i-3"]
        assert took_ms < PAUSE_MS

    # Guards against a move from a silent engine to one in a pause.
    def test_stream_stays_at_a_silent_engine_if_the_other_holds_off(self):
        async def silent_for_a_time(attempt):
            async for step in streams(1, 7)(attempt):
                yield step
            pause(fleet, "i-2", 5000.0)
            fleet.alive.discard("i-1")
            await anyio.sleep(1.5)
            for number in range(8, LAST + 1):
                yield b"id:%d\ndata: v1\n\n" % number

        fleet = make_fleet(
            {"i-1": silent_for_a_time, "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        assert is_complete_response(relay(fleet))
        assert fleet.tried == ["i-1"]

    # Guards against running streams that are ended as their engine asks for a pause.
    def test_running_stream_goes_on(self):
        fleet = make_fleet({"i-1": streams(1, LAST, gap_s=0.05)}, {"i-1": "fd1"})

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.2)
                pause(fleet, "i-1")
            return writer

        assert is_complete_response(run_in_virtual_time(main))


class TestResumedStreams:
    def fleet(self):
        fleet = make_fleet(
            {"i-1": streams(1, LAST), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        fleet.add_origin()
        self.queried = []

        async def list_cached_prefixes(announcement):
            self.queried.append(announcement.target)
            return {"part1"} if announcement.target == "i-1" else set()

        fleet.context.list_cached_prefixes = list_cached_prefixes
        return fleet

    def resumed(self):
        return admit_stream(last_event_id=7, resumed_request_id="req0")

    # Guards against queries of the cached prefixes of an engine in a pause.
    def test_paused_engine_is_neither_queried_nor_used(self):
        fleet = self.fleet()
        pause(fleet, "i-1")
        writer = relay(fleet, self.resumed())
        assert writer.event_ids == list(range(8, LAST + 1))
        assert self.queried == ["i-2"]
        assert fleet.tried == ["i-2"]

    # Guards against a request to an engine that asked for a pause while its cached
    # prefixes were queried.
    def test_engine_that_asks_for_a_pause_during_the_query_is_left(self):
        fleet = self.fleet()
        list_cached_prefixes = fleet.context.list_cached_prefixes

        async def list_and_pause(announcement):
            cached = await list_cached_prefixes(announcement)
            if announcement.target == "i-1":
                pause(fleet, "i-1")
            return cached

        fleet.context.list_cached_prefixes = list_and_pause
        writer = relay(fleet, self.resumed())
        assert writer.event_ids == list(range(8, LAST + 1))
        assert sorted(self.queried) == ["i-1", "i-2"]
        assert fleet.tried == ["i-2"]

    # Guards against a resume from a known copy at a backup in a pause.
    def test_known_copy_at_a_paused_engine_is_left(self):
        fleet = self.fleet()
        copy = {"backup": "i-1", "backup_born_ms": 1000, "copy_address": "10.0.0.1:80"}
        fingerprint = stream_fingerprint("req0")
        run = make_run("req0", "i-2", fingerprint=fingerprint, copy_id="c", **copy)
        fleet.context.load_view.merge(run)
        pause(fleet, "i-1")
        writer = relay(fleet, self.resumed())
        assert writer.event_ids == list(range(8, LAST + 1))
        assert fleet.tried == ["i-2"]


class TestCopies:
    def stream(self):
        stream = Stream(admit_stream(), FakeResponseWriter())
        stream.is_started = True
        return stream

    # Guards against a backup that cannot be asked if its copy is needed.
    def test_paused_engine_is_no_backup(self):
        fleet = FakeFleet(dict.fromkeys(THREE_DOMAINS, streams(1, LAST)), THREE_DOMAINS)
        pause(fleet, "i-2")
        announcement = fleet.target_table.get("i-1").announcement
        for seed in range(20):
            random.seed(seed)
            backup = select_backup(self.stream(), fleet.context, announcement)
            assert backup.announcement.target == "i-3"

    # Guards against calls for the copy of a run at an engine in a pause.
    @pytest.mark.parametrize("is_paused", [False, True])
    def test_paused_engine_is_not_asked_for_copies(self, is_paused):
        fleet = FakeFleet(dict.fromkeys(TWO_DOMAINS, streams(1, LAST)), TWO_DOMAINS)
        engine = fleet.target_table.get("i-1")
        stream = self.stream()

        async def main():
            if is_paused:
                pause(fleet, "i-1")
            with anyio.move_on_after(1.9):
                await maintain_copy(stream, fleet.context, engine.announcement)
            backup = fleet.target_table.get("i-2")
            stream.copy = KvCopy(backup, engine.announcement.address, "copy-9")
            await free_copy(stream, fleet.context, engine.announcement)

        run_in_virtual_time(main)
        assert bool(fleet.transfers) != is_paused
        assert fleet.freed_copy_ids == ([] if is_paused else ["copy-9"])


class TestQueue:
    def fleet(self):
        versions = {"i-1": "v1", "i-2": "v2"}
        behaviours = dict.fromkeys(versions, streams(1, LAST))
        fleet = FakeFleet(behaviours, TWO_DOMAINS, versions)
        fleet.add_origin("of-v1", "v1")
        fleet.add_origin("of-v2", "v2")
        pause(fleet, "i-1")
        return fleet

    def resumed(self, version):
        origin = f"of-{version}"
        return admit_stream(
            last_event_id=7, resumed_request_id=origin, request_id=f"again-{version}"
        )

    # Guards against requests that wait behind one whose engines alone hold off.
    def test_request_with_other_engines_is_not_held_up(self):
        fleet = self.fleet()
        took_ms_by_version = {}

        async def resume(version):
            started_ms = monotonic_ms()
            writer = FakeResponseWriter()
            await relay_stream(self.resumed(version), fleet.context, writer)
            assert writer.event_ids == list(range(8, LAST + 1))
            took_ms_by_version[version] = monotonic_ms() - started_ms

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(resume, "v1")
                await anyio.sleep(0.1)
                group.start_soon(resume, "v2")

        run_in_virtual_time(main)
        assert took_ms_by_version["v2"] < 500.0
        assert took_ms_by_version["v1"] > PAUSE_MS

    # Guards against a request that is rejected for a full engine, though the pause of
    # another ends in time.
    def test_request_waits_for_a_pause_that_ends_before_a_run(self):
        behaviours = dict.fromkeys(TWO_DOMAINS, streams(1, LAST))
        fleet = FakeFleet(behaviours, TWO_DOMAINS)
        fill_engine(fleet.context.load_view, "i-2")
        pause(fleet, "i-1", 1000.0)
        writer, took_ms = relay_timed(fleet)
        assert is_complete_response(writer)
        assert fleet.tried == ["i-1"]
        assert 1000.0 < took_ms < 1500.0

    # Guards against a resumed stream that waits in vain for its only engine.
    def test_resumed_stream_is_rejected_with_the_time_left_of_its_engine(self):
        fleet = self.fleet()
        pause(fleet, "i-1", 8000.0)
        with pytest.raises(AlmonddealError) as caught:
            relay(fleet, self.resumed("v1"))
        assert caught.value.code == OVERLOADED
        assert 8000 <= caught.value.retry_after_ms <= 10_000
        assert not fleet.attempts
