"""Rate and stream limits of customers, divided among the live entry instances."""

from contextlib import contextmanager

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.codes import RATE_LIMITED, TOO_MANY_STREAMS, AlmonddealError

TOO_MANY_STREAMS_RETRY_MS = 1000
ROUNDING_TOLERANCE = 1e-9  # in tokens


class TokenBucket:
    """Token bucket, refilled at a rate up to a burst size."""

    __slots__ = ("_n_tokens", "_updated_ms")

    def __init__(self, burst):
        self._n_tokens = float(burst)
        self._updated_ms = monotonic_ms()

    def acquire(self, rate_per_s, burst, now_ms):
        """Take one token if there is one.

        Parameters
        ----------
        rate_per_s : float
            Tokens added per second.
        burst : float
            Most tokens that the bucket holds.
        now_ms : float

        Returns
        -------
        wait_ms : float
            0 if a token was taken, else the time until there is one.
        """
        refilled = self._n_tokens + (now_ms - self._updated_ms) * rate_per_s / 1000
        self._n_tokens = min(float(burst), refilled)
        self._updated_ms = now_ms
        if self._n_tokens >= 1.0 - ROUNDING_TOLERANCE:
            self._n_tokens = max(0.0, self._n_tokens - 1.0)
            return 0.0
        return (1.0 - self._n_tokens) / rate_per_s * 1000


class CustomerLimits:
    """Enforces the limits of customers on this instance.

    A rate is divided evenly among the live entry instances. Streams on other instances
    are counted as of their last digest, so a burst can exceed the stream limit by the
    streams that start within one digest interval.

    Parameters
    ----------
    n_live_instances : callable
        Returns the number of live entry instances.
    n_streams_elsewhere : callable
        Maps a customer's name to its number of streams on other instances.
    """

    def __init__(self, n_live_instances, n_streams_elsewhere):
        self._n_live_instances = n_live_instances
        self._n_streams_elsewhere = n_streams_elsewhere
        self._bucket_by_customer = {}
        self.n_streams_by_customer = {}

    def usage(self):
        """Return the number of streams in flight on this instance, by customer."""
        return dict(self.n_streams_by_customer)

    def check_rate(self, customer):
        """Count one request against the customer's rate.

        Raises
        ------
        AlmonddealError
            `RATE_LIMITED` with a Retry-After time.
        """
        limits = customer.limits
        share = 1.0 / self._n_live_instances()
        burst = max(1.0, limits.burst * share)
        bucket = self._bucket_by_customer.get(customer.name)
        if bucket is None:
            bucket = self._bucket_by_customer[customer.name] = TokenBucket(burst)
        wait_ms = bucket.acquire(limits.requests_per_s * share, burst, monotonic_ms())
        if wait_ms > 0:
            detail = f"more than {limits.requests_per_s:g} requests a second"
            raise AlmonddealError(
                RATE_LIMITED, detail, retry_after_ms=round(wait_ms, 1)
            )

    @contextmanager
    def count_stream(self, customer):
        """Count one stream for the duration of the context, regardless of the limit.

        For streams that were admitted before, such as resumed ones: these are never
        rejected.
        """
        n_here = self.n_streams_by_customer.get(customer.name, 0)
        self.n_streams_by_customer[customer.name] = n_here + 1
        try:
            yield
        finally:
            self.release_stream(customer)

    def acquire_stream(self, customer):
        """Count one more stream; raises `TOO_MANY_STREAMS` at the limit."""
        n_here = self.n_streams_by_customer.get(customer.name, 0)
        n_total = n_here + self._n_streams_elsewhere(customer.name)
        if n_total >= customer.limits.max_streams:
            detail = f"{n_total} answers are in flight"
            raise AlmonddealError(
                TOO_MANY_STREAMS, detail, retry_after_ms=TOO_MANY_STREAMS_RETRY_MS
            )
        self.n_streams_by_customer[customer.name] = n_here + 1

    def release_stream(self, customer):
        """Count one stream less, when it ends."""
        n_remaining = self.n_streams_by_customer[customer.name] - 1
        assert n_remaining >= 0
        if n_remaining:
            self.n_streams_by_customer[customer.name] = n_remaining
        else:
            del self.n_streams_by_customer[customer.name]
