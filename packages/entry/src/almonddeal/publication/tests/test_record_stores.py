"""Tests of the records that control instances pass on to all entry instances."""

import anyio
import pytest

from almonddeal.publication.tests.test_feed import feed, first_updates, peers
from almonddeal_common.wire.gen.ttypes import (
    LeavingReport,
    PauseReport,
    Run,
    SegmentEvidence,
    ShareRuns,
    StreamOrigin,
)

__all__ = ["feed", "peers"]

BAD_RECORDS_BY_FIELD = {
    "leaving": LeavingReport("entry-1", "i-1", 1000),
    "pauses": PauseReport("entry-1", "i-1", 1000),
    "origins": StreamOrigin(request="bad", service_name="s", version="v1"),
}


class TestMalformedRecords:
    """Pattern: an instance of another release sends a record without what we need."""

    # Guards against one record that keeps a whole message from all other instances.
    @pytest.mark.parametrize("field", BAD_RECORDS_BY_FIELD)
    def test_rest_of_the_message_is_relayed(self, feed, peers, field):
        sound = SegmentEvidence(key="e1", instance="entry-1", prefix_hashes=["h"])
        records_by_field = {"evidence": [sound], field: [BAD_RECORDS_BY_FIELD[field]]}
        run = Run(request="r1", instance="entry-1", target="i-1")
        message = ShareRuns([run], False, **records_by_field)
        anyio.run(feed.handle_share_runs, None, message, None)
        (update,) = first_updates(feed, "entry-2")
        for shared in (update, peers["c2"].received[0]):
            assert [r.request for r in shared.runs] == ["r1"]
            assert [r.key for r in shared.evidence] == ["e1"]
            assert not getattr(shared, field)
