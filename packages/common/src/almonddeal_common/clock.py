"""Clocks of a process.

Monotonic time is for the decisions of one process. Wall-clock time is for the audit
trail, for the age of orders in the control group and for times shown to callers.
"""

import time
from contextlib import contextmanager


class _ClockSource:
    """Time source of `monotonic_ms`, replaceable by `overridden_clock`."""

    __slots__ = ("now_s",)

    def __init__(self, now_s):
        self.now_s = now_s


_clock_source = _ClockSource(time.monotonic)


def monotonic_ms():
    """Return the monotonic time in milliseconds."""
    return _clock_source.now_s() * 1000.0


def boot_ms():
    """Return the time in milliseconds since the machine started.

    Unlike `monotonic_ms`, it also counts the time for which the machine was suspended.
    """
    if _clock_source.now_s is not time.monotonic:
        return monotonic_ms()
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def wall_ms():
    """Return the wall-clock time in milliseconds since 1970.

    For times that are shown or that processes have to agree on.
    """
    return int(time.time() * 1000)


@contextmanager
def overridden_clock(now_s):
    """Make `monotonic_ms` read another clock in the context, for tests and simulations.

    Parameters
    ----------
    now_s : callable
        Returns the time in seconds.
    """
    previous = _clock_source.now_s
    _clock_source.now_s = now_s
    try:
        yield
    finally:
        _clock_source.now_s = previous
