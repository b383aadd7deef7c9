"""Lag of the event loop: how late a periodic timer of the process wakes.

While a step of the event loop runs, the process reads no socket, answers no probe and
sends no event. A timer sees a step of any length as at most that length, and as at
least that length less `INTERVAL_MS`.
"""

import time

import anyio

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.metrics import Histogram

INTERVAL_MS = 50
# Idle limits and probes are kept to this.
LONG_LAG_MS = 50
LOG_INTERVAL_MS = 1000
BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000]

log = get_logger("event_loop")
lag_ms = Histogram(
    "almonddeal_event_loop_lag_ms",
    "Lateness of a periodic timer of the event loop, in ms.",
    buckets=BUCKETS_MS,
)


class _LongLags:
    """Lags over `LONG_LAG_MS` that no line of the log has yet."""

    __slots__ = ("_lag_ms", "_logged_ms", "_n_lags", "_processor_ms")

    def __init__(self):
        self._logged_ms = -LOG_INTERVAL_MS
        self._clear()

    def _clear(self):
        self._n_lags = 0
        self._lag_ms = self._processor_ms = 0.0

    def add(self, late_ms, processor_ms):
        """Count a lag if it is long, and keep the longest one."""
        if late_ms <= LONG_LAG_MS:
            return
        self._n_lags += 1
        if late_ms > self._lag_ms:
            self._lag_ms, self._processor_ms = late_ms, processor_ms

    def log_if_due(self, now_ms):
        """Log what was counted, at most once in `LOG_INTERVAL_MS`."""
        if not self._n_lags or now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        decide(
            log,
            "event loop was late",
            lag_ms=round(self._lag_ms),
            # Far less than the lag: the process waited for the processor or the disk.
            processor_ms=round(self._processor_ms),
            n_lags=self._n_lags,
        )
        self._clear()


async def measure_event_loop_lag():
    """Record the lag of the event loop every `INTERVAL_MS`, until cancelled."""
    long_lags = _LongLags()
    while True:
        due_ms = monotonic_ms() + INTERVAL_MS
        processor_s = time.thread_time()
        await anyio.sleep(INTERVAL_MS / 1000)
        now_ms = monotonic_ms()
        late_ms = max(0.0, now_ms - due_ms)
        lag_ms.observe({}, late_ms)
        long_lags.add(late_ms, (time.thread_time() - processor_s) * 1000)
        long_lags.log_if_due(now_ms)
