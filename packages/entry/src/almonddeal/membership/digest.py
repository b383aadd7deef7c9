"""Digests that entry instances send each other: versions, targets and usage."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import ModelState, PeerDigest

INTERVAL_S = 0.5
HEARD_MS = 2500


class PeerNews:
    """What another entry instance said last."""

    __slots__ = ("digest", "received_ms")

    def __init__(self, digest):
        self.digest = digest
        self.received_ms = monotonic_ms()

    @property
    def is_recent(self):
        """Whether the instance was heard of lately."""
        return monotonic_ms() - self.received_ms < HEARD_MS


class DigestExchange:
    """Sends this instance's digest to the others and keeps theirs.

    Parameters
    ----------
    name : str
        This instance.
    peer_by_name : dict of str to Peer
    replica : DocumentReplica
    directory : TargetDirectory
    usage : callable
        Returns the streams in flight here, by customer.
    versions_in_use : callable
        Returns the versions with unfinished answers here, as (model, version) pairs.
    """

    def __init__(self, name, peer_by_name, replica, directory, usage, versions_in_use):
        self.news_by_name = {}
        self._name = name
        self._peer_by_name = peer_by_name
        self._replica = replica
        self._directory = directory
        self._usage = usage
        self._versions_in_use = versions_in_use

    async def run(self):
        """Send digests at intervals and after each new document, until cancelled."""
        version = 0
        while True:
            digest = self._make_digest()
            version = digest.document_version
            for peer in self._peer_by_name.values():
                if peer.is_up:
                    peer.link.notify(digest)
            self._directory.evict_stale()
            with anyio.move_on_after(INTERVAL_S):
                await self._replica.wait_newer(version)

    def _make_digest(self):
        return PeerDigest(
            self._name,
            self._replica.document.version,
            self._directory.heard_here(),
            self._usage(),
            [ModelState(m, v, []) for m, v in sorted(self._versions_in_use())],
            [name for name, peer in self._peer_by_name.items() if peer.is_up],
        )

    async def handle_digest(self, link, message, emit):
        """Take a digest of another instance."""
        self.news_by_name[message.instance] = PeerNews(message)
        for state in message.targets:
            self._directory.update(state)

    @property
    def n_live_entries(self):
        """Number of live entry instances, this one included."""
        return 1 + sum(news.is_recent for news in self.news_by_name.values())

    def versions_in_use(self, all_names):
        """Return the versions with unfinished answers on any instance, or None.

        None means that an instance has not been heard of since it may have begun
        answers, so that nothing may be unloaded.
        """
        in_use = set(self._versions_in_use())
        for name in all_names:
            if name == self._name:
                continue
            news = self.news_by_name.get(name)
            if news is None or not news.is_recent:
                return None
            in_use |= {(m.model, m.version) for m in news.digest.versions_in_use}
        return in_use

    def is_reachable_from_peers(self, name):
        """Tell whether another live instance has a link to an entry instance."""
        return any(
            name in (news.digest.live_entries or ())
            for news in self.news_by_name.values()
            if news.is_recent and news.digest.instance != name
        )

    def n_streams_elsewhere(self, customer):
        """Return the streams that other live instances run for a customer."""
        return sum(
            news.digest.n_streams_by_customer.get(customer, 0)
            for news in self.news_by_name.values()
            if news.is_recent
        )
