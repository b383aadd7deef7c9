"""Tests of the reports of targets that leave."""

import pytest

from almonddeal.announced.leaving_reports import (
    MAX_REPORTS,
    RETENTION_MS,
    LeavingReports,
)
from almonddeal_common.virtual_time import VirtualTime
from almonddeal_common.wire.gen.ttypes import LeavingReport


@pytest.fixture
def virtual_time():
    with VirtualTime() as virtual:
        yield virtual


def make_report(target="i-1", born_ms=1000, age_ms=0):
    return LeavingReport("entry-1", target, born_ms, age_ms)


class TestLeavingReports:
    def test_report_is_new_once_for_each_incarnation(self):
        reports = LeavingReports()
        assert reports.add(make_report())
        assert not reports.add(make_report())
        assert reports.add(make_report(born_ms=2000))
        assert reports.revision == 2

    def test_reports_are_passed_on_with_their_present_age(self, virtual_time):
        reports = LeavingReports()
        reports.add(make_report(age_ms=500))
        virtual_time.now_s += 2.0
        assert reports.values() == [make_report(age_ms=2500)]
        assert reports.changed_since(0) == [make_report(age_ms=2500)]
        assert reports.changed_since(1) == []

    # Guards against reports that are relayed without end.
    def test_report_that_is_passed_on_ends_with_its_retention(self, virtual_time):
        stores = [LeavingReports(), LeavingReports()]
        stores[0].add(make_report())
        for _ in range(20):
            virtual_time.now_s += RETENTION_MS / 10_000
            for store in stores:
                store.evict_stale()
            for sender, receiver in (stores, stores[::-1]):
                for report in sender.values():
                    receiver.add(report)
        assert not any(map(len, stores))

    def test_number_of_reports_is_bounded(self):
        reports = LeavingReports()
        for number in range(MAX_REPORTS + 10):
            reports.add(make_report(f"i-{number}"))
        assert len(reports) == MAX_REPORTS
        assert ("i-9", 1000) not in reports

    @pytest.mark.parametrize(
        "changes",
        [{"target": None}, {"born_ms": None}, {"born_ms": 0}, {"age_ms": -1}],
    )
    def test_malformed_report_is_not_added(self, changes):
        reports = LeavingReports()
        with pytest.raises(ValueError, match="leaving"):
            reports.add(make_report(**changes))
        assert not len(reports)
