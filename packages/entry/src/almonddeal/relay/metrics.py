"""Metrics of relayed requests."""

from almonddeal_common.metrics import Counter, Gauge, Histogram

LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000]


class RelayMetrics:
    """Request counts by route kind and outcome, latencies, and resume pauses."""

    def __init__(self):
        self._n_requests = Counter(
            "almonddeal_relay_requests_total", "Requests by kind and outcome."
        )
        self._latency_ms = Histogram(
            "almonddeal_relay_request_ms",
            "Time from the whole request to the end of its answer, in ms.",
            buckets=LATENCY_BUCKETS_MS,
        )
        self._resume_pause_ms = Histogram(
            "almonddeal_relay_resume_ms",
            "Pause that a caller sees when an answer continues elsewhere, in ms.",
            buckets=LATENCY_BUCKETS_MS,
        )

        self._n_quarantined = Gauge(
            "almonddeal_relay_quarantined_segments",
            "Requests, prompt segments, or sets of these, that no target receives.",
        )

    def set_n_quarantined(self, n_quarantined):
        """Set the number of requests and prompt segments in quarantine."""
        self._n_quarantined.set({}, n_quarantined)

    def record_resume(self, pause_ms):
        """Record the pause in ms before a stream resumed at another engine."""
        self._resume_pause_ms.observe({}, pause_ms)

    def record_request(self, kind, outcome, took_ms):
        """Record one finished request and its duration in ms."""
        self._n_requests.inc({"kind": kind, "outcome": outcome})
        self._latency_ms.observe({"kind": kind}, took_ms)
