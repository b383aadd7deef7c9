"""Announcements that subscribers have before a majority of the control group has."""

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.publication.tests.linked_members import (
    NAMES,
    LinkedMember,
    serve_members,
)
from almonddeal_common.codes import OK
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget, Follow, ReadFresh

ADDRESS_BY_NAME = {n: f"127.80.0.{i}:7399" for i, n in enumerate(NAMES, 1)}


def make_target(target, version):
    return AnnouncedTarget(
        target, "s", f"{target}:80", "fd1", version, 8, READY, 1000, 1, 0, 0
    )


def subscribe(member, group):
    """Return the versions that a new subscriber of a control instance knows, as a set.

    Streams of an entry instance may begin at each from its receipt on.
    """
    versions = set()

    def apply(update):
        versions.update(announcement.version for announcement in update.targets)

    follow = Follow(0, f"entry-of-{member.name}")
    group.start_soon(member.feed.handle_follow, "link", follow, apply)
    return versions


class TestUnacknowledged:
    """Pattern: an engine of a new version joins at a member that is cut off."""

    # Guards against streams that begin at a version which a catch-up does not know.
    def test_confirmed_catch_up_has_each_version_that_streams_may_begin_at(self):
        async def main():
            c1, c2, c3 = members = [LinkedMember(n, ADDRESS_BY_NAME) for n in NAMES]
            async with serve_members(members) as group:
                await c1.connect("c3", group)
                await c3.connect("c1", group)
                resuming, beginning = subscribe(c1, group), subscribe(c2, group)
                assert await c1.feed.accept_announcement(make_target("i-1", "v1"), "x")
                assert not await c2.feed.accept_announcement(
                    make_target("i-2", "v2"), "x"
                )
                await anyio.sleep(0.1)
                reply = await c1.feed.handle_read_fresh("link", ReadFresh(), None)
            is_confirmed = reply.code == OK.number
            assert not is_confirmed or beginning <= resuming, "confirmed without v2"

        anyio.run(main)
