"""A catch-up that is confirmed by members whose own links to the asker are down."""

import anyio

from almonddeal.announced.announcement import READY
from almonddeal.announced.registry import TargetRegistry
from almonddeal.control.members import Members
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal_common.address import Address
from almonddeal_common.codes import OK
from almonddeal_common.wire.connect import Peer, listen, serve_links
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import (
    AnnouncedTarget,
    Follow,
    Hello,
    ReadFresh,
    ReadFreshReply,
    ShareRuns,
    ShareTargets,
)

NAMES = ("c1", "c2", "c3")
ADDRESS_BY_NAME = {n: f"127.78.0.{i}:7399" for i, n in enumerate(NAMES, 1)}


class Freshness:
    fresh_age_ms = 0


class Group:
    members = Members(ADDRESS_BY_NAME, 3)


class Instance:
    """Control instance with links of its own to the others, as in `ControlRole`."""

    def __init__(self, name):
        self.name = name
        self.hello = Hello(PROTOCOL_VERSION, 1, "control", name, 1, "fd1")
        self.peers = {}
        self.feed = Feed(
            name, Publication(), TargetRegistry(), Freshness(), Group(), self.peers
        )

    async def serve(self, task_status):
        listener = await listen(Address.parse(ADDRESS_BY_NAME[self.name]))
        handlers = {
            ReadFresh: self._read_fresh,
            ShareTargets: self.feed.handle_share_targets,
            ShareRuns: self.feed.handle_share_runs,
        }
        task_status.started()
        await serve_links(listener, self.hello, handlers)

    async def _read_fresh(self, link, message, emit):
        return ReadFreshReply(OK.number, 0, self.name, 0)

    def dial(self, name, group):
        peer = Peer(
            name,
            Address.parse(ADDRESS_BY_NAME[name]),
            self.hello,
            {},
            self.feed.send_state,
        )
        self.peers[name] = peer
        group.start_soon(peer.run)


class TestCatchUpOverLinks:
    def test_confirmed_catch_up_has_what_a_majority_acknowledged(self):
        async def main():
            c1, c2, c3 = (Instance(name) for name in NAMES)
            async with anyio.create_task_group() as group:
                for instance in (c1, c2, c3):
                    await group.start(
                        lambda task_status, i=instance: i.serve(task_status)
                    )
                c2.dial("c3", group)
                c3.dial("c2", group)
                await anyio.sleep(0.2)
                # c1 is cut off: an engine of v2 is announced and acknowledged.
                target = AnnouncedTarget(
                    "i-2", "s", "10.0.0.2:80", "fd1", "v2", 8, READY, 1000, 1, 0, 0
                )
                assert await c2.feed.accept_announcement(target, "x")
                # The cut ends; c1 reconnects before the others do (0.05 to 1 s).
                c1.dial("c2", group)
                c1.dial("c3", group)
                await anyio.sleep(0.2)
                received = []
                group.start_soon(
                    c1.feed.handle_follow, "link", Follow(0, "entry-1"), received.append
                )
                await anyio.sleep(0.05)
                reply = await c1.feed.handle_read_fresh("link", ReadFresh(), None)
                group.cancel_scope.cancel()
            targets = [t.target for update in received for t in update.targets]
            assert (reply.code, targets) != (OK.number, []), "confirmed without i-2"

        anyio.run(main)
