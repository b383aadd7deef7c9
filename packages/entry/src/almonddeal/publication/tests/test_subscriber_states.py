"""Tests of the states of entry instances that control instances pass on."""

import anyio
import pytest

from almonddeal.announced.entry_states import NOT_READY, READY, STOPPING
from almonddeal.announced.registry import TargetRegistry
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal.publication.tests.test_feed import (
    Freshness,
    Group,
    Peer,
    first_updates,
    resend,
)
from almonddeal_common.wire.gen.ttypes import (
    EntryState,
    Follow,
    FollowUpdate,
    Phase,
    ShareRuns,
)


@pytest.fixture
def peers():
    return {"c2": Peer("c2"), "c3": Peer("c3")}


@pytest.fixture
def feed(peers):
    return Feed("c1", Publication(), TargetRegistry(), Freshness(), Group(), peers)


class TestEntryStates:
    """Pattern: entry instances say that they are ready or stop."""

    def share(self, feed, number, sequence=2, link=None, is_relayed=False):
        entry = EntryState("entry-1", 1, sequence, number, 0)
        message = ShareRuns([], is_relayed, entries=[entry])
        anyio.run(feed.handle_share_runs, link, message, None)

    def test_state_reaches_all_but_its_sender(self, feed, peers):
        self.share(feed, READY, link="link")
        sender, other = first_updates(feed, "entry-1", "entry-2")
        assert not sender.entries
        assert [entry.instance for entry in other.entries] == ["entry-1"]
        assert [entry.sequence for entry in peers["c2"].received[-1].entries] == [2]

    def test_relayed_or_known_state_is_not_relayed(self, feed, peers):
        self.share(feed, READY, is_relayed=True)
        self.share(feed, READY)
        assert not peers["c2"].received

    def test_restarted_control_instance_receives_all_states(self, feed, peers):
        self.share(feed, STOPPING, is_relayed=True)
        feed.send_state(peers["c3"])
        (entry,) = peers["c3"].received[-1].entries
        assert entry.state == STOPPING

    # Guards against an instance that was killed and counts as ready for all.
    def test_instance_that_disconnects_is_not_ready(self, feed, peers):
        async def main():
            with anyio.move_on_after(0.05):
                async with anyio.create_task_group() as group:
                    follow = Follow(0, "entry-1")
                    group.start_soon(feed.handle_follow, "link", follow, [].append)
                    await anyio.sleep(0.01)
                    entry = EntryState("entry-1", 1, 2, READY, 0)
                    message = ShareRuns([], False, entries=[entry])
                    await feed.handle_share_runs("link", message, None)

        anyio.run(main)
        (entry,) = peers["c2"].received[-1].entries
        assert (entry.state, entry.sequence) == (NOT_READY, 3)

    def test_states_pass_the_wire_and_an_earlier_release_has_none(self):
        entry = EntryState("entry-1", 7, 2, READY, 5)
        message = ShareRuns([], False, entries=[entry])
        assert resend(Phase.NOTICE, message).entries == [entry]
        assert resend(Phase.NOTICE, ShareRuns([], False)).entries is None
        update = FollowUpdate(1, b"", [], [], True, [], 0, entries=[entry])
        assert resend(Phase.ITEM, update).entries == [entry]
