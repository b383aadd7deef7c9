"""Calls to the control group while one member is silent but still connected."""

from contextlib import asynccontextmanager

import anyio
import pytest

from almonddeal.announced.announcement import READY
from almonddeal.publication import feed as feed_module
from almonddeal.publication.tests.linked_members import (
    NAMES,
    LinkedMember,
    serve_members,
)
from almonddeal_common.codes import OK
from almonddeal_common.wire.gen.ttypes import AnnouncedTarget, Follow, ReadFresh

ADDRESS_BY_NAME = {n: f"127.79.0.{i}:7399" for i, n in enumerate(NAMES, 1)}
TARGET = AnnouncedTarget(
    "i-1", "s", "10.0.0.1:80", "fd1", "v1", 8, READY, 1000, 1, 0, 0
)


class SilentMember(LinkedMember):
    """Member that handles announcements only once it has resumed."""

    def __init__(self, name, address_by_name):
        super().__init__(name, address_by_name)
        self.resumed = anyio.Event()
        self._handle_share_targets = self.feed.handle_share_targets
        self.feed.handle_share_targets = self._handle_when_resumed

    async def _handle_when_resumed(self, link, message, emit):
        await self.resumed.wait()
        return await self._handle_share_targets(link, message, emit)


@asynccontextmanager
async def connected_group(silent_names):
    """Run three members, the first of which has links to the others."""
    members = [
        (SilentMember if name in silent_names else LinkedMember)(name, ADDRESS_BY_NAME)
        for name in NAMES
    ]
    async with serve_members(members) as group:
        for name in NAMES[1:]:
            await members[0].connect(name, group)
        yield group, members


class TestSilentMember:
    @pytest.fixture(autouse=True)
    def never_time_out(self, monkeypatch):
        for name in ("CATCH_UP_TIMEOUT_MS", "REPLICATION_TIMEOUT_MS"):
            monkeypatch.setattr(feed_module, name, 60_000)

    # Guards against a catch-up that waits for a silent member up to its timeout.
    @pytest.mark.parametrize("silent_name", NAMES[1:])
    def test_catch_up_returns_once_a_majority_has_replied(self, silent_name):
        async def main():
            async with connected_group([silent_name]) as (group, (first, *_)):
                group.start_soon(
                    first.feed.handle_follow, "link", Follow(0, "entry-1"), [].append
                )
                await anyio.sleep(0.05)
                with anyio.fail_after(10):
                    reply = await first.feed.handle_read_fresh(
                        "link", ReadFresh(), None
                    )
                assert reply.code == OK.number

        anyio.run(main)

    # Guards against a target that waits for a silent member to be acknowledged, and
    # against an announcement that the member does not get once it has resumed.
    @pytest.mark.parametrize("silent_name", NAMES[1:])
    def test_announcement_is_acknowledged_by_a_majority_and_sent_to_all(
        self, silent_name
    ):
        async def main():
            async with connected_group([silent_name]) as (_, members):
                first, silent = members[0], members[NAMES.index(silent_name)]
                with anyio.fail_after(10):
                    assert await first.feed.accept_announcement(TARGET, "x")
                await anyio.sleep(0.1)
                silent.resumed.set()
                with anyio.fail_after(5):
                    while silent.feed._registry.announcements.get("i-1") is None:
                        await anyio.sleep(0.01)

        anyio.run(main)

    # Guards against an acknowledgement by less than a majority, and against an
    # announcement that times out and is withdrawn from members that are silent.
    def test_announcement_is_sent_to_all_if_no_majority_acknowledges_it(
        self, monkeypatch
    ):
        monkeypatch.setattr(feed_module, "REPLICATION_TIMEOUT_MS", 100)

        async def main():
            async with connected_group(NAMES[1:]) as (_, (first, *silent)):
                assert not await first.feed.accept_announcement(TARGET, "x")
                await anyio.sleep(0.1)
                for member in silent:
                    member.resumed.set()
                with anyio.fail_after(5):
                    while any(len(m.feed._registry.announcements) == 0 for m in silent):
                        await anyio.sleep(0.01)

        anyio.run(main)
