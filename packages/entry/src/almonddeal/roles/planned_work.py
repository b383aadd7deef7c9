"""Planned work on an instance, for requests that end badly beside it."""

import math

from almonddeal_common.clock import monotonic_ms

CHANGE = "change"  # of the configuration
RELOAD = "reload"  # of the settings
STOP = "stop"
NONE = "none"
# How long a request may end badly because of planned work.
DURATION_MS_BY_KIND = {CHANGE: 3000.0, RELOAD: 2000.0, STOP: math.inf}


class PlannedWork:
    """Planned work that this instance has recently begun."""

    __slots__ = ("_ends_ms_by_kind",)

    def __init__(self):
        self._ends_ms_by_kind = {}

    def begin(self, kind):
        """Record that work of a kind begins now."""
        self._ends_ms_by_kind[kind] = monotonic_ms() + DURATION_MS_BY_KIND[kind]

    def describe(self):
        """Return the kinds of work in progress: ``change+stop``, or ``none``."""
        now_ms = monotonic_ms()
        kinds = [k for k, ends_ms in self._ends_ms_by_kind.items() if now_ms < ends_ms]
        return "+".join(sorted(kinds)) or NONE
