"""Tests of streams over engines that are lost, hang, refuse or send wrong events.

Most cases lose the engines of a failure domain in the middle of a response.
"""

import anyio
import pytest

from almonddeal.announced.announcement import DRAINING
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    hangs,
    loses_connection,
    make_announcement,
    make_event,
    make_route,
    make_run,
    refuses,
    responds,
    responds_with_head,
    streams,
    unreachable,
)
from almonddeal.routing.model import STREAM
from almonddeal_common.codes import (
    ATTEMPT_LOST,
    DEADLINE,
    LINK_LOST,
    NO_TARGET,
    OVERLOADED,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time

LAST = 20
TWO_DOMAINS = {"i-1": "fd1", "i-2": "fd2"}


def relay(fleet, admitted=None, writer=None):
    """Relay one streamed request; returns the writer of its response."""

    async def main():
        used_writer = writer or FakeResponseWriter()
        with anyio.fail_after(30):
            await relay_stream(admitted or admit_stream(), fleet.context, used_writer)
        return used_writer

    return run_in_virtual_time(main)


def rejection(fleet, admitted=None):
    with pytest.raises(AlmonddealError) as caught:
        relay(fleet, admitted)
    return caught.value


def hangs_until_lost():
    """Return a behaviour: no event comes before the connection is lost."""

    async def steps(attempt):
        yield 200
        await anyio.sleep(0.1)
        raise AlmonddealError(LINK_LOST, "reset")

    return steps


def is_complete_response(writer):
    """Tell whether each event arrived once and in order, followed by the end."""
    return writer.is_complete and writer.event_ids == list(range(1, LAST + 1))


class TestStreams:
    def test_complete_stream_of_one_engine(self):
        assert is_complete_response(relay(FakeFleet({"i-1": streams(1, LAST)})))

    def test_lost_stream_resumes_from_the_copy(self):
        fleet = FakeFleet(
            {"i-1": streams(1, LAST, lose_at=7), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))
        first, second = fleet.attempts
        assert first.backup_address == second.target.address
        assert (second.copy.issuer_address, second.copy.copy_id) == (
            second.target.address,
            "req1",
        )
        assert second.last_event_id == 7

    def test_incomplete_event_is_never_forwarded(self):
        fleet = FakeFleet(
            {"i-1": streams(1, LAST, lose_at=7), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        writer = relay(fleet)
        assert b"da" not in writer.body.replace(b"data", b"")

    def test_stream_of_a_stalled_engine_resumes_elsewhere(self):
        async def main():
            fleet = FakeFleet(
                {"i-1": streams(1, LAST, hang_at=7), "i-2": streams(1, LAST)},
                TWO_DOMAINS,
            )
            fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
            writer = FakeResponseWriter()
            await relay_stream(admit_stream(), fleet.context, writer)
            assert is_complete_response(writer)
            assert fleet.n_open == 0

        run_in_virtual_time(main)

    def test_stream_resumes_elsewhere_if_the_copy_is_refused(self):
        fleet = FakeFleet(
            {
                "i-1": streams(1, LAST, lose_at=7),
                "i-2": _refuses_all(),
                "i-3": streams(1, LAST),
            },
            {"i-1": "fd1", "i-2": "fd2", "i-3": "fd1"},
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        fleet.context.load_view.merge(make_run("other-i-3", "i-3"))
        assert is_complete_response(relay(fleet))

    def test_events_stay_in_order_over_several_losses(self):
        fleet = FakeFleet(
            {
                "i-1": streams(1, LAST, lose_at=5),
                "i-2": streams(1, LAST, lose_at=9),
                "i-3": streams(1, LAST, lose_at=14),
                "i-4": streams(1, LAST),
            },
            {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3", "i-4": "fd2"},
        )
        writer = relay(fleet)
        assert writer.event_ids == sorted(set(writer.event_ids))
        assert writer.event_ids[0] == 1

    def test_engine_lost_before_its_first_event_is_replaced(self):
        fleet = FakeFleet(
            {"i-1": loses_connection, "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))
        # The backup may have a part of the prompt, which need not be prefilled again.
        first, second = fleet.attempts
        assert first.copy is None
        assert (second.copy.issuer_address, second.copy.copy_id) == (
            second.target.address,
            first.admitted.request.request_id,
        )
        assert second.last_event_id is None

    def test_part_of_a_prefill_is_reported_as_a_whole_one(self):
        fleet = FakeFleet(
            {"i-1": loses_connection, "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        reports = []
        fleet.context.report = reports.append
        relay(fleet, admit_stream(n_prompt=1000))
        starts = [run.n_unread_tokens for run in reports if run.n_unread_tokens]
        assert starts == [1000, 1000]

    def test_engine_without_a_part_of_the_prefill_takes_the_request_without_a_copy(
        self,
    ):
        async def refuses_copies(attempt):
            if attempt.copy is not None:
                yield ResponseHead(503, is_not_run=True)
                return
            async for step in streams(1, LAST)(attempt):
                yield step

        fleet = FakeFleet({"i-1": loses_connection, "i-2": refuses_copies}, TWO_DOMAINS)
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))
        assert fleet.tried == ["i-1", "i-2", "i-2"]

    def test_engine_silent_before_its_first_event_is_probed_and_abandoned(self):
        fleet = FakeFleet({"i-1": hangs, "i-2": streams(1, LAST)}, TWO_DOMAINS)
        fleet.alive = {"i-2"}
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet, admit_stream(n_prompt=100)))
        assert fleet.n_probes == 1

    def test_slow_caller_is_not_a_stall(self):
        class SlowResponseWriter(FakeResponseWriter):
            async def send(self, data):
                await anyio.sleep(0.4 if self.body else 0)
                await super().send(data)

        fleet = FakeFleet({"i-1": streams(1, 3)}, TWO_DOMAINS)
        writer = relay(fleet, writer=SlowResponseWriter())
        assert writer.event_ids == [1, 2, 3]
        assert fleet.tried == ["i-1"]

    def test_duplicate_events_of_a_resumed_stream_are_dropped(self):
        async def repeats(attempt):
            yield 200
            for number in range(1, LAST + 1):
                yield make_event(number)

        fleet = FakeFleet(
            {"i-1": streams(1, LAST, lose_at=7), "i-2": repeats}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))

    def test_missing_event_id_is_a_loss(self):
        async def skips(attempt):
            yield 200
            for number in (1, 2, 3, 5, 6):
                yield make_event(number)

        fleet = FakeFleet({"i-1": skips, "i-2": streams(1, LAST)}, TWO_DOMAINS)
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        assert is_complete_response(relay(fleet))

    def test_stream_that_is_not_resumable_is_truncated(self):
        fleet = FakeFleet({"i-1": streams(1, LAST, lose_at=7)})
        route = make_route(STREAM, is_resumable=False)
        writer = relay(fleet, admit_stream(route))
        assert not writer.is_complete
        assert writer.event_ids == list(range(1, 8))

    def test_started_stream_is_truncated_at_its_deadline(self):
        fleet = FakeFleet({"i-1": streams(1, 1000, gap_s=0.02)})
        writer = relay(fleet, admit_stream(timeout_ms=300.0))
        assert writer.event_ids
        assert not writer.is_complete

    def test_resuming_caller_receives_only_missing_events(self):
        fleet = FakeFleet({"i-1": streams(1, LAST)})
        writer = relay(fleet, admit_stream(last_event_id=12))
        assert writer.event_ids == list(range(13, LAST + 1))
        assert fleet.attempts[0].last_event_id == 12

    def test_resumed_stream_uses_the_copy_of_a_lost_instances_run(self):
        fleet = FakeFleet(
            {"i-1": streams(1, LAST), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        lost = make_run("other-i-1", "i-1")
        lost.backup, lost.backup_born_ms = "i-2", 1000
        lost.copy_address, lost.copy_id = "10.0.0.2:80", lost.request
        lost.fingerprint = "print1"
        fleet.context.load_view.merge(lost)
        writer = relay(fleet, admit_stream(last_event_id=12))
        assert writer.event_ids == list(range(13, LAST + 1))
        assert fleet.attempts[0].target.target == "i-2"
        assert fleet.attempts[0].copy.copy_id == lost.request

    @pytest.mark.parametrize(
        "lost_run", [hangs_until_lost(), streams(1, LAST, lose_at=7, gap_s=0.02)]
    )
    def test_resume_does_not_go_to_a_backup_that_drains(self, lost_run):
        # The backup said that it leaves after the run had named it.
        domains = {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"}
        fleet = FakeFleet(
            {"i-1": lost_run, "i-2": streams(1, LAST), "i-3": streams(1, LAST)},
            domains,
        )
        for target in ("i-2", "i-3"):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.01)
                address = fleet.attempts[0].backup_address
                backup = next(t for t in domains if address == f"10.0.0.{t[2:]}:80")
                draining = make_announcement(backup, domains[backup], state=DRAINING)
                draining.sequence = 2
                assert fleet.target_table.merge(draining)
            assert is_complete_response(writer)
            assert backup not in fleet.tried

        run_in_virtual_time(main)

    def test_lost_backup_is_replaced_while_the_run_goes_on(self):
        fleet = FakeFleet(
            {
                "i-1": streams(1, 200, lose_at=40, gap_s=0.01),
                "i-2": streams(1, 200),
                "i-3": streams(1, 200),
            },
            {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"},
        )
        for target in ("i-2", "i-3"):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))

        async def main():
            writer = FakeResponseWriter()
            async with anyio.create_task_group() as group:
                group.start_soon(relay_stream, admit_stream(), fleet.context, writer)
                await anyio.sleep(0.05)
                named_address = fleet.attempts[0].backup_address
                lost = next(
                    t
                    for t in fleet.target_table.target_by_id.values()
                    if t.announcement.address == named_address
                )
                fleet.target_table.eject(lost, "connection failed", "other")
            return writer, lost.announcement.target

        writer, lost = run_in_virtual_time(main)
        assert writer.event_ids == list(range(1, 201))
        first, second = fleet.attempts
        assert second.target.target not in ("i-1", lost)
        assert second.copy.issuer_address == first.target.address
        assert second.copy.copy_id.startswith("copy-")

    def test_unused_copy_is_freed(self):
        fleet = FakeFleet(
            {"i-1": streams(1, 60, gap_s=0.01), "i-2": streams(1, 60)}, TWO_DOMAINS
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))

        async def main():
            async with anyio.create_task_group() as group:
                group.start_soon(
                    relay_stream, admit_stream(), fleet.context, FakeResponseWriter()
                )
                await anyio.sleep(0.05)
                backup = fleet.target_table.get("i-2")
                backup.announcement = make_announcement("i-2", "fd2", born_ms=2000)

        run_in_virtual_time(main)
        assert fleet.transfers
        assert fleet.freed_copy_ids == [f"copy-{len(fleet.transfers)}"]

    def test_resumed_stream_goes_to_the_engine_with_the_cached_prefix(self):
        fleet = FakeFleet({f"i-{n}": streams(1, LAST) for n in range(1, 6)})
        fleet.cached_by_target = {"i-4": {"part1", "part9"}, "i-2": {"part9"}}
        for target in ("i-4",):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))
        writer = relay(fleet, admit_stream(last_event_id=12))
        assert writer.event_ids == list(range(13, LAST + 1))
        assert fleet.tried == ["i-4"]

    def test_lost_stream_without_a_copy_returns_to_the_engine_with_the_cached_prefix(
        self,
    ):
        fleet = FakeFleet(
            {
                "i-1": streams(1, LAST, lose_at=7),
                "i-2": streams(1, LAST),
                "i-3": streams(1, LAST),
            }
        )
        fleet.cached_by_target = {"i-1": {"part1"}}
        for target in ("i-2", "i-3"):
            fleet.context.load_view.merge(make_run(f"other-{target}", target))
        relay(fleet)
        assert fleet.tried[:2] == ["i-1", "i-1"]

    def test_run_is_reported_from_start_to_end(self):
        fleet = FakeFleet({"i-1": streams(1, LAST)})
        relay(fleet)
        (run,) = fleet.context.runs.values()
        assert run.is_ended
        assert (
            fleet.context.load_view.load(
                fleet.target_table.get("i-1").announcement
            ).n_runs
            == 0
        )

    def test_interrupted_stream_resumes_at_another_instance_from_its_copy(self):
        first = FakeFleet(
            {"i-1": streams(1, 200, gap_s=0.01), "i-2": streams(1, 200)}, TWO_DOMAINS
        )
        first.context.load_view.merge(make_run("other-i-2", "i-2"))
        writer = FakeResponseWriter()

        async def main():
            with anyio.move_on_after(0.15):
                await relay_stream(admit_stream(), first.context, writer)

        run_in_virtual_time(main)
        (run,) = first.context.runs.values()
        assert run.is_ended
        assert run.is_cut
        second = FakeFleet(
            {"i-1": streams(1, 200), "i-2": streams(1, 200)}, TWO_DOMAINS
        )
        second.context.load_view.merge(run)
        assert (
            second.context.load_view.load(
                second.target_table.get("i-1").announcement
            ).n_runs
            == 0
        )
        last = writer.event_ids[-1]
        rest = relay(second, admit_stream(last_event_id=last))
        assert writer.event_ids + rest.event_ids == list(range(1, 201))
        assert second.attempts[0].copy.copy_id == "req1"

    def test_cancelled_request_is_cancelled_at_its_engine(self):
        async def main():
            fleet = FakeFleet({"i-1": streams(1, 1000, gap_s=0.01)})
            with anyio.move_on_after(0.1):
                await relay_stream(admit_stream(), fleet.context, FakeResponseWriter())
            assert fleet.n_open == 0
            (run,) = fleet.context.runs.values()
            assert run.is_ended

        run_in_virtual_time(main)


class TestRejections:
    def test_no_engine(self):
        error = rejection(FakeFleet({}))
        assert error.code == NO_TARGET
        assert error.retry_after_ms > 0

    def test_all_engines_refuse(self):
        fleet = FakeFleet({"i-1": refuses(), "i-2": refuses()})
        error = rejection(fleet)
        assert error.code == OVERLOADED
        assert sorted(fleet.tried) == ["i-1", "i-2"]

    def test_unreachable_engine_is_not_tried_again(self):
        fleet = FakeFleet({"i-1": unreachable, "i-2": streams(1, LAST)})

        async def main():
            for _ in range(6):
                writer = FakeResponseWriter()
                await relay_stream(admit_stream(), fleet.context, writer)
                assert is_complete_response(writer)

        run_in_virtual_time(main)
        assert fleet.tried.count("i-1") <= 1

    def test_error_response_of_an_engine_is_forwarded(self):
        fleet = FakeFleet({"i-1": responds(500, b"bad"), "i-2": responds(500, b"bad")})
        writer = relay(fleet)
        assert (writer.status, writer.body) == (500, b"bad")

    def test_stream_that_is_not_resumable_is_sent_once(self):
        fleet = FakeFleet({"i-1": loses_connection, "i-2": loses_connection})
        error = rejection(fleet, admit_stream(make_route(STREAM, is_resumable=False)))
        assert error.code == ATTEMPT_LOST
        assert len(fleet.attempts) == 1

    def test_request_at_a_hanging_engine_ends_at_its_deadline(self):
        fleet = FakeFleet({"i-1": hangs})
        error = rejection(fleet, admit_stream(timeout_ms=150.0))
        assert error.code == DEADLINE

    def test_unsigned_stream_is_not_forwarded(self):
        fleet = FakeFleet(
            {"i-1": responds_with_head(ResponseHead(200, is_authentic=False))}
        )
        assert rejection(fleet).code in (ATTEMPT_LOST, OVERLOADED)


def _refuses_all():
    async def steps(attempt):
        yield ResponseHead(503, is_not_run=True)

    return steps
