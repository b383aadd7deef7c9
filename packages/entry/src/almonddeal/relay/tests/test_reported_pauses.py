"""Tests of pauses for which targets asked other instances, in virtual time."""

import pytest

from almonddeal.relay.hold_offs import HoldOffs
from almonddeal.relay.kv_copies import select_backup
from almonddeal.relay.stream_state import Stream
from almonddeal.relay.tests.fakes import (
    FakeFleet,
    FakeResponseWriter,
    admit_plain,
    admit_stream,
    fill_engine,
    make_announcement,
    make_route,
    responds,
    streams,
)
from almonddeal.relay.tests.leaving_targets import relay
from almonddeal.relay.tests.stream_runs import LAST, is_complete_response
from almonddeal.relay.tests.test_paused_engines import THREE_DOMAINS, pause
from almonddeal.relay.tracked_target import TrackedTarget
from almonddeal.routing.model import LOOKUP, ORDER
from almonddeal_common.virtual_time import VirtualTime, run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import PauseReport

N_REQUESTS = 20


@pytest.fixture(autouse=True)
def virtual_time():
    with VirtualTime() as virtual:
        yield virtual


def report(context, target_id, left_ms=3000, born_ms=1000):
    context.hold_offs.merge(PauseReport("entry-2", target_id, born_ms, left_ms))


def make_fleet(steps, targets=("i-1", "i-2")):
    return FakeFleet(dict.fromkeys(targets, steps), THREE_DOMAINS)


def relay_all(fleet, admit):
    """Relay requests in sequence; return the writers of the responses."""

    async def main():
        return [await relay(fleet.context, admit(n)) for n in range(N_REQUESTS)]

    return run_in_virtual_time(main)


class TestReports:
    def target(self, born_ms=1000):
        return TrackedTarget(make_announcement("i-1", born_ms=born_ms))

    def test_own_pause_is_reported_once(self, virtual_time):
        fleet = make_fleet(responds())
        for _ in range(3):
            pause(fleet, "i-1", 2000.0)
            virtual_time.now_s += 0.1
        (own,) = fleet.context.hold_offs.reports.values()
        assert own == PauseReport("entry-1", "i-1", 1000, 1700)
        assert fleet.context.hold_offs.reports.revision == 1

    # Guards against targets that are turned away at instances that nobody asked.
    def test_reported_pause_is_none_of_this_instance(self):
        hold_offs = HoldOffs("entry-1")
        hold_offs.merge(PauseReport("entry-2", "i-1", 1000, 3000))
        target = self.target()
        assert hold_offs.allows(target.announcement)
        assert not hold_offs
        assert hold_offs.retry_after_ms([target]) is None

    def test_report_is_of_one_target_process(self):
        hold_offs = HoldOffs("entry-1")
        hold_offs.merge(PauseReport("entry-2", "i-1", 1000, 3000))
        earlier, later = self.target(), self.target(born_ms=2000)
        for targets in ([earlier, later], [later, earlier]):
            assert hold_offs.choose(lambda ts: ts[0], targets) is later


class TestPlainRequests:
    def admit(self, kind):
        return lambda number: admit_plain(make_route(kind, max_attempts=2))

    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    def test_others_are_preferred(self, kind):
        fleet = make_fleet(responds())
        report(fleet.context, "i-1", 5000)
        writers = relay_all(fleet, self.admit(kind))
        assert [w.status for w in writers] == [200] * N_REQUESTS
        assert set(fleet.tried) == {"i-2"}

    @pytest.mark.parametrize("kind", [LOOKUP, ORDER])
    @pytest.mark.parametrize("is_paused", [True, False], ids=["paused", "ejected"])
    def test_last_target_is_used(self, kind, is_paused):
        fleet = make_fleet(responds())
        report(fleet.context, "i-1", 5000)
        if is_paused:
            pause(fleet, "i-2")
        else:
            fleet.target_table.eject(fleet.target_table.get("i-2"), "x", "y")
        writers = relay_all(fleet, self.admit(kind))
        assert [w.status for w in writers] == [200] * N_REQUESTS
        assert set(fleet.tried) == {"i-1"}

    def test_targets_that_are_all_reported_are_used(self):
        fleet = make_fleet(responds())
        for target in ("i-1", "i-2"):
            report(fleet.context, target, 5000)
        writers = relay_all(fleet, self.admit(LOOKUP))
        assert [w.status for w in writers] == [200] * N_REQUESTS


class TestStreams:
    def relay(self, fleet):
        writers = relay_all(fleet, lambda n: admit_stream(request_id=f"req{n}"))
        assert all(map(is_complete_response, writers))
        return set(fleet.tried)

    def test_others_are_preferred(self):
        fleet = make_fleet(streams(1, LAST))
        report(fleet.context, "i-1", 5000)
        assert self.relay(fleet) == {"i-2"}

    # Guards against streams that wait beside an engine that has room.
    @pytest.mark.parametrize("is_full", [True, False], ids=["full", "paused"])
    def test_engine_is_used_if_no_other_has_room(self, is_full):
        fleet = make_fleet(streams(1, LAST))
        report(fleet.context, "i-1", 5000)
        if is_full:
            fill_engine(fleet.context.load_view, "i-2")
        else:
            pause(fleet, "i-2", 10_000.0)
        assert self.relay(fleet) == {"i-1"}

    @pytest.mark.parametrize(
        ("targets", "backup_id"),
        [(("i-1", "i-2", "i-3"), "i-3"), (("i-1", "i-2"), "i-2")],
    )
    def test_others_are_preferred_for_copies(self, targets, backup_id):
        fleet = make_fleet(streams(1, LAST), targets)
        report(fleet.context, "i-2", 5000)
        stream = Stream(admit_stream(), FakeResponseWriter())
        announcement = fleet.target_table.get("i-1").announcement
        for _ in range(N_REQUESTS):
            backup = select_backup(stream, fleet.context, announcement)
            assert backup.announcement.target == backup_id
