"""Tests of targets that state in their responses that they are about to leave.

Pattern: the targets still announce that they are ready, and serve what they have.
"""

import logging
from functools import partial

import anyio
import pytest

from almonddeal.announced.announcement import EXPIRED, READY
from almonddeal.relay.incarnations import check_doubtful_targets
from almonddeal.relay.plain import relay_plain
from almonddeal.relay.requests import QueryResponse
from almonddeal.relay.targets import UNPROVEN_MS, TargetTable
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    ResponseHead,
    admit_plain,
    make_announcement,
    make_route,
    responds,
)
from almonddeal.relay.tests.leaving_targets import (
    DOMAINS,
    N_REQUESTS,
    mark_leaving,
    record,
    relay,
    says_leaving,
)
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.codes import NO_TARGET
from almonddeal_common.virtual_time import run_in_virtual_time

PLAIN_KINDS = pytest.mark.parametrize("kind", [LOOKUP, ORDER])


def announce(targets, target_id, sequence, born_ms=1000, state=READY):
    announcement = make_announcement(target_id, DOMAINS[target_id], born_ms, state)
    announcement.sequence = sequence
    return targets.merge(announcement)


class TestTargetTable:
    def table(self, born_ms=1000):
        targets = TargetTable()
        for target_id in ("i-1", "i-2"):
            assert announce(targets, target_id, 1, born_ms)
        record(targets, targets.get("i-1").announcement)
        return targets

    def candidates(self, targets):
        return [target.announcement.target for target in targets.candidates("s")]

    def test_leaving_target_is_no_candidate(self):
        assert self.candidates(self.table()) == ["i-2"]

    def test_leaving_target_is_not_the_last_resort(self):
        targets = self.table()
        targets.eject(targets.get("i-2"), "stalled", "req1")
        assert self.candidates(targets) == ["i-2"]
        record(targets, targets.get("i-2").announcement)
        assert self.candidates(targets) == []

    def test_announcements_of_the_same_incarnation_change_nothing(self):
        targets = self.table()
        for sequence, state in ((2, READY), (3, EXPIRED), (4, READY)):
            assert announce(targets, "i-1", sequence, state=state)
            assert self.candidates(targets) == ["i-2"]

    @pytest.mark.parametrize("born_ms", [0, 900])
    def test_late_announcement_of_an_earlier_incarnation_changes_nothing(self, born_ms):
        targets = self.table()
        assert not announce(targets, "i-1", 50, born_ms)
        assert self.candidates(targets) == ["i-2"]

    # Guards against an incarnation that is never used, as the one before it left.
    def test_next_incarnation_is_a_candidate_after_a_second(self):
        async def main():
            targets = self.table()
            assert announce(targets, "i-1", 1, born_ms=2000)
            assert self.candidates(targets) == ["i-2"]
            await anyio.sleep(UNPROVEN_MS / 1000)
            assert sorted(self.candidates(targets)) == ["i-1", "i-2"]

        run_in_virtual_time(main)

    def test_incarnation_without_a_start_time_is_the_same_one(self):
        targets = self.table(born_ms=0)
        assert announce(targets, "i-1", 2, born_ms=0)
        assert self.candidates(targets) == ["i-2"]

    def test_late_response_of_an_earlier_incarnation_does_not_count(self):
        targets = self.table()
        earlier = targets.get("i-2").announcement
        assert announce(targets, "i-2", 1, born_ms=2000)
        record(targets, earlier)
        assert self.candidates(targets) == ["i-2"]

    def test_response_of_an_unknown_target_is_ignored(self):
        targets = self.table()
        record(targets, make_announcement("i-9"))
        assert self.candidates(targets) == ["i-2"]

    def test_leaving_is_logged_once_for_each_incarnation(self, caplog):
        caplog.set_level(logging.INFO)
        targets = self.table()
        record(targets, targets.get("i-1").announcement)
        assert announce(targets, "i-1", 1, born_ms=2000)
        for _ in range(2):
            record(targets, targets.get("i-1").announcement)
        lines = [r.facts for r in caplog.records if r.msg == "target is leaving"]
        assert [(line["target"], line["born_ms"]) for line in lines] == [
            ("i-1", 1000),
            ("i-1", 2000),
        ]

    @pytest.mark.parametrize(
        ("changes", "is_believed"),
        [
            ({}, True),
            ({"status": 503, "is_authentic": False}, True),
            ({"status": 500}, True),
            ({"is_leaving": False}, False),
            ({"is_authentic": False}, False),
            ({"is_of_other_request": True}, False),
            ({"status": 421, "is_misdirected": True}, False),
            ({"status": 421, "is_misdirected": True, "is_authentic": False}, False),
        ],
    )
    def test_only_responses_of_the_target_are_believed(self, changes, is_believed):
        """Guards against a target that is left out for what another one states."""
        targets = self.table()
        record(targets, targets.get("i-2").announcement, **changes)
        assert targets.get("i-2").is_leaving == is_believed


class TestPlainRequests:
    @PLAIN_KINDS
    @pytest.mark.parametrize(
        "head",
        [
            ResponseHead(200, is_leaving=True),
            ResponseHead(500, is_leaving=True),
            ResponseHead(503, is_not_run=True, is_leaving=True),
            ResponseHead(503, is_not_run=True, is_authentic=False, is_leaving=True),
        ],
        ids=["served", "failed", "refused", "refused-unsigned"],
    )
    def test_no_request_is_sent_after_the_first_response(self, kind, head):
        """Guards against requests that reach a target long after it said it leaves."""

        async def main():
            fleet = FakeFleet({"i-1": says_leaving(head), "i-2": responds()}, DOMAINS)
            writers = []
            for number in range(N_REQUESTS):
                if number == 0:
                    fleet.target_table.eject(fleet.target_table.get("i-2"), "x", "y")
                route = make_route(kind, max_attempts=2)
                writers.append(await relay(fleet.context, admit_plain(route)))
            return fleet, writers

        fleet, writers = run_in_virtual_time(main)
        assert fleet.tried[0] == "i-1"
        assert fleet.tried.count("i-1") == 1
        assert all(writer.status == 200 for writer in writers[1:])

    @PLAIN_KINDS
    def test_requests_are_rejected_at_once_if_all_targets_leave(self, kind):
        async def main():
            fleet = FakeFleet({"i-1": says_leaving(), "i-2": says_leaving()}, DOMAINS)
            for target in fleet.behaviour_by_target:
                mark_leaving(fleet.context, target)
            return fleet, await relay(fleet.context, admit_plain(make_route(kind)))

        fleet, writer = run_in_virtual_time(main)
        assert not fleet.attempts
        assert writer.error.code == NO_TARGET
        assert writer.error.was_run == "no"
        assert writer.error.retry_after_ms > 0

    @PLAIN_KINDS
    def test_requests_in_flight_at_the_target_are_served_by_it(self, kind):
        async def main():
            fleet = FakeFleet({"i-1": says_leaving(took_s=0.3)}, DOMAINS)
            writers = [FakeResponseWriter() for _ in range(5)]
            async with anyio.create_task_group() as group:
                for writer in writers:
                    admitted = admit_plain(make_route(kind))
                    group.start_soon(relay_plain, admitted, fleet.context, writer)
                await anyio.sleep(0.1)
                mark_leaving(fleet.context, "i-1")
            return writers

        writers = run_in_virtual_time(main)
        assert [(w.status, w.body) for w in writers] == [(200, b"whole")] * 5

    def test_late_lookup_is_not_sent_to_a_leaving_target(self):
        async def main():
            fleet = FakeFleet(
                {"i-1": says_leaving(took_s=0.8), "i-2": responds()}, DOMAINS
            )
            fleet.target_table.eject(fleet.target_table.get("i-2"), "x", "y")
            async with anyio.create_task_group() as group:
                admitted = admit_plain(make_route(LOOKUP))
                group.start_soon(relay, fleet.context, admitted)
                await anyio.sleep(0.01)
                mark_leaving(fleet.context, "i-2")
            return fleet

        assert run_in_virtual_time(main).tried == ["i-1"]


class TestRestartedTarget:
    """Pattern: a response says that its target leaves; then a restart is announced."""

    async def restart(self, answer):
        """Return the candidates before and after i-1, which restarted, is asked.

        Parameters
        ----------
        answer : callable
            Called with the fleet and the announcement as i-1 is asked; returns whether
            it responds.
        """
        fleet = FakeFleet(dict.fromkeys(("i-1", "i-2"), responds()), DOMAINS)
        targets = fleet.target_table
        record(targets, targets.get("i-1").announcement)
        announced = announce(targets, "i-1", 1, born_ms=2000)
        assert announced
        before = targets.candidates("s")
        fleet.context.responds = partial(answer, fleet)
        with anyio.move_on_after(UNPROVEN_MS / 2000):
            await check_doubtful_targets(fleet.context)
        return [
            [target.announcement.target for target in candidates]
            for candidates in (before, targets.candidates("s"))
        ]

    # Guards against a target that says it leaves before its restart is announced.
    def test_target_that_leaves_stays_out(self):
        async def says_leaving(fleet, announcement):
            fleet.target_table.record_response(
                announcement, QueryResponse(is_leaving=True), None
            )
            return True

        async def main():
            assert await self.restart(says_leaving) == [["i-2"], ["i-2"]]
            await anyio.sleep(UNPROVEN_MS / 1000)

        run_in_virtual_time(main)

    # Guards against a target that is left out because its earlier incarnation left.
    def test_target_that_does_not_leave_is_used_at_once(self):
        async def is_sound(fleet, announcement):
            return True

        async def main():
            before, after = await self.restart(is_sound)
            assert (before, sorted(after)) == (["i-2"], ["i-1", "i-2"])

        run_in_virtual_time(main)

    # Guards against use before the target has told.
    def test_target_is_asked_again_while_it_does_not_respond(self):
        n_queries = 0

        async def responds_late(fleet, announcement):
            nonlocal n_queries
            n_queries += 1
            return n_queries == 2

        async def main():
            before, after = await self.restart(responds_late)
            assert (before, sorted(after)) == (["i-2"], ["i-1", "i-2"])
            assert n_queries == 2

        run_in_virtual_time(main)
