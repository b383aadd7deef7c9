"""Tests of targets whose heartbeats are overdue at a control instance."""

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.announced.registry import OVERDUE_MS, TargetRegistry
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.test_feed import Freshness, Group, Peer
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget


class TestOverdueHeartbeats:
    # Guards against subscribers of other control instances that trust the announcement
    # of a target which restarted.
    def test_other_instances_are_told_once(self):
        peer = Peer("c2")
        feed = Feed(
            "c1", Publication(), TargetRegistry(), Freshness(), Group(), {"c2": peer}
        )
        announcement = AnnouncedTarget(
            "i-1", "s", "10.0.0.1:80", "fd1", "v1", 8, READY, 1000, 1, 0, 0
        )

        async def main():
            await feed.accept_announcement(announcement, "x")
            peer.received.clear()
            with anyio.move_on_after(2 * OVERDUE_MS / 1000):
                await feed.monitor_periodically()

        run_in_virtual_time(main)
        (message,) = peer.received
        (marked,) = message.targets
        assert OVERDUE_MS < marked.age_ms < 1.5 * OVERDUE_MS
