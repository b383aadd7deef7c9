"""Tests of admission under the lease of a target."""

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
    def test_no_lease_before_the_first_reply(self, now_ms):
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            Admission().check()

    def test_lease_counts_the_age_of_the_confirmation(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(make_reply(age_ms=2000), sent_ms=1000.0)
        now_ms[0] = 1999.0
        admission.check()
        now_ms[0] = 2001.0
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            admission.check()

    def test_unconfirmed_entry_instance_gives_no_lease(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(make_reply(age_ms=-1), sent_ms=1000.0)
        with pytest.raises(AlmonddealError, match="LEASE_EXPIRED"):
            admission.check()

    def test_older_document_does_not_revert_leaving(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(
            make_reply(version=7, leaving=True), sent_ms=1000.0
        )
        admission.apply_announce_reply(make_reply(version=6), sent_ms=1000.0)
        with pytest.raises(AlmonddealError, match="TARGET_LEAVING"):
            admission.check()
        assert admission.document_version == 7

    def test_newer_document_reverts_leaving(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(
            make_reply(version=7, leaving=True), sent_ms=1000.0
        )
        admission.apply_announce_reply(make_reply(version=8), sent_ms=1000.0)
        admission.check()

    def test_lease_of_zero_never_expires(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(make_reply(lease_ms=0), sent_ms=1000.0)
        now_ms[0] = 1e9
        admission.check()

    def test_in_flight_count_returns_to_zero_on_error(self, now_ms):
        admission = Admission()
        admission.apply_announce_reply(make_reply(), sent_ms=1000.0)
        with pytest.raises(ValueError), admission.admit():
            assert admission.n_in_flight == 1
            raise ValueError
        assert admission.n_in_flight == 0
