"""Probes of the load balancer, by which it takes an instance out of rotation."""

import anyio

from almonddeal_common.clock import monotonic_ms

MAX_MISSES = 2  # in a row; then the load balancer sends no new connections
# The load balancer probes once a second. Questions of others that follow each other
# faster are no two misses.
MIN_PROBE_INTERVAL_MS = 500.0
RECENT_MS = 3000.0  # a prober that was silent for longer sends no callers
HANDOVER_S = 0.3  # for connections that were sent before the last miss arrived


class _Prober:
    """Responses to one prober; `missed_ms` is the time of the last counted miss."""

    __slots__ = ("missed_ms", "n_misses", "probed_ms")

    def __init__(self):
        self.n_misses = 0
        self.missed_ms = -MIN_PROBE_INTERVAL_MS
        self.probed_ms = 0.0


class ReadinessProbes:
    """Responses to readiness probes, by prober."""

    def __init__(self):
        self._prober_by_host = {}
        self._changed = anyio.Event()

    @property
    def are_missed(self):
        """Whether all recent probers were told `MAX_MISSES` times in a row to leave.

        False while there are none, as the load balancer may not have asked yet.
        """
        start_ms = monotonic_ms() - RECENT_MS
        recent = [p for p in self._prober_by_host.values() if p.probed_ms >= start_ms]
        return bool(recent) and all(p.n_misses >= MAX_MISSES for p in recent)

    def record(self, host, is_ready):
        """Record the response to a probe.

        Parameters
        ----------
        host : str
            Address of the prober.
        is_ready : bool
            Whether the response was 200.
        """
        now_ms = monotonic_ms()
        prober = self._prober_by_host.setdefault(host, _Prober())
        prober.probed_ms = now_ms
        if is_ready:
            prober.n_misses = 0
        elif now_ms - prober.missed_ms >= MIN_PROBE_INTERVAL_MS or not prober.n_misses:
            prober.n_misses += 1
            prober.missed_ms = now_ms
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_until_missed(self, timeout_s):
        """Wait until the load balancer has taken the instance out of rotation.

        Includes the time for connections that it sent before.

        Parameters
        ----------
        timeout_s : float
            Longest wait; probes may not arrive.
        """
        with anyio.move_on_after(timeout_s):
            while not self.are_missed:
                await self._changed.wait()
            await anyio.sleep(HANDOVER_S)
