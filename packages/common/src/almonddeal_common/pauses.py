"""Pauses of the own process: times for which its event loop did not run."""

import anyio

from almonddeal_common.clock import monotonic_ms

EVENT_LOOP_STALL_MS = 250  # a timer later than this shows a stall of this process


class PauseDetector:
    """Sleeps for a periodic task and detects pauses of the process.

    During a pause, the process received nothing, so the silence of others does not show
    that they failed.
    """

    __slots__ = ("_woken_ms",)

    def __init__(self):
        self._woken_ms = monotonic_ms()

    async def sleep(self, interval_s):
        """Sleep, and return the length of a pause since the last wake-up.

        Parameters
        ----------
        interval_s : float

        Returns
        -------
        pause_ms : float
            0 unless the task woke more than `EVENT_LOOP_STALL_MS` late.
        """
        await anyio.sleep(interval_s)
        now_ms = monotonic_ms()
        late_ms = now_ms - self._woken_ms - interval_s * 1000
        self._woken_ms = now_ms
        return late_ms if late_ms > EVENT_LOOP_STALL_MS else 0.0
