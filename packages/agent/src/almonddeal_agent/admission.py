"""Whether this agent's target may take new work: the lease from control."""

from contextlib import contextmanager

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import (
    LEASE_EXPIRED,
    STOPPING,
    TARGET_LEAVING,
    AlmonddealError,
)

FENCE_NEWS_MS = 3000


class Admission:
    """The agent's proof that its target may take new work.

    An entry instance says how old its own confirmed knowledge of control is. The agent
    counts that age from the moment it asked, on its own monotonic clock, so the lease
    ends early rather than late. A change that was accepted after the confirmed moment
    cannot be missed for longer than the lease.

    Attributes
    ----------
    document_version : int
        Highest version that any entry instance told.
    n_in_flight : int
        Attempts and calls that run now.
    fence : int
        Highest fencing number that any entry instance told.
    """

    def __init__(self):
        self.document_version = 0
        self.is_stopping = False
        self.is_leaving = False
        self.n_in_flight = 0
        self.fence = 0
        self._lease_ms = 0
        self._fresh_at_ms = None

    def hear(self, reply, asked_ms):
        """Take an `AnnounceReply` to a question asked at `asked_ms`.

        What an entry instance with an older document says is ignored.
        """
        if not reply.has_document or reply.document_version < self.document_version:
            return
        self.document_version = reply.document_version
        self.is_leaving = reply.leaving
        self._lease_ms = reply.lease_ms
        self.fence = max(self.fence, reply.fence or 0)
        if reply.fresh_age_ms >= 0:
            fresh_at_ms = asked_ms - reply.fresh_age_ms
            self._fresh_at_ms = max(self._fresh_at_ms or fresh_at_ms, fresh_at_ms)

    @property
    def has_lease(self):
        """Whether the lease holds now. A lease of 0 ms is one without end."""
        if self.document_version == 0:
            return False
        if self._lease_ms == 0:
            return True
        if self._fresh_at_ms is None:
            return False
        return monotonic_ms() - self._fresh_at_ms < self._lease_ms

    @property
    def knows_fence(self):
        """Whether the present fencing number was told by a fresh entry instance."""
        if self.fence == 0 or self._fresh_at_ms is None:
            return False
        return monotonic_ms() - self._fresh_at_ms < FENCE_NEWS_MS

    def check(self):
        """Raise the reason why new work is refused, if there is one."""
        if self.is_stopping:
            raise AlmonddealError(STOPPING, "the agent is stopping")
        if self.is_leaving:
            raise AlmonddealError(TARGET_LEAVING, "the document says so")
        if not self.has_lease:
            raise AlmonddealError(LEASE_EXPIRED, "no news of control")

    @contextmanager
    def counted(self):
        """Count work in the context that `check` let in before."""
        self.n_in_flight += 1
        try:
            yield
        finally:
            self.n_in_flight -= 1
            assert self.n_in_flight >= 0

    @contextmanager
    def admitted(self):
        """Let work in and count it in the context, or raise why not."""
        self.check()
        with self.counted():
            yield
