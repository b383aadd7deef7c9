"""An answer as its owner knows it: what exists, what is held, what may be delivered."""

import anyio

from almonddeal_common.codes import OWNERSHIP_LOST, AlmonddealError


def majority(names):
    """Return how many of the names make a majority."""
    return len(names) // 2 + 1


class OwnedAnswer:
    """One answer in the hands of its owner.

    A token is committed, and may be delivered, once a majority of the holders has it
    under this owner's epoch. While the set of holders changes, a majority of the old
    set must have it as well.

    Parameters
    ----------
    spec : AnswerSpec
    epoch : int
    holders : list of str
        Instances that hold the answer.
    previous_holders : list of str, optional
        The set before, while a takeover or a repair is being established.
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
        self.n_subscribers = 0
        self.was_run = False
        self.n_primed = -1
        self.primed_target = None
        self.error = None
        self.acked_by_holder = {}
        self.sent_by_holder = {}
        self.full_holders = set()
        self._established_at = 0
        self._changed = anyio.Event()

    def __repr__(self):
        return f"<OwnedAnswer {self.spec.request} epoch {self.epoch}>"

    # ---- facts -----------------------------------------------------------------

    @property
    def n_positions(self):
        """Number of tokens, plus one for the end where it is known."""
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
        """Whether this epoch rules, so that nobody else may append."""
        return self.previous_holders is None

    @property
    def all_holders(self):
        """Holders of the present set and, while it changes, of the one before."""
        return set(self.holders) | set(self.previous_holders or ())

    # ---- changes ---------------------------------------------------------------

    def adopt(self, reply):
        """Continue from what a holder described in a `FenceReply`."""
        assert not self.tokens
        self.tokens = list(reply.tokens)
        self.texts = list(reply.texts)
        self.finish_reason = reply.finish_reason or ""
        self.end_code = reply.end_code or 0
        self.n_attempts = reply.n_attempts or 0
        self._established_at = self.n_positions

    def change_epoch(self, epoch, holders, previous_holders):
        """Begin a new epoch of the same owner with another set of holders."""
        assert epoch > self.epoch
        self.epoch = epoch
        self.holders = list(holders)
        self.previous_holders = previous_holders
        self.acked_by_holder = {}
        self.sent_by_holder = {}
        self.full_holders = set()
        self._established_at = self.n_positions

    def append_tokens(self, index, tokens, texts):
        """Add tokens of the running attempt; `index` must be where the answer ends."""
        assert index == len(self.tokens), "an attempt left a gap or repeated a token"
        assert not self.finish_reason, "an ended answer would grow"
        self.tokens.extend(tokens)
        self.texts.extend(texts)

    def finish(self, reason, end_code=0):
        """End the answer; it is whole once this is committed."""
        assert reason
        if not self.finish_reason:
            self.finish_reason = reason
            self.end_code = end_code

    def fail(self, error):
        """Stop this owner's work on the answer without ending it."""
        if self.error is None:
            self.error = error
        self.notify_changed()

    def lose(self, epoch):
        """Note that a higher epoch was seen: another instance owns the answer now."""
        self.fail(AlmonddealError(OWNERSHIP_LOST, f"epoch {epoch} is newer"))

    def note_ack(self, holder, n_positions):
        """Note that a holder has the first positions under the present epoch."""
        acked = self.acked_by_holder.get(holder, 0)
        self.acked_by_holder[holder] = max(acked, n_positions)
        n_committed = self._count_committed()
        if n_committed > self.n_committed:
            assert n_committed <= self.n_positions
            self.n_committed = n_committed
            self.notify_changed()

    def _count_committed(self):
        n_held = self._held_by_majority(self.holders)
        if self.previous_holders is None:
            return n_held
        n_held = min(n_held, self._held_by_majority(self.previous_holders))
        if n_held >= self._established_at and self._is_accepted():
            self.previous_holders = None
            self.notify_changed()
        return n_held

    def _held_by_majority(self, holders):
        held = sorted((self.acked_by_holder.get(h, 0) for h in holders), reverse=True)
        return held[majority(holders) - 1]

    def _is_accepted(self):
        # An empty answer is accepted by an ack of position 0 as well.
        return all(
            sum(h in self.acked_by_holder for h in holders) >= majority(holders)
            for holders in (self.holders, self.previous_holders)
        )

    def notify_changed(self):
        """Wake all who wait for progress."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_changed(self):
        """Wait for the next progress of any kind."""
        await self._changed.wait()
