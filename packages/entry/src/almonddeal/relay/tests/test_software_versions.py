"""Tests of one streamed answer over engines of several software versions.

The fakes write their software version into the events. In most cases a stream begins at
i-1, of version v1, as that is in the failure domain of the instance; i-2, of version
v2, has no load, and i-3, of version v1, has some.
"""

import anyio
import pytest

from almonddeal.announced.announcement import DEREGISTERED, DRAINING, READY
from almonddeal.relay.requests import AdmittedRequest
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_stream,
    fill_engine,
    loses_connection,
    make_announcement,
    make_event,
    make_request,
    make_route,
    make_run,
    refuses,
    streams,
    unreachable,
)
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response, relay
from almonddeal.routing.model import STREAM, Service
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.virtual_time import run_in_virtual_time

DOMAINS = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3", "i-4": "fd4"}
VERSIONS = {"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v1"}
TRUNCATION_MS = 500.0  # from the loss of the last engine of a version to the end


def make_fleet(first, **behaviours):
    """Return a fleet in which a stream begins at i-1 with the behaviour `first`.

    Parameters
    ----------
    first : callable
    **behaviours
        By target with ``_`` for ``-``, instead of a complete stream; None for no such
        target.
    """
    behaviour_by_target = {
        "i-1": first,
        "i-2": streams(1, LAST),
        "i-3": streams(1, LAST),
    }
    for name, behaviour in behaviours.items():
        behaviour_by_target[name.replace("_", "-")] = behaviour
    behaviour_by_target = {t: b for t, b in behaviour_by_target.items() if b}
    fleet = FakeFleet(behaviour_by_target, DOMAINS, VERSIONS)
    for target in behaviour_by_target:
        if target not in ("i-1", "i-2"):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))
    return fleet


def announce(fleet, target, state=READY, born_ms=1000, version=None):
    """Have the instance of a fleet receive a new announcement of a target."""
    announcement = make_announcement(
        target,
        DOMAINS[target],
        born_ms,
        state,
        version=version or VERSIONS[target],
    )
    announcement.sequence = 2
    assert fleet.target_table.merge(announcement)


def then_lost(last_event_id, act=lambda: None):
    """Return a behaviour: a stream up to an event; then `act` and a reset."""

    async def steps(attempt):
        yield 200
        for number in range((attempt.last_event_id or 0) + 1, last_event_id + 1):
            await anyio.sleep(0.002)
            yield make_event(number, attempt.target.version)
        act()
        raise AlmonddealError(LINK_LOST, "reset")

    return steps


def body_of(*chunks):
    """Return a behaviour: a response of these chunks."""

    async def steps(attempt):
        yield 200
        for chunk in chunks:
            await anyio.sleep(0.002)
            yield chunk

    return steps


def relay_timed(fleet, admitted=None):
    """Relay one stream; returns its writer and the time that it took in ms."""

    async def main():
        started_ms = monotonic_ms()
        writer = FakeResponseWriter()
        await relay_stream(admitted or admit_stream(), fleet.context, writer)
        return writer, monotonic_ms() - started_ms

    return run_in_virtual_time(main)


def is_whole_and_of(version, writer):
    return is_complete_response(writer) and writer.versions == {version}


class TestContinuation:
    # Guards against an answer that continues at an engine of another version.
    @pytest.mark.parametrize(
        "first",
        [
            pytest.param(then_lost(7), id="reset between events"),
            pytest.param(streams(1, LAST, lose_at=7), id="reset within an event"),
            pytest.param(
                body_of(*map(make_event, range(1, 8)), b"id:8\nda"), id="short body"
            ),
            pytest.param(
                body_of(*map(make_event, (1, 2, 3, 5, 6))), id="missing event"
            ),
            pytest.param(streams(1, LAST, hang_at=7), id="silence"),
        ],
    )
    def test_lost_stream_goes_on_at_its_version(self, first):
        fleet = make_fleet(first)
        fleet.alive.discard("i-1")
        writer = relay(fleet)
        assert is_whole_and_of("v1", writer)
        assert fleet.tried == ["i-1", "i-3"]

    # Guards against the other version after several losses in one answer.
    def test_stream_stays_at_its_version_over_several_losses(self):
        fleet = make_fleet(then_lost(5), i_3=then_lost(9), i_4=streams(1, LAST))
        fleet.context.load_view.merge(make_run("more-i-4", "i-4", n_tokens=12_000))
        writer = relay(fleet)
        assert is_whole_and_of("v1", writer)
        assert "i-2" not in fleet.tried

    # Guards against the other version when the engine that could resume it is busy.
    def test_refused_stream_does_not_change_its_version(self):
        fleet = make_fleet(then_lost(7), i_3=refuses())
        writer = relay(fleet)
        assert writer.versions == {"v1"}
        assert "i-2" not in fleet.tried

    # Guards against the other version when it alone has room.
    def test_stream_waits_for_room_at_its_version(self):
        fleet = make_fleet(then_lost(7, lambda: announce(fleet, "i-1", DEREGISTERED)))
        fill_engine(fleet.context.load_view, "i-3")

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.5)
                for number in range(9):
                    ended = make_run(f"i-3-{number}", "i-3", is_ended=True)
                    fleet.context.load_view.merge(ended)
            return writer

        writer = run_in_virtual_time(main)
        assert is_whole_and_of("v1", writer)
        assert fleet.tried == ["i-1", "i-3"]

    # Guards against a started answer that continues at the only engines left.
    @pytest.mark.parametrize("state", [DEREGISTERED, DRAINING])
    def test_stream_whose_version_has_left_is_truncated_at_once(self, state):
        fleet = make_fleet(
            then_lost(7, lambda: announce(fleet, "i-1", state)), i_3=None
        )
        writer, took_ms = relay_timed(fleet)
        assert writer.event_ids == list(range(1, 8))
        assert writer.versions == {"v1"}
        assert not writer.is_complete
        assert fleet.tried == ["i-1"]
        assert took_ms < TRUNCATION_MS

    # Guards against a restarted engine that is taken for the one that began the stream.
    def test_engine_that_restarted_with_another_version_does_not_go_on(self):
        def restart():
            announce(fleet, "i-1", born_ms=2000, version="v2")

        fleet = make_fleet(then_lost(7, restart), i_3=None)
        writer, took_ms = relay_timed(fleet)
        assert writer.versions == {"v1"}
        assert not writer.is_complete
        assert fleet.tried == ["i-1"]
        assert took_ms < TRUNCATION_MS

    # Guards against the other version for streams of services that are not engines.
    def test_stream_of_a_plain_service_stays_at_its_version(self):
        fleet = make_fleet(then_lost(7), i_3=None, i_2=None)
        for target in ("i-2", "i-3"):
            fleet.behaviour_by_target[target] = streams(1, LAST)
            announce(fleet, target)
        fleet.target_table.get("i-2").n_in_flight = 1
        fleet.target_table.get("i-3").n_in_flight = 2
        admitted = AdmittedRequest(
            make_request(10_000.0), make_route(STREAM), Service("s", None), None
        )
        assert is_whole_and_of("v1", relay(fleet, admitted))
        assert fleet.tried == ["i-1", "i-3"]

    # Guards against the other version behind events that have no id.
    def test_stream_that_began_with_an_event_without_an_id_keeps_its_version(self):
        async def begins(attempt):
            yield 200
            yield b"data: v1\n\n"
            await anyio.sleep(0.01)
            raise AlmonddealError(LINK_LOST, "reset")

        fleet = make_fleet(begins)
        assert relay(fleet).versions == {"v1"}
        assert "i-2" not in fleet.tried

    # Guards against a stream that ends because the one engine of its version that is
    # left was ejected for a time.
    def test_stream_goes_on_at_an_ejected_engine_if_no_other_has_its_version(self):
        fleet = make_fleet(then_lost(7, lambda: announce(fleet, "i-1", DRAINING)))
        ejected = fleet.target_table.get("i-3")

        async def main():
            fleet.target_table.eject(ejected, "connection failed", "other")
            writer = FakeResponseWriter()
            await relay_stream(admit_stream(), fleet.context, writer)
            return writer

        assert is_whole_and_of("v1", run_in_virtual_time(main))
        assert fleet.tried == ["i-1", "i-3"]

    # Guards against a limit to one version where all engines have the same one.
    def test_stream_of_a_service_with_one_version_goes_on_anywhere(self):
        fleet = make_fleet(then_lost(7), i_3=None)
        announce(fleet, "i-2", version="v1")
        assert is_whole_and_of("v1", relay(fleet))
        assert fleet.tried == ["i-1", "i-2"]


class TestCopies:
    # Guards against KV-cache copies at engines that can't use them.
    def test_copy_lies_at_an_engine_of_the_same_version(self):
        fleet = make_fleet(then_lost(7))
        assert is_whole_and_of("v1", relay(fleet))
        first, second = fleet.attempts
        assert first.backup_address == "10.0.0.3:80"
        assert second.target.target == "i-3"
        assert second.copy.copy_id == "req1"

    # Guards against a copy at another version when its own has no second engine.
    def test_run_without_a_second_engine_of_its_version_has_no_copy(self):
        fleet = make_fleet(streams(1, LAST, gap_s=0.05), i_3=None)
        assert is_whole_and_of("v1", relay(fleet))
        assert fleet.attempts[0].backup_address is None
        assert fleet.transfers == []

    # Guards against another version when a lost backup is replaced.
    def test_lost_backup_is_replaced_by_an_engine_of_the_same_version(self):
        fleet = make_fleet(
            streams(1, LAST, gap_s=0.05, lose_at=15), i_4=streams(1, LAST)
        )
        fleet.context.load_view.merge(make_run("more-i-4", "i-4", n_tokens=12_000))

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.08)
                announce(fleet, "i-3", DEREGISTERED)
            return writer

        writer = run_in_virtual_time(main)
        assert is_whole_and_of("v1", writer)
        assert {address for _, address in fleet.transfers} == {"10.0.0.4:80"}
        assert fleet.tried == ["i-1", "i-4"]
        assert fleet.attempts[1].copy.issuer_address == "10.0.0.1:80"

    # Guards against the copy of a backup that restarted with another version.
    def test_backup_that_restarted_with_another_version_is_not_used(self):
        def restart():
            announce(fleet, "i-3", born_ms=2000, version="v2")

        fleet = make_fleet(then_lost(7, restart), i_4=streams(1, LAST))
        fleet.context.load_view.merge(make_run("more-i-4", "i-4", n_tokens=12_000))
        assert is_whole_and_of("v1", relay(fleet))
        assert fleet.tried == ["i-1", "i-4"]

    # Guards against an answer that continues wherever its prompt is cached.
    def test_cached_prefix_at_another_version_is_not_used(self):
        fleet = make_fleet(then_lost(7, lambda: announce(fleet, "i-3", DEREGISTERED)))
        fleet.cached_by_target = {"i-2": {"part1"}}
        fleet.behaviour_by_target["i-4"] = streams(1, LAST)
        announce(fleet, "i-4")
        fleet.context.load_view.merge(make_run("other-i-4", "i-4"))
        assert is_whole_and_of("v1", relay(fleet))
        assert fleet.tried == ["i-1", "i-4"]


class TestBeforeTheFirstEvent:
    # Guards against a limit to one version before the caller has received an event.
    @pytest.mark.parametrize(
        "first",
        [
            pytest.param(unreachable, id="unreachable"),
            pytest.param(refuses(), id="refuses"),
            pytest.param(loses_connection, id="loses the request"),
            pytest.param(then_lost(0), id="loses the response"),
        ],
    )
    def test_any_version_may_take_the_request(self, first):
        fleet = make_fleet(first, i_3=None)
        assert is_whole_and_of("v2", relay(fleet))
        assert fleet.tried == ["i-1", "i-2"]

    # Guards against the part of a prefill that another version has read.
    def test_part_of_a_prefill_is_resumed_at_its_version_only(self):
        fleet = make_fleet(then_lost(0, lambda: announce(fleet, "i-3", DEREGISTERED)))
        assert is_whole_and_of("v2", relay(fleet))
        assert fleet.attempts[1].copy is None

    # Guards against a version that stays that of the first attempt, without an event.
    def test_stream_stays_at_the_version_of_its_first_event(self):
        fleet = make_fleet(unreachable, i_2=then_lost(7), i_3=None)
        for target in ("i-3", "i-4"):
            fleet.behaviour_by_target[target] = streams(1, LAST)
        announce(fleet, "i-3", version="v1")
        announce(fleet, "i-4", version="v2")
        for target, n_tokens in (("i-3", 12_000), ("i-4", 18_000)):
            run = make_run(f"other-{target}", target, n_tokens=n_tokens)
            fleet.context.load_view.merge(run)
        assert is_whole_and_of("v2", relay(fleet))
        assert fleet.tried == ["i-1", "i-2", "i-4"]

    # Guards against a mix of versions behind a comment, which is not an event.
    def test_comment_does_not_join_versions(self):
        fleet = make_fleet(body_of(b": waiting\n\n", b"id:1\nda"), i_3=None)
        assert len(relay(fleet).versions) <= 1
