"""Tests of the lease of a target."""

import pytest

from almonddeal_agent import admission as admission_module
from almonddeal_agent.admission import Admission
from almonddeal_common.codes import AlmonddealError
from almonddeal_common.wire.gen.ttypes import AnnounceReply


@pytest.fixture
def now_ms(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(admission_module, "monotonic_ms", lambda: now[0])
    return now


def make_reply(version=1, age_ms=0, leaving=False, lease_ms=3000):
    return AnnounceReply(version, age_ms, leaving, lease_ms, version > 0)


class TestAdmission:
    def test_nothing_is_taken_before_the_first_news(self, now_ms):
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            Admission().check()

    def test_lease_ends_as_old_as_the_entry_instance_is(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(age_ms=2000), asked_ms=1000.0)
        now_ms[0] = 1999.0
        admission.check()
        now_ms[0] = 2001.0
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            admission.check()

    def test_entry_instance_that_is_cut_off_gives_no_lease(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(age_ms=-1), asked_ms=1000.0)
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            admission.check()

    def test_older_document_never_takes_a_leaving_back(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(version=7, leaving=True), asked_ms=1000.0)
        admission.hear(make_reply(version=6), asked_ms=1000.0)
        with pytest.raises(AlmonddealError, match="TARGET_LEAVING"):
            admission.check()
        assert admission.document_version == 7

    def test_newer_document_ends_a_leaving(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(version=7, leaving=True), asked_ms=1000.0)
        admission.hear(make_reply(version=8), asked_ms=1000.0)
        admission.check()

    def test_lease_without_end_where_the_document_says_so(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(lease_ms=0), asked_ms=1000.0)
        now_ms[0] = 1e9
        admission.check()

    def test_in_flight_balances(self, now_ms):
        admission = Admission()
        admission.hear(make_reply(), asked_ms=1000.0)
        with pytest.raises(ValueError), admission.admitted():
            assert admission.n_in_flight == 1
            raise ValueError
        assert admission.n_in_flight == 0
