"""Time: the monotonic clock for decisions, the wall clock for people only."""

import time


def monotonic_ms():
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1000.0


def wall_ms():
    """Return the wall clock in milliseconds since 1970, for the audit trail."""
    return int(time.time() * 1000)
