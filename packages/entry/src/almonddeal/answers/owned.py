"""The owner's state of an answer: tokens, replication and commit point."""

import anyio

from almonddeal_common.codes import OWNERSHIP_LOST, AlmonddealError


def majority(names):
    """Return the size of a majority of the names."""
    return len(names) // 2 + 1


class OwnedAnswer:
    """An answer with its replication state, as kept by its owner.

    A token is committed, and may be delivered, once a majority of the holders has
    acknowledged it under this owner's epoch. While the set of holders changes, a
    majority of the previous set must have acknowledged it as well.

    Parameters
    ----------
    spec : AnswerSpec
    epoch : int
        Fencing epoch under which this owner appends.
    holders : list of str
        Names of the instances that hold a replica.
    previous_holders : list of str, optional
        The previous set of holders, until the new epoch is established.

    Attributes
    ----------
    pending_epoch : int
        Highest epoch that this owner has asked the holders to promise in a repair.
    finish_reason : str
        Empty until generation has finished.
    end_code : int
        Number of the result code that the end of the answer carries; 0 for none.
    n_committed : int
        Number of committed positions: tokens, then the end of the answer.
    n_tokens_at_priming : int
        Number of tokens at the last cache priming, -1 before the first.
    primed_target_name : str or None
        Name of the target whose cache was primed last.
    may_have_run : bool
        Whether an engine may have run any part of the answer.
    error : AlmonddealError or None
        Why this owner stopped working on the answer before its end.
    n_acked_positions_by_holder, next_index_by_holder : dict of str to int
        Positions that each holder acknowledged in this epoch, and index of the first
        token to send to it next.
    holders_without_memory : set of str
        Holders that refused the answer for lack of memory.
    """

    def __init__(self, spec, epoch, holders, previous_holders=None):
        self.spec = spec
        self.epoch = epoch
        self.pending_epoch = epoch
        self.holders = list(holders)
        self.previous_holders = previous_holders
        self.tokens = []
        self.texts = []
        self.finish_reason = ""
        self.end_code = 0
        self.n_attempts = 0
        self.n_committed = 0
        self.n_waiting_callers = 0
        self.may_have_run = False
        self.n_tokens_at_priming = -1
        self.primed_target_name = None
        self.error = None
        self.n_acked_positions_by_holder = {}
        self.next_index_by_holder = {}
        self.holders_without_memory = set()
        self._n_positions_to_establish = 0
        self._changed = anyio.Event()

    def __repr__(self):
        return f"<OwnedAnswer {self.spec.request} epoch {self.epoch}>"

    @property
    def n_positions(self):
        """Number of tokens, plus one for the end of a finished answer."""
        return len(self.tokens) + bool(self.finish_reason)

    @property
    def n_deliverable(self):
        """Number of tokens that may be delivered."""
        return min(self.n_committed, len(self.tokens))

    @property
    def is_ended(self):
        """Whether the end of the answer is committed."""
        return bool(self.finish_reason) and self.n_committed == self.n_positions

    @property
    def is_established(self):
        """Whether majorities accepted this epoch; older owners can then not commit.

        Without previous holders, an epoch counts as established.
        """
        return self.previous_holders is None

    @property
    def all_holders(self):
        """Holders of the current set and, while it changes, of the previous one."""
        return set(self.holders) | set(self.previous_holders or ())

    def load_fence_reply(self, reply):
        """Load the tokens and the end of the answer from a holder's `FenceReply`."""
        assert not self.tokens
        self.tokens = list(reply.tokens)
        self.texts = list(reply.texts)
        self.finish_reason = reply.finish_reason or ""
        self.end_code = reply.end_code or 0
        self.n_attempts = reply.n_attempts or 0
        self._n_positions_to_establish = self.n_positions

    def change_holders(self, epoch, holders, previous_holders):
        """Start a new epoch of the same owner with another set of holders."""
        assert epoch > self.epoch
        self.epoch = epoch
        self.holders = list(holders)
        self.previous_holders = previous_holders
        self.n_acked_positions_by_holder = {}
        self.next_index_by_holder = {}
        self.holders_without_memory = set()
        self._n_positions_to_establish = self.n_positions

    def append_tokens(self, index, tokens, texts):
        """Append tokens of the current attempt at `index`, the number of tokens so far.

        Parameters
        ----------
        index : int
        tokens : list of int
        texts : list of str
            Text of each token.
        """
        assert index == len(self.tokens), "tokens of an attempt leave a gap or overlap"
        assert not self.finish_reason, "tokens appended to a finished answer"
        self.tokens.extend(tokens)
        self.texts.extend(texts)

    def finish(self, reason, end_code=0):
        """Finish the answer; it has ended once its end is committed.

        Parameters
        ----------
        reason : str
            Finish reason as callers see it, such as ``"length"``.
        end_code : int
            Number of the result code of an abnormal end, 0 for none.
        """
        assert reason
        if not self.finish_reason:
            self.finish_reason = reason
            self.end_code = end_code

    def fail(self, error):
        """Stop this owner's work on the answer without finishing it.

        The first error is kept.
        """
        if self.error is None:
            self.error = error
        self.notify_changed()

    def mark_superseded(self, epoch):
        """Fail because a higher epoch was seen: another instance owns the answer."""
        self.fail(AlmonddealError(OWNERSHIP_LOST, f"epoch {epoch} is newer"))

    def record_ack(self, holder, n_positions):
        """Record that a holder has the first `n_positions` in the current epoch.

        Advances the commit point if a majority now has more.
        """
        acked = self.n_acked_positions_by_holder.get(holder, 0)
        self.n_acked_positions_by_holder[holder] = max(acked, n_positions)
        n_committed = self._count_committed()
        if n_committed > self.n_committed:
            assert n_committed <= self.n_positions
            self.n_committed = n_committed
            self.notify_changed()

    def _count_committed(self):
        """Return the committed positions; establishes the epoch when it can be."""
        n_acked = self._n_acked_by_majority(self.holders)
        if self.previous_holders is None:
            return n_acked
        n_acked = min(n_acked, self._n_acked_by_majority(self.previous_holders))
        if n_acked >= self._n_positions_to_establish and self._is_acked_by_majorities():
            self.previous_holders = None
            self.notify_changed()
        return n_acked

    def _n_acked_by_majority(self, holders):
        n_acked_positions = sorted(
            (self.n_acked_positions_by_holder.get(h, 0) for h in holders), reverse=True
        )
        return n_acked_positions[majority(holders) - 1]

    def _is_acked_by_majorities(self):
        # Counts holders that replied at all: for an empty answer, position 0 is enough.
        return all(
            sum(h in self.n_acked_positions_by_holder for h in holders)
            >= majority(holders)
            for holders in (self.holders, self.previous_holders)
        )

    def notify_changed(self):
        """Wake all tasks in `wait_changed`."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_changed(self):
        """Wait until the answer may have changed."""
        await self._changed.wait()
