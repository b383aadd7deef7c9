"""Tests of targets whose heartbeats are overdue at a control instance."""

import anyio

from almonddeal.announced.announcement import READY, is_unheard
from almonddeal.announced.registry import (
    HEARTBEAT_TIMEOUT_MS,
    OVERDUE_MS,
    TargetRegistry,
)
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.test_feed import Freshness, Group, Peer
from almonddeal_common import virtual_time
from almonddeal_common.virtual_time import run_in_virtual_time
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget, ShareTargets

READ_S = 0.02  # until the heartbeats that wait have been read


def make_announcement(sequence):
    return AnnouncedTarget(
        "i-1", "s", "10.0.0.1:80", "fd1", "v1", 8, READY, 1000, sequence, 0, 0
    )


def pause(duration_ms):
    """Advance the virtual clock while no task runs."""
    virtual_time._active_clocks[-1].now_s += duration_ms / 1000


class TestOverdueHeartbeats:
    # Guards against subscribers of other control instances that trust the announcement
    # of a target which restarted.
    def test_other_instances_are_told_once(self):
        peer = Peer("c2")
        feed = Feed(
            "c1", Publication(), TargetRegistry(), Freshness(), Group(), {"c2": peer}
        )

        async def main():
            await feed.accept_announcement(make_announcement(1), "x")
            peer.received.clear()
            with anyio.move_on_after(2 * OVERDUE_MS / 1000):
                await feed.monitor_periodically()

        run_in_virtual_time(main)
        (message,) = peer.received
        (marked,) = message.targets
        assert OVERDUE_MS < marked.age_ms < 1.5 * OVERDUE_MS


class TestFrozenInstance:
    # Guards against an instance that has not read the heartbeats of the time for which
    # it did not run, and tells all others that the targets are overdue.
    def test_it_reads_the_heartbeats_first(self):
        peer = Peer("c2")
        registry = TargetRegistry()
        feed = Feed("c1", Publication(), registry, Freshness(), Group(), {"c2": peer})

        async def main():
            await feed.accept_announcement(make_announcement(1), "x")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.monitor_periodically)
                await anyio.sleep(1.0)
                await feed.accept_announcement(make_announcement(2), "x")
                peer.received.clear()
                pause(1.1 * OVERDUE_MS)
                await anyio.sleep(READ_S)
                await feed.accept_announcement(make_announcement(3), "x")
                await anyio.sleep(0.5)
                tasks.cancel_scope.cancel()
            assert not is_unheard(registry.announcements.get("i-1"))

        run_in_virtual_time(main)
        notices = [m for m in peer.received if isinstance(m, ShareTargets)]
        told = [t for m in notices for t in m.targets if is_unheard(t)]
        assert told == []

    # Guards against targets that expire although their heartbeats wait to be read.
    def test_no_target_expires_before_its_heartbeat_is_read(self):
        registry = TargetRegistry()

        async def main():
            registry.merge(make_announcement(1), "x", is_direct=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(registry.expire_periodically)
                await anyio.sleep(0.9)
                pause(HEARTBEAT_TIMEOUT_MS)
                await anyio.sleep(0.2)
                assert registry.announcements.get("i-1").state == READY
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)

    # Guards against a target that failed beside the pause and is never marked.
    def test_silent_target_is_told_after_the_pause(self):
        peer = Peer("c2")
        feed = Feed(
            "c1", Publication(), TargetRegistry(), Freshness(), Group(), {"c2": peer}
        )

        async def main():
            await feed.accept_announcement(make_announcement(1), "x")
            peer.received.clear()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.monitor_periodically)
                await anyio.sleep(1.0)
                pause(1.1 * OVERDUE_MS)
                await anyio.sleep(2.0)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(main)
        (message,) = peer.received
        assert is_unheard(message.targets[0])
