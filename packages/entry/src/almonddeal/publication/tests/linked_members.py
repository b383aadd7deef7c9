"""Members of a control group in one process, with links to each other."""

from contextlib import asynccontextmanager

import anyio

from almonddeal.announced.registry import TargetRegistry
from almonddeal.control.members import Members
from almonddeal.publication.feed import Feed
from almonddeal.publication.state import Publication
from almonddeal_common.address import Address
from almonddeal_common.wire.connect import Peer, listen, serve_links
from almonddeal_common.wire.gen.constants import PROTOCOL_VERSION
from almonddeal_common.wire.gen.ttypes import Hello, ShareRuns, ShareTargets

NAMES = ("c1", "c2", "c3")


class Freshness:
    """Confirmed reads of the group, which do not fail."""

    fresh_age_ms = 0


class Group:
    """The voters, which do not change."""

    def __init__(self, address_by_name):
        self.members = Members(address_by_name, len(address_by_name))


class LinkedMember:
    """Feed of one control instance, with its listener and its links to other members.

    Parameters
    ----------
    name : str
    address_by_name : dict of str to str
        Link addresses of all members.
    """

    def __init__(self, name, address_by_name):
        self.name = name
        self.peers = {}
        self.feed = Feed(
            name,
            Publication(),
            TargetRegistry(),
            Freshness(),
            Group(address_by_name),
            self.peers,
        )
        self._address_by_name = address_by_name
        self._hello = Hello(PROTOCOL_VERSION, 1, "control", name, 1, "fd1")

    async def serve(self, task_status):
        """Serve the links of other members until cancelled."""
        listener = await listen(Address.parse(self._address_by_name[self.name]))
        handlers = {
            ShareTargets: self.feed.handle_share_targets,
            ShareRuns: self.feed.handle_share_runs,
        }
        task_status.started()
        await serve_links(listener, self._hello, handlers)

    async def connect(self, name, group):
        """Keep a link to another member; returns once it is open."""
        peer = self.peers[name] = Peer(
            name,
            Address.parse(self._address_by_name[name]),
            self._hello,
            {},
            self.feed.send_state,
        )
        group.start_soon(peer.run)
        with anyio.fail_after(5):
            await peer.connected.wait()


@asynccontextmanager
async def serve_members(members):
    """Serve members while the context is open; yields its task group."""
    async with anyio.create_task_group() as group:
        for member in members:
            await group.start(lambda task_status, m=member: m.serve(task_status))
        yield group
        group.cancel_scope.cancel()
