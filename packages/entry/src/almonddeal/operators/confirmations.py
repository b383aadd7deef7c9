"""Who has confirmed a version of the document, and who is fenced out by its lease."""

from almonddeal_common.clock import monotonic_ms

CLOCK_MARGIN_MS = 200


class Confirmations:
    """Compares what instances report with a version.

    An instance that was silent for longer than the lease refuses new work by itself,
    so it does not have to confirm.

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

    def missing(self, version):
        """Return the names of instances that may still act on an older version."""
        if self._replica.document.version < version:
            return ["this instance"]
        document = self._replica.document
        lease_ms = document.lease_ms + CLOCK_MARGIN_MS
        now_ms = monotonic_ms()
        missing = []
        for name, news in self._digests.news_by_name.items():
            within_lease = now_ms - news.received_ms < lease_ms
            if within_lease and news.digest.document_version < version:
                missing.append(name)
        for target in self._directory.target_by_name.values():
            within_lease = now_ms - target.received_ms < lease_ms
            if within_lease and target.state.document_version < version:
                missing.append(target.state.instance)
        return sorted(missing)
