"""Tests of the acknowledgement of announcements by a majority of control instances."""

import anyio
import pytest

from almonddeal.announced.announcement import DRAINING, READY
from almonddeal.announced.registry import TargetRegistry
from almonddeal.control.members import Members
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication, compress_content
from almonddeal_common.codes import LINK_LOST, AlmonddealError
from almonddeal_common.wire.codec import FrameReader, encode_frame
from almonddeal_common.wire.gen.ttypes import (
    AnnouncedTarget,
    Command,
    Follow,
    LimitReport,
    Phase,
    PublishConfiguration,
    Run,
    SegmentEvidence,
    ShareRuns,
    StreamOrigin,
)


class Peer:
    """Control instance that can be cut off."""

    def __init__(self, name):
        self.name = name
        self.is_up = True
        self.is_silent = False
        self.received = []

    async def call(self, message, timeout_ms, is_cancellable=True):
        await anyio.sleep(0.001)
        if self.is_silent:
            raise AlmonddealError(LINK_LOST, "cut")
        self.received += message.targets

    def require_link(self):
        return self

    def notify(self, message):
        self.received.append(message)


class Freshness:
    fresh_age_ms = 0


class Group:
    members = Members({"c1": "a:1", "c2": "b:1", "c3": "c:1"}, 3)


@pytest.fixture
def peers():
    return {"c2": Peer("c2"), "c3": Peer("c3")}


@pytest.fixture
def feed(peers):
    return Feed("c1", Publication(), TargetRegistry(), Freshness(), Group(), peers)


def announce(feed, state, sequence):
    announcement = AnnouncedTarget(
        "i-1", "s", "10.0.0.1:80", "fd1", "v1", 8, state, 1000, sequence, 0, 0
    )
    return anyio.run(feed.accept_announcement, announcement, "x")


class TestAcknowledgement:
    """Pattern: a target says that it leaves while its control instance is cut off."""

    def test_state_is_acknowledged_by_a_majority(self, feed, peers):
        assert announce(feed, READY, 1)
        assert len(peers["c2"].received) == 1

    def test_repeated_heartbeat_is_refused_until_a_majority_has_the_state(
        self, feed, peers
    ):
        # The second heartbeat changed nothing here and was acknowledged unasked.
        assert announce(feed, READY, 1)
        for peer in peers.values():
            peer.is_silent = True
        assert not announce(feed, DRAINING, 2)
        assert not announce(feed, DRAINING, 3)
        assert not announce(feed, DRAINING, 3)
        peers["c3"].is_silent = False
        assert announce(feed, DRAINING, 4)
        assert peers["c3"].received[-1].state == DRAINING

    def test_late_heartbeat_of_an_earlier_state_needs_the_later_one_acknowledged(
        self, feed, peers
    ):
        assert announce(feed, READY, 1)
        for peer in peers.values():
            peer.is_silent = True
        assert not announce(feed, DRAINING, 3)
        assert not announce(feed, READY, 2)

    # Guards against a process that joins and counts itself for a majority.
    @pytest.mark.parametrize("n_reachable", [1, 2])
    def test_instance_that_is_no_voter_needs_a_majority_of_the_voters(
        self, peers, n_reachable
    ):
        peers["c1"] = Peer("c1")
        for name in list(peers)[n_reachable:]:
            peers[name].is_up = False
        feed = Feed("c4", Publication(), TargetRegistry(), Freshness(), Group(), peers)
        assert announce(feed, READY, 1) == (n_reachable == 2)

    # Guards against an acknowledgement by a process that has not found the group yet.
    def test_instance_without_a_group_acknowledges_nothing(self, monkeypatch):
        monkeypatch.setattr(Group, "members", Members({}, 0))
        feed = Feed("c4", Publication(), TargetRegistry(), Freshness(), Group(), {})
        assert not announce(feed, READY, 1)

    def test_heartbeats_without_news_are_not_replicated(self, feed, peers):
        for sequence in range(1, 6):
            assert announce(feed, READY, sequence)
        assert len(peers["c2"].received) == 1


class TestLimits:
    """Pattern: an instance is told a limit that all instances have to keep."""

    def report(self, instance):
        return LimitReport(instance, "s", "i-1", 1000, 3.0, 0, 9, 10**9)

    def test_report_reaches_all_but_its_sender(self, feed, peers):
        message = ShareRuns([], False, [], [self.report("entry-1")])
        anyio.run(feed.handle_share_runs, None, message, None)
        sender, other = first_updates(feed, "entry-1", "entry-2")
        assert not sender.limits
        assert [report.target for report in other.limits] == ["i-1"]
        assert [r.target for r in peers["c2"].received[0].limits] == ["i-1"]

    def test_later_report_replaces_the_earlier_one(self, feed):
        for _ in range(3):
            message = ShareRuns([], True, [], [self.report("entry-1")])
            anyio.run(feed.handle_share_runs, None, message, None)
        (update,) = first_updates(feed, "entry-2")
        assert len(update.limits) == 1


def first_updates(feed, *instances):
    """Return the first update that each new subscriber receives."""
    updates_by_instance = {instance: [] for instance in instances}

    async def main():
        with anyio.move_on_after(0.05):
            async with anyio.create_task_group() as group:
                for instance, updates in updates_by_instance.items():
                    group.start_soon(
                        feed.handle_follow, None, Follow(0, instance), updates.append
                    )

    anyio.run(main)
    return [updates[0] for updates in updates_by_instance.values()]


class TestEvidence:
    """Pattern: instances restart after segments have been found to crash engines."""

    def share(self, feed, *records, is_relayed=False):
        message = ShareRuns([], is_relayed, list(records))
        anyio.run(feed.handle_share_runs, None, message, None)

    def record(self, key, instance="entry-1"):
        return SegmentEvidence(key=key, instance=instance, prefix_hashes=["h"])

    def test_restarted_subscriber_receives_its_own_evidence(self, feed):
        self.share(feed, self.record("e1"))
        (update,) = first_updates(feed, "entry-1")
        assert [record.key for record in update.evidence] == ["e1"]

    def test_records_are_relayed_once(self, feed, peers):
        self.share(feed, self.record("e1"))
        self.share(feed, self.record("e1"), self.record("e2", "entry-2"))
        relayed = [record.key for m in peers["c2"].received for record in m.evidence]
        assert relayed == ["e1", "e2"]

    def test_relayed_records_are_not_relayed_again(self, feed, peers):
        self.share(feed, self.record("e1"), is_relayed=True)
        assert not peers["c2"].received

    def test_restarted_control_instance_receives_all_evidence(self, feed, peers):
        self.share(feed, self.record("e1"), is_relayed=True)
        feed.send_state(peers["c3"])
        assert [record.key for record in peers["c3"].received[-1].evidence] == ["e1"]

    def test_runs_of_an_earlier_release_have_no_evidence(self, feed):
        message = ShareRuns([], False)
        anyio.run(feed.handle_share_runs, None, message, None)
        (update,) = first_updates(feed, "entry-1")
        assert not update.evidence


def resend(phase, message):
    """Return a message as its receiver decodes it."""
    (frame,) = FrameReader().feed(encode_frame(phase, 1, message))
    return frame.message()


class EncodingPeer(Peer):
    """Control instance that receives messages as they are encoded."""

    async def call(self, message, timeout_ms, is_cancellable=True):
        await super().call(resend(Phase.CALL, message), timeout_ms)

    def notify(self, message):
        super().notify(resend(Phase.NOTICE, message))


class TestBadRecords:
    """Pattern: a control instance has a record that no message can carry."""

    @pytest.fixture
    def peers(self):
        return {"c2": EncodingPeer("c2"), "c3": EncodingPeer("c3")}

    def target(self, name, born_ms=1000, sequence=1):
        return AnnouncedTarget(
            name, "s", f"{name}:80", "fd1", "v1", 8, READY, born_ms, sequence, 0, 0
        )

    def accept(self, feed, announcement):
        return anyio.run(feed.accept_announcement, announcement, "x")

    def test_announcement_is_not_acknowledged_and_others_are(self, feed, peers):
        assert not self.accept(feed, self.target("bad", 2**63))
        assert self.accept(feed, self.target("i-1"))
        assert [t.target for t in peers["c2"].received] == ["i-1"]

    def test_subscriber_receives_the_others_and_later_configurations(self, feed):
        """Guards against one record that ends all subscriptions."""
        feed._registry.merge(self.target("bad", 2**63), "x")
        feed._registry.merge(self.target("i-1"), "x")
        received = []

        async def main():
            with anyio.move_on_after(0.2):
                async with anyio.create_task_group() as group:
                    group.start_soon(
                        feed.handle_follow,
                        None,
                        Follow(0, "entry-1"),
                        lambda update: received.append(resend(Phase.ITEM, update)),
                    )
                    await anyio.sleep(0.05)
                    feed._publication.apply(1, make_publish_command(7))
                    feed._registry.merge(self.target("i-2"), "x")

        anyio.run(main)
        assert [t.target for update in received for t in update.targets] == [
            "i-1",
            "i-2",
        ]
        assert received[-1].version == 7

    def test_restarted_control_instance_receives_the_others(self, feed, peers):
        feed._registry.merge(self.target("bad", 2**63), "x")
        feed._registry.merge(self.target("i-1"), "x")
        feed._runs.put("bad", Run(request="bad", n_tokens=2**31))
        feed._runs.put("r1", Run(request="r1", n_tokens=5))
        feed.send_state(peers["c3"])
        targets, runs = peers["c3"].received
        assert [t.target for t in targets.targets] == ["i-1"]
        assert [run.request for run in runs.runs] == ["r1"]


def make_publish_command(version):
    content = compress_content(b"{}")
    return Command(publish=PublishConfiguration(version, content, "x", 0))


class TestOrigins:
    """Pattern: callers resume streams elsewhere after their instances are lost."""

    def share(self, feed, *origins, is_relayed=False):
        message = ShareRuns([], is_relayed, origins=list(origins))
        anyio.run(feed.handle_share_runs, None, message, None)

    def origin(self, request, instance="entry-1"):
        return StreamOrigin(request, "s", "v1", 0, instance)

    # Guards against an instance that restarts and does not know the streams it began.
    def test_all_subscribers_receive_an_origin_its_sender_too(self, feed):
        self.share(feed, self.origin("r1"))
        for update in first_updates(feed, "entry-1", "entry-2"):
            assert [origin.request for origin in update.origins] == ["r1"]

    # Guards against control instances that flood each other.
    def test_origins_are_relayed_once(self, feed, peers):
        self.share(feed, self.origin("r1"))
        self.share(feed, self.origin("r1"), self.origin("r2"))
        self.share(feed, self.origin("r3"), is_relayed=True)
        relayed = [o.request for m in peers["c2"].received for o in m.origins]
        assert relayed == ["r1", "r2"]

    # Guards against a control instance that restarts and feeds instances without them.
    def test_restarted_control_instance_receives_all_origins(self, feed, peers):
        self.share(feed, self.origin("r1"), is_relayed=True)
        feed.send_state(peers["c3"])
        assert [o.request for o in peers["c3"].received[-1].origins] == ["r1"]

    # Guards against a failure on reports of a release that has no origins.
    def test_reports_of_an_earlier_release_have_no_origins(self, feed):
        anyio.run(feed.handle_share_runs, None, ShareRuns([], False, []), None)
        (update,) = first_updates(feed, "entry-1")
        assert not update.origins
