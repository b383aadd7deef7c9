"""Retry budget of a service over a sliding window.

In each window, all instances together may make ``ratio`` retries for each request and
``slack`` beyond these. An instance may make those that its own requests allow and an
equal share of the slack. As each instance keeps its part in every window, their sum
keeps the whole, whichever instances a failure meets.
"""

from collections import deque

BUCKET_MS = 100.0
LIMIT_SHARE = 0.95  # of the budget; requests reach targets with different delays
MIN_INSTANCES = 6  # least number by which the slack is divided
# Instances assumed by a process that has not yet run for a whole window: it does not
# know all others, nor the retries that it made before a restart.
INSTANCES_AT_START = 32


class SlidingCount:
    """Number of events in a sliding window, in buckets of `BUCKET_MS`.

    Parameters
    ----------
    window_ms : float
    rounds_up : bool
        Whether the bucket that is partly in the window counts as a whole, or not at
        all.
    """

    __slots__ = ("_buckets", "_kept_ms", "_total")

    def __init__(self, window_ms, rounds_up):
        self._kept_ms = window_ms + BUCKET_MS if rounds_up else window_ms
        self._buckets = deque()
        self._total = 0

    def add(self, now_ms):
        """Count one event now."""
        start_ms = now_ms - now_ms % BUCKET_MS
        if self._buckets and self._buckets[-1][0] >= start_ms:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([start_ms, 1])
        self._total += 1

    def count(self, now_ms):
        """Return the number of events in the window that ends now."""
        while self._buckets and self._buckets[0][0] <= now_ms - self._kept_ms:
            self._total -= self._buckets.popleft()[1]
        return self._total


class RetryWindow:
    """Retry budget of one service at one instance.

    Parameters
    ----------
    limits : RetryLimits
    started_ms : float
        Start of this process.
    """

    __slots__ = ("_limits", "_requests", "_retries", "_started_ms")

    def __init__(self, limits, started_ms):
        window_ms = limits.window_s * 1000
        self._limits = limits
        self._started_ms = started_ms
        self._requests = SlidingCount(window_ms, rounds_up=False)
        self._retries = SlidingCount(window_ms, rounds_up=True)

    def record_request(self, now_ms):
        """Count a request that a caller sent to this instance."""
        self._requests.add(now_ms)

    def n_requests(self, now_ms):
        """Return the number of requests of callers in the window that ends now."""
        return self._requests.count(now_ms)

    def take_retry(self, now_ms, n_instances):
        """Take one retry from the budget; return False if none is left now.

        Parameters
        ----------
        now_ms : float
        n_instances : int
            Number of instances that are known to serve requests.
        """
        if self._retries.count(now_ms) + 1 > self._limit(now_ms, n_instances):
            return False
        self._retries.add(now_ms)
        return True

    def _limit(self, now_ms, n_instances):
        is_warm = now_ms - self._started_ms >= self._limits.window_s * 1000
        n_least = MIN_INSTANCES if is_warm else INSTANCES_AT_START
        share = self._limits.slack / max(n_least, n_instances)
        limit = self._limits.ratio * self._requests.count(now_ms) + share
        return LIMIT_SHARE * limit
