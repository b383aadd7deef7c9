"""Confirmation that a document version is in force on all instances.

Each instance reports the version, or its lease expires.
"""

from almonddeal_common.clock import monotonic_ms

CLOCK_MARGIN_MS = 200


class Confirmations:
    """Determines which instances have not confirmed a version of the document.

    An instance that has not reported for longer than the lease refuses new work by
    itself, so it need not confirm.

    Parameters
    ----------
    replica : DocumentReplica
    digests : DigestExchange
    directory : TargetDirectory
    """

    def __init__(self, replica, digests, directory):
        self._replica = replica
        self._digests = digests
        self._directory = directory

    def unconfirmed(self, version):
        """Return the names of instances that may still act on an older version."""
        if self._replica.document.version < version:
            return ["this instance"]
        document = self._replica.document
        lease_ms = document.lease_ms + CLOCK_MARGIN_MS
        now_ms = monotonic_ms()
        unconfirmed = []
        for name, received in self._digests.received_digest_by_name.items():
            within_lease = now_ms - received.received_ms < lease_ms
            if within_lease and received.digest.document_version < version:
                unconfirmed.append(name)
        for target in self._directory.target_by_name.values():
            within_lease = now_ms - target.received_ms < lease_ms
            if within_lease and target.state.document_version < version:
                unconfirmed.append(target.state.instance)
        return sorted(unconfirmed)
