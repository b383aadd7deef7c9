"""Proposers that wait for their entries to be committed and applied."""

import anyio


class _Waiter:
    __slots__ = ("event", "result", "term")

    def __init__(self, term):
        self.term = term
        self.event = anyio.Event()
        self.result = None


class Waiters:
    """Waiting proposers by the index of their entry."""

    def __init__(self):
        self._waiter_by_index = {}

    async def wait(self, index, term, timeout_ms):
        """Wait for the entry proposed at an index in a term.

        Returns
        -------
        result : object or None
            What applying the entry returned; None if it was lost or took too long.
        """
        waiter = self._waiter_by_index[index] = _Waiter(term)
        with anyio.move_on_after(timeout_ms / 1000):
            await waiter.event.wait()
        if self._waiter_by_index.get(index) is waiter:
            del self._waiter_by_index[index]
        return waiter.result

    def resolve(self, entry, result):
        """Give a result to who proposed an applied entry."""
        waiter = self._waiter_by_index.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.result = result
        waiter.event.set()

    def fail_from(self, index):
        """Let go those whose entries from an index on are removed."""
        for lost in [i for i in self._waiter_by_index if i >= index]:
            self._waiter_by_index.pop(lost).event.set()
