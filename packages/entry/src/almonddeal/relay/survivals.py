"""When targets last survived requests and prompt segments."""

from collections import OrderedDict

MAX_SUSPECTS = 10_000


class Survivals:
    """Times at which a target survived a suspect, the least recent ones forgotten.

    Parameters
    ----------
    window_ms : float
        A crash is not blamed on a suspect that a target survived this shortly before,
        or later.
    """

    __slots__ = ("_survived_ms_by_suspect", "window_ms")

    def __init__(self, window_ms):
        self.window_ms = window_ms
        self._survived_ms_by_suspect = OrderedDict()

    def record(self, suspect, survived_ms):
        """Record a survival; an earlier one than the last known changes nothing."""
        self._survived_ms_by_suspect[suspect] = max(survived_ms, self.last_ms(suspect))
        self._survived_ms_by_suspect.move_to_end(suspect)
        if len(self._survived_ms_by_suspect) > MAX_SUSPECTS:
            self._survived_ms_by_suspect.popitem(last=False)

    def last_ms(self, suspect):
        """Return when a target last survived a suspect; 0 if that is not known."""
        return self._survived_ms_by_suspect.get(suspect, 0.0)

    def covers(self, suspect, crash_ms):
        """Tell whether a suspect was survived too recently to be blamed for a crash."""
        return self.last_ms(suspect) >= crash_ms - self.window_ms
