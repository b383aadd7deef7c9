"""Tests of streams that resume from KV-cache copies or cached prefixes."""

from copy import copy

import anyio
import pytest

from almonddeal.announced.announcement import DRAINING
from almonddeal.relay.stream_state import KvCopy, Stream
from almonddeal.relay.streams import relay_stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_stream,
    loses_connection,
    make_announcement,
    make_run,
    refuses,
    stream_fingerprint,
    streams,
)
from almonddeal.relay.tests.stream_runs import (
    LAST,
    TWO_DOMAINS,
    is_complete_response,
    relay,
)
from almonddeal_common.codes import (
    LINK_LOST,
    AlmonddealError,
)
from almonddeal_common.virtual_time import run_in_virtual_time


def hangs_until_lost():
    """Return a behaviour: no event comes before the connection is lost."""

    async def steps(attempt):
        yield 200
        await anyio.sleep(0.1)
        raise AlmonddealError(LINK_LOST, "reset")

    return steps


class TestCopies:
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

    def test_stream_resumes_elsewhere_if_the_copy_is_refused(self):
        fleet = FakeFleet(
            {
                "i-1": streams(1, LAST, lose_at=7),
                "i-2": refuses(),
                "i-3": streams(1, LAST),
            },
            {"i-1": "fd1", "i-2": "fd2", "i-3": "fd1"},
        )
        fleet.context.load_view.merge(make_run("other-i-2", "i-2"))
        fleet.context.load_view.merge(make_run("other-i-3", "i-3"))
        assert is_complete_response(relay(fleet))

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

    def test_resumed_stream_uses_the_copy_of_a_lost_instances_run(self):
        fleet = FakeFleet(
            {"i-1": streams(1, LAST), "i-2": streams(1, LAST)}, TWO_DOMAINS
        )
        lost = make_run("other-i-1", "i-1")
        lost.backup, lost.backup_born_ms = "i-2", 1000
        lost.copy_address, lost.copy_id = "10.0.0.2:80", lost.request
        lost.fingerprint = stream_fingerprint("req0")
        fleet.context.load_view.merge(lost)
        fleet.add_origin("req0")
        writer = relay(fleet, admit_stream(last_event_id=12, resumed_request_id="req0"))
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
        fleet.add_origin("req0")
        writer = relay(fleet, admit_stream(last_event_id=12, resumed_request_id="req0"))
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
        (origin,) = first.context.stream_origins.values()
        second.context.stream_origins.add(origin)
        last = writer.event_ids[-1]
        rest = relay(
            second, admit_stream(last_event_id=last, resumed_request_id="req1")
        )
        assert writer.event_ids + rest.event_ids == list(range(1, 201))
        assert second.attempts[0].copy.copy_id == "req1"


def make_copied_run(request_id, stream_id, backup):
    """Return another instance's run of a stream, with a copy at a backup."""
    return make_run(
        request_id,
        "i-1",
        backup=backup,
        backup_born_ms=1000,
        copy_address=f"10.0.0.{backup[-1]}:80",
        copy_id=request_id,
        fingerprint=stream_fingerprint(stream_id),
        n_unread_tokens=0,
    )


class TestEqualRequests:
    """Pattern: two callers send equal requests, and one resumes its stream."""

    def resume(self, runs, resumed_request_id="req0", are_ended=False):
        """Resume a stream after event 12; returns the copies of its attempts, by id."""
        engines = dict.fromkeys(("i-1", "i-2", "i-3"), streams(1, LAST))
        fleet = FakeFleet(engines, {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"})
        for run in runs:
            fleet.context.load_view.merge(run)
        for run in runs if are_ended else []:
            end = copy(run)
            end.is_ended = end.is_cut = True
            fleet.context.load_view.merge(end)
        fleet.add_origin("req0")
        admitted = admit_stream(
            last_event_id=12, request_id="req9", resumed_request_id=resumed_request_id
        )
        writer = relay(fleet, admitted)
        assert writer.event_ids == list(range(13, LAST + 1))
        return [a.copy.copy_id for a in fleet.attempts if a.copy is not None]

    # Guards against a stream that resumes from the KV cache of another request.
    @pytest.mark.parametrize("are_ended", [False, True])
    def test_copy_of_another_stream_is_not_used(self, are_ended):
        other = make_copied_run("other", "other", "i-2")
        assert self.resume([other], are_ended=are_ended) == []

    # Guards against losing the copy of a stream beside a run of an equal request.
    @pytest.mark.parametrize("are_ended", [False, True])
    @pytest.mark.parametrize("is_first", [False, True])
    def test_own_copy_is_used(self, are_ended, is_first):
        runs = [
            make_copied_run("other", "other", "i-2"),
            make_copied_run("req0", "req0", "i-3"),
        ]
        if is_first:
            runs.reverse()
        assert self.resume(runs, are_ended=are_ended) == ["req0"]

    # Guards against the same for a stream that is resumed once more.
    def test_copy_of_a_resumed_run_is_used(self):
        runs = [
            make_copied_run("other", "other", "i-2"),
            make_copied_run("req5", "req0", "i-3"),
        ]
        assert self.resume(runs) == ["req5"]

    # Guards against a guess: a caller that names no stream may have any of them.
    def test_no_copy_is_used_if_the_stream_is_not_named(self):
        run = make_copied_run("req0", "req0", "i-3")
        assert self.resume([run], resumed_request_id=None) == []

    # Guards against a run that cannot be found once its stream is resumed again.
    def test_run_of_a_resumed_stream_is_reported_under_its_first_request(self):
        fleet = FakeFleet({"i-1": streams(1, LAST)}, {"i-1": "fd1"})
        fleet.add_origin("req0")
        relay(
            fleet,
            admit_stream(
                last_event_id=12, request_id="req9", resumed_request_id="req0"
            ),
        )
        (run,) = fleet.context.runs.values()
        assert run.request == "req9"
        assert run.fingerprint == stream_fingerprint("req0")


class TestMovedRoute:
    """Pattern: a stream is resumed after its route was moved to another service."""

    # Guards against a run by the service that the route has left, which has the copy.
    def test_copy_at_the_earlier_service_is_not_used(self):
        engines = dict.fromkeys(("i-1", "i-2", "i-3"), streams(1, LAST))
        fleet = FakeFleet(engines, {"i-1": "fd1", "i-2": "fd2", "i-3": "fd3"})
        earlier = make_announcement("i-2", "fd2", service="earlier")
        earlier.sequence = 2
        assert fleet.target_table.merge(earlier)
        fleet.context.load_view.merge(make_copied_run("req0", "req0", "i-2"))
        fleet.add_origin("req0")
        admitted = admit_stream(
            last_event_id=12, request_id="req9", resumed_request_id="req0"
        )
        writer = relay(fleet, admitted)
        assert writer.event_ids == list(range(13, LAST + 1))
        assert "i-2" not in fleet.tried

    # Guards against the same for the copy that a stream has already.
    def test_copy_is_not_used_once_its_backup_serves_another_service(self):
        fleet = FakeFleet(dict.fromkeys(("i-1", "i-2"), streams(1, LAST)))
        stream = Stream(admit_stream(), None)
        backup = fleet.target_table.get("i-2")
        stream.copy = KvCopy(backup, backup.announcement.address, "copy-1")
        assert stream.can_use_copy(fleet.context)
        moved = make_announcement("i-2", service="other")
        moved.sequence = 2
        assert fleet.target_table.merge(moved)
        assert not stream.can_use_copy(fleet.context)
