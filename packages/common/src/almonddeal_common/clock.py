"""Time: the monotonic clock for decisions, the wall clock for people only."""

import time
from contextlib import contextmanager


class _Source:
    """Where `monotonic_ms` reads the time."""

    __slots__ = ("now_s",)

    def __init__(self, now_s):
        self.now_s = now_s


_source = _Source(time.monotonic)


def monotonic_ms():
    """Return the monotonic clock in milliseconds."""
    return _source.now_s() * 1000.0


def wall_ms():
    """Return the wall clock in milliseconds since 1970, for the audit trail."""
    return int(time.time() * 1000)


@contextmanager
def replaced_clock(now_s):
    """Have `monotonic_ms` read another clock, for tests and simulations.

    Parameters
    ----------
    now_s : callable
        Returns the time in s.
    """
    before = _source.now_s
    _source.now_s = now_s
    try:
        yield
    finally:
        _source.now_s = before
