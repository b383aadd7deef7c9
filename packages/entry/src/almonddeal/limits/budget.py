"""A budget of retries in proportion to the traffic that earns them."""

RATIO = 0.1
MAX_SAVED = 50.0


class RetryBudget:
    """Each first try earns a part of a retry; a retry spends a whole one.

    Parameters
    ----------
    ratio : float
        Retries for each first try.
    max_saved : float
        Most retries that can be saved up.
    saved : float, optional
        Retries that are saved up from the start; a fifth of the most if not given.
    """

    __slots__ = ("_max_saved", "_ratio", "_saved")

    def __init__(self, ratio=RATIO, max_saved=MAX_SAVED, saved=None):
        self._ratio = ratio
        self._max_saved = max_saved
        self._saved = max_saved / 5 if saved is None else saved

    @property
    def saved(self):
        """Retries that may be made now."""
        return self._saved

    def limit(self, max_saved):
        """Change the most retries that can be saved up."""
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def earn(self):
        """Note a first try."""
        self._saved = min(self._max_saved, self._saved + self._ratio)

    def spend(self):
        """Spend one retry; returns whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
