"""Exchange of digests between entry instances: versions, targets and streams."""

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import ModelState, PeerDigest

DIGEST_INTERVAL_S = 0.5
DIGEST_EXPIRY_MS = 2500


class ReceivedDigest:
    """The latest digest of another entry instance, with the time of its receipt."""

    __slots__ = ("digest", "received_ms")

    def __init__(self, digest):
        self.digest = digest
        self.received_ms = monotonic_ms()

    @property
    def is_recent(self):
        """Whether the digest was received less than `DIGEST_EXPIRY_MS` ago."""
        return monotonic_ms() - self.received_ms < DIGEST_EXPIRY_MS


class DigestExchange:
    """Sends this instance's digest to its peers and stores the digests received.

    Parameters
    ----------
    name : str
        Name of this instance.
    peer_by_name : dict of str to Peer
        The other entry instances.
    document_replica : DocumentReplica
    directory : TargetDirectory
    n_streams_by_customer : callable
        Returns the number of streams in flight at this instance, by customer.
    versions_in_use : callable
        Returns the (model, version) pairs of the unfinished answers that this
        instance owns or holds.
    """

    def __init__(
        self,
        name,
        peer_by_name,
        document_replica,
        directory,
        n_streams_by_customer,
        versions_in_use,
    ):
        self.received_digest_by_name = {}
        self._name = name
        self._peer_by_name = peer_by_name
        self._document_replica = document_replica
        self._directory = directory
        self._n_streams_by_customer = n_streams_by_customer
        self._versions_in_use = versions_in_use

    async def run(self):
        """Send digests periodically and for each new document, until cancelled.

        Each round also evicts stale targets from the directory.
        """
        version = 0
        while True:
            digest = self._make_digest()
            version = digest.document_version
            for peer in self._peer_by_name.values():
                if peer.is_up:
                    peer.link.notify(digest)
            self._directory.evict_stale()
            with anyio.move_on_after(DIGEST_INTERVAL_S):
                await self._document_replica.wait_newer(version)

    def _make_digest(self):
        return PeerDigest(
            self._name,
            self._document_replica.document.version,
            self._directory.announced_here(),
            self._n_streams_by_customer(),
            [ModelState(m, v, []) for m, v in sorted(self._versions_in_use())],
            [name for name, peer in self._peer_by_name.items() if peer.is_up],
        )

    async def handle_digest(self, link, message, emit):
        """Handle `PeerDigest`: store it and apply the announcements in it."""
        self.received_digest_by_name[message.instance] = ReceivedDigest(message)
        for state in message.targets:
            self._directory.update(state)

    @property
    def n_live_entries(self):
        """Number of entry instances whose digest is recent, this one included."""
        return 1 + sum(
            received.is_recent for received in self.received_digest_by_name.values()
        )

    def versions_in_use(self, all_names):
        """Return the model versions of unfinished answers on all entry instances.

        Parameters
        ----------
        all_names : iterable of str
            Names of the entry instances.

        Returns
        -------
        versions : set of (str, str) or None
            None if there is no recent digest of some instance: it may have created
            answers since, so that no version may be unloaded.
        """
        in_use = set(self._versions_in_use())
        for name in all_names:
            if name == self._name:
                continue
            received = self.received_digest_by_name.get(name)
            if received is None or not received.is_recent:
                return None
            in_use |= {(m.model, m.version) for m in received.digest.versions_in_use}
        return in_use

    def is_reachable_from_peers(self, name):
        """Return whether a recent digest reports a link to an entry instance."""
        return any(
            name in (received.digest.live_entries or ())
            for received in self.received_digest_by_name.values()
            if received.is_recent and received.digest.instance != name
        )

    def n_streams_elsewhere(self, customer):
        """Return the number of a customer's streams in the peers' recent digests."""
        return sum(
            received.digest.n_streams_by_customer.get(customer, 0)
            for received in self.received_digest_by_name.values()
            if received.is_recent
        )
