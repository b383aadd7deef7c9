"""Tests of reports of other instances that targets are about to leave."""

from almonddeal.announced.announcement import READY
from almonddeal.relay.targets import UNPROVEN_MS, TargetTable
from almonddeal.relay.tests.announcements import make_announcement
from almonddeal.relay.tests.leaving_targets import record
from almonddeal_common.virtual_time import VirtualTime
from almonddeal_common.wire.gen.ttypes import LeavingReport


def make_table(*announcements):
    targets = TargetTable("entry-1")
    for announcement in announcements:
        assert targets.merge(announcement)
    return targets


def make_report(born_ms=1000):
    return LeavingReport("entry-2", "i-1", born_ms, 20)


def is_usable(targets):
    return targets.is_usable(targets.get("i-1"))


class TestReportedLeaving:
    def test_report_counts_as_a_response(self):
        targets = make_table(make_announcement("i-1"))
        targets.merge_leaving_report(make_report())
        assert not is_usable(targets)

    def test_report_does_not_count_for_another_incarnation(self):
        targets = make_table(make_announcement("i-1", born_ms=2000))
        targets.merge_leaving_report(make_report())
        assert is_usable(targets)

    # Guards against a report that is lost, as it comes before the announcement.
    def test_report_that_precedes_the_announcement_counts(self):
        targets = make_table()
        targets.merge_leaving_report(make_report())
        targets.merge(make_announcement("i-1"))
        assert not is_usable(targets)

    def test_report_on_the_next_incarnation_counts_once_it_is_announced(self):
        targets = make_table(make_announcement("i-1"))
        targets.merge_leaving_report(make_report(born_ms=2000))
        assert is_usable(targets)
        targets.merge(make_announcement("i-1", born_ms=2000))
        assert not is_usable(targets)

    # As after a response: it may have been one of the process that started since.
    def test_next_incarnation_is_used_after_a_second(self):
        with VirtualTime() as virtual:
            targets = make_table(make_announcement("i-1"))
            targets.merge_leaving_report(make_report())
            targets.merge(make_announcement("i-1", born_ms=2000))
            assert not is_usable(targets)
            virtual.now_s += UNPROVEN_MS / 1000
            assert is_usable(targets)

    def test_own_response_is_reported_once(self):
        targets = make_table(make_announcement("i-1"))
        for _ in range(3):
            record(targets, targets.get("i-1").announcement)
        assert targets.leaving_reports.values() == [
            LeavingReport("entry-1", "i-1", 1000, 0)
        ]

    # Guards against a report from each instance that receives a late response.
    def test_what_another_instance_reported_is_not_reported_again(self):
        targets = make_table(make_announcement("i-1"))
        targets.merge_leaving_report(make_report())
        record(targets, targets.get("i-1").announcement)
        assert [r.instance for r in targets.leaving_reports.values()] == ["entry-2"]

    def test_target_without_a_start_time_is_not_reported(self):
        targets = make_table(make_announcement("i-1", "fd1", 0, READY))
        record(targets, targets.get("i-1").announcement)
        assert not is_usable(targets)
        assert not len(targets.leaving_reports)
