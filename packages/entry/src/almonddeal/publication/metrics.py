"""Metrics of a control instance."""

from almonddeal_common.metrics import Counter, Gauge, Histogram

LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000]


class ControlMetrics:
    """Publications and announcements by outcome, publication time and subscribers."""

    def __init__(self):
        self._n_publications = Counter(
            "almonddeal_publications_total", "Configurations received, by outcome."
        )
        self._publish_ms = Histogram(
            "almonddeal_publish_ms",
            "Time from a configuration to its acknowledgement, in ms.",
            buckets=LATENCY_BUCKETS_MS,
        )
        self._n_announcements = Counter(
            "almonddeal_announcements_total", "Words of targets received, by outcome."
        )
        self._n_subscribers = Gauge(
            "almonddeal_followers", "Instances that follow this one."
        )

    def record_publication(self, outcome, took_ms):
        """Record one received configuration and its time in ms."""
        self._n_publications.inc({"outcome": outcome})
        self._publish_ms.observe({"outcome": outcome}, took_ms)

    def record_announcement(self, outcome):
        """Record one received announcement of a target."""
        self._n_announcements.inc({"outcome": outcome})

    def set_n_followers(self, n_followers):
        """Set the number of entry instances that subscribe to this one."""
        self._n_subscribers.set({}, n_followers)
