"""Tests of the reports of pauses that targets asked for."""

import pytest

from almonddeal.announced.pause_reports import (
    MAX_REPORTED_MS,
    MAX_REPORTS,
    MIN_EXTENSION_MS,
    PauseReports,
)
from almonddeal_common.virtual_time import VirtualTime
from almonddeal_common.wire.gen.ttypes import PauseReport

KEY = ("i-1", 1000)


@pytest.fixture(autouse=True)
def virtual_time():
    with VirtualTime() as virtual:
        yield virtual


def make_report(left_ms=2000, target="i-1", born_ms=1000):
    return PauseReport("entry-1", target, born_ms, left_ms)


class TestPauseReports:
    def test_reports_are_passed_on_with_what_is_left(self, virtual_time):
        reports = PauseReports()
        assert reports.add(make_report(2000))
        virtual_time.now_s += 0.5
        assert reports.values() == reports.changed_since(0) == [make_report(1500)]
        assert reports.left_ms(KEY) == pytest.approx(1500)
        assert reports.changed_since(1) == []

    def test_report_of_a_pause_that_is_over_is_dropped(self, virtual_time):
        reports = PauseReports()
        reports.add(make_report(2000))
        virtual_time.now_s += 2.1
        assert reports.values() == []
        assert reports.left_ms(KEY) == 0
        assert len(reports) == 1
        reports.evict_stale()
        assert not len(reports)

    # Guards against a report by each instance that is asked for the same pause.
    @pytest.mark.parametrize(
        ("left_ms", "is_new"),
        [(0, False), (-5, False), (1900, False), (2400, False), (2600, True)],
    )
    def test_report_counts_if_the_pause_ends_clearly_later(self, left_ms, is_new):
        reports = PauseReports()
        reports.add(make_report(2000))
        assert reports.add(make_report(left_ms)) == is_new
        expected_ms = left_ms if is_new else 2000
        assert reports.left_ms(KEY) == pytest.approx(expected_ms)
        assert len(reports.values()) == 1

    def test_pause_that_is_over_before_it_is_told_is_not_reported(self):
        assert not PauseReports().add(make_report(int(MIN_EXTENSION_MS) - 1))

    def test_reported_time_is_bounded(self):
        reports = PauseReports()
        assert reports.add(make_report(2**62))
        assert reports.left_ms(KEY) == pytest.approx(MAX_REPORTED_MS)

    # Guards against reports that instances prolong for each other.
    def test_report_that_is_passed_on_ends_with_the_pause(self, virtual_time):
        stores = [PauseReports(), PauseReports()]
        stores[0].add(make_report(2000))
        for _ in range(25):
            virtual_time.now_s += 0.1
            for sender, receiver in (stores, stores[::-1]):
                for report in sender.values():
                    receiver.add(report)
        assert not any(store.values() for store in stores)

    def test_number_of_reports_is_bounded(self):
        reports = PauseReports()
        reports.add(make_report(1000, "first"))
        for number in range(MAX_REPORTS):
            reports.add(make_report(2000, f"i-{number}"))
        assert len(reports) == MAX_REPORTS
        assert ("first", 1000) not in reports

    @pytest.mark.parametrize(
        "changes", [{"target": None}, {"born_ms": None}, {"left_ms": None}]
    )
    def test_malformed_report_is_not_added(self, changes):
        reports = PauseReports()
        with pytest.raises(ValueError, match="pause"):
            reports.add(make_report(**changes))
        assert not len(reports)
