"""Rates and streams of each customer, shared among the live entry instances."""

from contextlib import contextmanager

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import RATE_LIMITED, TOO_MANY_STREAMS, AlmonddealError

RETRY_AFTER_STREAMS_MS = 1000
ROUNDING = 1e-9


class TokenBucket:
    """A bucket that fills at a rate and holds at most a burst."""

    __slots__ = ("_at_ms", "_level")

    def __init__(self, burst):
        self._level = float(burst)
        self._at_ms = monotonic_ms()

    def take(self, rate_per_s, burst, now_ms):
        """Take one unit; returns 0, or the time in ms until one is there."""
        filled = self._level + (now_ms - self._at_ms) * rate_per_s / 1000
        self._level = min(float(burst), filled)
        self._at_ms = now_ms
        if self._level >= 1.0 - ROUNDING:
            self._level = max(0.0, self._level - 1.0)
            return 0.0
        return (1.0 - self._level) / rate_per_s * 1000


class CustomerLimits:
    """Holds customers to their limits on this instance.

    A rate is divided evenly among the live entry instances. Streams are counted with
    what the others said last, so a sudden rush can exceed the limit by what starts
    within one digest interval.

    Parameters
    ----------
    n_live_entries : callable
        Returns the number of live entry instances.
    n_streams_elsewhere : callable
        Maps a customer's name to its streams on the others.
    """

    def __init__(self, n_live_entries, n_streams_elsewhere):
        self._n_live = n_live_entries
        self._n_streams_elsewhere = n_streams_elsewhere
        self._bucket_by_customer = {}
        self.n_streams_by_customer = {}

    def usage(self):
        """Return the streams in flight here, by customer."""
        return dict(self.n_streams_by_customer)

    def check_rate(self, customer):
        """Take one request out of the customer's rate.

        Raises
        ------
        AlmonddealError
            `RATE_LIMITED` with the time to wait.
        """
        limits = customer.limits
        share = 1.0 / self._n_live()
        burst = max(1.0, limits.burst * share)
        bucket = self._bucket_by_customer.get(customer.name)
        if bucket is None:
            bucket = self._bucket_by_customer[customer.name] = TokenBucket(burst)
        wait_ms = bucket.take(limits.requests_per_s * share, burst, monotonic_ms())
        if wait_ms > 0:
            detail = f"more than {limits.requests_per_s:g} requests a second"
            raise AlmonddealError(
                RATE_LIMITED, detail, retry_after_ms=round(wait_ms, 1)
            )

    @contextmanager
    def count_stream(self, customer):
        """Count one stream of the customer in the context, whatever its limit.

        Work that was let in once is never refused later, as when it resumes.
        """
        n_here = self.n_streams_by_customer.get(customer.name, 0)
        self.n_streams_by_customer[customer.name] = n_here + 1
        try:
            yield
        finally:
            self.release_stream(customer)

    def acquire_stream(self, customer):
        """Count one more stream, or raise `TOO_MANY_STREAMS`."""
        n_here = self.n_streams_by_customer.get(customer.name, 0)
        n_all = n_here + self._n_streams_elsewhere(customer.name)
        if n_all >= customer.limits.max_streams:
            detail = f"{n_all} answers are in flight"
            raise AlmonddealError(
                TOO_MANY_STREAMS, detail, retry_after_ms=RETRY_AFTER_STREAMS_MS
            )
        self.n_streams_by_customer[customer.name] = n_here + 1

    def release_stream(self, customer):
        """Count one stream less."""
        n_left = self.n_streams_by_customer[customer.name] - 1
        assert n_left >= 0
        if n_left:
            self.n_streams_by_customer[customer.name] = n_left
        else:
            del self.n_streams_by_customer[customer.name]
