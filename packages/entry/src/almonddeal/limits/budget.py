"""Retry budget: bounds retries in proportion to first attempts."""

DEFAULT_RATIO = 0.1
DEFAULT_MAX_BALANCE = 50.0


class RetryBudget:
    """Balance to which first attempts add a fraction and from which a retry takes 1.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    max_balance : float
        Upper limit of the balance, in retries.
    balance : float, optional
        Initial balance; a fifth of the maximum if not given.
    """

    __slots__ = ("_balance", "_max_balance", "_ratio")

    def __init__(
        self, ratio=DEFAULT_RATIO, max_balance=DEFAULT_MAX_BALANCE, balance=None
    ):
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance / 5 if balance is None else balance

    @property
    def balance(self):
        """Retries that are allowed now."""
        return self._balance

    def set_max_balance(self, max_balance):
        """Change the upper limit of the balance."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def earn(self):
        """Add `ratio` for one first attempt, up to the maximum."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def spend(self):
        """Take one retry from the balance; returns False if less than one is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
