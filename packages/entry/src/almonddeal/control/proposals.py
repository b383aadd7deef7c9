"""Proposals that wait for their entry to be committed and applied."""

import anyio


class _PendingProposal:
    __slots__ = ("event", "result", "term")

    def __init__(self, term):
        self.term = term
        self.event = anyio.Event()
        self.result = None


class PendingProposals:
    """Proposers that wait for their entry, by its index."""

    def __init__(self):
        self._proposal_by_index = {}

    async def wait(self, index, term, timeout_ms):
        """Wait until the entry that was proposed at an index in a term is applied.

        Returns
        -------
        result : object or None
            What the state machine returned for the entry; None if another entry took
            its index or the timeout expired.
        """
        proposal = self._proposal_by_index[index] = _PendingProposal(term)
        with anyio.move_on_after(timeout_ms / 1000):
            await proposal.event.wait()
        if self._proposal_by_index.get(index) is proposal:
            del self._proposal_by_index[index]
        return proposal.result

    def resolve(self, entry, result):
        """Pass the result of an applied entry to its proposer, if one waits here."""
        proposal = self._proposal_by_index.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result = result
        proposal.event.set()

    def fail_from(self, index):
        """Wake, without a result, the proposers of removed entries from an index on."""
        for removed in [i for i in self._proposal_by_index if i >= index]:
            self._proposal_by_index.pop(removed).event.set()
