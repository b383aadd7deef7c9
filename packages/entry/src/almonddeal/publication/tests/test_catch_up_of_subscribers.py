"""Tests of subscribers that catch up with all that the control group has."""

import anyio
import pytest

from almonddeal.announced.announcement import READY
from almonddeal.publication.tests.test_feed import Peer, feed, peers
from almonddeal_common.codes import LINK_LOST, NO_QUORUM, OK, AlmonddealError
from almonddeal_common.wire.gen.ttypes import (
    AnnouncedTarget,
    Follow,
    Hello,
    Ok,
    ReadFresh,
    ShareRuns,
    ShareTargets,
    StreamOrigin,
)

__all__ = ["feed", "peers"]  # fixtures


class RelayingPeer(Peer):
    """Control instance that sends what it knows before it replies."""

    def __init__(self, name, feed, *messages):
        super().__init__(name)
        self.peer = Hello(instance=name)
        self.feed = feed
        self.messages = messages
        self.reply = ShareTargets([])

    async def call(self, message, timeout_ms, is_cancellable=True):
        assert message == ShareTargets([])
        await anyio.sleep(0.001)
        if self.is_silent:
            raise AlmonddealError(LINK_LOST, "cut")
        for sent in self.messages:
            if isinstance(sent, ShareTargets):
                await self.feed.handle_share_targets(self, sent, None)
            else:
                await self.feed.handle_share_runs(self, sent, None)
        return self.reply


class TestCatchUp:
    """Pattern: a stopped instance has to know whether it missed another version."""

    def ask(self, feed, is_subscribed=True):
        """Return the code of the reply, and what the subscriber received before."""
        received = []
        code = None

        async def main():
            nonlocal code
            async with anyio.create_task_group() as group:
                if is_subscribed:
                    follow = Follow(0, "entry-1")
                    group.start_soon(
                        feed.handle_follow, "link", follow, received.append
                    )
                    await anyio.sleep(0.01)
                reply = await feed.handle_read_fresh("link", ReadFresh(), None)
                code = reply.code
                group.cancel_scope.cancel()

        anyio.run(main)
        return code, received

    # Guards against a reply that precedes updates of before the question.
    def test_reply_follows_all_that_a_majority_has_sent(self, feed, peers):
        origin = StreamOrigin("r1", "s", "v2", 0, "entry-2")
        target = AnnouncedTarget(
            "i-2", "s", "10.0.0.2:80", "fd1", "v2", 8, READY, 1000, 1, 0, 0
        )
        peers["c2"] = RelayingPeer(
            "c2", feed, ShareRuns([], True, origins=[origin]), ShareTargets([target])
        )
        peers["c3"].is_up = False
        code, received = self.ask(feed)
        assert code == OK.number
        assert [o.request for update in received for o in update.origins] == ["r1"]
        assert [t.target for update in received for t in update.targets] == ["i-2"]

    # Guards against a conclusion by what a control instance has that is cut off.
    @pytest.mark.parametrize(("n_silent", "code"), [(2, NO_QUORUM), (1, OK)])
    def test_subscriber_catches_up_with_a_majority_only(
        self, feed, peers, n_silent, code
    ):
        for number, name in enumerate(peers):
            peers[name] = RelayingPeer(name, feed)
            peers[name].is_silent = number < n_silent
        assert self.ask(feed)[0] == code.number

    # Guards against a catch-up without what only the reply of a member brings.
    def test_announcements_in_a_reply_precede_the_confirmation(self, feed, peers):
        peers["c2"] = RelayingPeer("c2", feed)
        peers["c2"].reply = ShareTargets(
            [
                AnnouncedTarget(
                    "i-2", "s", "10.0.0.2:80", "fd1", "v2", 8, READY, 1000, 1, 0, 0
                )
            ]
        )
        peers["c3"].is_up = False
        code, received = self.ask(feed)
        assert code == OK.number
        assert [t.target for update in received for t in update.targets] == ["i-2"]

    # Guards against the confirmation of a member that did not say what it has.
    def test_member_of_an_earlier_release_confirms_nothing(self, feed, peers):
        for name in peers:
            peers[name] = RelayingPeer(name, feed)
            peers[name].reply = Ok()
        assert self.ask(feed)[0] == NO_QUORUM.number

    # Guards against replies to replication that carry all announcements.
    def test_only_a_message_without_announcements_asks_for_them(self, feed):
        target = AnnouncedTarget(
            "i-2", "s", "10.0.0.2:80", "fd1", "v2", 8, READY, 1000, 1, 0, 0
        )
        peer = RelayingPeer("c2", feed)

        def share(*targets):
            return anyio.run(
                feed.handle_share_targets, peer, ShareTargets(list(targets)), None
            )

        assert share(target) == Ok()
        assert share() == ShareTargets([target])

    # Guards against a link that gets replies and no updates.
    def test_instance_without_a_subscription_has_not_caught_up(self, feed, peers):
        for name in peers:
            peers[name] = RelayingPeer(name, feed)
        assert self.ask(feed, is_subscribed=False)[0] == NO_QUORUM.number
