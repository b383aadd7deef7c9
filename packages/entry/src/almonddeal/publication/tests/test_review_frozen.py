"""Tests of a control instance that did not run for some seconds."""

import anyio

from almonddeal.announced.announcement import READY, is_unheard
from almonddeal.announced.registry import OVERDUE_MS, TargetRegistry
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.test_feed import Freshness, Group, Peer
from almonddeal_common import virtual_time
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget, ShareTargets

READ_S = 0.02  # until the heartbeats that came in the meantime have been read


class TestFrozenInstance:
    # Guards against an instance that has not read the heartbeats of the time for which it
    # did not run, and tells all others that the targets are not heard any more.
    def test_it_reads_the_heartbeats_first(self):
        peer = Peer("c2")
        registry = TargetRegistry()
        feed = Feed("c1", Publication(), registry, Freshness(), Group(), {"c2": peer})

        def announcement(sequence):
            return AnnouncedTarget(
                "i-1", "s", "10.0.0.1:80", "fd1", "v1", 8, READY, 1000, sequence, 0, 0
            )

        async def main():
            await feed.accept_announcement(announcement(1), "x")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.monitor_periodically)
                await anyio.sleep(1.0)
                await feed.accept_announcement(announcement(2), "x")
                peer.received.clear()
                virtual_time._active_clocks[-1].now_s += 1.1 * OVERDUE_MS / 1000
                await anyio.sleep(READ_S)
                await feed.accept_announcement(announcement(3), "x")
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            assert not is_unheard(registry.announcements.get("i-1"))

        virtual_time.run_in_virtual_time(main)
        notices = [m for m in peer.received if isinstance(m, ShareTargets)]
        told = [t for m in notices for t in m.targets if is_unheard(t)]
        assert told == []
