"""Counters and latencies of served requests."""

from almonddeal_common.metrics import Counter, Histogram

LATENCY_BUCKETS_MS = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000]


class RelayMetrics:
    """Requests by kind and outcome, and how long they took."""

    def __init__(self):
        self._n_requests = Counter(
            "almonddeal_relay_requests_total", "Requests by kind and outcome."
        )
        self._latency_ms = Histogram(
            "almonddeal_relay_request_ms",
            "Time from the whole request to the end of its answer, in ms.",
            buckets=LATENCY_BUCKETS_MS,
        )
        self._pause_ms = Histogram(
            "almonddeal_relay_resume_ms",
            "Pause that a caller sees when an answer goes on elsewhere, in ms.",
            buckets=LATENCY_BUCKETS_MS,
        )

    def note_resume(self, pause_ms):
        """Note an answer that goes on after a loss."""
        self._pause_ms.observe({}, pause_ms)

    def note(self, kind, outcome, took_ms):
        """Count one request that ended."""
        self._n_requests.inc({"kind": kind, "outcome": outcome})
        self._latency_ms.observe({"kind": kind}, took_ms)
