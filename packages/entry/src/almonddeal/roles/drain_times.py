"""Time from the stop signal of an instance to its exit, by what it waited for."""

from almonddeal_common.clock import monotonic_ms
from almonddeal_common.metrics import Gauge

LAST_READY = "last_ready"
LOAD_BALANCER = "load_balancer"
REQUESTS = "requests"
CONNECTIONS = "connections"
BREAK_OFF = "break_off"
REPORTS = "reports"
SERVERS = "servers"


class DrainMetrics:
    """Time in ms of the stop of this process, by reason."""

    def __init__(self):
        self._drain_ms = Gauge(
            "almonddeal_drain_ms",
            "Time of the stop of this process so far, in ms, by what it waited for.",
        )

    def set_drain_ms(self, reason, took_ms):
        """Set the time in ms for which the process waited for a reason."""
        self._drain_ms.set({"reason": reason}, took_ms)


class DrainTimes:
    """Times of one stop; each wait begins where the one before ended.

    Parameters
    ----------
    metrics : DrainMetrics

    Attributes
    ----------
    ms_by_reason : dict of str to float
    """

    __slots__ = ("_last_ms", "_metrics", "ms_by_reason")

    def __init__(self, metrics):
        self._metrics = metrics
        self._last_ms = monotonic_ms()
        self.ms_by_reason = {}

    def record(self, reason, ended_ms=None):
        """Record the end of a wait.

        Parameters
        ----------
        reason : str
        ended_ms : float, optional
            When it ended, by `monotonic_ms`; default: now. A wait that ended before it
            began took no time.
        """
        ended_ms = monotonic_ms() if ended_ms is None else ended_ms
        took_ms = max(0.0, ended_ms - self._last_ms)
        self._last_ms += took_ms
        self.ms_by_reason[reason] = self.ms_by_reason.get(reason, 0.0) + took_ms
        self._metrics.set_drain_ms(reason, self.ms_by_reason[reason])

    def rounded(self):
        """Return the times in whole ms with names for a log line, and their sum."""
        fields = {f"{reason}_ms": round(ms) for reason, ms in self.ms_by_reason.items()}
        return {"drain_ms": round(sum(self.ms_by_reason.values())), **fields}
