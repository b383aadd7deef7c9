"""Votes that a candidate has received."""

import anyio


class VoteCount:
    """Votes for a candidate in one term.

    Parameters
    ----------
    quorum : int

    Attributes
    ----------
    decided : anyio.Event
        Set once there is a majority; the caller sets it once no vote is to come.
    """

    __slots__ = ("_n_granted", "_quorum", "decided")

    def __init__(self, quorum):
        self._quorum = quorum
        self._n_granted = 0
        self.decided = anyio.Event()

    @property
    def is_won(self):
        """Whether there is a majority."""
        return self._n_granted >= self._quorum

    def add_vote(self):
        """Count a vote that was granted."""
        self._n_granted += 1
        if self.is_won:
            self.decided.set()
