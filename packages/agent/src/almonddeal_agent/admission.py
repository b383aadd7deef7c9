"""Admission of new work to the target, under a lease from the control group."""

from contextlib import contextmanager

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    LEASE_EXPIRED,
    STOPPING,
    TARGET_LEAVING,
    AlmonddealError,
)

FENCE_MAX_AGE_MS = 3000  # since the latest confirmation by the control group


class Admission:
    """Admission control of one target.

    The target may take new work while it holds a lease. An entry instance reports the
    age of its last confirmation by the control group. The agent subtracts that age from
    the time at which it sent its request, on its own monotonic clock, so the lease
    expires early rather than late. A change accepted after that confirmation therefore
    goes unnoticed for no longer than the lease.

    Attributes
    ----------
    document_version : int
        Highest document version that any entry instance reported; 0 before the first.
    n_in_flight : int
        Number of attempts and calls in flight.
    fencing_number : int
        Highest fencing number that any entry instance reported.
    is_stopping : bool
        Whether this process is shutting down.
    is_leaving : bool
        Whether the document says that the target is leaving.
    """

    def __init__(self):
        self.document_version = 0
        self.is_stopping = False
        self.is_leaving = False
        self.n_in_flight = 0
        self.fencing_number = 0
        self._lease_ms = 0
        self._confirmed_ms = None

    def apply_announce_reply(self, reply, sent_ms):
        """Renew the lease; take over document version, leaving and fencing number.

        A reply from an entry instance without a document or with an older one is
        ignored.

        Parameters
        ----------
        reply : AnnounceReply
        sent_ms : float
            Time at which the announcement was sent.
        """
        if not reply.has_document or reply.document_version < self.document_version:
            return
        self.document_version = reply.document_version
        self.is_leaving = reply.leaving
        self._lease_ms = reply.lease_ms
        self.fencing_number = max(self.fencing_number, reply.fence or 0)
        if reply.fresh_age_ms >= 0:
            confirmed_ms = sent_ms - reply.fresh_age_ms
            self._confirmed_ms = max(self._confirmed_ms or confirmed_ms, confirmed_ms)

    @property
    def has_lease(self):
        """Whether the lease is valid now; a lease of 0 ms never expires."""
        if self.document_version == 0:
            return False
        if self._lease_ms == 0:
            return True
        if self._confirmed_ms is None:
            return False
        return monotonic_ms() - self._confirmed_ms < self._lease_ms

    @property
    def has_recent_fencing_number(self):
        """Whether a fencing number is known and the last confirmation is recent."""
        if self.fencing_number == 0 or self._confirmed_ms is None:
            return False
        return monotonic_ms() - self._confirmed_ms < FENCE_MAX_AGE_MS

    def check(self):
        """Check that new work may be admitted.

        Raises
        ------
        AlmonddealError
            `STOPPING`, `TARGET_LEAVING` or `LEASE_EXPIRED`.
        """
        if self.is_stopping:
            raise AlmonddealError(STOPPING, "the agent is stopping")
        if self.is_leaving:
            raise AlmonddealError(TARGET_LEAVING, "the document says so")
        if not self.has_lease:
            raise AlmonddealError(LEASE_EXPIRED, "no news of control")

    @contextmanager
    def count_in_flight(self):
        """Count work as in flight in the context; call `check` first."""
        self.n_in_flight += 1
        try:
            yield
        finally:
            self.n_in_flight -= 1
            assert self.n_in_flight >= 0

    @contextmanager
    def admit(self):
        """Run `check`, then count the work as in flight in the context."""
        self.check()
        with self.count_in_flight():
            yield
