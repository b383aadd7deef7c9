"""Tests of the updates that a control instance sends while nothing changes."""

from itertools import pairwise

import anyio

from almonddeal.announced.registry import TargetRegistry
from almonddeal.publication.feed import STALE_AGE_MS, Feed
from almonddeal.publication.follower import MAX_SILENCE_MS
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.test_feed import Freshness, Group
from almonddeal_common.virtual_time import VirtualTime, run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import Follow


class TestHeartbeats:
    """Pattern: nothing changes, and subscribers have to know that."""

    def play(self, fresh_age_ms=0, duration_s=1.0):
        """Return the times at which a subscriber receives updates, in s."""
        received_s = []
        freshness = Freshness()
        freshness.fresh_age_ms = fresh_age_ms
        registry = TargetRegistry()
        feed = Feed("c1", Publication(), registry, freshness, Group(), {})

        async def main():
            with anyio.move_on_after(duration_s):
                await feed.handle_follow(
                    "link",
                    Follow(0, "entry-1"),
                    lambda update: received_s.append(anyio.current_time()),
                )

        with VirtualTime():
            run_in_virtual_time(main)
        return received_s

    # Guards against subscribers that can't tell a quiet time from a cut.
    def test_subscriber_hears_a_fresh_instance_often(self):
        received_s = self.play()
        gaps_s = [b - a for a, b in pairwise(received_s)]
        assert 2 * max(gaps_s) < MAX_SILENCE_MS / 1000
        assert len(received_s) <= 21

    # Guards against heartbeats that have subscribers take a stale instance for fresh.
    def test_stale_instance_sends_no_heartbeats(self):
        assert len(self.play(fresh_age_ms=STALE_AGE_MS)) == 1
