"""Links to the other members of a group whose membership changes."""

import anyio

from almonddeal_common.address import Address
from almonddeal_common.wire.connect import Peer


class PeerSet:
    """Running peers; each has its own task until it is disconnected.

    Parameters
    ----------
    hello : Hello
        Sent to each peer first; identifies this process.
    group : anyio.abc.TaskGroup
        Runs the peers.
    on_ready : callable
        Called with each new link that is ready.

    Attributes
    ----------
    peer_by_name : dict of str to Peer
        Filled by `Consensus`, which owns the names.
    """

    def __init__(self, hello, group, on_ready):
        self.peer_by_name = {}
        self._hello = hello
        self._task_group = group
        self._on_ready = on_ready
        self._scope_by_peer = {}

    def connect(self, name, address):
        """Return a new peer that dials an address until it is disconnected."""
        peer = Peer(name, Address.parse(address), self._hello, {}, self._on_ready)
        scope = self._scope_by_peer[peer] = anyio.CancelScope()
        self._task_group.start_soon(_run, peer, scope)
        return peer

    def disconnect(self, peer):
        """Stop a peer, also one whose task has not started yet."""
        self._scope_by_peer.pop(peer).cancel()


async def _run(peer, scope):
    with scope:
        await peer.run()
